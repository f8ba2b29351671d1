//! What is known of the upstream changes: heartbeats, draining, sign-off, silence, evacuation, warm-up and settings.
use crate::controller::AdmissionController;
use crate::limits::{MAX_ENDED_INCARNATIONS, MAX_SPAN};
use crate::rejection::Rejection;
use crate::settings::{AdmissionSettings, UpstreamLimits};
use crate::upstream::{LastDrain, UpstreamReport, UpstreamState, WarmupEnds};
use silvercross_time::{Duration, Instant};

/// How long an upstream counts as warming up after the end of an evacuation, whatever it says.
const EVACUATION_WARMUP: Duration = Duration::from_secs(1);
/// The margin before the end of a drain: a tenth of it, at most this.
const MAX_DRAIN_MARGIN: Duration = Duration::from_millis(250);

/// A span as it is taken here: neither negative nor so long that sums overflow.
fn bounded(span: Duration) -> Duration {
    span.clamp(Duration::ZERO, MAX_SPAN)
}

impl AdmissionController {
    /// A heartbeat says that the upstream is alive and ready. A new id is a new incarnation: what is pending for the old one
    /// is rejected. An incarnation that signed off or was followed by another does not come back.
    pub fn heartbeat(&mut self, now: Instant, report: UpstreamReport, warmup_left: Duration) {
        let now = self.note_time(now);
        if self.ended.contains(&report.id) {
            return self.tick(now);
        }
        if self.is_upstream(&report.id) {
            self.renew(now, &report);
        } else {
            self.begin_incarnation(now);
        }
        self.report = Some(report);
        self.state = UpstreamState::Ready;
        self.warmup_ends.by_heartbeat = now + bounded(warmup_left);
        self.tick(now);
    }

    /// A further heartbeat of the same incarnation.
    fn renew(&mut self, now: Instant, report: &UpstreamReport) {
        if self.report.as_ref().is_some_and(|before| before.service != report.service) {
            self.reject_all(Rejection::WrongUpstream);
        }
        if let Some(drain) = &mut self.last_drain {
            drain.resumed_at.get_or_insert(now);
        }
    }

    /// The first heartbeat of an incarnation: nothing of the one before counts.
    fn begin_incarnation(&mut self, now: Instant) {
        self.reject_all(Rejection::WrongUpstream);
        if let Some(id) = self.report.as_ref().map(|before| before.id.clone()) {
            self.remember_ended(id);
        }
        self.in_flight.begin_incarnation();
        self.last_drain = None;
        self.lowered_limit = None;
        self.service_time = None;
        self.pacer.reset(now);
        // Its own word on how long it warms up holds: one that has run for long is not held down because this process is new.
        self.warmup_ends = WarmupEnds::NONE;
    }

    /// The upstream's draining is acknowledged now: it is open for the time-out less a margin, then shut. Said again it
    /// extends nothing, unless the upstream was ready for as long as the time-out in between.
    pub fn begin_drain(&mut self, now: Instant, id: &str) {
        let now = self.note_time(now);
        if self.is_upstream(id) && matches!(self.state, UpstreamState::Ready | UpstreamState::Silent) {
            let timeout = bounded(self.settings.drain_timeout);
            let until = match self.last_drain {
                Some(LastDrain { until, resumed_at: None }) => until,
                Some(LastDrain { until, resumed_at: Some(at) }) if now - at < timeout => until,
                _ => now + timeout - (timeout / 10).min(MAX_DRAIN_MARGIN),
            };
            self.last_drain = Some(LastDrain { until, resumed_at: None });
            self.state = UpstreamState::Draining(until);
        }
        self.tick(now);
    }

    /// The upstream has signed off: shut at once, for good.
    pub fn signed_off(&mut self, now: Instant, id: &str) {
        let now = self.note_time(now);
        if self.is_upstream(id) {
            self.state = UpstreamState::SignedOff;
            self.remember_ended(id.to_owned());
        }
        self.tick(now);
    }

    /// Its heartbeats stopped or a connection was refused: shut until the next heartbeat.
    pub fn set_silent(&mut self, now: Instant) {
        let now = self.note_time(now);
        if self.state != UpstreamState::SignedOff {
            self.state = UpstreamState::Silent;
        }
        self.tick(now);
    }

    /// Other rules from the settings. A draining that is acknowledged already keeps its moment.
    pub fn set_settings(&mut self, now: Instant, settings: AdmissionSettings) {
        let now = self.note_time(now);
        self.settings = settings;
        self.pacer.set_rate(&self.settings, &self.limits);
        self.tick(now);
    }

    /// The operator's item of the service.
    pub fn set_limits(&mut self, now: Instant, limits: UpstreamLimits) {
        let now = self.note_time(now);
        self.limits = limits;
        self.pacer.set_rate(&self.settings, &self.limits);
        self.tick(now);
    }

    /// The zone is evacuated, or no longer. The end leaves the upstream warming up for the span of its service, unless it
    /// says otherwise after it.
    pub fn set_evacuated(&mut self, now: Instant, is_evacuated: bool) {
        let now = self.note_time(now);
        if self.is_evacuated && !is_evacuated {
            let ends = &mut self.warmup_ends;
            ends.by_heartbeat = ends.by_heartbeat.max(now + bounded(self.limits.warmup_span));
            ends.by_evacuation = ends.by_evacuation.max(now + EVACUATION_WARMUP);
        }
        self.is_evacuated = is_evacuated;
        self.tick(now);
    }

    /// A health response of the upstream says how long it still warms up.
    pub fn set_warmup_left(&mut self, now: Instant, left: Duration) {
        let now = self.note_time(now);
        self.warmup_ends.by_health = now + bounded(left);
        self.tick(now);
    }

    fn remember_ended(&mut self, id: String) {
        if self.ended.contains(&id) {
            return;
        }
        if self.ended.len() >= MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
    }
}
