//! Stop: what a planned restart owes its clients. The loop asks this file when to do what.
use silvercross_core::interface::Micros;

/// The platform kills no sooner than the longest deadline, or this where that is longer, and 0.7 s more after it asked.
const LONGEST: Micros = 3_000_000;
/// All is answered so long after the longest deadline: a request that came in the last 0.4 s has all of its time ...
const ANSWER_AFTER: Micros = 450_000;
/// ... and after this the process ends whatever is left.
const END_AFTER: Micros = 600_000;
/// New connections go on coming for up to 0.4 s; the listener stays for that long with a margin ...
const LISTEN_FOR: Micros = 900_000;
/// ... and for so long after the last one came or the last answer went out.
const QUIET: Micros = 300_000;

/// A stop that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    began: Micros,
    active: Micros,
    longest: Micros,
}

impl Stop {
    /// It begins now, where the longest deadline of a class is this.
    pub fn begin(now: Micros, longest: Micros) -> Self {
        Stop { began: now, active: now, longest: longest.min(LONGEST) }
    }

    /// By when all that was taken has to be answered.
    pub fn answer_by(&self) -> Micros {
        self.began + self.longest + ANSWER_AFTER
    }

    fn end_by(&self) -> Micros {
        (self.began + self.longest + END_AFTER).max(self.began + LISTEN_FOR)
    }

    /// A connection came, or an answer went out.
    pub fn note_activity(&mut self, now: Micros) {
        self.active = now;
    }

    /// Whether the process may end, with so many connections that are still in the middle of something.
    pub fn may_end(&self, now: Micros, busy: usize) -> bool {
        let quiet = busy == 0 && now >= self.began + LISTEN_FOR && now >= self.active + QUIET;
        quiet || self.is_due(now)
    }

    /// Whether it ends whatever is left.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.end_by()
    }

    /// When to ask again.
    pub fn look_again(&self, now: Micros) -> Micros {
        // Never at once: the loop asks whether it may end only when nothing is due.
        (now + QUIET / 3).min(self.end_by()).max(now + 1_000)
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
        // Killed 0.7 s after the longest deadline, of which no more than 3 s count.
        for (longest, killed) in [(6_000 * MS, 3_700 * MS), (2_500 * MS, 3_200 * MS)] {
            let stop = Stop::begin(0, longest);
            assert!(stop.answer_by() + 100 * MS < killed && !stop.may_end(stop.answer_by() + 100 * MS, 1));
            assert!(stop.may_end(killed - 100 * MS, 1));
        }
        let stop = Stop::begin(0, 6_000 * MS);
        for now in [0, 3_599 * MS, 3_600 * MS, 9_000 * MS] {
            assert!(stop.look_again(now) > now, "a timer that is always due would hold the loop");
        }
    }
}
