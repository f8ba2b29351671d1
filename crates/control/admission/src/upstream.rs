//! The known state of the upstream.
use silvercross_time::Instant;

/// What the current incarnation of the upstream reports in its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The id of this incarnation.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// How many requests it processes concurrently.
    pub slots: u32,
}

/// Whether the upstream is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Its last heartbeat reported it as ready.
    Ready,
    /// It is draining; requests may be sent to it until this time.
    Draining(Instant),
    /// It has signed off.
    SignedOff,
    /// It sends no heartbeats or refuses connections.
    Silent,
}

/// The known state of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The report in its last heartbeat.
    pub report: UpstreamReport,
    /// Whether it is available.
    pub state: UpstreamState,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// It counts as warming up until this time.
    pub warming_until: Instant,
}

/// When the warm-up of the upstream ends, by source. A heartbeat may be older than a health response that arrives before it,
/// so the latest time applies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmupEnds {
    /// From its last heartbeat, or the end of an evacuation since then.
    pub(crate) by_heartbeat: Instant,
    /// From its last health response.
    pub(crate) by_health: Instant,
    /// The minimum after the end of an evacuation, whatever the upstream reports.
    pub(crate) by_evacuation: Instant,
}

impl WarmupEnds {
    /// No warm-up is known.
    pub(crate) const NONE: WarmupEnds =
        WarmupEnds { by_heartbeat: Instant::MIN, by_health: Instant::MIN, by_evacuation: Instant::MIN };

    pub(crate) fn latest(&self) -> Instant {
        self.by_heartbeat.max(self.by_health).max(self.by_evacuation)
    }
}

/// The last drain of an incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastDrain {
    /// Requests may be sent until this time.
    pub(crate) until: Instant,
    /// When a heartbeat reported the upstream as ready again.
    pub(crate) resumed_at: Option<Instant>,
}
