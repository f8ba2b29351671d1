//! Timer of a lapse key's owner: which change to propose next, and when to decide again.

use std::collections::{BTreeMap, BTreeSet};

use silvercross_control_store::Epoch;
use silvercross_time::{Duration, Instant};

use crate::lapse::{LapseChange, LapseState};
use crate::lapse_step::{decide_step, StepContext};
use crate::member::{Member, MAX_MEMBERS};
use crate::mutation::Mutation;
use crate::timer_decision::{TimerDecision, WaitingFor};
use crate::trusted_clock::TrustedClock;

/// Time after which a proposal that did not take effect is repeated.
pub const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Earlier than any real time, so that every interval since has passed; far enough from the type's minimum to compute
/// with.
const DISTANT_PAST: Instant = Instant::from_micros(i64::MIN / 2);

#[derive(Clone, Debug)]
struct Proposed {
    change: LapseChange,
    at: Instant,
}

/// The timer's state for one key.
#[derive(Clone, Debug)]
struct WatchedKey {
    epoch: Epoch,
    state: LapseState,
    /// When this state was first seen under this epoch.
    since: Instant,
    proposed: Option<Proposed>,
    next_deadline: Option<Instant>,
    /// Steps seen under this epoch; used only by a mutation.
    steps_seen: u32,
}

/// Decides the changes of the lapses whose keys this node owns. Watches at most [`MAX_MEMBERS`] keys; above that a key
/// is not watched (its member stays as it is), and [`TimerDecision::waiting_for`] is [`WaitingFor::Item`].
///
/// A lapse begins at a wall clock time of [`TrustedClock`]. Each further step follows one step length (the ramp divided
/// by the number of steps) after the owner saw the previous one, on its monotonic clock. A new owner, or the same
/// owner under a new epoch or after a restart, restarts the time of the current step: each change of owner lengthens
/// a step by at most its own length and never shortens it.
#[derive(Clone, Debug, Default)]
pub struct LapseTimer {
    watched: BTreeMap<String, WatchedKey>,
    deadlines: BTreeSet<(Instant, String)>,
    mutation: Option<Mutation>,
}

impl LapseTimer {
    /// Creates a timer that watches no keys.
    pub fn new() -> LapseTimer {
        LapseTimer::default()
    }

    /// Breaks one rule.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutation == Some(mutation)
    }

    /// Decides for the member `name`, whose key this node owns under `epoch`. `state` is the key's committed state,
    /// `member` the current item; `clock` must have a reading of this moment. Call it when any of them changes, when
    /// [`LapseTimer::due`] returns the member, and after a rejection; extra calls are harmless.
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
        let mut key = self.update_key(before, now, epoch, state);
        let steps_seen = self.has_mutation(Mutation::StepLostAtHandOver).then_some(key.steps_seen);
        let context = StepContext { now, state, member, clock, since: key.since, steps_seen };
        let decision = key.suppress_repeat(now, decide_step(&context));
        key.next_deadline = decision.next_deadline;
        if let Some(at) = decision.next_deadline {
            self.deadlines.insert((at, name.to_string()));
        }
        self.watched.insert(name.to_string(), key);
        decision
    }

    /// Updates a key's record with the state seen now, or creates one.
    fn update_key(
        &self,
        before: Option<WatchedKey>,
        now: Instant,
        epoch: Epoch,
        state: &LapseState,
    ) -> WatchedKey {
        let Some(mut key) = before else {
            let steps_at_once = self.has_mutation(Mutation::StepDoubledAtHandOver);
            return WatchedKey {
                epoch,
                state: state.clone(),
                since: if steps_at_once { DISTANT_PAST } else { now },
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

    /// Stops watching a key, because another node owns it now or its member was removed.
    pub fn forget(&mut self, name: &str) {
        self.remove(name);
    }

    /// When to call [`LapseTimer::due`] next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Up to `max` members whose deadline has passed, earliest first. Each stays due until it is decided or forgotten.
    pub fn due(&self, now: Instant, max: usize) -> Vec<String> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.take(max).map(|(_, name)| name.clone()).collect()
    }

    /// Number of watched members.
    pub fn len(&self) -> usize {
        self.watched.len()
    }

    /// Whether no member is watched.
    pub fn is_empty(&self) -> bool {
        self.watched.is_empty()
    }
}

impl WatchedKey {
    /// Removes a proposal that was made already from the decision until it is time to repeat it.
    fn suppress_repeat(&mut self, now: Instant, mut decision: TimerDecision) -> TimerDecision {
        let Some(change) = decision.proposal.take() else { return decision };
        // Repeats a proposed due time unchanged: one computed anew would be later.
        let is_same = |proposed: &Proposed| {
            std::mem::discriminant(&proposed.change) == std::mem::discriminant(&change)
                && proposed.change.version() == change.version()
        };
        let proposed = self.proposed.take().filter(is_same);
        let Proposed { change, at } = proposed.unwrap_or(Proposed { change, at: DISTANT_PAST });
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
