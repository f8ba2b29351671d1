//! Changes of the upstream's known state: heartbeats, draining, sign-off, silence, evacuation, warm-up and settings.
use crate::controller::AdmissionController;
use crate::limits::{MAX_ENDED_INCARNATIONS, MAX_SPAN};
use crate::rejection::Rejection;
use crate::settings::{AdmissionSettings, UpstreamLimits};
use crate::upstream::{LastDrain, UpstreamReport, UpstreamState, WarmupEnds};
use silvercross_time::{Duration, Instant};

/// How long an upstream counts as warming up after the end of an evacuation, whatever it reports.
const EVACUATION_WARMUP: Duration = Duration::from_secs(1);
/// Admission closes before the end of the drain time-out, by a tenth of the time-out but at most this.
const MAX_DRAIN_MARGIN: Duration = Duration::from_millis(250);

/// Limits a span: neither negative nor so long that sums overflow.
fn clamp_span(span: Duration) -> Duration {
    span.clamp(Duration::ZERO, MAX_SPAN)
}

impl AdmissionController {
    /// Processes a heartbeat that reports the upstream as ready. A new id is a new incarnation: requests pending for the old
    /// one are rejected. Heartbeats of an incarnation that signed off or was replaced are ignored.
    pub fn heartbeat(&mut self, now: Instant, report: UpstreamReport, warmup_left: Duration) {
        let now = self.advance_time(now);
        if self.ended_incarnations.contains(&report.id) {
            return self.tick(now);
        }
        if self.is_upstream(&report.id) {
            self.continue_incarnation(now, &report);
        } else {
            self.begin_incarnation(now);
        }
        self.report = Some(report);
        self.state = UpstreamState::Ready;
        self.warmup_ends.by_heartbeat = now + clamp_span(warmup_left);
        self.tick(now);
    }

    /// Processes a further heartbeat of the current incarnation.
    fn continue_incarnation(&mut self, now: Instant, report: &UpstreamReport) {
        if self.report.as_ref().is_some_and(|previous| previous.service != report.service) {
            self.reject_all(Rejection::WrongUpstream);
        }
        if let Some(drain) = &mut self.last_drain {
            drain.resumed_at.get_or_insert(now);
        }
    }

    /// Processes the first heartbeat of an incarnation: discards the state of the previous one.
    fn begin_incarnation(&mut self, now: Instant) {
        self.reject_all(Rejection::WrongUpstream);
        if let Some(id) = self.report.as_ref().map(|previous| previous.id.clone()) {
            self.remember_ended(id);
        }
        self.in_flight.begin_incarnation();
        self.last_drain = None;
        self.lowered_limit = None;
        self.service_time = None;
        self.pacer.reset(now);
        // The warm-up is only as long as the upstream reports: a warm one is not paced because this process has restarted.
        self.warmup_ends = WarmupEnds::NONE;
    }

    /// Records that the upstream's drain is acknowledged now: requests are admitted for the drain time-out less a margin.
    /// A repeated drain does not extend this, unless the upstream was ready for at least the time-out in between.
    pub fn begin_drain(&mut self, now: Instant, id: &str) {
        let now = self.advance_time(now);
        if self.is_upstream(id) && matches!(self.state, UpstreamState::Ready | UpstreamState::Silent) {
            let timeout = clamp_span(self.settings.drain_timeout);
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

    /// The upstream has signed off: nothing more is admitted to this incarnation.
    pub fn signed_off(&mut self, now: Instant, id: &str) {
        let now = self.advance_time(now);
        if self.is_upstream(id) {
            self.state = UpstreamState::SignedOff;
            self.remember_ended(id.to_owned());
        }
        self.tick(now);
    }

    /// The upstream's heartbeats stopped or it refused a connection: nothing is admitted until the next heartbeat.
    pub fn set_silent(&mut self, now: Instant) {
        let now = self.advance_time(now);
        if self.state != UpstreamState::SignedOff {
            self.state = UpstreamState::Silent;
        }
        self.tick(now);
    }

    /// Replaces the settings. A drain that is already acknowledged keeps its end time.
    pub fn set_settings(&mut self, now: Instant, settings: AdmissionSettings) {
        let now = self.advance_time(now);
        self.settings = settings;
        self.pacer.set_rate(&self.settings, &self.limits);
        self.tick(now);
    }

    /// Replaces the limits of the upstream's service.
    pub fn set_limits(&mut self, now: Instant, limits: UpstreamLimits) {
        let now = self.advance_time(now);
        self.limits = limits;
        self.pacer.set_rate(&self.settings, &self.limits);
        self.tick(now);
    }

    /// Starts or ends the evacuation of the upstream's zone. After the end, the upstream counts as warming up for the
    /// service's `warmup_span`, unless a later heartbeat reports otherwise.
    pub fn set_evacuated(&mut self, now: Instant, is_evacuated: bool) {
        let now = self.advance_time(now);
        if self.is_evacuated && !is_evacuated {
            let ends = &mut self.warmup_ends;
            ends.by_heartbeat = ends.by_heartbeat.max(now + clamp_span(self.limits.warmup_span));
            ends.by_evacuation = ends.by_evacuation.max(now + EVACUATION_WARMUP);
        }
        self.is_evacuated = is_evacuated;
        self.tick(now);
    }

    /// Records the remaining warm-up time from a health response of the upstream.
    pub fn set_warmup_left(&mut self, now: Instant, left: Duration) {
        let now = self.advance_time(now);
        self.warmup_ends.by_health = now + clamp_span(left);
        self.tick(now);
    }

    fn remember_ended(&mut self, id: String) {
        if self.ended_incarnations.contains(&id) {
            return;
        }
        if self.ended_incarnations.len() >= MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
        self.ended_incarnations.push_back(id);
    }
}
