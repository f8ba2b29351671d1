//! Graceful shutdown: until when a stopping process accepts connections, answers requests and stays alive.
use silvercross_core::interface::Micros;

/// Cap on the longest deadline that a stop waits for. The platform kills the process 0.7 s after the longest deadline, of
/// which at most this much counts, has passed since the stop signal.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Requests are answered until this long after the longest deadline. Connections arrive for up to 0.4 s after the signal, and
/// a request of the last of them still has its whole deadline.
const ANSWER_MARGIN: Micros = 450_000;
/// The process ends this long after the longest deadline, whatever is unfinished.
const END_MARGIN: Micros = 600_000;
/// The listener stays open for this long: new connections arrive for up to 0.4 s after the signal, and there is a margin.
const MIN_LISTEN_TIME: Micros = 900_000;
/// The process stays alive for this long after the last new connection or the last answer.
const QUIET_PERIOD: Micros = 300_000;

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    began: Micros,
    last_activity: Micros,
    longest_deadline: Micros,
}

impl Stop {
    /// Begins a shutdown now; `longest_deadline` is the longest deadline of any class.
    pub fn begin(now: Micros, longest_deadline: Micros) -> Self {
        Stop { began: now, last_activity: now, longest_deadline: longest_deadline.min(MAX_COUNTED_DEADLINE) }
    }

    /// Time by which all accepted requests have to be answered.
    pub fn answer_by(&self) -> Micros {
        self.began + self.longest_deadline + ANSWER_MARGIN
    }

    fn end_by(&self) -> Micros {
        (self.began + self.longest_deadline + END_MARGIN).max(self.began + MIN_LISTEN_TIME)
    }

    /// Records a new connection or a sent answer.
    pub fn note_activity(&mut self, now: Micros) {
        self.last_activity = now;
    }

    /// Whether the process may end, with `busy` connections that still have something unfinished.
    pub fn may_end(&self, now: Micros, busy: usize) -> bool {
        let quiet =
            busy == 0 && now >= self.began + MIN_LISTEN_TIME && now >= self.last_activity + QUIET_PERIOD;
        quiet || self.is_due(now)
    }

    /// Whether the process has to end now, whatever is unfinished.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.end_by()
    }

    /// Time of the next check.
    pub fn look_again(&self, now: Micros) -> Micros {
        // Always in the future: the loop checks whether it may end only when no timer is due.
        (now + QUIET_PERIOD / 3).min(self.end_by()).max(now + 1_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[test]
    fn it_listens_while_connections_may_still_come() {
        let mut stop = Stop::begin(0, 6_000 * MS);
        assert!(!stop.may_end(400 * MS, 0));
        assert!(stop.may_end(900 * MS, 0));
        stop.note_activity(850 * MS);
        assert!(!stop.may_end(1_100 * MS, 0));
        assert!(stop.may_end(1_150 * MS, 0));
    }

    #[test]
    fn it_finishes_what_it_has_but_ends_before_it_is_killed() {
        // The platform kills 0.7 s after the longest deadline, of which at most 3 s count.
        for (longest_deadline, killed) in [(6_000 * MS, 3_700 * MS), (2_500 * MS, 3_200 * MS)] {
            let stop = Stop::begin(0, longest_deadline);
            assert!(stop.answer_by() + 100 * MS < killed && !stop.may_end(stop.answer_by() + 100 * MS, 1));
            assert!(stop.may_end(killed - 100 * MS, 1));
        }
        let stop = Stop::begin(0, 6_000 * MS);
        for now in [0, 3_599 * MS, 3_600 * MS, 9_000 * MS] {
            assert!(stop.look_again(now) > now, "a timer that is always due would keep the loop from ending");
        }
    }
}
