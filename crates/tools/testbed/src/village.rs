//! A mesh with all that stands around it: stations, an operator, and ways to see what the processes know.
use crate::line::call;
use crate::links::Links;
use crate::mesh::{Mesh, Plan};
use crate::operator::{first, Operator};
use crate::station::{Manner, Place, Runs, Station};
use crate::until;
use anyhow::Result;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// How long anything here is waited for.
pub const LIMIT: Duration = Duration::from_secs(20);

/// A small mesh that runs.
pub struct Village {
    /// Its machines.
    pub mesh: Mesh,
    /// Stand-in upstreams by the number of their machine.
    pub stations: BTreeMap<usize, Station>,
    /// What they ran.
    pub runs: Arc<Runs>,
    /// Its operator.
    pub operator: Operator,
    /// What stands between its machines, if anything does.
    pub links: Option<Links>,
    manner: Manner,
    services: Vec<String>,
}

/// What a process tells of itself; `Null` if it does not answer.
pub async fn told(at: SocketAddr, call_name: &str) -> Value {
    let said = call(at, "GET", call_name, b"", Duration::from_secs(1)).await;
    said.ok().and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or(Value::Null)
}

/// Whether the platform is told yes.
pub async fn is_ready(at: SocketAddr) -> bool {
    matches!(call(at, "GET", "/-/ready", b"", Duration::from_secs(1)).await, Ok(a) if a.status == 200)
}

impl Village {
    /// Start everything and wait until each sidecar has the configuration and knows all upstreams.
    pub async fn open(plan: &Plan, manner: Manner, program: &Path) -> Result<Self> {
        let mut mesh = Mesh::lay(plan, program)?;
        let links = if plan.links { Some(Links::between(&mesh).await?) } else { None };
        mesh.start_all()?;
        let offices = mesh.cores().chain(mesh.spares());
        let operator = Operator::new(offices.map(|c| mesh.control(c)).collect());
        let (stations, runs, services) = (BTreeMap::new(), Arc::default(), plan.services.clone());
        let mut village = Village { mesh, stations, runs, operator, links, manner, services };
        for m in village.mesh.sides() {
            village.station(m).await?;
        }
        village.operator.patch(&first(&village.services, 1)).await?;
        village.settled().await?;
        Ok(village)
    }

    /// Start a new life of a machine's upstream; the one before it, if any, ends.
    pub async fn station(&mut self, m: usize) -> Result<()> {
        let manner = self.manner.clone();
        self.station_of(m, manner).await
    }

    /// The same, in another manner.
    pub async fn station_of(&mut self, m: usize, manner: Manner) -> Result<()> {
        self.stations.remove(&m);
        let machine = &self.mesh.machines[m];
        let place = Place {
            at: self.mesh.station(m),
            control: self.mesh.control(m),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            beat: Duration::from_secs_f64(self.mesh.beat_s()),
        };
        // The address is free once the life before has let go of it, and whatever process was just being started has let go
        // of what it inherited.
        let started = std::sync::Mutex::new(None);
        until("the station's address", LIMIT, || {
            let start = Station::start(place.clone(), manner.clone(), self.runs.clone());
            let started = &started;
            async move {
                let Ok(station) = start.await else { return false };
                started.lock().unwrap_or_else(std::sync::PoisonError::into_inner).replace(station);
                true
            }
        })
        .await?;
        let station = started.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
        self.stations.extend(station.map(|station| (m, station)));
        Ok(())
    }

    /// Wait until each side has a configuration and knows every station that is up, and none that is not.
    pub async fn settled(&mut self) -> Result<()> {
        for m in self.mesh.sides() {
            let wanted: BTreeSet<String> = self.stations.values().map(|s| s.id().to_string()).collect();
            let own = self.stations.get(&m).map(|s| s.id().to_string());
            let (control, ready) = (self.mesh.control(m), self.mesh.ready(m));
            let look = || async {
                let state = told(control, "/-/Post.State").await;
                let nodes = state["nodes"].as_array().into_iter().flatten();
                let there = nodes.filter(|n| n["gone"] != true && n["leaving"] != true);
                let mut known: BTreeSet<String> =
                    there.filter_map(|n| n["upstream"].as_str().map(str::to_string)).collect();
                known.extend(own.clone());
                state["configured"] == true && known == wanted && is_ready(ready).await
            };
            let waited = until(&format!("{} knows all", self.mesh.machines[m].name), LIMIT, look).await;
            if let Err(e) = waited {
                let state = told(control, "/-/Post.State").await;
                let log = self.mesh.log(m, 8).join("\n");
                return Err(e.context(format!("wanted {wanted:?}\nstate {state}\nlog {log}")));
            }
        }
        Ok(())
    }

    /// Wait until each of these machines' processes tells something of its state.
    pub async fn until_told(&self, what: &str, of: &[usize], so: impl Fn(&Value) -> bool) -> Result<()> {
        for m in of {
            let control = self.mesh.control(*m);
            let what = format!("{}: {what}", self.mesh.machines[*m].name);
            until(&what, LIMIT, || async { so(&told(control, "/-/Post.State").await) }).await?;
        }
        Ok(())
    }

    /// Wait until nothing is at work any more.
    pub async fn idle(&self) -> Result<()> {
        until("nothing is at work", LIMIT, || std::future::ready(self.runs.working() == 0)).await
    }

    /// Services here.
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// Names of the stations of a zone.
    pub fn of_zone(&self, zone: &str) -> Vec<String> {
        self.stations.values().filter(|s| s.zone() == zone).map(|s| s.id().to_string()).collect()
    }
}
