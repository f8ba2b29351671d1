//! What a node knows of all lapses: what it slows by, and what it tells the operator.

use std::collections::BTreeMap;

use silvercross_control_store::Micros;

use crate::items::{Member, MAX_MEMBERS};
use crate::lapse::{standing, Lapse, Standing};
use crate::mutant::Mutant;

/// A lapse went on: one line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// What was known before.
    pub from: Lapse,
    /// What is known now.
    pub to: Lapse,
}

/// One member on one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// How far it is slowed here.
    pub standing: Standing,
    /// The edition that this is of: the item's, or the lapse's where that came ahead of it. Steps rise within one.
    pub edition: u64,
    /// Whether its lapse has begun, as far as is known here.
    pub begun: bool,
    /// For how long this node has known that; `None` where it never heard of a lapse.
    pub age_us: Option<Micros>,
}

/// The lapses as one node follows them. At most [`MAX_MEMBERS`]; what goes beyond is not followed, and its member is not
/// slowed here.
#[derive(Clone, Debug, Default)]
pub struct Board {
    lapses: BTreeMap<String, (Lapse, Micros)>,
    mutant: Option<Mutant>,
}

impl Board {
    /// Nothing is known yet: nobody is slowed.
    pub fn new() -> Board {
        Board::default()
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn break_it(&mut self, mutant: Mutant) {
        self.mutant = Some(mutant);
    }

    /// Take a member's lapse as it is told. Copies may come late and in any order: one that is no newer changes nothing.
    pub fn follow(&mut self, now: Micros, name: &str, lapse: &Lapse) -> Option<Turn> {
        let room = self.lapses.len() < MAX_MEMBERS;
        let Some((known, since)) = self.lapses.get_mut(name) else {
            if !room || *lapse == Lapse::default() {
                return None;
            }
            self.lapses.insert(name.to_string(), (lapse.clone(), now));
            return Some(Turn { from: Lapse::default(), to: lapse.clone() });
        };
        if lapse.rank() <= known.rank() {
            return None;
        }
        *since = now;
        let from = std::mem::replace(known, lapse.clone());
        Some(Turn { from, to: lapse.clone() })
    }

    /// Leave out the members that no longer stand.
    pub fn keep(&mut self, stands: impl Fn(&str) -> bool) {
        self.lapses.retain(|name, _| stands(name));
    }

    /// How far a member is slowed here, and for how long so.
    pub fn row(&self, now: Micros, member: &Member) -> Row {
        let Some((lapse, since)) = self.lapses.get(&member.name) else {
            let standing = standing(member, &Lapse::default());
            return Row { standing, edition: member.edition, begun: false, age_us: None };
        };
        let age = now.saturating_sub(*since).max(0);
        let mut standing = standing(member, lapse);
        let local = cfg!(feature = "mutants") && self.mutant == Some(Mutant::StepFromLocalTime);
        if local && lapse.begun && lapse.edition >= Some(member.edition) {
            let steps = age / (member.slowing.span_us / i64::from(standing.of.max(1))).max(1);
            standing.step =
                u32::try_from(steps).unwrap_or(u32::MAX).saturating_add(standing.step).min(standing.of);
        }
        let begun = lapse.begun && lapse.edition >= Some(member.edition);
        let edition = lapse.edition.map_or(member.edition, |e| e.max(member.edition));
        Row { standing, edition, begun, age_us: Some(age) }
    }

    /// How many of these members stand at which tenth of their slowing: 0 is not slowed, 10 is slowed in full, and a part
    /// of a tenth counts as a whole one. Eleven figures, however many members and steps there are.
    pub fn tenths<'a>(&self, members: impl Iterator<Item = &'a Member>) -> [u64; 11] {
        let mut tenths = [0; 11];
        for member in members {
            let Standing { step, of } = self.row(0, member).standing;
            let tenth = (u64::from(step) * 10).div_ceil(u64::from(of.max(1))).min(10);
            tenths[tenth as usize] += 1;
        }
        tenths
    }
}
