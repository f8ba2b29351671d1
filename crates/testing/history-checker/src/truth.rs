//! What is true of a fleet at a moment of its history: who runs, who is impaired, which links are open, and since when.

use crate::history::{DirectedLink, Process};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// What is true, as against what processes list.
#[derive(Default)]
pub(crate) struct Truth {
    machine: BTreeMap<Process, usize>,
    /// The identity that a process last said it has.
    pub(crate) identity: BTreeMap<Process, String>,
    /// Processes that run.
    pub(crate) running: BTreeSet<Process>,
    /// Processes that were started with an empty folder.
    pub(crate) fresh: BTreeSet<Process>,
    /// Processes that are kept from their work.
    pub(crate) impaired: BTreeSet<Process>,
    started_at: BTreeMap<Process, Instant>,
    recovered_at: BTreeMap<Process, Instant>,
    closed: BTreeSet<DirectedLink>,
    /// When a link last opened or closed.
    changed_at: BTreeMap<DirectedLink, Instant>,
}

impl Truth {
    /// A process was started on a machine.
    pub(crate) fn start(&mut self, at: Instant, process: Process, machine: usize, is_fresh: bool) {
        if is_fresh {
            self.fresh.insert(process);
        }
        self.machine.insert(process, machine);
        self.running.insert(process);
        self.started_at.insert(process, at);
    }

    /// A process is no more.
    pub(crate) fn end(&mut self, process: Process) {
        self.running.remove(&process);
        self.impaired.remove(&process);
    }

    /// A process is no longer impaired.
    pub(crate) fn recover(&mut self, at: Instant, process: Process) {
        self.impaired.remove(&process);
        self.recovered_at.insert(process, at);
    }

    /// These links are closed, and no others.
    pub(crate) fn partition(&mut self, at: Instant, links: &[DirectedLink]) {
        let closed: BTreeSet<DirectedLink> = links.iter().copied().collect();
        for link in closed.symmetric_difference(&self.closed) {
            self.changed_at.insert(*link, at);
        }
        self.closed = closed;
    }

    /// Whether a process runs on one of these machines.
    pub(crate) fn runs_on(&self, process: Process, machines: &[usize]) -> bool {
        self.machine.get(&process).is_some_and(|machine| machines.contains(machine))
    }

    /// Since when both links between two machines are open.
    fn open_since(&self, a: usize, b: usize) -> Option<Instant> {
        if a == b {
            return Some(Instant::MIN);
        }
        let since = |link: DirectedLink| {
            let changed_at = self.changed_at.get(&link).copied().unwrap_or(Instant::MIN);
            (!self.closed.contains(&link)).then_some(changed_at)
        };
        let (out, back) = (DirectedLink { from: a, to: b }, DirectedLink { from: b, to: a });
        Some(since(out)?.max(since(back)?))
    }

    /// Since when two processes reach each other, directly or through one that runs and is not impaired.
    pub(crate) fn reachable_since(&self, a: Process, b: Process) -> Option<Instant> {
        let machine_of = |process: &Process| self.machine.get(process).copied();
        let (a_machine, b_machine) = (machine_of(&a)?, machine_of(&b)?);
        let direct = self.open_since(a_machine, b_machine);
        let may_relay = |relay: &&Process| !self.impaired.contains(*relay) && **relay != a && **relay != b;
        let relayed = self.running.iter().filter(may_relay).filter_map(|relay| {
            let machine = machine_of(relay)?;
            let recovered_at = self.recovered_at.get(relay).copied().unwrap_or(Instant::MIN);
            let (to, from) = (self.open_since(a_machine, machine)?, self.open_since(machine, b_machine)?);
            Some(to.max(from).max(recovered_at))
        });
        direct.into_iter().chain(relayed).min()
    }

    /// When a link of a process' machine last changed.
    pub(crate) fn last_link_change(&self, process: Process) -> Option<Instant> {
        let machine = self.machine.get(&process)?;
        let is_its_own = |link: &DirectedLink| link.from == *machine || link.to == *machine;
        self.changed_at.iter().filter(|(link, _)| is_its_own(link)).map(|(_, at)| *at).max()
    }

    /// Since when a process runs and is not impaired.
    pub(crate) fn healthy_since(&self, process: Process) -> Option<Instant> {
        if !self.running.contains(&process) || self.impaired.contains(&process) {
            return None;
        }
        // Those that were there from the beginning have no time to wait for.
        let started_at = self.started_at.get(&process).copied().filter(|at| *at > Instant::ZERO);
        let recovered_at = self.recovered_at.get(&process).copied();
        Some(started_at.unwrap_or(Instant::MIN).max(recovered_at.unwrap_or(Instant::MIN)))
    }
}
