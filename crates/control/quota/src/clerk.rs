//! What the owner of counts has to do by its clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::count::{Change, Count, Mark};
use crate::{Micros, Terms};

/// How often in a window the owner tells how much of it has gone by. An owner's end makes the window longer by one such
/// step at most, and by the time without an owner; never shorter.
pub const STEPS: i64 = 32;
/// What was proposed and did not show in the count is proposed again after this.
pub const AGAIN: Micros = 1_000_000;

#[derive(Debug)]
struct Watch {
    window: u64,
    /// When the window had `base` behind it, by the guarded clock; `None` while nobody uses it.
    since: Option<Micros>,
    base: Micros,
    told: Micros,
    length: Micros,
    /// When each open part was first seen. At most [`crate::PARTS`].
    parts: BTreeMap<Mark, Micros>,
    due: Micros,
}

/// Turns the windows and reclaims the parts of the counts that this node owns. What it proposes is a change like any
/// other: one that no longer owns the key is refused by the ledger. At most as many members as the ledger has keys.
///
/// Its time is the sum of what passes between two steps, each counted up to the terms' gap: a clock that leaps, or a
/// process that stood still, ends no window early and reclaims no part early.
#[derive(Debug)]
pub struct Clerk {
    terms: Terms,
    last: Micros,
    clock: Micros,
    members: BTreeMap<String, Watch>,
    due: BTreeSet<(Micros, String)>,
}

impl Clerk {
    /// Owns nothing yet.
    pub fn new(now: Micros, terms: Terms) -> Clerk {
        Clerk { terms, last: now, clock: 0, members: BTreeMap::new(), due: BTreeSet::new() }
    }

    /// A count that this node owns, as it is committed: at the taking and after every change. Each part's time is
    /// counted from when it is first seen here, which is never before it was asked for.
    pub fn seen(&mut self, now: Micros, member: &str, count: &Count) {
        self.step(now);
        let clock = self.clock;
        let length = count.allowance().map_or(Micros::MAX, |a| a.window_us);
        let fresh = |count: &Count| Watch {
            window: count.window(),
            since: None,
            base: count.elapsed(),
            told: count.elapsed(),
            length,
            parts: BTreeMap::new(),
            due: Micros::MAX,
        };
        let watch = self.members.entry(member.to_string()).or_insert_with(|| fresh(count));
        if watch.window != count.window() {
            let parts = std::mem::take(&mut watch.parts);
            self.due.remove(&(watch.due, member.to_string()));
            *watch = Watch { parts, ..fresh(count) };
        }
        (watch.length, watch.told) = (length, watch.told.max(count.elapsed()));
        if watch.since.is_none() && count.used() {
            watch.since = Some(clock);
        }
        let open: BTreeSet<Mark> = count.parts().filter(|(_, p)| !p.lost).map(|(mark, _)| mark).collect();
        watch.parts.retain(|mark, _| open.contains(mark));
        for mark in open {
            watch.parts.entry(mark).or_insert(clock);
        }
        self.plan(member, clock);
    }

    /// A count that this node owns no more.
    pub fn lost(&mut self, member: &str) {
        if let Some(watch) = self.members.remove(member) {
            self.due.remove(&(watch.due, member.to_string()));
        }
    }

    /// How long the member's window still runs.
    pub fn ends_in(&self, member: &str) -> Option<Micros> {
        let watch = self.members.get(member)?;
        Some((watch.length - watch.gone(self.clock)).max(0))
    }

    /// What is to be proposed now.
    pub fn tick(&mut self, now: Micros) -> Vec<(String, Change)> {
        self.step(now);
        let clock = self.clock;
        let mut changes = Vec::new();
        while let Some((due, member)) = self.due.first().cloned() {
            if due > clock {
                break;
            }
            self.due.pop_first();
            let Some(watch) = self.members.get(&member) else { continue };
            let wait = self.terms.term + self.terms.margin;
            for (part, seen) in &watch.parts {
                if clock - seen >= wait {
                    changes.push((member.clone(), Change::Reclaim { part: *part }));
                }
            }
            let (gone, window) = (watch.gone(clock), watch.window);
            if gone >= watch.length {
                changes.push((member.clone(), Change::Turn { window }));
            } else if gone - watch.told >= watch.step() {
                changes.push((member.clone(), Change::Elapsed { window, us: gone }));
            }
            self.plan(&member, clock + AGAIN);
        }
        changes
    }

    fn step(&mut self, now: Micros) {
        self.clock += (now - self.last).clamp(0, self.terms.gap);
        self.last = now;
    }

    /// The next moment, not before `from`, at which something is to be proposed.
    fn plan(&mut self, member: &str, from: Micros) {
        let wait = self.terms.term + self.terms.margin;
        let Some(watch) = self.members.get_mut(member) else { return };
        self.due.remove(&(watch.due, member.to_string()));
        let part = watch.parts.values().min().map(|seen| seen + wait);
        let next = watch.since.map(|since| {
            let at = watch.length.min(watch.told.saturating_add(watch.step()));
            since.saturating_add(at.saturating_sub(watch.base))
        });
        watch.due = part.into_iter().chain(next).min().map_or(Micros::MAX, |due| due.max(from));
        if watch.due < Micros::MAX {
            self.due.insert((watch.due, member.to_string()));
        }
    }
}

impl Watch {
    fn gone(&self, clock: Micros) -> Micros {
        self.since.map_or(self.base, |since| self.base.saturating_add(clock - since))
    }

    fn step(&self) -> Micros {
        (self.length / STEPS).max(1)
    }
}
