//! Carries out the rounds of a seed.
use super::orders::{give, AbandonedOrder, Acknowledged, Order};
use super::rounds::{ControlFault, Replacement, Round, SideFault};
use super::watch::{Evacuation, EVACUATE};
use crate::soak::{Disturbances, CONTACT};
use crate::testbed::{get_json, Testbed, STATE_PATH};
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{Context, Result};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// From a kill to the next start.
const DOWN: Duration = Duration::from_millis(300);
/// A zone has to be empty for so long, once its time has passed.
const WATCHED_FOR: Duration = Duration::from_millis(1_500);
/// Lines of a control machine's log that are shown if a round can't be played to its end, and what is left out of them.
const CONTROL_LOG_LINES: usize = 60;
const CONFIGURED: &str = "configuration in force";
/// An acknowledged end is in force everywhere, and its upstreams are sent to, within this.
const OPENS_WITHIN: Duration = Duration::from_secs(10);

/// The control machines that hold, or may hold, the control state.
#[derive(Debug)]
struct ControlMachines {
    /// Those that run and are replicas.
    replicas: Vec<usize>,
    /// Those that may take the place of one.
    spares: Vec<usize>,
}

pub(super) struct Player<'p> {
    testbed: &'p mut Testbed,
    disturbances: &'p Disturbances,
    control: ControlMachines,
    /// The control machine that is cut off, and the sides that are with it.
    cut_off: Option<usize>,
    pub(super) evacuations: Vec<Evacuation>,
    /// The zone of each upstream that there was.
    pub(super) zone_of: BTreeMap<String, String>,
    pub(super) faults: Vec<String>,
}

impl<'p> Player<'p> {
    pub(super) fn new(testbed: &'p mut Testbed, disturbances: &'p Disturbances) -> Self {
        let control = ControlMachines {
            replicas: testbed.mesh.control_machines().collect(),
            spares: testbed.mesh.spare_machines().collect(),
        };
        let (evacuations, zone_of, faults) = Default::default();
        let mut player =
            Player { testbed, disturbances, control, cut_off: None, evacuations, zone_of, faults };
        player.note_upstreams();
        player
    }

    fn note_upstreams(&mut self) {
        for upstream in self.testbed.upstreams.values() {
            self.zone_of.insert(upstream.id().to_string(), upstream.zone().to_string());
        }
    }

    /// The core is disturbed for a moment.
    fn disturb_control(&self) {
        self.disturbances.disturb(0, Instant::now());
    }

    /// All control machines but one, beginning with a drawn one.
    fn machines_to_ask(&self, first: usize, without: Option<usize>) -> Vec<usize> {
        let mut machines: Vec<usize> =
            self.control.replicas.iter().copied().filter(|machine| Some(*machine) != without).collect();
        let count = machines.len().max(1);
        machines.rotate_left(first % count);
        machines
    }

    fn sides_of(&self, zone: &str) -> Vec<usize> {
        let is_there = |machine: &usize| self.testbed.mesh.machines[*machine].zone == zone;
        self.testbed.mesh.side_machines().filter(is_there).collect()
    }

    /// Plays a round.
    pub(super) async fn play(&mut self, round: &Round) -> Result<()> {
        let zone = self.testbed.mesh.machines[round.zone].zone.clone();
        self.wait_until_control_is_complete().await?;
        if round.replacement == Replacement::Before {
            self.replace(None).await?;
        }
        let struck = self.control.replicas[round.struck % self.control.replicas.len()];
        let mut begun = Vec::new();
        if round.is_fault_first {
            begun = self.begin_abandoned_orders(round, struck, &zone).await?;
            self.begin_fault(round, struck).await?;
        }
        let unreachable = (round.is_fault_first && round.fault == ControlFault::Frozen).then_some(struck);
        let mut asked = self.machines_to_ask(round.first_asked, unreachable);
        if round.is_side_asked {
            asked.insert(0, self.testbed.mesh.side_machines().start + round.first_asked % 2);
        }
        let second = self.evacuate_second_zone(round, &asked).await?;
        let mut start = give(self.testbed, &zone, Order::Start, &asked).await?;
        if !round.is_fault_first {
            sleep(round.fault_delay).await;
            let acknowledged_by = Some(start.by).filter(|by| self.control.replicas.contains(by));
            let is_acknowledger_killed = round.fault == ControlFault::AcknowledgerKilled;
            let struck = acknowledged_by.filter(|_| is_acknowledger_killed).unwrap_or(struck);
            begun = self.begin_abandoned_orders(round, struck, &zone).await?;
            self.begin_fault(round, struck).await?;
        }
        // Dropped at the end of the round: callers that keep their connections wait so long for a late answer.
        let mut kept_connections = Vec::new();
        for order in begun {
            kept_connections.extend(order.leave(round.patience).await?);
        }
        if round.replacement == Replacement::During {
            self.replace(Some(struck)).await?;
        }
        // Orders that lay somewhere are older than this one.
        let without = matches!(round.fault, ControlFault::Frozen).then_some(struck);
        let asked = self.machines_to_ask(round.first_asked + 1, without);
        if round.is_repeated {
            give(self.testbed, &zone, Order::End, &asked).await?;
        }
        if round.is_repeated || round.fault == ControlFault::Frozen {
            start = give(self.testbed, &zone, Order::Start, &asked).await?;
        }
        if round.fault == ControlFault::Frozen {
            self.testbed.mesh.thaw(struck)?;
            self.disturb_control();
        }
        self.strike_side(round, &zone).await?;
        let calm_from = Instant::now();
        sleep_until((start.at + EVACUATE).max(calm_from + CONTACT) + WATCHED_FOR).await;
        self.check_states(&zone, true).await;
        if let Some((second, start)) = second {
            self.check_states(&second, true).await;
            self.end(&second, start, &asked).await?;
        }
        self.open(&zone, start, &asked).await
    }

    /// Callers begin with the orders that they will leave at a machine, if it will stand still.
    async fn begin_abandoned_orders(
        &self,
        round: &Round,
        struck: usize,
        zone: &str,
    ) -> Result<Vec<AbandonedOrder>> {
        let mut begun = Vec::new();
        let abandoned = round.abandoned.iter().filter(|_| round.fault == ControlFault::Frozen);
        for (order, abandonment) in abandoned {
            let address = self.testbed.mesh.control(struck);
            begun.push(AbandonedOrder::begin(address, &order.path(zone), *abandonment).await?);
        }
        Ok(begun)
    }

    /// Evacuates the next zone, if the round says so.
    async fn evacuate_second_zone(
        &self,
        round: &Round,
        asked: &[usize],
    ) -> Result<Option<(String, Acknowledged)>> {
        if !round.has_second_zone {
            return Ok(None);
        }
        let zone = self.testbed.mesh.machines[(round.zone + 1) % self.zone_count()].zone.clone();
        let start = give(self.testbed, &zone, Order::Start, asked).await?;
        Ok(Some((zone, start)))
    }

    fn zone_count(&self) -> usize {
        let zones: BTreeSet<&str> =
            self.testbed.mesh.machines.iter().map(|machine| machine.zone.as_str()).collect();
        zones.len()
    }

    /// Ends an evacuation.
    async fn end(&mut self, zone: &str, start: Acknowledged, asked: &[usize]) -> Result<()> {
        let end = give(self.testbed, zone, Order::End, asked).await?;
        self.evacuations.push(Evacuation { zone: zone.to_string(), start, ended_at: end.sent_at });
        Ok(())
    }

    /// Waits until the control machines that run are the replica set, and each of them votes: the next loss is then the only one.
    async fn wait_until_control_is_complete(&self) -> Result<()> {
        let address = |machine: &usize| self.testbed.mesh.machines[*machine].address.to_string();
        let wanted: BTreeSet<String> = self.control.replicas.iter().map(address).collect();
        let is_complete = |state: &Value| {
            let replicas = state["ledger"]["roster"].as_array().into_iter().flatten();
            let replicas: BTreeSet<String> = replicas.filter_map(Value::as_str).map(str::to_string).collect();
            state["ledger"]["voter"] == true && replicas == wanted
        };
        self.testbed.wait_for_state("a replica of the whole set", &self.control.replicas, is_complete).await
    }

    async fn begin_fault(&mut self, round: &Round, struck: usize) -> Result<()> {
        match round.fault {
            ControlFault::None => return Ok(()),
            ControlFault::Frozen => self.testbed.mesh.freeze(struck)?,
            ControlFault::CutFromOthers => {
                let control = self.testbed.mesh.control_machines().chain(self.testbed.mesh.spare_machines());
                let others: Vec<usize> = control.filter(|machine| *machine != struck).collect();
                self.testbed.links.as_ref().context("links")?.cut_between(&[struck], &others);
                self.cut_off = Some(struck);
            }
            ControlFault::CutWithItsZone => {
                let zone = self.testbed.mesh.machines[struck].zone.clone();
                let sides = self.sides_of(&zone);
                for side in &sides {
                    self.disturbances.disturb(*side, Instant::now() + WAIT_TIMEOUT);
                }
                let isolated: Vec<usize> = sides.into_iter().chain([struck]).collect();
                self.testbed.links.as_ref().context("links")?.cut(&isolated);
                self.cut_off = Some(struck);
            }
            ControlFault::AcknowledgerKilled => self.restart(&[struck]).await?,
            ControlFault::AllKilled => self.restart(&self.control.replicas.clone()).await?,
        }
        self.disturb_control();
        Ok(())
    }

    async fn restart(&mut self, machines: &[usize]) -> Result<()> {
        for machine in machines {
            self.testbed.mesh.kill(*machine)?;
        }
        self.disturb_control();
        sleep(DOWN).await;
        for machine in machines {
            self.testbed.mesh.start(*machine, false)?;
        }
        Ok(())
    }

    /// A replica is replaced in plan by a spare machine, the spare one first.
    async fn replace(&mut self, except: Option<usize>) -> Result<()> {
        let Some(newcomer) = self.control.spares.pop() else { return Ok(()) };
        let leaver = self.control.replicas.iter().copied().find(|machine| Some(*machine) != except);
        let leaver = leaver.context("a replica")?;
        self.disturb_control();
        self.testbed.mesh.start(newcomer, false)?;
        let address = self.testbed.mesh.machines[newcomer].address.to_string();
        let present: Vec<usize> =
            self.control.replicas.iter().copied().filter(|machine| Some(*machine) != except).collect();
        let knows = |state: &Value| {
            let nodes = state["nodes"].as_array().into_iter().flatten();
            nodes
                .into_iter()
                .any(|node| node["node"] == address && node["holders"] != Value::Array(Vec::new()))
        };
        self.testbed.wait_for_state("the newcomer is known", &present, knows).await?;
        self.testbed.mesh.terminate(leaver)?;
        let mesh = &mut self.testbed.mesh;
        wait_until("the leaver ends", WAIT_TIMEOUT, || std::future::ready(mesh.has_ended(leaver))).await?;
        self.disturb_control();
        self.control.replicas.retain(|machine| *machine != leaver);
        self.control.replicas.push(newcomer);
        Ok(())
    }

    async fn strike_side(&mut self, round: &Round, zone: &str) -> Result<()> {
        let sides = self.sides_of(zone);
        let side = *sides.get(round.struck % sides.len().max(1)).context("a side of the zone")?;
        match round.side_fault {
            SideFault::None => {}
            SideFault::Reloaded => self.testbed.mesh.hang_up(side)?,
            SideFault::Killed => {
                self.disturbances.disturb(side, Instant::now() + DOWN);
                self.testbed.mesh.kill(side)?;
                sleep(DOWN).await;
                self.testbed.mesh.start(side, false)?;
            }
            SideFault::Terminated => {
                self.disturbances.disturb(side, Instant::now() + WAIT_TIMEOUT);
                self.testbed.mesh.terminate(side)?;
                let mesh = &mut self.testbed.mesh;
                let has_ended = || std::future::ready(mesh.has_ended(side));
                wait_until("the side ends", WAIT_TIMEOUT, has_ended).await?;
                self.testbed.mesh.start(side, false)?;
            }
            SideFault::UpstreamReplaced => {
                self.testbed.start_upstream(side).await?;
                self.note_upstreams();
            }
        }
        Ok(())
    }

    /// The control machines that run and are not cut off, and all sides but those that are.
    fn machines_in_touch(&self) -> Vec<usize> {
        let now = Instant::now();
        let sides = self.testbed.mesh.side_machines();
        let sides = sides.filter(|side| self.disturbances.was_calm(*side, now, now));
        self.machines_to_ask(0, self.cut_off).into_iter().chain(sides).collect()
    }

    /// What each control machine that may run says of the replica set, and the end of its log.
    pub(super) async fn describe_control(&self) -> Vec<String> {
        let mut described = Vec::new();
        for machine in self.testbed.mesh.control_machines().chain(self.testbed.mesh.spare_machines()) {
            let state = get_json(self.testbed.mesh.control(machine), STATE_PATH).await;
            let (store, mesh) = (&state["ledger"], &self.testbed.mesh);
            let log = mesh.log(machine, CONTROL_LOG_LINES);
            let log: Vec<String> = log.into_iter().filter(|line| !line.contains(CONFIGURED)).collect();
            described.push(format!(
                "{} at {}: linked {}, voter {}, replicas {}, keys {}; {}",
                mesh.machines[machine].name,
                mesh.machines[machine].address,
                state["linked"],
                store["voter"],
                store["roster"],
                store["keys"],
                log.join("\n        ")
            ));
        }
        described
    }

    /// Each machine in touch goes by the last order.
    async fn check_states(&mut self, zone: &str, is_evacuated: bool) {
        for machine in self.machines_in_touch() {
            let state = get_json(self.testbed.mesh.control(machine), STATE_PATH).await;
            let has_it = state["evacuated"].as_array().into_iter().flatten().any(|known| *known == *zone);
            if has_it != is_evacuated {
                let name = &self.testbed.mesh.machines[machine].name;
                self.faults.push(format!(
                    "{name} has zone {zone} evacuated: {has_it}, not {is_evacuated}; parent {}, way {}, {}",
                    state["parent"], state["pathToControl"], state["evacuations"]
                ));
            }
        }
    }

    /// Ends the evacuation and whatever else lasts; the zone is sent to again.
    async fn open(&mut self, zone: &str, start: Acknowledged, asked: &[usize]) -> Result<()> {
        self.end(zone, start, asked).await?;
        self.testbed.links.as_ref().context("links")?.join();
        self.cut_off = None;
        self.disturb_control();
        let count = |testbed: &Testbed| -> Vec<u64> {
            testbed.upstreams_in_zone(zone).iter().map(|id| testbed.executions.count_at(id)).collect()
        };
        let before = count(self.testbed);
        let is_sent_to =
            || std::future::ready(count(self.testbed).iter().zip(&before).all(|(now, before)| now > before));
        if let Err(error) =
            wait_until("each upstream of the zone is sent to again", OPENS_WITHIN, is_sent_to).await
        {
            self.faults.push(format!("{zone}: {error:#}"));
        }
        let machines: Vec<usize> = self.machines_to_ask(0, None);
        let is_open = |state: &Value| state["evacuated"] == Value::Array(Vec::new());
        self.testbed.wait_for_state("the zone is open", &machines, is_open).await
    }
}
