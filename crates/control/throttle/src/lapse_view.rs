//! What a node knows of all lapses: what it slows by, and what it tells the operator.

use std::collections::BTreeMap;

use silvercross_control_store::Micros;

use crate::item::{Member, MAX_MEMBERS};
use crate::lapse::{throttle_step, LapseState, ThrottleStep};
use crate::mutation::Mutation;

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
    /// How far it is slowed here.
    pub throttle_step: ThrottleStep,
    /// The edition that this is of: the item's, or the lapse's where that came ahead of it. Steps rise within one.
    pub version: u64,
    /// Whether its lapse has begun, as far as is known here.
    pub begun: bool,
    /// For how long this node has known that; `None` where it never heard of a lapse.
    pub age: Option<Micros>,
}

/// The lapses as one node follows them. At most [`MAX_MEMBERS`]; what goes beyond is not followed, and its member is not
/// slowed here.
#[derive(Clone, Debug, Default)]
pub struct LapseView {
    lapse_time: BTreeMap<String, (LapseState, Micros)>,
    mutant: Option<Mutation>,
}

impl LapseView {
    /// Nothing is known yet: nobody is slowed.
    pub fn new() -> LapseView {
        LapseView::default()
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutant: Mutation) {
        self.mutant = Some(mutant);
    }

    /// Take a member's lapse as it is told. Copies may come late and in any order: one that is no newer changes nothing.
    pub fn observe(&mut self, now: Micros, name: &str, lapse: &LapseState) -> Option<LapseTransition> {
        let room = self.lapse_time.len() < MAX_MEMBERS;
        let Some((known, since)) = self.lapse_time.get_mut(name) else {
            if !room || *lapse == LapseState::default() {
                return None;
            }
            self.lapse_time.insert(name.to_string(), (lapse.clone(), now));
            return Some(LapseTransition { from: LapseState::default(), to: lapse.clone() });
        };
        if lapse.rank() <= known.rank() {
            return None;
        }
        *since = now;
        let from = std::mem::replace(known, lapse.clone());
        Some(LapseTransition { from, to: lapse.clone() })
    }

    /// Leave out the members that no longer stand.
    pub fn retain_members(&mut self, stands: impl Fn(&str) -> bool) {
        self.lapse_time.retain(|name, _| stands(name));
    }

    /// How far a member is slowed here, and for how long so.
    pub fn status(&self, now: Micros, member: &Member) -> MemberStatus {
        let Some((lapse, since)) = self.lapse_time.get(&member.name) else {
            let throttle_step = throttle_step(member, &LapseState::default());
            return MemberStatus { throttle_step, version: member.version, begun: false, age: None };
        };
        let age = now.saturating_sub(*since).max(0);
        let mut throttle_step = throttle_step(member, lapse);
        let local = cfg!(feature = "mutants") && self.mutant == Some(Mutation::StepFromLocalTime);
        if local && lapse.begun && lapse.version >= Some(member.version) {
            let steps = age / (member.throttle.ramp / i64::from(throttle_step.total_steps.max(1))).max(1);
            throttle_step.step = u32::try_from(steps)
                .unwrap_or(u32::MAX)
                .saturating_add(throttle_step.step)
                .min(throttle_step.total_steps);
        }
        let begun = lapse.begun && lapse.version >= Some(member.version);
        let version = lapse.version.map_or(member.version, |e| e.max(member.version));
        MemberStatus { throttle_step, version, begun, age: Some(age) }
    }

    /// How many of these members stand at which tenth of their slowing: 0 is not slowed, 10 is slowed in full, and a part
    /// of a tenth counts as a whole one. Eleven figures, however many members and steps there are.
    pub fn count_by_tenth<'a>(&self, members: impl Iterator<Item = &'a Member>) -> [u64; 11] {
        let mut count_by_tenth = [0; 11];
        for member in members {
            let ThrottleStep { step, total_steps } = self.status(0, member).throttle_step;
            let tenth = (u64::from(step) * 10).div_ceil(u64::from(total_steps.max(1))).min(10);
            count_by_tenth[tenth as usize] += 1;
        }
        count_by_tenth
    }
}
