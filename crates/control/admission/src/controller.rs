//! The controller's state, and what callers may look at. Decides nothing itself; its parts stand in files of their own, each
//! an `impl` of [`AdmissionController`]:
//!
//! - `upstream_events`: what is known of the upstream changes;
//! - `request_events`: a request asks, begins and ends;
//! - `capacity`: how many may be in flight, how long a request would wait, why nothing is admitted;
//! - `timer`: pending requests are admitted or rejected as time goes on.
use crate::attempt_ids::AttemptIds;
use crate::decision::Effect;
use crate::in_flight::InFlight;
use crate::limits::MAX_SPAN;
use crate::metrics::{Load, Metrics};
use crate::pending_queue::PendingQueue;
use crate::settings::{AdmissionSettings, UpstreamLimits};
use crate::upstream::{LastDrain, Upstream, UpstreamReport, UpstreamState, WarmupEnds};
use crate::warmup_pacer::WarmupPacer;
use silvercross_time::{Duration, Instant};
use std::collections::VecDeque;

/// A lower limit of requests in flight, after the upstream was full sooner than thought.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoweredLimit {
    pub(crate) limit: u32,
    pub(crate) until: Instant,
}

/// Admission to one upstream.
///
/// Pending requests are at most four times the slots, 16 at least: at that bound the newest of the lowest priority is
/// rejected. Those in flight are at most the concurrency limit for each incarnation of the upstream whose requests the
/// caller has not yet finished. Effects are bounded by those that were pending, as long as the caller takes them.
#[derive(Debug)]
pub struct AdmissionController {
    pub(crate) settings: AdmissionSettings,
    pub(crate) limits: UpstreamLimits,
    /// The latest time that the caller gave.
    pub(crate) now: Instant,
    pub(crate) report: Option<UpstreamReport>,
    pub(crate) state: UpstreamState,
    /// Ids of incarnations that ended; at most `MAX_ENDED_INCARNATIONS`.
    pub(crate) ended: VecDeque<String>,
    /// The last draining of this incarnation.
    pub(crate) last_drain: Option<LastDrain>,
    pub(crate) is_evacuated: bool,
    pub(crate) warmup_ends: WarmupEnds,
    pub(crate) pacer: WarmupPacer,
    pub(crate) pending: PendingQueue,
    pub(crate) in_flight: InFlight,
    pub(crate) lowered_limit: Option<LoweredLimit>,
    /// How long a request is in flight, smoothed; `None`: not known of this incarnation.
    pub(crate) service_time: Option<Duration>,
    pub(crate) ids: AttemptIds,
    pub(crate) effects: Vec<Effect>,
    pub(crate) metrics: Metrics,
}

impl AdmissionController {
    /// Admission to an upstream that is not there yet.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            limits: UpstreamLimits { max_connections: 0, warmup_rate: 0.0, warmup_span: Duration::ZERO },
            now: Instant::ZERO - MAX_SPAN,
            report: None,
            state: UpstreamState::Silent,
            ended: VecDeque::new(),
            last_drain: None,
            is_evacuated: false,
            warmup_ends: WarmupEnds::NONE,
            pacer: WarmupPacer::new(),
            pending: PendingQueue::default(),
            in_flight: InFlight::default(),
            lowered_limit: None,
            service_time: None,
            ids: AttemptIds::default(),
            effects: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    /// What happened to those that were pending, in order, since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The upstream as it is known, if there was a heartbeat.
    pub fn upstream(&self) -> Option<Upstream> {
        let report = self.report.clone()?;
        let (state, is_evacuated, warming_until) = (self.state, self.is_evacuated, self.warmup_ends.latest());
        Some(Upstream { report, state, is_evacuated, warming_until })
    }

    /// How busy the present incarnation of the upstream is.
    pub fn load(&self) -> Load {
        Load { in_flight: self.in_flight.at_present() as usize, pending: self.pending.len() }
    }

    /// Counters since the start, and what was learned.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Time as it is taken here: it never goes back, and sums with spans don't overflow.
    pub(crate) fn note_time(&mut self, now: Instant) -> Instant {
        self.now = self.now.max(now.min(Instant::ZERO + MAX_SPAN));
        self.now
    }

    /// Whether the upstream has this id.
    pub(crate) fn is_upstream(&self, id: &str) -> bool {
        self.report.as_ref().is_some_and(|report| report.id == id)
    }
}
