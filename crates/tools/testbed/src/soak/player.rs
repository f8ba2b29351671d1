//! Carries out the schedule of a seed: its faults and departures, and what follows from acknowledgements.
use super::departures::{begin_departure, Acknowledgement, DepartureLog};
use super::long_requests::Stops;
use super::schedule::{Departure, Fault, FaultKind};
use super::watch::Disturbances;
use crate::mesh::DRAIN_S;
use crate::testbed::Testbed;
use anyhow::{bail, Context, Result};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

/// From the kill of a process that has acknowledged a departure to its next start, and to the kill after that.
const DOWN: Duration = Duration::from_millis(300);
const KILL_INTERVAL: Duration = Duration::from_millis(700);
/// A process handles signals so long after its start.
const HANDLES_SIGNALS_AFTER: Duration = Duration::from_millis(300);
/// An upstream that gets no acknowledgement ends so long after its first call.
const UNACKNOWLEDGED_END: Duration = Duration::from_secs(4);

/// When each machine was disturbed last.
pub(super) struct Disturbed {
    /// By any fault: its configuration may be old.
    pub(super) by_any: Disturbances,
    /// By an unplanned one: its clients may lose what is open.
    pub(super) unplanned: Disturbances,
    /// Planned ends.
    pub(super) stops: Stops,
}

/// What is carried out.
pub(super) struct Schedule<'s> {
    pub(super) faults: &'s [Fault],
    pub(super) departures: &'s [Departure],
}

/// One thing that happens.
#[derive(Clone, Copy)]
enum Action {
    Begin(Fault),
    End(Fault),
    /// The upstream of the departure of this number says that it leaves.
    Depart(usize),
    /// It ends, and another one starts later.
    EndUpstream(usize),
    StartUpstream(usize),
    /// The process beside it is killed because it has acknowledged.
    Kill(usize),
    Restart(usize),
}

struct Player<'p> {
    testbed: &'p mut Testbed,
    schedule: &'p Schedule<'p>,
    disturbed: &'p Disturbed,
    log: &'p DepartureLog,
    actions: Vec<(Instant, Action)>,
    cut_off: BTreeSet<usize>,
    /// When each process was last started again.
    started_at: BTreeMap<usize, Instant>,
    began: Instant,
    acknowledgements: UnboundedSender<Acknowledgement>,
}

/// Carry out a schedule.
pub(super) async fn run_schedule(
    testbed: &mut Testbed,
    schedule: &Schedule<'_>,
    disturbed: &Disturbed,
    log: &DepartureLog,
) -> Result<()> {
    let began = Instant::now();
    let (sender, receiver) = unbounded_channel();
    let mut actions = Vec::new();
    for fault in schedule.faults {
        actions.push((began + fault.at, Action::Begin(*fault)));
        actions.push((began + fault.until, Action::End(*fault)));
    }
    let departs = schedule.departures.iter().enumerate();
    actions.extend(departs.map(|(number, departure)| (began + departure.at, Action::Depart(number))));
    let cut_off = BTreeSet::new();
    let acknowledgements = sender;
    let started_at = BTreeMap::new();
    let player =
        Player { testbed, schedule, disturbed, log, actions, cut_off, started_at, began, acknowledgements };
    player.run(receiver).await
}

impl Player<'_> {
    async fn run(mut self, mut acknowledged: UnboundedReceiver<Acknowledgement>) -> Result<()> {
        while let Some(next) = self.next_action() {
            tokio::select! {
                biased;
                Some(Acknowledgement { number }) = acknowledged.recv() => self.acknowledged(number),
                () = tokio::time::sleep_until(self.due(next)) => {
                    let (_, action) = self.actions.swap_remove(next);
                    self.carry_out(action).await?;
                }
            }
        }
        Ok(())
    }

    /// The index of the next action. Where several are due, beginnings come first, in the order of the schedule.
    fn next_action(&self) -> Option<usize> {
        let is_end = |action: &Action| matches!(action, Action::End(_));
        (0..self.actions.len()).min_by_key(|index| {
            let (at, action) = &self.actions[*index];
            (*at, is_end(action), *index)
        })
    }

    /// When an action is due. A process is signalled once it handles signals: before, the system ends it. It has its grace from the moment at which it is told, which may be late on a busy machine.
    fn due(&self, index: usize) -> Instant {
        let (at, action) = &self.actions[index];
        let fault = match action {
            Action::Begin(fault) if fault.kind.is_mere_signal() => {
                let started_at = self.started_at.get(&fault.machine);
                return started_at.map_or(*at, |started_at| (*at).max(*started_at + HANDLES_SIGNALS_AFTER));
            }
            Action::End(fault) => fault,
            _ => return *at,
        };
        let is_end_of_grace = fault.kind == FaultKind::Terminate;
        let signalled_at = self.disturbed.stops.last(fault.machine).filter(|_| is_end_of_grace);
        signalled_at.map_or(*at, |signalled_at| (*at).max(signalled_at + fault.until - fault.at))
    }

    fn add(&mut self, at: Instant, action: Action) {
        self.actions.push((at, action));
    }

    async fn carry_out(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Begin(fault) => {
                self.note(&fault, false);
                self.begin_fault(&fault)
            }
            Action::End(fault) => {
                self.note(&fault, true);
                self.end_fault(&fault)
            }
            Action::Depart(number) => {
                self.depart(number);
                Ok(())
            }
            Action::EndUpstream(number) => {
                self.end_upstream(number);
                Ok(())
            }
            Action::StartUpstream(machine) => self.testbed.start_upstream(machine).await,
            Action::Kill(machine) => {
                self.disturb(machine, Instant::now() + DOWN);
                self.testbed.mesh.kill(machine)
            }
            Action::Restart(machine) => self.start(machine),
        }
    }

    fn depart(&mut self, number: usize) {
        let departure = &self.schedule.departures[number];
        begin_departure(self.testbed, number, departure, self.log, self.acknowledgements.clone());
        self.add(Instant::now() + UNACKNOWLEDGED_END, Action::EndUpstream(number));
    }

    /// A departure has been acknowledged: the upstream ends after its time, and the process may be killed at once.
    fn acknowledged(&mut self, number: usize) {
        let (now, departure) = (Instant::now(), &self.schedule.departures[number]);
        let ends_at = now + Duration::from_secs_f64(DRAIN_S) + departure.serves_on;
        self.actions.retain(|(_, action)| !matches!(action, Action::EndUpstream(other) if *other == number));
        self.add(ends_at, Action::EndUpstream(number));
        // A late acknowledgement comes when other faults of the machine may follow.
        let is_late = now > self.began + departure.at + Duration::from_secs(1);
        for kill in 0..if is_late { 0 } else { departure.kills } {
            let at = now + departure.killed_after + KILL_INTERVAL * kill;
            self.add(at, Action::Kill(departure.machine));
            self.add(at + DOWN, Action::Restart(departure.machine));
        }
    }

    fn end_upstream(&mut self, number: usize) {
        let departure = &self.schedule.departures[number];
        if let Some(upstream) = self.testbed.upstreams.remove(&departure.machine) {
            self.log.end(upstream.id());
        }
        self.add(Instant::now() + departure.successor_after, Action::StartUpstream(departure.machine));
    }

    fn disturb(&self, machine: usize, until: Instant) {
        self.disturbed.by_any.disturb(machine, until);
        self.disturbed.unplanned.disturb(machine, until);
    }

    /// Note whom a fault disturbs, before it begins or ends.
    fn note(&self, fault: &Fault, is_end: bool) {
        let until = Instant::now().max(self.began + fault.until);
        if !fault.kind.is_mere_signal() {
            self.disturbed.by_any.disturb(fault.machine, until);
        }
        if fault.kind.is_unplanned() {
            self.disturbed.unplanned.disturb(fault.machine, until);
        }
        if fault.kind == FaultKind::Cut {
            // Its neighbours' links to it are reset when it is joined again.
            let control_machines = self.testbed.mesh.control_machines();
            control_machines.for_each(|machine| self.disturbed.by_any.disturb(machine, Instant::now()));
        }
        if fault.kind == FaultKind::Terminate && !is_end {
            self.disturbed.stops.record(fault.machine);
        }
    }

    fn begin_fault(&mut self, fault: &Fault) -> Result<()> {
        let (machine, mesh) = (fault.machine, &mut self.testbed.mesh);
        if fault.kind.is_mere_signal() && mesh.pid(machine).is_none() {
            // It was killed because it acknowledged a departure.
            return Ok(());
        }
        match fault.kind {
            FaultKind::Kill => mesh.kill(machine),
            FaultKind::Pause => mesh.freeze(machine),
            FaultKind::Cut => {
                self.cut_off.insert(machine);
                self.cut()
            }
            FaultKind::Terminate | FaultKind::TerminateAgain => mesh.terminate(machine),
            FaultKind::Reload | FaultKind::ReloadAtEnd => mesh.hang_up(machine),
        }
    }

    fn end_fault(&mut self, fault: &Fault) -> Result<()> {
        let (machine, mesh) = (fault.machine, &mut self.testbed.mesh);
        match fault.kind {
            FaultKind::Kill => self.start(machine),
            FaultKind::Pause => mesh.thaw(machine),
            FaultKind::Cut => {
                self.cut_off.remove(&machine);
                self.cut()
            }
            FaultKind::Terminate => {
                if !mesh.has_ended(machine) {
                    bail!("machine {machine} still runs after its grace");
                }
                self.start(machine)
            }
            FaultKind::Reload | FaultKind::ReloadAtEnd | FaultKind::TerminateAgain => Ok(()),
        }
    }

    fn start(&mut self, machine: usize) -> Result<()> {
        self.started_at.insert(machine, Instant::now());
        self.testbed.mesh.start(machine, false)
    }

    fn cut(&self) -> Result<()> {
        let machines: Vec<usize> = self.cut_off.iter().copied().collect();
        self.testbed.links.as_ref().context("links")?.cut(&machines);
        Ok(())
    }
}
