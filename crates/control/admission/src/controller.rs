//! The controller's state and its accessors. The logic is in further `impl` blocks of [`AdmissionController`]:
//!
//! - `upstream_events`: changes of the upstream's known state;
//! - `request_events`: arrival, begin and end of requests;
//! - `capacity`: concurrency limits, expected waits, reasons to admit nothing;
//! - `timer`: admission and rejection of pending requests as time passes.
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

/// A temporary lower limit on requests in flight, set when the upstream rejects a request as full.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoweredLimit {
    pub(crate) limit: u32,
    pub(crate) until: Instant,
}

/// Admission to one upstream.
///
/// Memory is bounded. Pending requests are limited to four times the slots, or 16 if that is more; at the limit the newest
/// of the lowest priority is rejected. Requests in flight are at most the concurrency limit for each incarnation of the
/// upstream whose requests the caller has not yet finished. Effects are bounded by the requests that were pending, provided
/// that the caller takes them.
#[derive(Debug)]
pub struct AdmissionController {
    pub(crate) settings: AdmissionSettings,
    pub(crate) limits: UpstreamLimits,
    /// The latest time that a caller passed.
    pub(crate) now: Instant,
    pub(crate) report: Option<UpstreamReport>,
    pub(crate) state: UpstreamState,
    /// Ids of ended incarnations; at most `MAX_ENDED_INCARNATIONS`.
    pub(crate) ended_incarnations: VecDeque<String>,
    /// The last drain of this incarnation.
    pub(crate) last_drain: Option<LastDrain>,
    pub(crate) is_evacuated: bool,
    pub(crate) warmup_ends: WarmupEnds,
    pub(crate) pacer: WarmupPacer,
    pub(crate) pending: PendingQueue,
    pub(crate) in_flight: InFlight,
    pub(crate) lowered_limit: Option<LoweredLimit>,
    /// The smoothed time that a request is in flight; `None`: unknown for this incarnation.
    pub(crate) service_time: Option<Duration>,
    pub(crate) attempt_ids: AttemptIds,
    pub(crate) effects: Vec<Effect>,
    pub(crate) metrics: Metrics,
}

impl AdmissionController {
    /// A controller for an upstream that has sent no heartbeat yet.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            limits: UpstreamLimits { max_connections: 0, warmup_rate: 0.0, warmup_span: Duration::ZERO },
            now: Instant::ZERO - MAX_SPAN,
            report: None,
            state: UpstreamState::Silent,
            ended_incarnations: VecDeque::new(),
            last_drain: None,
            is_evacuated: false,
            warmup_ends: WarmupEnds::NONE,
            pacer: WarmupPacer::new(),
            pending: PendingQueue::default(),
            in_flight: InFlight::default(),
            lowered_limit: None,
            service_time: None,
            attempt_ids: AttemptIds::default(),
            effects: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    /// Takes the decisions on pending requests since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The known state of the upstream; `None` before its first heartbeat.
    pub fn upstream(&self) -> Option<Upstream> {
        let report = self.report.clone()?;
        let (state, is_evacuated, warming_until) = (self.state, self.is_evacuated, self.warmup_ends.latest());
        Some(Upstream { report, state, is_evacuated, warming_until })
    }

    /// The present load of the current incarnation of the upstream.
    pub fn load(&self) -> Load {
        Load { in_flight: self.in_flight.current_count() as usize, pending: self.pending.len() }
    }

    /// Counters since the start, and learned values.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Advances the controller's time, which never goes back and is bounded so that sums with spans don't overflow.
    pub(crate) fn advance_time(&mut self, now: Instant) -> Instant {
        self.now = self.now.max(now.min(Instant::ZERO + MAX_SPAN));
        self.now
    }

    /// Whether the current incarnation has this id.
    pub(crate) fn is_upstream(&self, id: &str) -> bool {
        self.report.as_ref().is_some_and(|report| report.id == id)
    }
}
