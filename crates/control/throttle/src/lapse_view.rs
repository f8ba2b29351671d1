//! What a node knows of all lapses: how far it throttles each member, and what it reports to the operator.

use std::collections::BTreeMap;

use silvercross_time::{Duration, Instant};

use crate::lapse::LapseState;
use crate::member::{Member, MAX_MEMBERS};
use crate::mutation::Mutation;
use crate::throttle_step::{throttle_step, ThrottleStep};

/// A lapse went on: one line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LapseTransition {
    /// What was known before.
    pub from: LapseState,
    /// What is known now.
    pub to: LapseState,
}

/// One member on one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// How far it is throttled here.
    pub throttle_step: ThrottleStep,
    /// The version that this is of: the item's, or the lapse's where that came ahead of it. Steps rise within one.
    pub version: u64,
    /// Whether its lapse has begun, as far as is known here.
    pub begun: bool,
    /// For how long this node has known that; `None` where it never heard of a lapse.
    pub age: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KnownLapse {
    state: LapseState,
    since: Instant,
}

/// The lapses as one node follows them. At most [`MAX_MEMBERS`]; what goes beyond is not followed, and its member is not
/// throttled here.
#[derive(Clone, Debug, Default)]
pub struct LapseView {
    lapses: BTreeMap<String, KnownLapse>,
    mutation: Option<Mutation>,
}

impl LapseView {
    /// Nothing is known yet: nobody is throttled.
    pub fn new() -> LapseView {
        LapseView::default()
    }

    /// Change a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Take a member's lapse as it was received. Copies may come late and in any order: one that is no newer changes
    /// nothing.
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

    /// Forget the members that are no longer in force.
    pub fn retain_members(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.lapses.retain(|name, _| is_in_force(name));
    }

    /// How far a member is throttled here, and for how long so.
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

    /// How many of these members are at which tenth of their schedule: 0 is not throttled, 10 is throttled in full, and a
    /// part of a tenth counts as a whole one. Eleven numbers, however many members and steps there are.
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
