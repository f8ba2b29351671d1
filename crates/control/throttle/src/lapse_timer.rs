//! What the owner of a member's key has to do: which change to propose next, and when to look again.

use std::collections::{BTreeMap, BTreeSet};

use silvercross_control_store::Epoch;
use silvercross_time::{Duration, Instant};

use crate::lapse::{LapseChange, LapseState};
use crate::lapse_step::{decide_step, StepContext};
use crate::member::{Member, MAX_MEMBERS};
use crate::mutation::Mutation;
use crate::timer_decision::{TimerDecision, WaitingFor};
use crate::trusted_clock::TrustedClock;

/// A change that was proposed and does not show is proposed again after this long.
pub const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// So early that every span since has passed, without overflow of what is added to it.
const LONG_AGO: Instant = Instant::from_micros(i64::MIN / 2);

#[derive(Clone, Debug)]
struct Proposed {
    change: LapseChange,
    at: Instant,
}

/// What the timer remembers of a key.
#[derive(Clone, Debug)]
struct WatchedKey {
    epoch: Epoch,
    state: LapseState,
    /// When this state was first seen under this epoch.
    since: Instant,
    proposed: Option<Proposed>,
    next_deadline: Option<Instant>,
    /// Steps seen under this epoch; only a mutation counts by it.
    steps_seen: u32,
}

/// The owner's memory of the lapses it takes on. At most [`MAX_MEMBERS`] keys; beyond it a key is not watched (its member
/// stays as it is), which [`TimerDecision::waiting_for`] shows as waiting for its item.
///
/// The time of a lapse is by the time of day that [`TrustedClock`] gives. From then on each step follows a part of the
/// ramp after the owner saw the one before, on its monotonic clock. A new owner, or the same one under a new epoch or after
/// a restart, begins the time of the step in force anew: a step may last longer for that, at most by its own length for
/// each change of owner, and never less.
#[derive(Clone, Debug, Default)]
pub struct LapseTimer {
    watched: BTreeMap<String, WatchedKey>,
    deadlines: BTreeSet<(Instant, String)>,
    mutation: Option<Mutation>,
}

impl LapseTimer {
    /// A timer that watches nothing yet.
    pub fn new() -> LapseTimer {
        LapseTimer::default()
    }

    /// Change a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutation == Some(mutation)
    }

    /// What to do for the member `name`, of whose key this node is the owner under `epoch`. `state` is the key's committed
    /// content, `member` the item in force, `clock` has been read just now. To be called when any of them changes, when
    /// [`LapseTimer::due`] names the key, and after a rejection; calling it more often does no harm.
    pub fn decide(
        &mut self,
        now: Instant,
        name: &str,
        epoch: Epoch,
        state: &LapseState,
        member: Option<&Member>,
        clock: &TrustedClock,
    ) -> TimerDecision {
        let Some(member) = member else {
            self.forget(name);
            return TimerDecision::rest(WaitingFor::Nothing);
        };
        if !self.watched.contains_key(name) && self.watched.len() >= MAX_MEMBERS {
            return TimerDecision::rest(WaitingFor::Item);
        }
        let before = self.remove(name).filter(|key| key.epoch == epoch);
        let mut key = self.observed(before, now, epoch, state);
        let steps_seen = self.has_mutation(Mutation::StepLostAtHandOver).then_some(key.steps_seen);
        let context = StepContext { now, state, member, clock, since: key.since, steps_seen };
        let decision = key.pace(now, decide_step(&context));
        key.next_deadline = decision.next_deadline;
        if let Some(at) = decision.next_deadline {
            self.deadlines.insert((at, name.to_string()));
        }
        self.watched.insert(name.to_string(), key);
        decision
    }

    /// What is remembered of a key, brought up to the state that is seen now.
    fn observed(
        &self,
        before: Option<WatchedKey>,
        now: Instant,
        epoch: Epoch,
        state: &LapseState,
    ) -> WatchedKey {
        let Some(mut key) = before else {
            let is_doubled = self.has_mutation(Mutation::StepDoubledAtHandOver);
            return WatchedKey {
                epoch,
                state: state.clone(),
                since: if is_doubled { LONG_AGO } else { now },
                proposed: None,
                next_deadline: None,
                steps_seen: 0,
            };
        };
        if key.state != *state {
            key.steps_seen += u32::from(key.state.step < state.step);
            (key.state, key.since, key.proposed) = (state.clone(), now, None);
        }
        key
    }

    fn remove(&mut self, name: &str) -> Option<WatchedKey> {
        let key = self.watched.remove(name)?;
        if let Some(at) = key.next_deadline {
            self.deadlines.remove(&(at, name.to_string()));
        }
        Some(key)
    }

    /// The key is another's now, or its member is gone.
    pub fn forget(&mut self, name: &str) {
        self.remove(name);
    }

    /// When to ask for [`LapseTimer::due`] next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Up to `max` members to decide for now, the longest due first. Each stays due until decided for or forgotten.
    pub fn due(&self, now: Instant, max: usize) -> Vec<String> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.take(max).map(|(_, name)| name.clone()).collect()
    }

    /// How many members are watched.
    pub fn len(&self) -> usize {
        self.watched.len()
    }

    /// Whether none is watched.
    pub fn is_empty(&self) -> bool {
        self.watched.is_empty()
    }
}

impl WatchedKey {
    /// The decision with what was proposed already left out until it is time to propose it again.
    fn pace(&mut self, now: Instant, mut decision: TimerDecision) -> TimerDecision {
        let Some(change) = decision.proposal.take() else { return decision };
        // A due time that was proposed is proposed again as it was, however late it is by now.
        let is_same = |proposed: &Proposed| {
            std::mem::discriminant(&proposed.change) == std::mem::discriminant(&change)
                && proposed.change.version() == change.version()
        };
        let proposed = self.proposed.take().filter(is_same);
        let Proposed { change, at } = proposed.unwrap_or(Proposed { change, at: LONG_AGO });
        let retry_at = at.saturating_add(PROPOSAL_RETRY_INTERVAL);
        if now < retry_at {
            decision.next_deadline = Some(retry_at);
            self.proposed = Some(Proposed { change, at });
        } else {
            decision.next_deadline = Some(now.saturating_add(PROPOSAL_RETRY_INTERVAL));
            self.proposed = Some(Proposed { change: change.clone(), at: now });
            decision.proposal = Some(change);
        }
        decision
    }
}
