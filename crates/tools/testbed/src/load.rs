//! What a request costs on its way through two sidecars, beside the same way through two bare forwarders in the same run.
use crate::client::{Came, Client, Kind};
use crate::mesh::Plan;
use crate::operator::{patch, Route};
use crate::station::Manner;
use crate::village::{told, Village};
use anyhow::{Context, Result};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A forwarder costs this much less than the chain at the most.
pub const RATIO: f64 = 2.0;
/// A process at rest holds this much memory at the most, in KiB.
pub const REST_KIB: u64 = 16 * 1024;
/// Chain and forwarders take turns so often.
const TURNS: u32 = 3;
/// A tick of the kernel's processor time.
const TICK_US: u64 = 10_000;

/// Processor time that a process has used, in microseconds.
pub fn cpu_us(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = text.rsplit_once(')')?.1;
    let field = |n: usize| rest.split_whitespace().nth(n).and_then(|v| v.parse::<u64>().ok());
    Some((field(11)? + field(12)?) * TICK_US)
}

/// Memory that a process holds, in KiB.
pub fn resident_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// A bare forwarder as a process of its own: this program's `forward`. Dropping it ends it.
struct Forwarder {
    child: Child,
    at: SocketAddr,
}

impl Forwarder {
    fn start(to: SocketAddr) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["forward", &to.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let mut first = String::new();
        let heard = child.stderr.take().map(|e| BufReader::new(e).read_line(&mut first));
        let mut forwarder = Forwarder { child, at: to };
        heard.context("no standard error")??;
        let value: serde_json::Value = serde_json::from_str(&first).unwrap_or_default();
        let at = value["listen"].as_str().and_then(|a| a.parse().ok());
        forwarder.at = at.with_context(|| format!("the forwarder did not start: {first}"))?;
        Ok(forwarder)
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What one way has cost.
#[derive(Clone, Debug, Default)]
struct Cost {
    served: u64,
    /// Answers other than 200, by what they were.
    failed: BTreeMap<String, u64>,
    seconds: f64,
    cpu_us: u64,
}

impl Cost {
    fn per(&self) -> f64 {
        self.cpu_us as f64 / self.served.max(1) as f64
    }
}

/// What is asked of both ways.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// How long each way is loaded, in seconds.
    pub seconds: f64,
    /// Clients, each with one connection.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Requests a second over all clients; 0: each asks again at once.
    pub rate: f64,
    /// So many members stand, and requests carry a member's key; with 0 they carry it and no member was ever sent.
    pub members: Option<usize>,
}

async fn go(
    load: Load,
    span: Duration,
    to: SocketAddr,
    target: &str,
    pids: &[u32],
    sum: &mut Cost,
) -> Result<()> {
    let used = || pids.iter().map(|p| cpu_us(*p)).sum::<Option<u64>>().context("a process has ended");
    let (before, began) = (used()?, Instant::now());
    let clients: Vec<_> = (0..load.connections)
        .map(|n| {
            let target = format!("{target}{n}");
            tokio::spawn(async move {
                let mut client = Client::new(to);
                if load.members.is_some() {
                    client = client.with("Club", "k-0");
                }
                let body = vec![b'x'; load.body];
                let (mut served, mut failed, base) = (0u64, Vec::new(), crate::fresh());
                while began.elapsed() < span {
                    let id = format!("{:016x}", base.wrapping_add(served + failed.len() as u64));
                    match client.ask(&target, &id, &body).await {
                        Came::Answer(a) if a.status == 200 => served += 1,
                        Came::Answer(a) => {
                            failed.push(format!("{} {}", a.status, String::from_utf8_lossy(&a.body).trim()));
                        }
                        other => failed.push(format!("{other:?}")),
                    }
                    if load.rate > 0.0 {
                        let next =
                            (served + failed.len() as u64) as f64 * load.connections as f64 / load.rate;
                        let next = Duration::from_secs_f64(next);
                        tokio::time::sleep(next.saturating_sub(began.elapsed())).await;
                    }
                }
                (served, failed)
            })
        })
        .collect();
    for client in clients {
        let (served, failed) = client.await?;
        sum.served += served;
        failed.into_iter().for_each(|f| *sum.failed.entry(f).or_default() += 1);
    }
    sum.seconds += began.elapsed().as_secs_f64();
    sum.cpu_us += used()? - before;
    Ok(())
}

/// Measure and print; whether both goals were met.
pub async fn load(program: &Path, load: Load) -> Result<bool> {
    let plan = Plan { core: 1, side: 2, zones: 1, ..Plan::default() };
    let slots = load.connections.max(16);
    let manner = Manner { slots, work: Duration::ZERO, witnessed: false, ..Manner::default() };
    let village = Village::open(&plan, manner, program).await?;
    let mesh = &village.mesh;
    let sides: Vec<usize> = mesh.sides().collect();
    let service = mesh.machines[sides[1]].service.clone();
    // Ranked first and repeatable: nothing but the way is measured.
    let route = Route { name: "r-load".into(), lane: "/load/".into(), ..Route::of(&service, Kind::Safe) };
    village.operator.patch(&patch(&[route], &[], 2)).await?;
    if let Some(members) = load.members.filter(|n| *n > 0) {
        let item = |n| json!({ "name": format!("m-{n}"), "key": format!("k-{n}"), "plan": "trial", "lapsesAt": 4e9, "edition": 1 });
        let items: Vec<_> = (0..members).map(item).collect();
        let call =
            json!({ "deliver": { "membership": { "header": "club", "edition": 1 }, "members": items } });
        village.operator.patch(&call).await?;
    }
    let to = mesh.outbound(sides[0]);
    crate::until("the route takes hold", crate::village::LIMIT, || async {
        Client::new(to).ask("/load/first", &crate::client::id(), b"").await.status() == Some(200)
    })
    .await?;
    let pid = |m: usize| mesh.pid(m).context("a process has ended");
    let chain = [pid(sides[0])?, pid(sides[1])?];
    let all: Vec<u32> = (0..mesh.machines.len()).filter_map(|m| mesh.pid(m)).collect();
    let rest: Vec<u64> = all.iter().filter_map(|p| resident_kib(*p)).collect();
    let second = Forwarder::start(mesh.station(sides[1]))?;
    let first = Forwarder::start(second.at)?;
    let forwarders = [first.child.id(), second.child.id()];
    let (mut ours, mut bare) = (Cost::default(), Cost::default());
    let span = Duration::from_secs_f64(load.seconds / f64::from(TURNS));
    for _ in 0..TURNS {
        go(load, span, to, "/load/", &chain, &mut ours).await?;
        go(load, span, first.at, "/load/", &forwarders, &mut bare).await?;
    }
    let after: Vec<u64> = all.iter().filter_map(|p| resident_kib(*p)).collect();
    println!("{} connections, {} s each, bodies of {} bytes", load.connections, load.seconds, load.body);
    println!("{:<26} {:>12} {:>8} {:>16}", "two hops through", "requests/s", "failed", "CPU us/request");
    for (name, c) in [("two sidecars", &ours), ("two bare forwarders", &bare)] {
        let rate = c.served as f64 / c.seconds.max(1e-9);
        println!("{name:<26} {rate:>12.0} {:>8} {:>16.1}", c.failed.values().sum::<u64>(), c.per());
        for (what, n) in &c.failed {
            println!("    {n} times {what}");
        }
    }
    if !ours.failed.is_empty() {
        for m in &sides {
            let figures = told(mesh.control(*m), "/-/Post.Figures").await;
            println!("    {}: {figures}", mesh.machines[*m].name);
            mesh.log(*m, 4).iter().for_each(|l| println!("      {l}"));
        }
    }
    let ratio = ours.per() / bare.per().max(1e-9);
    let met = |so: bool| if so { "met" } else { "NOT met" };
    println!("ratio {ratio:.2} (goal: at most {RATIO:.1}): {}", met(ratio <= RATIO));
    let mib = |k: &u64| format!("{:.1}", *k as f64 / 1024.0);
    let list = |l: &[u64]| l.iter().map(mib).collect::<Vec<_>>().join(" ");
    let small = rest.iter().all(|k| *k < REST_KIB);
    println!("resident MB at rest, core then sides: {} (goal: under 16): {}", list(&rest), met(small));
    println!("resident MB after the load:           {}", list(&after));
    Ok(ratio <= RATIO && small)
}
