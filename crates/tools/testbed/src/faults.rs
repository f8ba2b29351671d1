//! A short list of faults, each on a mesh of its own with clients on every side, and a table of what the witness saw.
use crate::client::{self, Came, Client, Kind};
use crate::mesh::{Plan, DRAIN_S};
use crate::operator::{patch, Route};
use crate::station::Manner;
use crate::until;
use crate::village::{is_ready, Village, LIMIT};
use crate::witness::{judge, Judged, Tried};
use anyhow::{bail, Result};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Clients on each side.
const CLIENTS: usize = 4;
/// Between two requests of a client.
const PAUSE: Duration = Duration::from_millis(8);
/// The platform asks so often.
const ASKS: Duration = Duration::from_secs(1);
/// Bytes of an upload.
const UPLOAD: usize = 200_000;

/// Clients on all sides, for as long as it lives.
pub struct Clients {
    stop: Arc<AtomicBool>,
    tried: Arc<Mutex<Vec<Tried>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Clients {
    /// Start them. They ask all services, in all kinds; a side that misses its ready calls twice gets no new work.
    pub fn start(village: &Village) -> Self {
        Clients::start_with(village, CLIENTS, PAUSE)
    }

    /// So many on each side, with this pause between two requests of one.
    pub fn start_with(village: &Village, many: usize, pause: Duration) -> Self {
        let (stop, tried): (Arc<AtomicBool>, Arc<Mutex<Vec<Tried>>>) = Default::default();
        let mut tasks = Vec::new();
        for m in village.mesh.sides() {
            let (ready, outbound) = (village.mesh.ready(m), village.mesh.outbound(m));
            let shut = Arc::new(AtomicBool::new(false));
            let (told, ends) = (shut.clone(), stop.clone());
            tasks.push(tokio::spawn(async move {
                let mut missed = 0;
                while !ends.load(Relaxed) {
                    missed = if is_ready(ready).await { 0 } else { missed + 1 };
                    told.store(missed >= 2, Relaxed);
                    tokio::time::sleep(ASKS).await;
                }
            }));
            for c in 0..many {
                let (stop, tried, shut) = (stop.clone(), tried.clone(), shut.clone());
                let services = village.services().to_vec();
                let sender = village.mesh.machines[m].service.clone();
                tasks.push(tokio::spawn(async move {
                    let mut client = Client::new(outbound);
                    for n in c.. {
                        if stop.load(Relaxed) {
                            return;
                        }
                        if shut.load(Relaxed) {
                            tokio::time::sleep(pause).await;
                            continue;
                        }
                        let kind = if n % 40 == 39 { Kind::Upload } else { Kind::ALL[n % 2] };
                        let one = ask(&mut client, kind, &services[n / 2 % services.len()], &sender).await;
                        let wait = match &one.came {
                            Came::Answer(a) => {
                                a.retry_after.map_or(pause, |s| Duration::from_secs_f64(s.clamp(0.0, 1.0)))
                            }
                            _ => pause * 4,
                        };
                        tried.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                        tokio::time::sleep(wait).await;
                    }
                }));
            }
        }
        Clients { stop, tried, tasks }
    }

    /// How many tries have ended.
    pub fn count(&self) -> usize {
        self.tried.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Wait until so many more have ended.
    pub async fn more(&self, n: usize) -> Result<()> {
        let from = self.count();
        until("requests go on", LIMIT, || std::future::ready(self.count() >= from + n)).await
    }

    /// End them; all that they tried.
    pub async fn end(mut self) -> Vec<Tried> {
        self.stop.store(true, Relaxed);
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
        std::mem::take(&mut self.tried.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One try of a kind.
pub async fn ask(client: &mut Client, kind: Kind, service: &str, sender: &str) -> Tried {
    let (id, target) = (client::id(), format!("{}page", kind.lane(service)));
    let body = match kind {
        Kind::Safe => Vec::new(),
        Kind::Unsafe => id.clone().into_bytes(),
        Kind::Upload => id.bytes().cycle().take(UPLOAD).collect(),
    };
    let came = client.ask(&target, &id, &body).await;
    Tried { id, kind, target, sender: sender.to_string(), body, came }
}

/// A fault's name, in the order of the table.
pub const FAULTS: [&str; 8] = [
    "calm",
    "core-wiped",
    "all-core-killed",
    "side-killed",
    "side-frozen",
    "rolling-term",
    "evacuation",
    "two-operators",
];

/// Play one fault under load; what the witness saw, with anything that should have happened and did not.
pub async fn play(fault: &str, program: &Path) -> Result<Judged> {
    let mut village = Village::open(&Plan::default(), Manner::default(), program).await?;
    let clients = Clients::start(&village);
    clients.more(200).await?;
    let mut faults = match disturb(fault, &mut village, &clients).await {
        Ok(faults) => faults,
        Err(e) => vec![format!("{e:#}")],
    };
    if let Err(e) = clients.more(200).await {
        faults.push(format!("{e:#}"));
    }
    let tried = clients.end().await;
    village.idle().await?;
    let mut judged = judge(&tried, &village.runs);
    judged.faults.append(&mut faults);
    match village.operator.get().await {
        Ok(whole) => judged.faults.extend(village.operator.missing(&whole)),
        Err(e) => judged.faults.push(format!("{e:#}")),
    }
    Ok(judged)
}

async fn disturb(fault: &str, v: &mut Village, clients: &Clients) -> Result<Vec<String>> {
    let mut faults = Vec::new();
    let sides: Vec<usize> = v.mesh.sides().collect();
    let service = v.services()[0].clone();
    let extra = |n: u64| Route {
        name: "r-extra".into(),
        lane: format!("/extra/{n}/"),
        ..Route::of(&service, Kind::Safe)
    };
    match fault {
        "calm" => clients.more(1000).await?,
        "core-wiped" => {
            v.mesh.kill(0)?;
            v.mesh.wipe(0)?;
            v.operator.patch(&patch(&[extra(2)], &[], 2)).await?;
            clients.more(300).await?;
            v.mesh.start(0, false)?;
            v.operator.patch(&patch(&[extra(5)], &[], 5)).await?;
            // Once it is back, it answers as the others do; then another one may go.
            let (at, operator) = (v.mesh.control(0), v.operator.clone());
            until("the wiped one answers Config.Get", LIMIT, || async {
                matches!(operator.once(at, "GET", "/-/Config.Get", b"").await, Ok(a) if a.status == 200
                    && serde_json::from_slice(&a.body).is_ok_and(|w| operator.missing(&w).is_empty()))
            })
            .await?;
            v.mesh.kill(1)?;
            clients.more(300).await?;
            v.mesh.start(1, false)?;
        }
        "all-core-killed" => {
            v.operator.patch(&patch(&[extra(2)], &[], 2)).await?;
            for c in v.mesh.cores() {
                v.mesh.kill(c)?;
            }
            clients.more(500).await?;
            for c in v.mesh.cores() {
                v.mesh.start(c, false)?;
            }
            v.operator.patch(&patch(&[extra(4)], &[], 4)).await?;
        }
        "side-killed" => {
            v.mesh.kill(sides[0])?;
            clients.more(300).await?;
            v.mesh.start(sides[0], false)?;
            v.settled().await?;
        }
        "side-frozen" => {
            v.mesh.freeze(sides[0])?;
            tokio::time::sleep(Duration::from_secs(3)).await;
            v.mesh.thaw(sides[0])?;
            v.settled().await?;
        }
        "rolling-term" => {
            for m in sides {
                if let Some(station) = v.stations.remove(&m) {
                    station.leave(Duration::from_secs_f64(DRAIN_S)).await;
                }
                v.mesh.terminate(m)?;
                let name = v.mesh.machines[m].name.clone();
                until(&format!("{name} ends"), LIMIT, || std::future::ready(v.mesh.has_ended(m))).await?;
                v.mesh.start(m, false)?;
                v.station(m).await?;
                v.settled().await?;
            }
        }
        "evacuation" => {
            let zone = v.mesh.machines[sides[0]].zone.clone();
            v.operator.evacuate(&zone, true).await?;
            let has = |s: &serde_json::Value, z: &str| {
                s["evacuated"].as_array().is_some_and(|l| l.iter().any(|e| e == z))
            };
            v.until_told("evacuated", &sides, |s| has(s, &zone)).await?;
            // What was on its way before has its answer by now.
            clients.more(CLIENTS * sides.len() * 2).await?;
            let ids = v.of_zone(&zone);
            let before: Vec<u64> = ids.iter().map(|i| v.runs.at(i)).collect();
            clients.more(500).await?;
            let after: Vec<u64> = ids.iter().map(|i| v.runs.at(i)).collect();
            if before != after {
                faults.push(format!("evacuated, yet sent to: {before:?} then {after:?}"));
            }
            v.operator.evacuate(&zone, false).await?;
            let (runs, first) = (v.runs.clone(), ids.first().cloned().unwrap_or_default());
            until("the zone is sent to again", LIMIT, || std::future::ready(runs.at(&first) > after[0]))
                .await?;
        }
        "two-operators" => {
            let services = v.services().to_vec();
            let send = |start: usize, editions: Vec<u64>, service: String| {
                let operator = v.operator.beginning_at(start);
                async move {
                    let route = Route {
                        name: "r-race".into(),
                        lane: "/race/".into(),
                        ..Route::of(&service, Kind::Safe)
                    };
                    for e in editions {
                        operator.patch(&patch(std::slice::from_ref(&route), &[], e)).await?;
                    }
                    anyhow::Ok(())
                }
            };
            let one = send(0, (0..20).map(|n| 10 + n * 7).collect(), services[0].clone());
            let other = send(1, (0..20).map(|n| 11 + n * 7).collect(), services[1].clone());
            let (a, b) = tokio::join!(one, other);
            a.and(b)?;
            for m in sides {
                let (to, runs) = (v.mesh.outbound(m), v.runs.clone());
                let right: Vec<String> = v
                    .stations
                    .values()
                    .filter(|s| s.service() == services[1])
                    .map(|s| s.id().into())
                    .collect();
                until("the last edition is in force everywhere", LIMIT, || async {
                    let id = client::id();
                    let came = Client::new(to).ask("/race/x", &id, b"").await;
                    came.status() == Some(200) && runs.of(&id).iter().all(|s| right.contains(s))
                })
                .await?;
            }
        }
        other => bail!("{other}: no such fault (one of {FAULTS:?})"),
    }
    Ok(faults)
}

/// Play all faults, or the one named, and print the table; whether nothing was wrong.
pub async fn faults(program: &Path, only: Option<&str>) -> Result<bool> {
    println!(
        "{:<16} {:>6} {:>7} {:>11} {:>9} {:>9}  verdict",
        "fault", "tries", "served", "come-back", "no-word", "not-sent"
    );
    let mut good = true;
    for fault in FAULTS.iter().filter(|f| only.is_none_or(|o| o == **f)) {
        let j = match play(fault, program).await {
            Ok(judged) => judged,
            Err(e) => Judged { faults: vec![format!("{e:#}")], ..Judged::default() },
        };
        let verdict =
            if j.faults.is_empty() { "kept".to_string() } else { format!("{} BROKEN", j.faults.len()) };
        println!(
            "{fault:<16} {:>6} {:>7} {:>11} {:>9} {:>9}  {verdict}",
            j.tried, j.served, j.promised, j.failed, j.not_sent
        );
        for fault in j.faults.iter().take(5) {
            println!("    {fault}");
        }
        good &= j.faults.is_empty();
    }
    println!(
        "kept: nothing that may run once ran twice or after a promise, answers whole with the right stamp, the\n\
         configuration read back as acknowledged, and what each fault waits for came."
    );
    Ok(good)
}
