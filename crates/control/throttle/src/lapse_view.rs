//! A node's view of all lapses: the throttle step of each member, and what is reported to operators.

use std::collections::BTreeMap;

use silvercross_time::{Duration, Instant};

use crate::lapse::LapseState;
use crate::member::{Member, MAX_MEMBERS};
use crate::mutation::Mutation;
use crate::throttle_step::{throttle_step, ThrottleStep};

/// A change of a lapse, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LapseTransition {
    /// The state known before.
    pub from: LapseState,
    /// The state known now.
    pub to: LapseState,
}

/// Status of one member on one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The step at which this node throttles the member.
    pub throttle_step: ThrottleStep,
    /// The version that the step belongs to: that of the item, or of the lapse if that is newer. Within a version steps
    /// only increase.
    pub version: u64,
    /// Whether the lapse has begun, as far as this node knows.
    pub begun: bool,
    /// Time since this node learned the current state of the lapse; `None` if it knows no lapse.
    pub age: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KnownLapse {
    state: LapseState,
    since: Instant,
}

/// The lapses known to one node, at most [`MAX_MEMBERS`]. Above that a lapse is not followed, and this node does not
/// throttle its member.
#[derive(Clone, Debug, Default)]
pub struct LapseView {
    lapses: BTreeMap<String, KnownLapse>,
    mutation: Option<Mutation>,
}

impl LapseView {
    /// Creates a view without lapses: no member is throttled.
    pub fn new() -> LapseView {
        LapseView::default()
    }

    /// Breaks one rule.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Processes a received copy of a member's lapse. Copies may arrive late and in any order; one that is not newer
    /// changes nothing.
    pub fn observe(&mut self, now: Instant, name: &str, lapse: &LapseState) -> Option<LapseTransition> {
        let has_room = self.lapses.len() < MAX_MEMBERS;
        let Some(known) = self.lapses.get_mut(name) else {
            if !has_room || *lapse == LapseState::default() {
                return None;
            }
            self.lapses.insert(name.to_string(), KnownLapse { state: lapse.clone(), since: now });
            return Some(LapseTransition { from: LapseState::default(), to: lapse.clone() });
        };
        if !lapse.is_newer_than(&known.state) {
            return None;
        }
        known.since = now;
        let from = std::mem::replace(&mut known.state, lapse.clone());
        Some(LapseTransition { from, to: lapse.clone() })
    }

    /// Removes the lapses of members that no longer exist.
    pub fn retain_members(&mut self, is_member: impl Fn(&str) -> bool) {
        self.lapses.retain(|name, _| is_member(name));
    }

    /// The member's status on this node.
    pub fn status(&self, now: Instant, member: &Member) -> MemberStatus {
        let Some(KnownLapse { state, since }) = self.lapses.get(&member.name) else {
            let throttle_step = throttle_step(member, &LapseState::default());
            return MemberStatus { throttle_step, version: member.version, begun: false, age: None };
        };
        let age = now.saturating_since(*since).max(Duration::ZERO);
        let begun = state.begun && state.version >= Some(member.version);
        let mut throttle_step = throttle_step(member, state);
        if begun && cfg!(feature = "mutants") && self.mutation == Some(Mutation::StepFromLocalTime) {
            let step_length = member.throttle.ramp / i64::from(throttle_step.total_steps.max(1));
            let steps = age / step_length.max(Duration::from_micros(1));
            throttle_step.step = u32::try_from(steps)
                .unwrap_or(u32::MAX)
                .saturating_add(throttle_step.step)
                .min(throttle_step.total_steps);
        }
        let version = state.version.map_or(member.version, |version| version.max(member.version));
        MemberStatus { throttle_step, version, begun, age: Some(age) }
    }

    /// Counts members by the tenth of their schedule, rounded up: index 0 is not throttled, index 10 is fully
    /// throttled.
    pub fn count_by_tenth<'a>(&self, members: impl Iterator<Item = &'a Member>) -> [u64; 11] {
        let mut counts = [0; 11];
        for member in members {
            let ThrottleStep { step, total_steps } = self.status(Instant::ZERO, member).throttle_step;
            let tenth = (u64::from(step) * 10).div_ceil(u64::from(total_steps.max(1))).min(10);
            counts[tenth as usize] += 1;
        }
        counts
    }
}
