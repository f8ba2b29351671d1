//! What each play does to the mesh while the trial lapses.
use super::clients::{has_members, member_row};
use super::model::{LapsePlay, IN_FORCE_S, MEMBER, STEPS};
use super::observation::{LapseStep, Watch};
use crate::faults::restart_gracefully;
use crate::http_connection::Response;
use crate::testbed::Testbed;
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{bail, Context, Result};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// All steps are waited for so long.
const STEP_TIMEOUT: Duration = Duration::from_secs(75);
/// A killed owner is away for so long.
const AWAY_SPAN: Duration = Duration::from_millis(700);
/// After a renewal it is looked on for so long.
const RENEWED_SPAN: Duration = Duration::from_secs(3);
/// Sides that are stopped and started.
const RESTARTED_SIDES: usize = 3;

/// A time for which a node was out of touch, in seconds since the play began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    /// The number of the machine.
    pub(crate) node: usize,
    pub(crate) from_s: f64,
    pub(crate) to_s: f64,
}

/// What a disturbance brought.
#[derive(Debug, Default)]
pub(crate) struct Disturbed {
    pub(crate) outages: Vec<Outage>,
    pub(crate) faults: Vec<String>,
}

/// Wait until any node has come to this step of the first version.
pub(crate) async fn wait_for_step(watch: &Watch, step: u32) -> Result<()> {
    let target = LapseStep { version: 1, step };
    let is_reached = || std::future::ready(watch.highest_step() >= target);
    wait_until(&format!("step {step} of version 1"), STEP_TIMEOUT, is_reached).await
}

/// The machine that owns the lapse's key, as the control machines say.
async fn lapse_owner(testbed: &Testbed) -> Result<usize> {
    let mut newest: Option<(u64, String)> = None;
    for machine in testbed.mesh.control_machines() {
        let row = member_row(testbed.mesh.control(machine)).await;
        let epoch_and_owner =
            row.and_then(|row| Some((row["round"].as_u64()?, row["owner"].as_str()?.to_string())));
        newest = newest.max(epoch_and_owner);
    }
    let (_, address) = newest.context("no control machine names an owner")?;
    let machines = &testbed.mesh.machines;
    let owner = machines.iter().position(|machine| machine.address.to_string() == address);
    owner.with_context(|| format!("{address}: no machine of ours"))
}

/// A mesh that is disturbed, and what watches it.
struct Scene<'s> {
    testbed: &'s mut Testbed,
    watch: &'s Watch,
    outages: Vec<Outage>,
}

impl Scene<'_> {
    fn outage(&mut self, node: usize, from_s: f64) {
        self.outages.push(Outage { node, from_s, to_s: self.watch.now_s() });
    }

    async fn start_and_wait(&mut self, machine: usize, what: &str) -> Result<()> {
        self.testbed.mesh.start(machine, false)?;
        let control = self.testbed.mesh.control(machine);
        wait_until(what, WAIT_TIMEOUT, || has_members(control)).await
    }

    async fn kill_owners(&mut self) -> Result<()> {
        for step in 1..STEPS {
            wait_for_step(self.watch, step).await?;
            let owner = lapse_owner(self.testbed).await?;
            let from_s = self.watch.now_s();
            self.testbed.mesh.kill(owner)?;
            tokio::time::sleep(AWAY_SPAN).await;
            self.start_and_wait(owner, "the killed owner is back").await?;
            self.outage(owner, from_s);
        }
        Ok(())
    }

    async fn wipe_owner(&mut self) -> Result<()> {
        wait_for_step(self.watch, 2).await?;
        let owner = lapse_owner(self.testbed).await?;
        let from_s = self.watch.now_s();
        self.testbed.mesh.kill(owner)?;
        self.testbed.mesh.wipe(owner)?;
        wait_for_step(self.watch, 3).await?;
        self.start_and_wait(owner, "the wiped one is back").await?;
        self.outage(owner, from_s);
        Ok(())
    }

    async fn freeze(&mut self, freezes_owner: bool) -> Result<()> {
        wait_for_step(self.watch, 2).await?;
        let machine = if freezes_owner {
            lapse_owner(self.testbed).await?
        } else {
            self.testbed.mesh.side_machines().start
        };
        let from_s = self.watch.now_s();
        self.testbed.mesh.freeze(machine)?;
        let waited = wait_for_step(self.watch, 4).await;
        self.testbed.mesh.thaw(machine)?;
        self.outage(machine, from_s);
        waited
    }

    async fn restart_some(&mut self) -> Result<()> {
        wait_for_step(self.watch, 1).await?;
        let sides = self.testbed.mesh.side_machines().take(RESTARTED_SIDES);
        let machines: Vec<usize> = sides.chain([lapse_owner(self.testbed).await?]).collect();
        for machine in machines {
            let from_s = self.watch.now_s();
            restart_gracefully(self.testbed, machine).await?;
            self.outage(machine, from_s);
        }
        Ok(())
    }

    async fn renew(&self, first_address: usize, lapses_in_s: f64) -> Result<Response> {
        let operator = self.testbed.operator.beginning_at(first_address);
        let (path, body) = (format!("/-/Members.Renew/{MEMBER}"), json!({ "lapsesInS": lapses_in_s }));
        operator.call("POST", &path, body.to_string().as_bytes()).await
    }

    /// Renew by one operator or two; the version that is in force afterwards.
    async fn renew_all(&self, is_two_operators: bool) -> Result<u64> {
        if !is_two_operators {
            self.renew(0, 1000.0).await?;
            return Ok(2);
        }
        let (one, other) = tokio::join!(self.renew(0, 1000.0), self.renew(1, 2000.0));
        let taken = [&one, &other].iter().filter(|result| result.is_ok()).count();
        println!("  two renewals at once: {taken} taken, {} rejected as a conflict", 2 - taken);
        if taken == 0 {
            bail!("neither renewal was taken: {:?} {:?}", one.err(), other.err());
        }
        Ok(1 + taken as u64)
    }

    /// The last step that each node gave.
    fn last_steps(&self) -> BTreeMap<usize, LapseStep> {
        self.watch.with(|seen| seen.steps.iter().map(|sample| (sample.node, sample.step)).collect())
    }

    /// Renew half-way; a fault if that takes too long to be in force everywhere.
    async fn renewal(&mut self, is_two_operators: bool) -> Result<Option<String>> {
        wait_for_step(self.watch, STEPS / 2).await?;
        let from_s = self.watch.now_s();
        let target = LapseStep { version: self.renew_all(is_two_operators).await?, step: 0 };
        let nodes = self.testbed.mesh.machines.len();
        wait_until("the renewal is everywhere", WAIT_TIMEOUT, || {
            let last = self.last_steps();
            std::future::ready(last.len() == nodes && last.values().all(|step| *step == target))
        })
        .await?;
        let took_s = self.watch.now_s() - from_s;
        println!("  renewed on all {nodes} nodes {took_s:.2} s after the call");
        tokio::time::sleep(RENEWED_SPAN).await;
        Ok((took_s > IN_FORCE_S).then(|| format!("the renewal took {took_s:.2} s")))
    }
}

/// Disturb the mesh as the play says. What went wrong on the way is among the faults.
pub(crate) async fn disturb(play: LapsePlay, testbed: &mut Testbed, watch: &Watch) -> Disturbed {
    let mut scene = Scene { testbed, watch, outages: Vec::new() };
    let result = match play {
        LapsePlay::Calm => Ok(None),
        LapsePlay::OwnerKilled => scene.kill_owners().await.map(|()| None),
        LapsePlay::ControlWiped => scene.wipe_owner().await.map(|()| None),
        LapsePlay::ControlFrozen => scene.freeze(true).await.map(|()| None),
        LapsePlay::SideFrozen => scene.freeze(false).await.map(|()| None),
        LapsePlay::RollingRestart => scene.restart_some().await.map(|()| None),
        LapsePlay::Renewed => scene.renewal(false).await,
        LapsePlay::TwoOperators => scene.renewal(true).await,
    };
    let fault = result.unwrap_or_else(|error| Some(format!("{error:#}")));
    Disturbed { outages: scene.outages, faults: fault.into_iter().collect() }
}
