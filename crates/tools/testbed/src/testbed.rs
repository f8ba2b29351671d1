//! A mesh with all that stands around it: upstreams, an operator, and ways to see what the processes know.
use crate::execution_log::ExecutionLog;
use crate::http_connection::call;
use crate::links::Links;
use crate::mesh::{Mesh, MeshPlan};
use crate::operator::{first_configuration, Operator};
use crate::upstream::{Upstream, UpstreamBehaviour, UpstreamPlace};
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::Result;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A process is asked for something of its own within this.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Lines of a log that are shown where a process does not get ready.
const LOG_LINES: usize = 8;

/// `GET`: what a process knows of itself and of the others. A name of the wire.
pub const STATE_PATH: &str = "/-/Post.State";
/// `GET`: a process's counters. A name of the wire.
pub const METRICS_PATH: &str = "/-/Post.Figures";

/// A small mesh that runs.
pub struct Testbed {
    /// Its machines.
    pub mesh: Mesh,
    /// Stand-in upstreams by the number of their machine.
    pub upstreams: BTreeMap<usize, Upstream>,
    /// What they ran.
    pub executions: Arc<ExecutionLog>,
    /// Its operator.
    pub operator: Operator,
    /// What stands between its machines, if anything does.
    pub links: Option<Links>,
    behaviour: UpstreamBehaviour,
    services: Vec<String>,
}

/// What a process answers to a `GET`; `Null` if it does not answer with JSON.
pub async fn get_json(address: SocketAddr, path: &str) -> Value {
    let answer = call(address, "GET", path, b"", QUERY_TIMEOUT).await;
    answer.ok().and_then(|response| serde_json::from_slice(&response.body).ok()).unwrap_or(Value::Null)
}

/// Whether a process tells the platform that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let answer = call(address, "GET", "/-/ready", b"", QUERY_TIMEOUT).await;
    answer.is_ok_and(|response| response.status == 200)
}

/// The upstreams that a state knows and that may be sent to.
fn known_upstreams(state: &Value) -> impl Iterator<Item = String> + '_ {
    let nodes = state["nodes"].as_array().into_iter().flatten();
    let present = nodes.filter(|node| node["gone"] != true && node["leaving"] != true);
    present.filter_map(|node| node["upstream"].as_str().map(str::to_string))
}

impl Testbed {
    /// Start everything and wait until each sidecar has the configuration and knows all upstreams.
    ///
    /// # Errors
    /// When something does not start or does not get ready in time.
    pub async fn start(plan: &MeshPlan, behaviour: UpstreamBehaviour, program: &Path) -> Result<Self> {
        let mut mesh = Mesh::prepare(plan, program)?;
        let links = if plan.has_links { Some(Links::between(&mesh).await?) } else { None };
        mesh.start_all()?;
        let control_nodes = mesh.control_machines().chain(mesh.spare_machines());
        let operator = Operator::new(control_nodes.map(|machine| mesh.control(machine)).collect());
        let services = plan.services.clone();
        let (upstreams, executions) = (BTreeMap::new(), Arc::default());
        let mut testbed = Testbed { mesh, upstreams, executions, operator, links, behaviour, services };
        for machine in testbed.mesh.side_machines() {
            testbed.start_upstream(machine).await?;
        }
        testbed.operator.patch(&first_configuration(&testbed.services, 1)).await?;
        testbed.wait_until_settled().await?;
        Ok(testbed)
    }

    /// Start a new incarnation of a machine's upstream; the one before it, if any, ends.
    ///
    /// # Errors
    /// When its address does not get free in time.
    pub async fn start_upstream(&mut self, machine: usize) -> Result<()> {
        self.start_upstream_as(machine, self.behaviour.clone()).await
    }

    /// The same, with another behaviour.
    ///
    /// # Errors
    /// When its address does not get free in time.
    pub async fn start_upstream_as(&mut self, machine: usize, behaviour: UpstreamBehaviour) -> Result<()> {
        self.upstreams.remove(&machine);
        let place = UpstreamPlace {
            address: self.mesh.upstream(machine),
            control: self.mesh.control(machine),
            service: self.mesh.machines[machine].service.clone(),
            zone: self.mesh.machines[machine].zone.clone(),
            heartbeat_interval: Duration::from_secs_f64(self.mesh.heartbeat_s()),
        };
        // The address is free once the incarnation before has let go of it, and whatever process was just being started has let go
        // of what it inherited.
        let started = Mutex::new(None);
        wait_until("the upstream's address", WAIT_TIMEOUT, || {
            let start = Upstream::start(place.clone(), behaviour.clone(), self.executions.clone());
            let started = &started;
            async move {
                let Ok(upstream) = start.await else { return false };
                started.lock().unwrap_or_else(PoisonError::into_inner).replace(upstream);
                true
            }
        })
        .await?;
        let upstream = started.into_inner().unwrap_or_else(PoisonError::into_inner);
        self.upstreams.extend(upstream.map(|upstream| (machine, upstream)));
        Ok(())
    }

    /// Wait until each sidecar has a configuration and knows every upstream that is up, and none that is not.
    ///
    /// # Errors
    /// When that is not so in time; with the sidecar's state and log.
    pub async fn wait_until_settled(&mut self) -> Result<()> {
        let wanted: BTreeSet<String> =
            self.upstreams.values().map(|upstream| upstream.id().to_string()).collect();
        for machine in self.mesh.side_machines() {
            let own = self.upstreams.get(&machine).map(|upstream| upstream.id().to_string());
            let (control, ready) = (self.mesh.control(machine), self.mesh.ready(machine));
            let look = || async {
                let state = get_json(control, STATE_PATH).await;
                let known: BTreeSet<String> = known_upstreams(&state).chain(own.clone()).collect();
                state["configured"] == true && known == wanted && is_ready(ready).await
            };
            let what = format!("{} knows all", self.mesh.machines[machine].name);
            if let Err(error) = wait_until(&what, WAIT_TIMEOUT, look).await {
                let state = get_json(control, STATE_PATH).await;
                let log = self.mesh.log(machine, LOG_LINES).join("\n");
                return Err(error.context(format!("wanted {wanted:?}\nstate {state}\nlog {log}")));
            }
        }
        Ok(())
    }

    /// Wait until the state of each of these machines' processes is so.
    ///
    /// # Errors
    /// When that is not so in time.
    pub async fn wait_for_state(
        &self,
        what: &str,
        machines: &[usize],
        is_so: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        for machine in machines {
            let control = self.mesh.control(*machine);
            let what = format!("{}: {what}", self.mesh.machines[*machine].name);
            wait_until(&what, WAIT_TIMEOUT, || async { is_so(&get_json(control, STATE_PATH).await) }).await?;
        }
        Ok(())
    }

    /// Wait until nothing is at work any more.
    ///
    /// # Errors
    /// When something still is when the time is out.
    pub async fn wait_until_idle(&self) -> Result<()> {
        let is_idle = || std::future::ready(self.executions.in_flight() == 0);
        wait_until("nothing is at work", WAIT_TIMEOUT, is_idle).await
    }

    /// Services here.
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// Names of the upstreams of a zone.
    pub fn upstreams_in_zone(&self, zone: &str) -> Vec<String> {
        let of_zone = self.upstreams.values().filter(|upstream| upstream.zone() == zone);
        of_zone.map(|upstream| upstream.id().to_string()).collect()
    }
}
