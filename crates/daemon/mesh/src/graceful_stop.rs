//! What a process that was told to end does when. Decides, with time as an argument; `main.rs` asks and acts.

/// The platform gives no new work once it was told no, or nothing, so many times in a row.
const MISSES: u32 = 2;
/// It asks once a second: calls that come closer together than this count as one, in microseconds.
const APART: i64 = 500_000;
/// Whether it asks or not, by then it knows.
const KNOWN: i64 = 2_200_000;
/// Who was sent here before it knew has come after this.
const COMING: i64 = 200_000;
/// Nothing is open for so long: the end.
const QUIET: i64 = 250_000;
/// The process is gone so long before its grace ends,
const SPARE: i64 = 500_000;
/// and has answered all that is open so long before that.
const ANSWERED: i64 = 500_000;
/// A process looks around more often than this. One that did not stood still, and may have been told to end right after its
/// last look.
const STILL: i64 = 1_000_000;

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The platform may still send work: all is served.
    Serve,
    /// It sends none: connections between two requests end.
    EndIdle,
    /// Nobody gets in any more, and the process ends once nothing is open.
    Shut,
}

/// A process on its way out.
#[derive(Debug)]
pub struct GracefulStop {
    from: i64,
    last: i64,
    denied: u32,
    denied_at: Option<i64>,
    quiet: Option<i64>,
}

impl GracefulStop {
    /// It heard so at `heard`, and had looked around at `looked` before; it is killed after `grace`.
    pub fn new(looked: i64, heard: i64, grace: i64) -> Self {
        let from = if heard - looked > STILL { looked } else { heard };
        let last = from + (grace - SPARE).max(0);
        GracefulStop { from, last, denied: 0, denied_at: None, quiet: None }
    }

    /// All that is open, and all that still comes, is answered by then.
    pub fn answer_by(&self) -> i64 {
        (self.last - ANSWERED).max(self.from)
    }

    /// The process ends by then, whatever is open.
    pub fn last(&self) -> i64 {
        self.last
    }

    /// The platform asked and was told no.
    pub fn not_ready_reply(&mut self, now: i64) {
        if self.denied < MISSES && self.denied_at.is_none_or(|at| now - at >= APART) {
            self.denied += 1;
            self.denied_at = Some(now);
        }
    }

    /// What is to be done, where something is open or not.
    pub fn phase(&mut self, now: i64, busy: bool) -> Phase {
        if now >= self.last {
            return Phase::Shut;
        }
        let known = self.from + KNOWN.min((self.last - self.from) / 2);
        let told = self.denied_at.filter(|_| self.denied >= MISSES).map(|at| at + COMING);
        if now < told.map_or(known, |told| told.min(known)) {
            return Phase::Serve;
        }
        self.quiet = (!busy).then(|| self.quiet.unwrap_or(now));
        match self.quiet {
            Some(since) if now - since >= QUIET => Phase::Shut,
            _ => Phase::EndIdle,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A look so often, as `main.rs` has it, and in a process that is not told to end.
    const LOOK: i64 = 50_000;
    const WATCH: i64 = 300_000;

    /// Stood still when; asked when; busy until; shut from and to.
    type Case<'c> = ((i64, i64), &'c [i64], i64, i64, i64);

    /// Tell a process to end at 0 with a grace of 6 s: it stands still within `still`, is asked at `asked`, and has something open
    /// until `open`. When it shuts.
    fn shuts(still: (i64, i64), asked: &[i64], open: i64) -> i64 {
        let awake = |t: i64| if t >= still.0 && t < still.1 { still.1 } else { t };
        let looked = (1..).map(|n| -n * WATCH).find(|t| awake(*t) == *t).expect("once awake");
        let heard = awake(0);
        let mut graceful_stop = GracefulStop::new(looked, heard, 6_000_000);
        let (mut now, mut asked) = (heard, asked.iter().copied().filter(|a| *a >= heard).peekable());
        loop {
            now = awake(now + LOOK);
            while asked.next_if(|a| *a <= now).is_some() {
                graceful_stop.not_ready_reply(now);
            }
            if graceful_stop.phase(now, now < open) == Phase::Shut {
                return now;
            }
        }
    }

    #[test]
    fn it_is_gone_within_the_grace_that_the_platform_counts() {
        const S: i64 = 1_000_000;
        let never = (S * 60, S * 60);
        let cases: [Case; 11] = [
            (never, &[], 0, 2 * S, 5 * S / 2),
            // It is asked twice: it goes as soon as the platform knows.
            (never, &[S / 10, S + S / 10], 0, S + S / 2, 8 * S / 5),
            // Once, or many times in a moment, is not twice.
            (never, &[S / 10], 0, 2 * S, 5 * S / 2),
            (never, &[S / 10, S / 5, 2 * S / 5], 0, 2 * S, 5 * S / 2),
            // What is open is waited for, within bounds.
            (never, &[], 4 * S, 4 * S, 9 * S / 2),
            (never, &[], 60 * S, 5 * S, 6 * S),
            // It stood still as it was told, and then had something to do.
            ((-S, 4 * S), &[], 60 * S, 4 * S, 6 * S),
            ((-S, 4 * S), &[], 0, 4 * S, 9 * S / 2),
            ((-S / 2, 5 * S), &[], 60 * S, 5 * S, 6 * S),
            // It stands still meanwhile.
            ((S, 5 * S), &[], 60 * S, 5 * S, 6 * S),
            ((S, 5 * S), &[S / 2], 0, 5 * S, 6 * S),
        ];
        for (n, (still, asked, open, from, to)) in cases.into_iter().enumerate() {
            let at = shuts(still, asked, open);
            assert!((from..to).contains(&at), "case {n}: shut at {at}");
        }
    }

    #[test]
    fn a_short_grace_is_kept_too() {
        for grace in [0, 400_000, 600_000, 1_500_000] {
            let mut graceful_stop = GracefulStop::new(0, 0, grace);
            assert!(graceful_stop.answer_by() <= graceful_stop.last() && graceful_stop.last() <= grace);
            assert_eq!(graceful_stop.phase(grace, true), Phase::Shut);
        }
    }
}
