//! Control machines under the worst days, with the real program and load: a cut, a planned replacement that a second loss meets,
//! a restart after many changes. A plain judge goes by what operators and clients were told.
use crate::faults::Clients;
use crate::line::call;
use crate::mesh::Plan;
use crate::operator::{patch, Operator, Route};
use crate::station::Manner;
use crate::until;
use crate::village::{told, Village, LIMIT};
use crate::witness::{judge, Judged};
use anyhow::{bail, Context, Result};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A play's name, in the order of the table.
pub const PLAYS: [&str; 4] = ["cut", "replace", "replace-then-loss", "restart"];
/// The grace of a planned replacement, in seconds: a leaver goes as soon as it is replaced.
const GRACE_S: f64 = 6.0;
/// Machines with an upstream.
const SIDES: usize = 3;
/// Between two looks at a machine that was cut off.
const LOOKS: Duration = Duration::from_millis(50);
/// Routes that are changed in turn.
const ROUTES: u64 = 40;
/// Lines of each control machine's log that are kept where a play fails.
const LINES: usize = 60;
/// The platform asks and the operator sends within this, or goes elsewhere.
const SILENCE: Duration = Duration::from_secs(1);

/// How long a play goes on.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// A cut lasts until so many changes were acknowledged by the others, and so long at least.
    pub changes: u64,
    /// See `changes`.
    pub cut: Duration,
    /// Changes before a restart.
    pub before_restart: u64,
    /// Clients on each side, and the pause between two requests of one, and between two changes of the operator.
    pub load: (usize, Duration, Duration),
}

impl Extent {
    /// The full size.
    pub const FULL: Extent = Extent {
        changes: 300,
        cut: Duration::from_secs(20),
        before_restart: 300,
        load: (4, Duration::from_millis(8), Duration::from_millis(5)),
    };
    /// As CI plays it.
    pub const SHORT: Extent = Extent {
        changes: 20,
        cut: Duration::ZERO,
        before_restart: 60,
        load: (1, Duration::from_millis(40), Duration::from_millis(20)),
    };
}

/// What a play showed.
#[derive(Debug, Default)]
pub struct Seen {
    /// What clients saw, and all faults.
    pub judged: Judged,
    /// Changes that were acknowledged.
    pub changes: u64,
    /// What a machine that was cut off answered, and how often.
    pub cut_off: BTreeMap<String, u64>,
    /// Figures to be reported, in words; nothing goes by them.
    pub figures: Vec<String>,
}

fn changed(service: &str, n: u64) -> Value {
    let route = Route::of(service, crate::client::Kind::Safe);
    let (name, lane) = (format!("r-change-{}", n % ROUTES), format!("/change/{}/", n % ROUTES));
    patch(&[Route { name, lane, ..route }], &[], n)
}

/// An operator that sends one change after the other, each until it is acknowledged.
struct Writer {
    done: Arc<AtomicU64>,
    task: JoinHandle<Result<()>>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Writer {
    fn start(village: &Village, pause: Duration) -> Self {
        let done: Arc<AtomicU64> = Arc::default();
        let (operator, service, count) =
            (village.operator.clone(), village.services()[0].clone(), done.clone());
        let task = tokio::spawn(async move {
            for n in 10.. {
                operator.beginning_at(n as usize).patch(&changed(&service, n)).await?;
                count.fetch_add(1, Relaxed);
                tokio::time::sleep(pause).await;
            }
            Ok(())
        });
        Writer { done, task }
    }

    fn count(&self) -> u64 {
        self.done.load(Relaxed)
    }

    /// Wait until so many more are acknowledged.
    async fn more(&self, n: u64, what: &str) -> Result<()> {
        let (mut last, mut since) = (self.count(), Instant::now());
        let to = last + n;
        while last < to {
            if self.task.is_finished() || since.elapsed() > LIMIT {
                bail!("{what}: the operator got no further than {last} changes");
            }
            tokio::time::sleep(LOOKS).await;
            if self.count() > last {
                (last, since) = (self.count(), Instant::now());
            }
        }
        Ok(())
    }
}

/// What a machine answers to a read: 200 only with all that was acknowledged before it was asked.
async fn read_at(at: SocketAddr, operator: &Operator) -> (String, Vec<String>) {
    let before = operator.so_far();
    match call(at, "GET", "/-/Config.Get", b"", SILENCE).await {
        Ok(a) if a.status == 200 => {
            let faults = match serde_json::from_slice(&a.body) {
                Ok(whole) => before.missing(&whole),
                Err(e) => vec![e.to_string()],
            };
            (
                "read 200".to_string(),
                faults.into_iter().map(|f| format!("an old page at {at}: {f}")).collect(),
            )
        }
        Ok(a) => (format!("read {}", a.status), Vec::new()),
        Err(_) => ("read: no answer".to_string(), Vec::new()),
    }
}

/// Answers, and how often each came; and what was wrong with them.
type Answers = (BTreeMap<String, u64>, Vec<String>);

/// Somebody who asks one machine to read and to change, all the time.
struct Prober {
    seen: Arc<Mutex<Answers>>,
    task: JoinHandle<()>,
}

impl Drop for Prober {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Prober {
    fn start(village: &Village, m: usize) -> Self {
        let seen: Arc<Mutex<Answers>> = Arc::default();
        let (at, operator, notes) = (village.mesh.control(m), village.operator.clone(), seen.clone());
        let service = village.services()[0].clone();
        let task = tokio::spawn(async move {
            for n in 10.. {
                let (mut said, mut faults) = read_at(at, &operator).await;
                let route = Route::of(&service, crate::client::Kind::Safe);
                let change =
                    patch(&[Route { name: "r-apart".into(), lane: "/apart/".into(), ..route }], &[], n);
                let body = change.to_string();
                let order = match call(at, "POST", "/-/Config.Patch", body.as_bytes(), SILENCE).await {
                    Ok(a) => {
                        // What is acknowledged has to be read back, whoever did so.
                        if a.status == 200 {
                            operator.note(&change);
                        }
                        format!("order {}", a.status)
                    }
                    Err(_) => "order: no answer".to_string(),
                };
                {
                    let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
                    for s in [std::mem::take(&mut said), order] {
                        *notes.0.entry(s).or_default() += 1;
                    }
                    notes.1.append(&mut faults);
                }
                tokio::time::sleep(LOOKS).await;
            }
        });
        Prober { seen, task }
    }

    /// What was answered so far, and what was wrong with it.
    fn seen(&self) -> Answers {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The control machine that owns the configuration.
async fn owner(v: &Village) -> Result<usize> {
    let found = Mutex::new(None);
    until("somebody owns the configuration", LIMIT, || async {
        for c in v.mesh.cores() {
            let state = told(v.mesh.control(c), "/-/Post.State").await;
            let mut keys = state["ledger"]["keys"].as_array().into_iter().flatten();
            if keys.any(|k| k["key"] == "configuration" && k["role"] == "owner") {
                found.lock().unwrap_or_else(PoisonError::into_inner).replace(c);
                return true;
            }
        }
        false
    })
    .await?;
    let c = *found.lock().unwrap_or_else(PoisonError::into_inner);
    c.context("an owner")
}

/// Wait until a machine answers a read with all that was acknowledged before.
async fn reads_all(v: &Village, m: usize, what: &str, faults: &mut Vec<String>) -> Result<Duration> {
    let (began, at) = (Instant::now(), v.mesh.control(m));
    let wrong = Mutex::new(Vec::new());
    until(what, LIMIT, || async {
        let (said, mut faults) = read_at(at, &v.operator).await;
        let whole = said == "read 200" && faults.is_empty();
        wrong.lock().unwrap_or_else(PoisonError::into_inner).append(&mut faults);
        whole
    })
    .await?;
    faults.append(&mut wrong.into_inner().unwrap_or_else(PoisonError::into_inner));
    Ok(began.elapsed())
}

/// Play one; all that was seen.
pub async fn play(name: &str, program: &Path, extent: Extent) -> Result<Seen> {
    let plan = match name {
        "cut" => Plan { links: true, side: SIDES, ..Plan::default() },
        "replace" | "replace-then-loss" => {
            let mut plan = Plan { spare: 1, side: SIDES, ..Plan::default() };
            plan.bounds.iter_mut().filter(|b| b.0 == "graceS").for_each(|b| b.1 = GRACE_S);
            plan
        }
        _ => Plan { side: SIDES, ..Plan::default() },
    };
    let mut v = Village::open(&plan, Manner::default(), program).await?;
    let (many, pause, between) = extent.load;
    let clients = Clients::start_with(&v, many, pause);
    clients.more(50).await?;
    let writer = Writer::start(&v, between);
    writer.more(10, "at the start").await?;
    let mut seen = Seen::default();
    let went = match name {
        "cut" => cut(&mut v, &clients, &writer, extent, &mut seen).await,
        "replace" => replace(&mut v, &clients, &writer, false, &mut seen).await,
        "replace-then-loss" => replace(&mut v, &clients, &writer, true, &mut seen).await,
        "restart" => restart(&mut v, &clients, &writer, extent, &mut seen).await,
        other => bail!("{other}: no such play (one of {PLAYS:?})"),
    };
    let mut faults = std::mem::take(&mut seen.judged.faults);
    if let Err(e) = went {
        faults.push(format!("{e:#}"));
        // As it is now: what a machine thinks, and what it said last.
        for m in v.mesh.cores().chain(v.mesh.spares()) {
            let (name, pid) = (&v.mesh.machines[m].name, v.mesh.pid(m));
            let state = told(v.mesh.control(m), "/-/Post.State").await;
            faults.push(format!("{name} (process {pid:?}) says of itself: {state}"));
            faults.extend(v.mesh.log(m, LINES).into_iter().map(|line| format!("{name} logged: {line}")));
        }
    }
    faults.extend(clients.more(50).await.err().map(|e| format!("{e:#}")));
    seen.changes = writer.count();
    drop(writer);
    let tried = clients.end().await;
    v.idle().await?;
    seen.judged = judge(&tried, &v.runs);
    // Whoever runs has all that was acknowledged.
    for m in v.mesh.cores().chain(v.mesh.spares()).filter(|m| v.mesh.pid(*m).is_some()).collect::<Vec<_>>() {
        let what = format!("{} reads back what was acknowledged", v.mesh.machines[m].name);
        if let Err(e) = read_back(&v, m, &what).await {
            faults.push(format!("{e:#}"));
        }
    }
    seen.judged.faults.extend(faults);
    Ok(seen)
}

/// One that holds no control state sends the caller on; what is read there counts as well.
async fn read_back(v: &Village, m: usize, what: &str) -> Result<()> {
    let (at, operator) = (v.mesh.control(m), v.operator.so_far());
    until(what, LIMIT, || async {
        let said = operator.once(at, "GET", "/-/Config.Get", b"").await;
        said.is_ok_and(|a| {
            a.status == 200 && serde_json::from_slice(&a.body).is_ok_and(|w| operator.missing(&w).is_empty())
        })
    })
    .await
}

/// The owner of the configuration is cut off from all but a sidecar, which is started again below it.
async fn cut(
    v: &mut Village,
    clients: &Clients,
    writer: &Writer,
    extent: Extent,
    seen: &mut Seen,
) -> Result<()> {
    let apart = owner(v).await?;
    let below = v.mesh.sides().next_back().context("a side")?;
    v.mesh.kill(below)?;
    let links = v.links.as_ref().context("links")?;
    let began = Instant::now();
    links.cut(&[apart, below]);
    let prober = Prober::start(v, apart);
    writer.more(2, "the others acknowledge without it").await?;
    seen.figures.push(format!("the others acknowledge again after {:.1} s", began.elapsed().as_secs_f64()));
    v.mesh.start_below(below, &[apart])?;
    let control = v.mesh.control(below);
    until("the sidecar below it is there", LIMIT, || async {
        !told(control, "/-/Post.State").await.is_null()
    })
    .await?;
    let to = writer.count() + extent.changes;
    let mut known = String::new();
    while writer.count() < to || began.elapsed() < extent.cut {
        writer.more(1, "the others acknowledge while it is cut off").await?;
        let state = told(control, "/-/Post.State").await;
        let now = state["freshness"].as_str().unwrap_or("").to_string();
        if state["ready"] == true && now != "bound passed" {
            seen.judged.faults.push(format!("a sidecar below the machine that is cut off is ready: {now:?}"));
            break;
        }
        if now != known {
            seen.figures
                .push(format!("below it, {:.1} s into the cut: {now}", began.elapsed().as_secs_f64()));
            known = now;
        }
    }
    clients.more(50).await?;
    let during = prober.seen();
    seen.figures.push(format!("cut for {:.1} s", began.elapsed().as_secs_f64()));
    let links = v.links.as_ref().context("links")?;
    links.join();
    let joined = Instant::now();
    let mut faults = Vec::new();
    reads_all(v, apart, "the machine that was cut off reads all again", &mut faults).await?;
    seen.figures
        .push(format!("it reads all again {:.1} s after the end of the cut", joined.elapsed().as_secs_f64()));
    let ready = v.mesh.ready(below);
    until("the sidecar below it is ready", LIMIT, || crate::village::is_ready(ready)).await?;
    writer.more(10, "after the cut").await?;
    for said in ["read 503", "order 503"] {
        if !during.0.contains_key(said) {
            seen.judged.faults.push(format!("cut off, it never said {said}: {:?}", during.0));
        }
    }
    seen.cut_off = during.0;
    faults.extend(prober.seen().1);
    seen.judged.faults.extend(faults);
    Ok(())
}

/// A control machine is replaced in plan, and another one is lost: as the leaver is told to end, or (`then`) once it has gone.
async fn replace(
    v: &mut Village,
    clients: &Clients,
    writer: &Writer,
    then: bool,
    seen: &mut Seen,
) -> Result<()> {
    let leaver = owner(v).await?;
    let lost = v.mesh.cores().find(|c| *c != leaver).context("another one")?;
    let newcomer = v.mesh.spares().next().context("a spare one")?;
    v.mesh.start(newcomer, false)?;
    let ip = v.mesh.machines[newcomer].ip.to_string();
    // It may come for one that goes once all know that it knows the holders, and is none of them.
    let offices: Vec<usize> = v.mesh.cores().collect();
    v.until_told("the newcomer may come for another one", &offices, |s| {
        let mut nodes = s["nodes"].as_array().into_iter().flatten().filter(|n| n["gone"] != true);
        nodes.any(|n| {
            let holders = n["holders"].as_array();
            n["node"] == ip.as_str()
                && holders.is_some_and(|h| !h.is_empty() && !h.iter().any(|h| h == ip.as_str()))
        })
    })
    .await?;
    let began = Instant::now();
    v.mesh.terminate(leaver)?;
    if !then {
        v.mesh.kill(lost)?;
    }
    until("the leaver ends", LIMIT, || std::future::ready(v.mesh.has_ended(leaver))).await?;
    seen.figures.push(format!("the leaver was gone after {:.1} s", began.elapsed().as_secs_f64()));
    if then {
        v.mesh.kill(lost)?;
    }
    let gone = Instant::now();
    writer.more(2, "with the leaver gone and another one lost").await?;
    seen.figures.push(format!("changes go on {:.1} s after both have gone", gone.elapsed().as_secs_f64()));
    writer.more(20, "with the leaver gone and another one lost").await?;
    clients.more(50).await?;
    v.mesh.start(lost, false)?;
    reads_all(v, lost, "the lost one reads all again", &mut seen.judged.faults).await?;
    reads_all(v, newcomer, "the newcomer reads all", &mut seen.judged.faults).await?;
    Ok(())
}

/// A control machine restarts after many changes that it missed; then another one is lost, so that what it has counts.
async fn restart(
    v: &mut Village,
    clients: &Clients,
    writer: &Writer,
    extent: Extent,
    seen: &mut Seen,
) -> Result<()> {
    let leads = owner(v).await?;
    let back = v.mesh.cores().find(|c| *c != leads).context("another one")?;
    v.mesh.kill(back)?;
    writer.more(extent.before_restart, "with one control machine down").await?;
    let prober = Prober::start(v, back);
    v.mesh.start(back, false)?;
    let took = reads_all(v, back, "the restarted one reads all", &mut seen.judged.faults).await?;
    seen.figures.push(format!("it reads all {:.2} s after its start", took.as_secs_f64()));
    v.mesh.kill(leads)?;
    let lost = Instant::now();
    writer.more(2, "with the restarted one needed").await?;
    seen.figures
        .push(format!("changes go on {:.1} s after another one was lost", lost.elapsed().as_secs_f64()));
    writer.more(20, "with the restarted one needed").await?;
    clients.more(50).await?;
    v.mesh.start(leads, false)?;
    reads_all(v, leads, "the one that led reads all again", &mut seen.judged.faults).await?;
    let (answers, faults) = prober.seen();
    seen.figures.push(format!("the restarted one answered {answers:?}"));
    seen.judged.faults.extend(faults);
    Ok(())
}

/// Play all, or the one named, at full size, and print what was seen; whether nothing was wrong.
pub async fn control(program: &Path, only: Option<&str>, extent: Extent) -> Result<bool> {
    let mut good = true;
    for name in PLAYS.iter().filter(|p| only.is_none_or(|o| o == **p)) {
        let seen = match play(name, program, extent).await {
            Ok(seen) => seen,
            Err(e) => {
                let judged = Judged { faults: vec![format!("{e:#}")], ..Judged::default() };
                Seen { judged, ..Seen::default() }
            }
        };
        let j = &seen.judged;
        let verdict =
            if j.faults.is_empty() { "kept".to_string() } else { format!("{} BROKEN", j.faults.len()) };
        println!("{name}: {verdict}; {} changes acknowledged", seen.changes);
        println!(
            "    clients: {} tries, {} served, {} to come back, {} without a word, {} not sent",
            j.tried, j.served, j.promised, j.failed, j.not_sent
        );
        for (said, n) in &seen.cut_off {
            println!("    cut off: {said}, {n} times");
        }
        seen.figures.iter().for_each(|f| println!("    {f}"));
        j.faults.iter().take(8).for_each(|f| println!("    BROKEN {f}"));
        good &= j.faults.is_empty();
    }
    println!(
        "kept: what was acknowledged is read back at every control machine; none that was cut off, restarted or new\n\
         reads out less than was acknowledged before it was asked; nothing that may run once ran twice or after a promise."
    );
    Ok(good)
}
