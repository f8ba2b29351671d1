//! What each play does to the control machines.
use super::model::{PlayExtent, PlayResult};
use super::reads::{configuration_owner, wait_for_complete_read, Prober};
use super::writer::Writer;
use crate::testbed::{get_json, is_ready, Testbed, STATE_PATH};
use crate::traffic::Clients;
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{Context, Result};
use serde_json::Value;
use tokio::time::Instant;

/// What a play works with.
pub(crate) struct Stage<'s> {
    pub(crate) testbed: &'s mut Testbed,
    pub(crate) clients: &'s Clients,
    pub(crate) writer: &'s Writer,
    pub(crate) extent: PlayExtent,
    pub(crate) result: &'s mut PlayResult,
}

/// Whether a sidecar's freshness (a name of the wire) says that it went on without what was acknowledged before its start.
const BOUND_PASSED: &str = "bound passed";

impl Stage<'_> {
    fn figure(&mut self, text: String) {
        self.result.figures.push(text);
    }

    fn fault(&mut self, text: String) {
        self.result.verdict.faults.push(text);
    }

    async fn wait_for_complete_read(&mut self, machine: usize, what: &str) -> Result<std::time::Duration> {
        let faults = &mut self.result.verdict.faults;
        wait_for_complete_read(self.testbed, machine, what, faults).await
    }

    /// The owner of the configuration is cut off from all but a sidecar, which is started again below it.
    pub(crate) async fn cut(&mut self) -> Result<()> {
        let isolated = configuration_owner(self.testbed).await?;
        let below = self.testbed.mesh.side_machines().next_back().context("a side")?;
        self.testbed.mesh.kill(below)?;
        let began = Instant::now();
        self.testbed.links.as_ref().context("links")?.cut(&[isolated, below]);
        let prober = Prober::start(self.testbed, isolated);
        self.writer.wait_for_more(2, "the others acknowledge without it").await?;
        let seconds = began.elapsed().as_secs_f64();
        self.figure(format!("the others acknowledge again after {seconds:.1} s"));
        self.testbed.mesh.start_with_seeds(below, &[isolated])?;
        let control = self.testbed.mesh.control(below);
        wait_until("the sidecar below it is there", WAIT_TIMEOUT, || async {
            !get_json(control, STATE_PATH).await.is_null()
        })
        .await?;
        self.watch_below(below, began).await?;
        self.clients.wait_for_more(50).await?;
        let during = prober.result();
        self.figure(format!("cut for {:.1} s", began.elapsed().as_secs_f64()));
        self.testbed.links.as_ref().context("links")?.join();
        let joined = Instant::now();
        self.wait_for_complete_read(isolated, "the machine that was cut off reads all again").await?;
        let seconds = joined.elapsed().as_secs_f64();
        self.figure(format!("it reads all again {seconds:.1} s after the end of the cut"));
        let ready = self.testbed.mesh.ready(below);
        wait_until("the sidecar below it is ready", WAIT_TIMEOUT, || is_ready(ready)).await?;
        self.writer.wait_for_more(10, "after the cut").await?;
        for answer in ["read 503", "order 503"] {
            if !during.answers.contains_key(answer) {
                self.fault(format!("cut off, it never answered {answer}: {:?}", during.answers));
            }
        }
        self.result.cut_off = during.answers;
        self.result.verdict.faults.extend(prober.result().faults);
        Ok(())
    }

    /// Go on until the cut has lasted; a sidecar below the machine that is cut off must not get ready.
    async fn watch_below(&mut self, below: usize, began: Instant) -> Result<()> {
        let control = self.testbed.mesh.control(below);
        let target = self.writer.count() + self.extent.changes;
        let mut known = String::new();
        while self.writer.count() < target || began.elapsed() < self.extent.cut {
            self.writer.wait_for_more(1, "the others acknowledge while it is cut off").await?;
            let state = get_json(control, STATE_PATH).await;
            let freshness = state["freshness"].as_str().unwrap_or("").to_string();
            if state["ready"] == true && freshness != BOUND_PASSED {
                self.fault(format!("a sidecar below the machine that is cut off is ready: {freshness:?}"));
                break;
            }
            if freshness != known {
                let seconds = began.elapsed().as_secs_f64();
                self.figure(format!("below it, {seconds:.1} s into the cut: {freshness}"));
                known = freshness;
            }
        }
        Ok(())
    }

    /// A control machine is replaced in plan, and another one is lost: as the leaver is told to end, or (`is_loss_later`) once it has
    /// gone.
    pub(crate) async fn replace(&mut self, is_loss_later: bool) -> Result<()> {
        let leaver = configuration_owner(self.testbed).await?;
        let mesh = &mut self.testbed.mesh;
        let lost = mesh.control_machines().find(|machine| *machine != leaver).context("another one")?;
        let newcomer = mesh.spare_machines().next().context("a spare one")?;
        mesh.start(newcomer, false)?;
        let address = mesh.machines[newcomer].address.to_string();
        // It may come for one that goes once all know that it knows the replica set, and is not in it.
        let control: Vec<usize> = mesh.control_machines().collect();
        let may_replace = |state: &Value| knows_newcomer(state, &address);
        self.testbed.wait_for_state("the newcomer may come for another one", &control, may_replace).await?;
        let began = Instant::now();
        self.testbed.mesh.terminate(leaver)?;
        if !is_loss_later {
            self.testbed.mesh.kill(lost)?;
        }
        let mesh = &mut self.testbed.mesh;
        wait_until("the leaver ends", WAIT_TIMEOUT, || std::future::ready(mesh.has_ended(leaver))).await?;
        self.figure(format!("the leaver was gone after {:.1} s", began.elapsed().as_secs_f64()));
        if is_loss_later {
            self.testbed.mesh.kill(lost)?;
        }
        let gone = Instant::now();
        self.writer.wait_for_more(2, "with the leaver gone and another one lost").await?;
        let seconds = gone.elapsed().as_secs_f64();
        self.figure(format!("changes go on {seconds:.1} s after both have gone"));
        self.writer.wait_for_more(20, "with the leaver gone and another one lost").await?;
        self.clients.wait_for_more(50).await?;
        self.testbed.mesh.start(lost, false)?;
        self.wait_for_complete_read(lost, "the lost one reads all again").await?;
        self.wait_for_complete_read(newcomer, "the newcomer reads all").await?;
        Ok(())
    }

    /// A control machine restarts after many changes that it missed; then another one is lost, so that what it has counts.
    pub(crate) async fn restart(&mut self) -> Result<()> {
        let owner = configuration_owner(self.testbed).await?;
        let mesh = &mut self.testbed.mesh;
        let restarted = mesh.control_machines().find(|machine| *machine != owner).context("another one")?;
        mesh.kill(restarted)?;
        let missed = self.extent.changes_before_restart;
        self.writer.wait_for_more(missed, "with one control machine down").await?;
        let prober = Prober::start(self.testbed, restarted);
        self.testbed.mesh.start(restarted, false)?;
        let took = self.wait_for_complete_read(restarted, "the restarted one reads all").await?;
        self.figure(format!("it reads all {:.2} s after its start", took.as_secs_f64()));
        self.testbed.mesh.kill(owner)?;
        let lost = Instant::now();
        self.writer.wait_for_more(2, "with the restarted one needed").await?;
        let seconds = lost.elapsed().as_secs_f64();
        self.figure(format!("changes go on {seconds:.1} s after another one was lost"));
        self.writer.wait_for_more(20, "with the restarted one needed").await?;
        self.clients.wait_for_more(50).await?;
        self.testbed.mesh.start(owner, false)?;
        self.wait_for_complete_read(owner, "the one that owned it reads all again").await?;
        let probed = prober.result();
        self.figure(format!("the restarted one answered {:?}", probed.answers));
        self.result.verdict.faults.extend(probed.faults);
        Ok(())
    }
}

/// Whether a control machine's state says that a newcomer knows the replica set (the wire's `holders`) and is not in it.
fn knows_newcomer(state: &Value, address: &str) -> bool {
    let nodes = state["nodes"].as_array().into_iter().flatten();
    let mut present = nodes.filter(|node| node["gone"] != true);
    present.any(|node| {
        let replica_set = node["holders"].as_array();
        node["node"] == address
            && replica_set.is_some_and(|set| !set.is_empty() && !set.iter().any(|member| member == address))
    })
}
