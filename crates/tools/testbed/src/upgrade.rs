//! An upgrade of the control machines, one at a time: three of them run two builds of the program. Changes are acknowledged
//! before and after one machine is killed, the others read them, and the killed one starts again with the new build.
use crate::client::RequestKind;
use crate::http_connection::call;
use crate::mesh::{Mesh, MeshPlan, OtherProgram};
use crate::operator::{first_configuration, patch, Operator, Route};
use crate::testbed::{get_json, STATE_PATH};
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{Context, Result};
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// A read is answered within this, or asked for again.
const SILENCE: Duration = Duration::from_secs(1);
/// Control machines.
const MACHINES: usize = 3;

/// A run of one mix.
struct Run {
    mesh: Mesh,
    operator: Operator,
    /// Machines below this number run the old build.
    old: usize,
    /// What was seen, in words.
    seen: Vec<String>,
}

impl Run {
    fn build(&self, m: usize) -> &'static str {
        if m < self.old {
            "old"
        } else {
            "new"
        }
    }

    fn name(&self, m: usize) -> String {
        format!("{} ({})", self.mesh.machines[m].name, self.build(m))
    }

    /// Whether a machine itself reads out all that was acknowledged; no redirection is followed.
    async fn reads_all(&self, m: usize) -> bool {
        let answer = call(self.mesh.control(m), "GET", "/-/Config.Get", b"", SILENCE).await;
        answer.is_ok_and(|a| {
            let whole = serde_json::from_slice(&a.body).ok();
            a.status == 200 && whole.is_some_and(|whole| self.operator.missing_from(&whole).is_empty())
        })
    }

    /// Wait until each of these machines reads out all that was acknowledged, and holds the evacuation.
    async fn all_read(&mut self, machines: &[usize], zone: &str) -> Result<()> {
        for m in machines {
            let (began, at) = (Instant::now(), self.mesh.control(*m));
            let what = format!("{} reads all", self.name(*m));
            wait_until(&what, WAIT_TIMEOUT, || self.reads_all(*m)).await?;
            wait_until(&format!("{} knows the evacuation", self.name(*m)), WAIT_TIMEOUT, || async {
                get_json(at, STATE_PATH).await["evacuated"] == serde_json::json!([zone])
            })
            .await?;
            self.seen
                .push(format!("{what} and holds the evacuation, {:.2} s on", began.elapsed().as_secs_f64()));
        }
        Ok(())
    }

    /// A machine of the build that two run, the owner of the configuration if that is one of them.
    async fn victim(&self) -> usize {
        let twice = if self.old >= 2 { 0..self.old } else { self.old..MACHINES };
        for m in twice.clone() {
            let state = get_json(self.mesh.control(m), STATE_PATH).await;
            let mut owned = state["owns"].as_array().into_iter().flatten();
            if owned.any(|key| key["key"] == "configuration") {
                return m;
            }
        }
        twice.start
    }

    async fn play(&mut self, services: &[String]) -> Result<()> {
        let began = Instant::now();
        self.operator.patch(&first_configuration(services, 1)).await.context("the first change")?;
        self.seen.push(format!("first change acknowledged, {:.2} s on", began.elapsed().as_secs_f64()));
        let zone = self.mesh.machines[0].zone.clone();
        self.operator.set_evacuated(&zone, true).await.context("the evacuation")?;
        self.seen.push(format!("evacuation of {zone} acknowledged"));
        self.all_read(&[0, 1, 2], &zone).await?;

        let victim = self.victim().await;
        self.mesh.kill(victim)?;
        self.seen.push(format!("{} killed", self.name(victim)));
        let killed = Instant::now();
        let route = Route::of(&services[0], RequestKind::Safe);
        let second = Route { name: "r-second".to_string(), path_prefix: "/second/".to_string(), ..route };
        self.operator.patch(&patch(&[second], &[], 2)).await.context("the second change")?;
        self.seen.push(format!("second change acknowledged, {:.2} s on", killed.elapsed().as_secs_f64()));
        let others: Vec<usize> = (0..MACHINES).filter(|m| *m != victim).collect();
        self.all_read(&others, &zone).await?;

        let was = self.name(victim);
        self.mesh.use_program(victim, None);
        self.mesh.start(victim, false)?;
        let began = Instant::now();
        wait_until(&format!("{was} reads all with the new build"), WAIT_TIMEOUT, || self.reads_all(victim))
            .await?;
        let took = began.elapsed().as_secs_f64();
        self.seen.push(format!("{was} started with the new build on its disk, reads all {took:.2} s on"));
        Ok(())
    }
}

/// What a play showed.
#[derive(Debug)]
pub struct PlayResult {
    /// What was seen, in words.
    pub seen: Vec<String>,
    /// What went wrong, if anything did.
    pub fault: Option<String>,
}

/// Play one mix: so many of the three run the old build. What was seen, and what went wrong.
///
/// # Errors
/// When the machines can't be started.
pub async fn play(program: &Path, old_build: &OtherProgram, old: usize) -> Result<PlayResult> {
    let plan = MeshPlan { control_count: MACHINES, side_count: 1, ..MeshPlan::default() };
    let mut mesh = Mesh::prepare(&plan, program)?;
    for m in 0..old {
        mesh.use_program(m, Some(old_build.clone()));
    }
    mesh.start_all()?;
    let operator = Operator::new(mesh.control_machines().map(|m| mesh.control(m)).collect());
    let mut run = Run { mesh, operator, old, seen: Vec::new() };
    let fault = run.play(&plan.services).await.err().map(|e| format!("{e:#}"));
    Ok(PlayResult { seen: run.seen, fault })
}

/// Play both mixes so many times and print what was seen; whether nothing went wrong.
///
/// # Errors
/// When the machines can't be started.
pub async fn run(program: &Path, old_build: &OtherProgram, runs: usize) -> Result<bool> {
    let mut good = true;
    for (run, old) in (1..=runs).flat_map(|run| [(run, 2), (run, 1)]) {
        let PlayResult { seen, fault } = play(program, old_build, old).await?;
        let verdict = if fault.is_none() { "kept" } else { "BROKEN" };
        println!("run {run}, {old} old and {} new: {verdict}", MACHINES - old);
        seen.iter().for_each(|line| println!("    {line}"));
        fault.iter().for_each(|line| println!("    BROKEN {line}"));
        good &= fault.is_none();
    }
    Ok(good)
}
