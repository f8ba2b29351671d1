//! What is promised of membership, held against a history. `settle` is the stated bound: so long after the last change of
//! links, processes or speed that bears on two machines, they must see each other right.
//!
//! | property | in words | broken by |
//! | --- | --- | --- |
//! | `held_failed` | nobody that runs and is let alone is held failed by anybody who reaches it, directly or through one other, both ways | probes without others' help, no refutation, no doubt of oneself |
//! | `not_found` | at the end, a settled while after calm, everybody who runs lists all who run | no way back after a partition |
//! | `ghost` | at the end nobody who has ended is listed as there | deaths that are not spread, a lost identity that comes back |
//! | `backwards` | what one process holds of another's incarnation never goes back | old reports that replace newer ones |
//! | `two_of_one` | at the end no two processes of one identity both take part | no rule for copied folders |
//! | `reborn` | a process that was started with an empty folder is nobody that was there before | an identity that follows from the name |
//! | `halved` | who was listed and never left counts as sending until it has been gone for the settled while | the living alone counted |
//! | `drain_unheard` | at the end everybody who runs holds each drain that was told to anybody | drains that are not told on |
//! | `drain_lost` | an upstream's drain, once held by a process, holds until its own list is as new | drains that expire |
use crate::history::{EventKind, History, MemberList, MemberState, Micros, Process};
use std::collections::{BTreeMap, BTreeSet};

/// A promise broken, with the shortest piece of history that shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which property.
    pub property: &'static str,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub text: String,
}

/// What came of a check.
#[derive(Clone, Debug, Default)]
pub struct MembershipReport {
    /// Promises broken; [`MAX_VIOLATIONS_IN_WORDS`] of a kind are kept in words, all are counted in `count`.
    pub violations: Vec<Violation>,
    /// How many of each.
    pub violation_counts: BTreeMap<&'static str, usize>,
    /// From the last `Calm` to when all lists agreed with the truth for good; `None`: they never did.
    pub agreed_after: Option<Micros>,
    /// Lists looked at.
    pub lists_read: usize,
    /// Lists in which somebody who ran was held failed, whether or not that was to be.
    pub failed_while_running: usize,
    /// The views told, and how often.
    pub views: BTreeMap<String, usize>,
    /// The longest from a drain's telling to when a process that reached one that was told was seen to hold it.
    pub drain_known_after: Option<Micros>,
    /// Least and most of those said to be sending.
    pub senders: Option<(usize, usize)>,
}

/// Breaches of a kind kept in words.
pub const MAX_VIOLATIONS_IN_WORDS: usize = 5;

#[derive(Default)]
struct Truth {
    machine: BTreeMap<Process, usize>,
    id: BTreeMap<Process, String>,
    running: BTreeSet<Process>,
    left: BTreeSet<Process>,
    started: BTreeMap<Process, Micros>,
    hampered: BTreeSet<Process>,
    /// Since when a process has been let alone.
    free_since: BTreeMap<Process, Micros>,
    cut: BTreeSet<(usize, usize)>,
    /// When a pair's link last changed.
    changed: BTreeMap<(usize, usize), Micros>,
    ended: BTreeMap<Process, Micros>,
    fresh: BTreeSet<Process>,
}

impl Truth {
    fn open_since(&self, a: usize, b: usize) -> Option<Micros> {
        if a == b {
            return Some(Micros::MIN);
        }
        let way = |p| (!self.cut.contains(&p)).then(|| self.changed.get(&p).copied().unwrap_or(Micros::MIN));
        Some(way((a, b))?.max(way((b, a))?))
    }

    /// Since when two reach each other, directly or through one that runs and is let alone.
    fn reach_since(&self, a: Process, b: Process) -> Option<Micros> {
        let of = |p: &Process| self.machine.get(p).copied();
        let (ma, mb) = (of(&a)?, of(&b)?);
        let direct = self.open_since(ma, mb);
        let free = |p: &&Process| !self.hampered.contains(*p) && **p != a && **p != b;
        let through = self.running.iter().filter(free).filter_map(|h| {
            let m = of(h)?;
            let since = self.free_since.get(h).copied().unwrap_or(Micros::MIN);
            Some(self.open_since(ma, m)?.max(self.open_since(m, mb)?).max(since))
        });
        direct.into_iter().chain(through).min()
    }

    /// When a link of its machine last changed.
    fn touched(&self, p: Process) -> Option<Micros> {
        let machine = self.machine.get(&p)?;
        let mine = |pair: &&(usize, usize)| pair.0 == *machine || pair.1 == *machine;
        self.changed.keys().filter(mine).filter_map(|pair| self.changed.get(pair)).copied().max()
    }

    /// Since when a process runs and is let alone.
    fn well_since(&self, p: Process) -> Option<Micros> {
        if !self.running.contains(&p) || self.hampered.contains(&p) {
            return None;
        }
        // Those that were there from the beginning have no time to wait for.
        let started = self.started.get(&p).copied().filter(|at| *at > 0).unwrap_or(Micros::MIN);
        Some(self.free_since.get(&p).copied().unwrap_or(Micros::MIN).max(started))
    }
}

struct Check {
    truth: Truth,
    verdict: MembershipReport,
    settle: Micros,
    /// The last incarnation that a process was seen to hold of an identity.
    held: BTreeMap<(Process, String), u64>,
    /// The last list of each.
    last: BTreeMap<Process, MemberList>,
    told_drains: BTreeSet<String>,
    /// Who still has to be seen to hold a drain, since when.
    awaited: BTreeMap<(String, Process), Micros>,
    drained: BTreeMap<Process, BTreeSet<String>>,
}

impl Check {
    fn breach(&mut self, property: &'static str, at: Micros, text: String) {
        let n = self.verdict.violation_counts.entry(property).or_default();
        *n += 1;
        if *n <= MAX_VIOLATIONS_IN_WORDS {
            self.verdict.violations.push(Violation { property, at, text });
        }
    }

    fn look(&mut self, at: Micros, l: &MemberList) {
        self.verdict.lists_read += 1;
        *self.verdict.views.entry(l.view.clone()).or_default() += 1;
        if let Some(n) = l.senders {
            let (least, most) = self.verdict.senders.unwrap_or((n, n));
            self.verdict.senders = Some((least.min(n), most.max(n)));
        }
        let first = self.truth.id.insert(l.by, l.id.clone()).is_none();
        let earlier = self.truth.id.iter().find(|(p, id)| **p < l.by && **id == l.id).map(|(p, _)| *p);
        if let Some(earlier) = earlier.filter(|_| first && self.truth.fresh.contains(&l.by)) {
            let text =
                format!("process {} has an empty folder and is {} as process {earlier} was", l.by, l.id);
            self.breach("reborn", at, text);
        }
        let mut any = false;
        for s in &l.others {
            let key = (l.by, s.id.clone());
            let before = self.held.insert(key, s.incarnation);
            if before.is_some_and(|b| b > s.incarnation) {
                let text = format!("process {} held {} at {before:?}, then at {}", l.by, s.id, s.incarnation);
                self.breach("backwards", at, text);
            }
            // One that has stood down hears no more.
            if s.state != MemberState::Failed || l.view == "out" {
                continue;
            }
            // One that has stood down takes no part, and may be held anything.
            let part = |p: &Process| self.last.get(p).is_none_or(|l| l.view != "out");
            let is = |p: &Process| self.truth.id.get(p) == Some(&s.id) && part(p);
            let meant: Vec<Process> = self.truth.running.iter().copied().filter(is).collect();
            any |= !meant.is_empty();
            for p in meant {
                let since =
                    [self.truth.well_since(l.by), self.truth.well_since(p), self.truth.reach_since(l.by, p)];
                // Those that were never touched have no time to wait for.
                // A cut that bears on either, be it towards others, makes others' word of it doubtful for a while.
                let touched = [l.by, p].iter().filter_map(|p| self.truth.touched(*p)).max();
                let Some(since) = since.into_iter().try_fold(Micros::MIN, |m, s| s.map(|s| m.max(s))) else {
                    continue;
                };
                let since = if since == Micros::MIN { touched.unwrap_or(since) } else { since };
                if since == Micros::MIN || since + self.settle <= at {
                    let text = format!(
                        "process {} holds {} failed, which runs as process {p} and is reached",
                        l.by, s.id
                    );
                    self.breach("held_failed", at, text);
                }
            }
        }
        self.verdict.failed_while_running += usize::from(any);
        if l.view != "out" {
            self.count_senders(at, l);
        }
        let before = self.drained.insert(l.by, l.drains.iter().cloned().collect());
        let lost = |h: &String| self.told_drains.contains(h) && !l.drains.contains(h);
        let lost: Vec<String> = before.into_iter().flatten().filter(lost).collect();
        for host in lost {
            self.breach("drain_lost", at, format!("process {} no longer holds that {host} drains", l.by));
        }
        for host in &l.drains {
            if let Some(told) = self.awaited.remove(&(host.clone(), l.by)) {
                let after = Some(at - told);
                self.verdict.drain_known_after = self.verdict.drain_known_after.max(after);
            }
        }
        self.last.insert(l.by, l.clone());
    }

    fn drain_told(&mut self, at: Micros, host: &str, machines: &[usize]) {
        self.told_drains.insert(host.to_string());
        let on = |p: &Process| self.truth.machine.get(p).is_some_and(|m| machines.contains(m));
        let told: Vec<Process> = self.truth.running.iter().copied().filter(on).collect();
        for p in self.truth.running.iter().filter(|p| !self.truth.hampered.contains(*p)) {
            if told.iter().any(|t| t == p || self.truth.reach_since(*t, *p).is_some()) {
                self.awaited.insert((host.to_string(), *p), at);
            }
        }
    }

    /// Everyone on the list who did not leave counts, except who ended so long ago that it may have been forgotten.
    fn count_senders(&mut self, at: Micros, l: &MemberList) {
        let Some(said) = l.senders else { return };
        // Two processes of one identity are listed as one.
        let there: BTreeSet<&String> =
            self.truth.running.iter().filter_map(|p| self.truth.id.get(p)).collect();
        let there =
            l.others.iter().filter(|s| s.state != MemberState::Left && there.contains(&s.id)).count() + 1;
        if said < there {
            let text = format!("process {} says that {said} send, where {there} that it lists run", l.by);
            self.breach("halved", at, text);
        }
    }

    /// Whether a process lists all who take part, and nobody else as there.
    fn right(&self, by: Process) -> Result<(), (&'static str, String)> {
        let Some(l) = self.last.get(&by) else {
            return Err(("not_found", format!("process {by} told no list")));
        };
        if l.view == "out" {
            return Ok(());
        }
        let takes_part = |p: &&Process| self.last.get(*p).is_none_or(|l| l.view != "out");
        let running: BTreeSet<&String> =
            self.truth.running.iter().filter(takes_part).filter_map(|p| self.truth.id.get(p)).collect();
        let live: BTreeSet<&String> = l.others.iter().filter(|s| s.state.is_live()).map(|s| &s.id).collect();
        if let Some(id) = running.iter().find(|id| ***id != l.id && !live.contains(*id)) {
            return Err(("not_found", format!("process {by} does not list {id} as there")));
        }
        match live.iter().find(|id| !running.contains(*id)) {
            Some(id) => Err(("ghost", format!("process {by} lists {id} as there, and nobody runs as that"))),
            None => Ok(()),
        }
    }

    fn at_end(&mut self, at: Micros) {
        let running: Vec<Process> = self.truth.running.iter().copied().collect();
        for p in &running {
            if let Err((property, text)) = self.right(*p) {
                self.breach(property, at, text);
            }
        }
        // One that was told to a process which ended before it could tell others is nobody's.
        let part = |p: &Process| self.last.get(p).filter(|l| l.view != "out");
        let held: BTreeSet<String> = running.iter().filter_map(part).flat_map(|l| l.drains.clone()).collect();
        for p in &running {
            let Some(l) = self.last.get(p).filter(|l| l.view != "out") else { continue };
            let unheard: Vec<String> = held.iter().filter(|h| !l.drains.contains(h)).cloned().collect();
            for host in unheard {
                self.breach("drain_unheard", at, format!("process {p} does not hold that {host} drains"));
            }
        }
        let mut of: BTreeMap<&String, Vec<Process>> = BTreeMap::new();
        for p in &running {
            let part = self.last.get(p).filter(|l| l.view != "out");
            part.into_iter().for_each(|l| of.entry(&l.id).or_default().push(*p));
        }
        let twice: Vec<String> = of
            .iter()
            .filter(|(_, ps)| ps.len() > 1)
            .map(|(id, ps)| format!("processes {ps:?} both take part as {id}"))
            .collect();
        for text in twice {
            self.breach("two_of_one", at, text);
        }
    }
}

/// Hold a history against the promises.
pub fn check(history: &History, settle: Micros) -> MembershipReport {
    let mut c = Check {
        truth: Truth::default(),
        verdict: MembershipReport::default(),
        settle,
        held: BTreeMap::new(),
        last: BTreeMap::new(),
        told_drains: BTreeSet::new(),
        awaited: BTreeMap::new(),
        drained: BTreeMap::new(),
    };
    let (mut calm, mut wrong, mut end) = (None, None, 0);
    for e in &history.events {
        end = end.max(e.end);
        match &e.what {
            EventKind::Started { process, machine, fresh } => {
                if *fresh {
                    c.truth.fresh.insert(*process);
                }
                c.truth.machine.insert(*process, *machine);
                c.truth.running.insert(*process);
                c.truth.started.insert(*process, e.at);
            }
            EventKind::Ended { process, told } => {
                c.truth.running.remove(process);
                c.truth.ended.insert(*process, e.at);
                c.truth.hampered.remove(process);
                if *told {
                    c.truth.left.insert(*process);
                }
            }
            EventKind::Hampered { process } => drop(c.truth.hampered.insert(*process)),
            EventKind::Free { process } => {
                c.truth.hampered.remove(process);
                c.truth.free_since.insert(*process, e.at);
            }
            EventKind::Cut { pairs } => {
                let new: BTreeSet<_> = pairs.iter().copied().collect();
                let differ: Vec<_> = new.symmetric_difference(&c.truth.cut).copied().collect();
                for pair in differ {
                    c.truth.changed.insert(pair, e.at);
                }
                c.truth.cut = new;
            }
            EventKind::Calm => (calm, wrong) = (Some(e.at), None),
            EventKind::DrainTold { host, machines } => c.drain_told(e.at, host, machines),
            EventKind::MemberList(l) => {
                // A list told by a process that had ended meanwhile, or not yet been noted as started, shows nothing.
                if !c.truth.running.contains(&l.by) {
                    continue;
                }
                c.look(e.at, l);
                if calm.is_some() && c.right(l.by).is_err() {
                    wrong = Some(e.end);
                }
            }
            EventKind::Request { .. }
            | EventKind::Operation { .. }
            | EventKind::Effect { .. }
            | EventKind::Marked { .. }
            | EventKind::Unmarked { .. } => {}
        }
    }
    c.at_end(end);
    let all_right = !c.verdict.violation_counts.contains_key("not_found")
        && !c.verdict.violation_counts.contains_key("ghost");
    c.verdict.agreed_after = calm.filter(|_| all_right).map(|calm| wrong.map_or(0, |w| w - calm));
    c.verdict
}
