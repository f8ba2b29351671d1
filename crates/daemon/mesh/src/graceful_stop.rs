//! Decides the phases of a graceful stop, with time as an argument; `runtime.rs` carries them out, and
//! `client_listener/route.rs` rejects requests that arrive too late.
use silvercross_time::{Duration, Instant};

/// Number of consecutive "not ready" replies after which the platform sends no new work.
const NOT_READY_REPLIES_NEEDED: u32 = 2;
/// The platform probes once a second: probes closer together than this count as one.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the platform counts as informed, even without probes.
const PLATFORM_INFORMED_AFTER: Duration = Duration::from_millis(2_200);
/// Time in which requests that the platform sent before it was informed have arrived.
const LATE_ARRIVALS_WAIT: Duration = Duration::from_millis(200);
/// Time without open requests after which the process ends.
const IDLE_BEFORE_END: Duration = Duration::from_millis(250);
/// Time after the signal in which every request is accepted. A later request is accepted only if its timeout ends by
/// [`GracefulStop::answer_by`], so that it is certain to be answered.
const UNCONDITIONAL_ACCEPT_SPAN: Duration = Duration::from_millis(2_800);
/// The process ends this long before its grace period does.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// All open requests are answered this long before the process ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// A running process is awake at least this often. One that was not had been frozen, and may have been signalled right after
/// it was last awake.
const MAX_AWAKE_INTERVAL: Duration = Duration::from_secs(1);

/// A phase of the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The platform may still send work: all requests are served.
    Serve,
    /// The platform sends no more work: idle connections are closed.
    CloseIdle,
    /// No more requests are accepted, and the process ends once none is open.
    Shut,
}

/// The state of a process that is stopping.
#[derive(Debug)]
pub(crate) struct GracefulStop {
    from: Instant,
    end_by: Instant,
    not_ready_replies: u32,
    last_reply: Option<Instant>,
    idle_since: Option<Instant>,
}

impl GracefulStop {
    /// The process received the signal at `notified_at`, was last awake before that at `last_awake`, and is killed after `grace`.
    pub(crate) fn new(last_awake: Instant, notified_at: Instant, grace: Duration) -> Self {
        let from = if notified_at - last_awake > MAX_AWAKE_INTERVAL { last_awake } else { notified_at };
        let end_by = from + (grace - EXIT_MARGIN).max(Duration::ZERO);
        GracefulStop { from, end_by, not_ready_replies: 0, last_reply: None, idle_since: None }
    }

    /// The deadline for answers to all open and later requests.
    pub(crate) fn answer_by(&self) -> Instant {
        (self.end_by - ANSWER_MARGIN).max(self.from)
    }

    /// Whether a request that arrives now with this timeout is accepted. Otherwise it is rejected before any attempt starts: if
    /// accepted, it could be abandoned while an upstream processes it.
    pub(crate) fn accepts_request(&self, now: Instant, request_timeout: Duration) -> bool {
        let unconditional_span = UNCONDITIONAL_ACCEPT_SPAN.min((self.end_by - self.from) / 2);
        now < self.from + unconditional_span || now.saturating_add(request_timeout) <= self.answer_by()
    }

    /// The deadline of the process, whatever is still open.
    pub(crate) fn end_by(&self) -> Instant {
        self.end_by
    }

    /// Records that a probe of the platform was answered "not ready".
    pub(crate) fn not_ready_reply(&mut self, now: Instant) {
        let is_new = self.last_reply.is_none_or(|at| now - at >= MIN_PROBE_INTERVAL);
        if self.not_ready_replies < NOT_READY_REPLIES_NEEDED && is_new {
            self.not_ready_replies += 1;
            self.last_reply = Some(now);
        }
    }

    /// The current phase; `is_busy`: whether requests are open.
    pub(crate) fn phase(&mut self, now: Instant, is_busy: bool) -> Phase {
        if now >= self.end_by {
            return Phase::Shut;
        }
        let informed_at = self.from + PLATFORM_INFORMED_AFTER.min((self.end_by - self.from) / 2);
        let was_answered = self.last_reply.filter(|_| self.not_ready_replies >= NOT_READY_REPLIES_NEEDED);
        if now < was_answered.map_or(informed_at, |at| (at + LATE_ARRIVALS_WAIT).min(informed_at)) {
            return Phase::Serve;
        }
        self.idle_since = (!is_busy).then(|| self.idle_since.unwrap_or(now));
        match self.idle_since {
            Some(since) if now - since >= IDLE_BEFORE_END => Phase::Shut,
            _ => Phase::CloseIdle,
        }
    }
}

#[cfg(test)]
mod tests;
