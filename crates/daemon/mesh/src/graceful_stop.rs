//! What a process that was told to end does when. Decides, with time as an argument; `runtime.rs` asks and acts, and
//! `client_listener/route.rs` rejects the requests that come too late.
use silvercross_time::{Duration, Instant};

/// The platform gives no new work once it was told "not ready" so many times in a row.
const NOT_READY_REPLIES_NEEDED: u32 = 2;
/// It asks once a second: questions that come closer together than this count as one.
const MIN_QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// Whether it asks or not, by then it knows.
const PLATFORM_KNOWS_AFTER: Duration = Duration::from_millis(2_200);
/// Requests that the platform sent here before it knew have arrived after this.
const LATE_ARRIVALS_WAIT: Duration = Duration::from_millis(200);
/// Nothing is open for so long: the end.
const QUIET_BEFORE_END: Duration = Duration::from_millis(250);
/// For so long after the signal every request is accepted. A later one has to be certain of its answer: it is accepted only if
/// its timeout ends before all that is open is answered.
const UNCONDITIONAL_ACCEPT_SPAN: Duration = Duration::from_millis(2_800);
/// The process is gone so long before its grace ends.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// All that is open is answered so long before the process is gone.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// A running process is awake at least this often. One that was not had been frozen, and may have been told to end right after
/// it was last awake.
const MAX_AWAKE_INTERVAL: Duration = Duration::from_secs(1);

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The platform may still send work: all is served.
    Serve,
    /// It sends none: connections between two requests end.
    CloseIdle,
    /// Nobody gets in any more, and the process ends once nothing is open.
    Shut,
}

/// A process on its way out.
#[derive(Debug)]
pub(crate) struct GracefulStop {
    from: Instant,
    end_by: Instant,
    not_ready_replies: u32,
    last_reply: Option<Instant>,
    quiet_since: Option<Instant>,
}

impl GracefulStop {
    /// It was told so at `notified_at`, was awake at `last_awake` before, and is killed after `grace`.
    pub(crate) fn new(last_awake: Instant, notified_at: Instant, grace: Duration) -> Self {
        let from = if notified_at - last_awake > MAX_AWAKE_INTERVAL { last_awake } else { notified_at };
        let end_by = from + (grace - EXIT_MARGIN).max(Duration::ZERO);
        GracefulStop { from, end_by, not_ready_replies: 0, last_reply: None, quiet_since: None }
    }

    /// All that is open, and all that still comes, is answered by then.
    pub(crate) fn answer_by(&self) -> Instant {
        (self.end_by - ANSWER_MARGIN).max(self.from)
    }

    /// Whether a request that comes now and may take so long is accepted. One that is not is rejected at once, before anything
    /// runs: accepted, it could be given up with an upstream at work on it.
    pub(crate) fn accepts_request(&self, now: Instant, request_timeout: Duration) -> bool {
        let unconditional_span = UNCONDITIONAL_ACCEPT_SPAN.min((self.end_by - self.from) / 2);
        now < self.from + unconditional_span || now.saturating_add(request_timeout) <= self.answer_by()
    }

    /// The process ends by then, whatever is open.
    pub(crate) fn end_by(&self) -> Instant {
        self.end_by
    }

    /// The platform asked and was told "not ready".
    pub(crate) fn not_ready_reply(&mut self, now: Instant) {
        let is_new = self.last_reply.is_none_or(|at| now - at >= MIN_QUESTION_INTERVAL);
        if self.not_ready_replies < NOT_READY_REPLIES_NEEDED && is_new {
            self.not_ready_replies += 1;
            self.last_reply = Some(now);
        }
    }

    /// What is to be done, where something is open or not.
    pub(crate) fn phase(&mut self, now: Instant, is_busy: bool) -> Phase {
        if now >= self.end_by {
            return Phase::Shut;
        }
        let knows_at = self.from + PLATFORM_KNOWS_AFTER.min((self.end_by - self.from) / 2);
        let was_answered = self.last_reply.filter(|_| self.not_ready_replies >= NOT_READY_REPLIES_NEEDED);
        if now < was_answered.map_or(knows_at, |at| (at + LATE_ARRIVALS_WAIT).min(knows_at)) {
            return Phase::Serve;
        }
        self.quiet_since = (!is_busy).then(|| self.quiet_since.unwrap_or(now));
        match self.quiet_since {
            Some(since) if now - since >= QUIET_BEFORE_END => Phase::Shut,
            _ => Phase::CloseIdle,
        }
    }
}

#[cfg(test)]
mod tests;
