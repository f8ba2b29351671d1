//! The upstream as it is known here.
use silvercross_time::Instant;

/// What the present incarnation of the upstream reports of itself in its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The id of this incarnation.
    pub id: String,
    /// The service that it is of.
    pub service: String,
    /// How many requests it works on at a time.
    pub slots: u32,
}

/// Whether the upstream is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Its last heartbeat said so.
    Ready,
    /// It drains; it may be sent requests until this moment.
    Draining(Instant),
    /// It has signed off.
    SignedOff,
    /// Nothing is heard of it.
    Silent,
}

/// The upstream as it is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// What its last heartbeat said.
    pub report: UpstreamReport,
    /// Whether it is there.
    pub state: UpstreamState,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    /// It counts as warming up until this moment.
    pub warming_until: Instant,
}

/// Until when the upstream warms up, by each source. A heartbeat may be on its way while a health response says more, so the
/// latest of them holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmupEnds {
    /// By its last heartbeat or an evacuation's end.
    pub(crate) by_heartbeat: Instant,
    /// By its last health response.
    pub(crate) by_health: Instant,
    /// After an evacuation's end, whatever it says.
    pub(crate) by_evacuation: Instant,
}

impl WarmupEnds {
    /// It is not known to warm up.
    pub(crate) const NONE: WarmupEnds =
        WarmupEnds { by_heartbeat: Instant::MIN, by_health: Instant::MIN, by_evacuation: Instant::MIN };

    pub(crate) fn latest(&self) -> Instant {
        self.by_heartbeat.max(self.by_health).max(self.by_evacuation)
    }
}

/// The last draining of an incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastDrain {
    /// Requests may be sent until then.
    pub(crate) until: Instant,
    /// When a heartbeat took it back.
    pub(crate) resumed_at: Option<Instant>,
}
