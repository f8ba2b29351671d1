//! A member's trial lapses on a small mesh: every node's step is watched, replies are timed by node and second, and each order
//! is followed through all its tries. Played in a calm mesh and while something breaks.
use crate::client::{self, Came, Client, Kind};
use crate::mesh::{Plan, DRAIN_S};
use crate::station::{Manner, Runs};
use crate::until;
use crate::village::{is_ready, told, Village, LIMIT};
use crate::witness::{judge, Tried};
use anyhow::{bail, Context, Result};
use plotters::prelude::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// What is played.
#[derive(Clone, Debug)]
pub struct Lapse {
    /// One play; otherwise all.
    pub only: Option<String>,
    /// Where plots go.
    pub svg: Option<PathBuf>,
    /// Machines with an upstream.
    pub sides: usize,
}

/// The plays, in the order of the table.
pub const PLAYS: [&str; 8] = [
    "calm",
    "owner-killed",
    "core-wiped",
    "core-frozen",
    "side-frozen",
    "rolling-term",
    "renewed",
    "two-operators",
];

const MEMBER: &str = "workshop";
const HEADER: &str = "Club";
const KEY: &str = "club-7";
const STEPS: u32 = 8;
const SPAN_S: f64 = 12.0;
/// A change is in force everywhere within this: `editionS` of the settings.
const EDITION_S: f64 = 2.5;
/// The whole slowing is waited for so long.
const PATIENCE: Duration = Duration::from_secs(75);
/// Between two requests of a client.
const PAUSE: Duration = Duration::from_millis(25);
/// Nodes are asked for their steps so often.
const LOOK: Duration = Duration::from_millis(100);
/// The platform asks so often whether a side is ready; two misses, and its clients go elsewhere.
const ASKS: Duration = Duration::from_secs(1);
/// Tries of an order.
const TRIES: usize = 12;
/// Bytes of an upload.
const UPLOAD: usize = 200_000;

/// One try, timed.
struct Sample {
    at: f64,
    side: usize,
    ms: f64,
    /// 0: a member's read, 1: somebody else's, 2: a member's order or upload.
    who: usize,
    served: bool,
    stepped: bool,
}

/// A node's step at a moment.
#[derive(Clone, Copy)]
struct Seen {
    at: f64,
    node: usize,
    edition: u64,
    step: u32,
}

/// An order and its tries.
struct Order {
    kind: Kind,
    ids: Vec<String>,
    end: End,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    /// Whether it ran is not known to the client: the answer was lost.
    NoWord,
    /// All tries were promised not to have run.
    NotPlaced,
}

#[derive(Default)]
struct Book {
    samples: Vec<Sample>,
    seen: Vec<Seen>,
    orders: Vec<Order>,
    tried: Vec<Tried>,
}

struct Watch {
    start: Instant,
    stop: AtomicBool,
    /// Sides that the platform gives no work now.
    shut: Vec<AtomicBool>,
    book: Mutex<Book>,
}

impl Watch {
    fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn note<R>(&self, note: impl FnOnce(&mut Book) -> R) -> R {
        note(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The highest edition and step that any node has told.
    fn highest(&self) -> (u64, u32) {
        self.note(|book| book.seen.iter().map(|s| (s.edition, s.step)).max()).unwrap_or((0, 0))
    }
}

fn member_item(edition: u64, lapses_in_s: f64) -> Value {
    json!({ "name": MEMBER, "key": KEY, "plan": "trial", "lapsesInS": lapses_in_s, "edition": edition,
        "slowing": { "fullShare": 0.5, "spanS": SPAN_S, "steps": STEPS } })
}

/// Follow one order through its tries, at one machine after another where a try was promised not to have run.
async fn order(watch: &Watch, mesh: &Sides, lines: &mut [Client], home: usize, kind: Kind, who: usize) {
    let number = client::id();
    let service = &mesh.services[usize::from(number.as_bytes()[0]) % mesh.services.len()];
    let target = format!("{}order", kind.lane(service));
    let body: Vec<u8> = match kind {
        Kind::Safe => Vec::new(),
        Kind::Unsafe => number.clone().into_bytes(),
        Kind::Upload => number.bytes().cycle().take(UPLOAD).collect(),
    };
    let (mut ids, mut end) = (Vec::new(), End::NotPlaced);
    for n in 0..TRIES {
        let m = (home + n) % lines.len();
        if watch.shut[m].load(Relaxed) {
            continue;
        }
        let id = client::id();
        let (at, began) = (watch.at(), Instant::now());
        let came = lines[m].ask(&target, &id, &body).await;
        let ms = began.elapsed().as_secs_f64() * 1e3;
        let (mut served, mut stepped, mut again) = (false, false, None);
        match &came {
            Came::Answer(a) => {
                served = (200..300).contains(&a.status);
                stepped = a.step.as_ref().is_some_and(|s| !s.starts_with("0/"));
                if matches!(a.status, 429 | 503 | 408 | 421) {
                    again = Some(Duration::from_secs_f64(a.retry_after.unwrap_or(0.05).clamp(0.02, 0.5)));
                }
            }
            Came::NotSent => again = Some(Duration::from_millis(50)),
            Came::Lost => {}
        }
        ids.push(id.clone());
        let sender = mesh.senders[m].clone();
        let tried = Tried { id, kind, target: target.clone(), sender, body: body.clone(), came };
        watch.note(|book| {
            book.samples.push(Sample { at, side: m, ms, who, served, stepped });
            book.tried.push(tried);
        });
        if served {
            end = End::Served;
            break;
        }
        match again {
            Some(pause) => tokio::time::sleep(pause).await,
            None if kind == Kind::Safe => {}
            None => {
                end = End::NoWord;
                break;
            }
        }
    }
    watch.note(|book| book.orders.push(Order { kind, ids, end }));
}

/// What clients know of the mesh.
#[derive(Clone)]
struct Sides {
    outbound: Vec<SocketAddr>,
    senders: Vec<String>,
    services: Vec<String>,
}

struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// Clients on each side, and a look at each node's step.
fn start(village: &Village, watch: &Arc<Watch>) -> (Tasks, Tasks) {
    let sides = Sides {
        outbound: village.mesh.sides().map(|m| village.mesh.outbound(m)).collect(),
        senders: village.mesh.sides().map(|m| village.mesh.machines[m].service.clone()).collect(),
        services: village.services().to_vec(),
    };
    let mut clients = Vec::new();
    for home in 0..sides.outbound.len() {
        for c in 0..5 {
            let (watch, sides) = (watch.clone(), sides.clone());
            clients.push(tokio::spawn(async move {
                let who = [0, 0, 0, 1, 2][c];
                let client = |to: &SocketAddr| match who {
                    1 => Client::new(*to),
                    _ => Client::new(*to).with(HEADER, KEY),
                };
                let mut lines: Vec<Client> = sides.outbound.iter().map(client).collect();
                for n in 0.. {
                    if watch.stop.load(Relaxed) {
                        return;
                    }
                    let kind = match who {
                        2 if n % 8 == 7 => Kind::Upload,
                        2 => Kind::Unsafe,
                        _ => Kind::Safe,
                    };
                    order(&watch, &sides, &mut lines, home, kind, who).await;
                    tokio::time::sleep(PAUSE).await;
                }
            }));
        }
    }
    let mut looks = Vec::new();
    for (side, m) in village.mesh.sides().enumerate() {
        let (ready, watch) = (village.mesh.ready(m), watch.clone());
        looks.push(tokio::spawn(async move {
            let mut missed = 0;
            loop {
                missed = if is_ready(ready).await { 0 } else { missed + 1 };
                watch.shut[side].store(missed >= 2, Relaxed);
                tokio::time::sleep(ASKS).await;
            }
        }));
    }
    for node in 0..village.mesh.machines.len() {
        let (control, watch) = (village.mesh.control(node), watch.clone());
        looks.push(tokio::spawn(async move {
            loop {
                let said = told(control, "/-/Members.List").await;
                let at = watch.at();
                let row = said["members"].as_array().into_iter().flatten().find(|m| m["name"] == MEMBER);
                if let Some(row) = row {
                    let edition = row["edition"].as_u64().unwrap_or(0);
                    let step = row["step"].as_u64().and_then(|s| u32::try_from(s).ok()).unwrap_or(0);
                    watch.note(|book| book.seen.push(Seen { at, node, edition, step }));
                }
                tokio::time::sleep(LOOK).await;
            }
        }));
    }
    (Tasks(clients), Tasks(looks))
}

/// A node that was out of touch, from and to.
type Outs = Vec<(usize, f64, f64)>;

async fn until_step(watch: &Watch, edition: u64, step: u32) -> Result<()> {
    let what = format!("step {step} of edition {edition}");
    until(&what, PATIENCE, || std::future::ready(watch.highest() >= (edition, step))).await
}

/// The machine that owns the lapse's key, as the cores tell.
async fn owner(v: &Village) -> Result<usize> {
    let mut best: Option<(u64, String)> = None;
    for c in v.mesh.cores() {
        let said = told(v.mesh.control(c), "/-/Members.List").await;
        let row = said["members"].as_array().into_iter().flatten().find(|m| m["name"] == MEMBER);
        if let Some((round, owner)) =
            row.and_then(|r| Some((r["round"].as_u64()?, r["owner"].as_str()?.to_string())))
        {
            best = best.max(Some((round, owner)));
        }
    }
    let (_, ip) = best.context("nobody tells an owner")?;
    v.mesh
        .machines
        .iter()
        .position(|m| m.ip.to_string() == ip)
        .with_context(|| format!("{ip}: no machine of ours"))
}

async fn disturb(play: &str, v: &mut Village, watch: &Watch, faults: &mut Vec<String>) -> Result<Outs> {
    let mut outs = Outs::new();
    let sides: Vec<usize> = v.mesh.sides().collect();
    match play {
        "calm" => {}
        "owner-killed" => {
            for step in 1..STEPS {
                until_step(watch, 1, step).await?;
                let m = owner(v).await?;
                let from = watch.at();
                v.mesh.kill(m)?;
                tokio::time::sleep(Duration::from_millis(700)).await;
                v.mesh.start(m, false)?;
                let control = v.mesh.control(m);
                until("the killed owner is back", LIMIT, || async {
                    told(control, "/-/Members.List").await["members"]
                        .as_array()
                        .is_some_and(|l| !l.is_empty())
                })
                .await?;
                outs.push((m, from, watch.at()));
            }
        }
        "core-wiped" => {
            until_step(watch, 1, 2).await?;
            let m = owner(v).await?;
            let from = watch.at();
            v.mesh.kill(m)?;
            v.mesh.wipe(m)?;
            until_step(watch, 1, 3).await?;
            v.mesh.start(m, false)?;
            let control = v.mesh.control(m);
            until("the wiped one is back", LIMIT, || async {
                told(control, "/-/Members.List").await["members"].as_array().is_some_and(|l| !l.is_empty())
            })
            .await?;
            outs.push((m, from, watch.at()));
        }
        "core-frozen" | "side-frozen" => {
            until_step(watch, 1, 2).await?;
            let m = if play == "core-frozen" { owner(v).await? } else { sides[0] };
            let from = watch.at();
            v.mesh.freeze(m)?;
            let waited = until_step(watch, 1, 4).await;
            v.mesh.thaw(m)?;
            outs.push((m, from, watch.at()));
            waited?;
        }
        "rolling-term" => {
            until_step(watch, 1, 1).await?;
            let some: Vec<usize> = sides.iter().copied().take(3).chain([owner(v).await?]).collect();
            for m in some {
                let from = watch.at();
                if let Some(station) = v.stations.remove(&m) {
                    station.leave(Duration::from_secs_f64(DRAIN_S)).await;
                }
                v.mesh.terminate(m)?;
                let name = v.mesh.machines[m].name.clone();
                until(&format!("{name} ends"), LIMIT, || std::future::ready(v.mesh.has_ended(m))).await?;
                v.mesh.start(m, false)?;
                if !v.mesh.machines[m].core {
                    v.station(m).await?;
                }
                outs.push((m, from, watch.at()));
            }
        }
        "renewed" | "two-operators" => {
            until_step(watch, 1, STEPS / 2).await?;
            let path = format!("/-/Members.Renew/{MEMBER}");
            let renew = |start: usize, span: f64| {
                let (operator, path) = (v.operator.beginning_at(start), path.clone());
                async move {
                    operator.call("POST", &path, json!({ "lapsesInS": span }).to_string().as_bytes()).await
                }
            };
            let from = watch.at();
            let edition = if play == "renewed" {
                renew(0, 1000.0).await?;
                2
            } else {
                let (a, b) = tokio::join!(renew(0, 1000.0), renew(1, 2000.0));
                let taken = [&a, &b].iter().filter(|r| r.is_ok()).count();
                println!("  two renewals at once: {taken} taken, {} refused as a conflict", 2 - taken);
                if taken == 0 {
                    bail!("neither renewal was taken: {:?} {:?}", a.err(), b.err());
                }
                1 + taken as u64
            };
            until("the renewal is everywhere", LIMIT, || {
                let nodes = v.mesh.machines.len();
                let last = watch.note(|book| {
                    let mut last = BTreeMap::new();
                    for s in &book.seen {
                        last.insert(s.node, (s.edition, s.step));
                    }
                    last
                });
                std::future::ready(last.len() == nodes && last.values().all(|l| *l == (edition, 0)))
            })
            .await?;
            let took = watch.at() - from;
            println!("  renewed on all {} nodes {took:.2} s after the call", v.mesh.machines.len());
            if took > EDITION_S {
                faults.push(format!("the renewal took {took:.2} s"));
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
        }
        other => bail!("{other}: no such play (one of {PLAYS:?})"),
    }
    Ok(outs)
}

fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// Steps as nodes in touch followed them.
struct Spread {
    /// Steps that were told.
    steps: usize,
    /// The longest from the first node to the last in touch, in seconds.
    worst: f64,
    faults: Vec<String>,
}

fn spread(seen: &[Seen], nodes: usize, outs: &Outs) -> Spread {
    let away = |node: usize, from: f64, to: f64| {
        outs.iter().any(|(n, a, b)| *n == node && *a <= to && from <= *b + EDITION_S)
    };
    let mut spread = Spread { steps: 0, worst: 0.0, faults: Vec::new() };
    let mut changes: Vec<(u64, u32)> = seen.iter().map(|s| (s.edition, s.step)).filter(|c| c.1 > 0).collect();
    changes.sort_unstable();
    changes.dedup();
    let last = seen.iter().map(|s| s.at).fold(0.0, f64::max);
    for change in changes {
        let reached = |s: &&Seen| (s.edition, s.step) >= change;
        let first = seen.iter().filter(reached).map(|s| s.at).fold(f64::INFINITY, f64::min);
        spread.steps += 1;
        for node in 0..nodes {
            // A step at the very end may still be on its way.
            if away(node, first, first + EDITION_S) || first + EDITION_S > last {
                continue;
            }
            let at = seen
                .iter()
                .filter(|s| s.node == node)
                .filter(reached)
                .map(|s| s.at)
                .fold(f64::INFINITY, f64::min);
            spread.worst = spread.worst.max(at - first);
            if at - first > EDITION_S {
                spread
                    .faults
                    .push(format!("node {node} had step {change:?} {:.1} s after the first", at - first));
            }
        }
    }
    for node in 0..nodes {
        let own: Vec<&Seen> = seen.iter().filter(|s| s.node == node && !away(node, s.at, s.at)).collect();
        if let Some(back) = own.windows(2).find(|w| (w[1].edition, w[1].step) < (w[0].edition, w[0].step)) {
            spread.faults.push(format!("node {node} went back from {} to {}", back[0].step, back[1].step));
        }
    }
    spread
}

fn counts(orders: &[Order], runs: &Runs) -> (usize, usize, usize, usize) {
    let (mut served, mut lost, mut twice, mut no_word) = (0, 0, 0, 0);
    for order in orders {
        let effects: usize = order.ids.iter().map(|id| runs.of(id).len()).sum();
        served += usize::from(order.end == End::Served);
        lost += usize::from(order.end == End::NotPlaced || order.end == End::Served && effects == 0);
        twice += usize::from(order.kind != Kind::Safe && effects > 1);
        no_word += usize::from(order.end == End::NoWord);
    }
    (served, lost, twice, no_word)
}

fn table(book: &Book, names: &[String], sides: usize) {
    let seconds = book.samples.iter().map(|s| s.at as usize).max().unwrap_or(0);
    print!("  median ms of the member's reads, by the machine where they began\n  {:>4}", "s");
    names.iter().for_each(|name| print!(" {name:>7}"));
    println!(" {:>7} {:>7}  step over all nodes", "others", "orders");
    for second in 0..=seconds {
        let of = |who: usize, side: Option<usize>| {
            let within = |s: &&Sample| {
                s.at as usize == second && s.served && s.who == who && side.is_none_or(|side| s.side == side)
            };
            median(book.samples.iter().filter(within).map(|s| s.ms).collect())
                .map_or("-".to_string(), |m| format!("{m:.0}"))
        };
        print!("  {second:>4}");
        (0..sides).for_each(|side| print!(" {:>7}", of(0, Some(side))));
        let steps: Vec<u32> = book.seen.iter().filter(|s| s.at as usize == second).map(|s| s.step).collect();
        let steps = match (steps.iter().min(), steps.iter().max()) {
            (Some(a), Some(b)) if a == b => a.to_string(),
            (Some(a), Some(b)) => format!("{a} to {b}"),
            _ => "-".to_string(),
        };
        println!(" {:>7} {:>7}  {steps}", of(1, None), of(2, None));
    }
}

fn plot(file: &Path, title: &str, book: &Book, nodes: usize, sides: usize) -> Result<()> {
    let told = |e: &dyn std::fmt::Display| anyhow::anyhow!("{}: {e}", file.display());
    let end = book.samples.iter().map(|s| s.at).fold(1.0, f64::max);
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, (900, 640)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| told(&e))?;
        let (upper, lower) = root.split_vertically(420);
        let draw = |lines: Vec<(Vec<(f64, f64)>, RGBAColor)>, area, name: String, top: f64, unit: &str| {
            let mut chart = ChartBuilder::on(area)
                .caption(name, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..end, 0.0..top)
                .map_err(|e| told(&e))?;
            chart
                .configure_mesh()
                .light_line_style(TRANSPARENT)
                .y_desc(unit)
                .x_desc("s")
                .draw()
                .map_err(|e| told(&e))?;
            for (line, colour) in lines {
                chart.draw_series(LineSeries::new(line, colour.stroke_width(1))).map_err(|e| told(&e))?;
            }
            anyhow::Ok(())
        };
        let by_second = |who: usize, side: Option<usize>| -> Vec<(f64, f64)> {
            let one = |second: usize| {
                let within = |s: &&Sample| {
                    s.at as usize == second
                        && s.served
                        && s.who == who
                        && side.is_none_or(|side| s.side == side)
                };
                let all = book.samples.iter().filter(within).map(|s| s.ms).collect();
                median(all).map(|m| (second as f64 + 0.5, m))
            };
            (0..=end as usize).filter_map(one).collect()
        };
        let hue = |i: usize, of: usize| HSLColor(i as f64 / of.max(1) as f64, 0.6, 0.45).mix(0.8);
        let mut lines: Vec<_> = (0..sides).map(|side| (by_second(0, Some(side)), hue(side, sides))).collect();
        lines.push((by_second(1, None), BLACK.mix(0.9)));
        lines.push((by_second(2, None), BLACK.mix(0.4)));
        let top = lines.iter().flat_map(|l| &l.0).map(|p| p.1).fold(10.0, f64::max) * 1.05;
        let name = format!(
            "{title}: median of a member's reads by node (colours), others' reads (black), its orders (grey)"
        );
        draw(lines, &upper, name, top, "ms")?;
        let stairs = |node: usize| -> Vec<(f64, f64)> {
            let own = book.seen.iter().filter(|s| s.node == node);
            let mut line: Vec<(f64, f64)> = Vec::new();
            for s in own {
                if let Some(last) = line.last().copied().filter(|l| l.1 != f64::from(s.step)) {
                    line.push((s.at, last.1));
                }
                line.push((s.at, f64::from(s.step)));
            }
            line
        };
        let steps = (0..nodes).map(|node| (stairs(node), hue(node, nodes))).collect();
        draw(steps, &lower, format!("step on each of {nodes} nodes"), f64::from(STEPS) + 0.5, "step")?;
        root.present().map_err(|e| told(&e))?;
    }
    std::fs::write(file, text).with_context(|| file.display().to_string())
}

async fn play(name: &str, program: &Path, how: &Lapse) -> Result<Vec<String>> {
    let plan = Plan { side: how.sides, ..Plan::default() };
    let mut village = Village::open(&plan, Manner::default(), program).await?;
    let shut = (0..how.sides).map(|_| AtomicBool::new(false)).collect();
    let (start_at, stop) = (Instant::now(), AtomicBool::new(false));
    let watch = Arc::new(Watch { start: start_at, stop, shut, book: Mutex::default() });
    let (mut clients, looks) = start(&village, &watch);
    // Before there is any member.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut faults = Vec::new();
    let call = json!({ "deliver": { "membership": { "header": HEADER, "edition": 1 }, "members": [member_item(1, 1.0)] } });
    village.operator.patch(&call).await?;
    let outs = match disturb(name, &mut village, &watch, &mut faults).await {
        Ok(outs) => outs,
        Err(e) => {
            faults.push(format!("{e:#}"));
            Outs::new()
        }
    };
    if !outs.is_empty() {
        println!("  machines disturbed, one after another: {}", outs.len());
    }
    let renewed = watch.highest().0 > 1;
    if !renewed {
        if let Err(e) = until_step(&watch, 1, STEPS).await {
            faults.push(format!("{e:#}"));
        }
        // Full for a while, everywhere.
        tokio::time::sleep(Duration::from_secs_f64(EDITION_S + 1.5)).await;
    }
    let end = watch.at();
    watch.stop.store(true, Relaxed);
    for client in clients.0.drain(..) {
        let _ = client.await;
    }
    drop(looks);
    village.idle().await?;
    let book = watch.note(std::mem::take);
    let names: Vec<String> = village.mesh.sides().map(|m| village.mesh.machines[m].name.clone()).collect();
    table(&book, &names, names.len());
    let nodes = village.mesh.machines.len();
    let spread = spread(&book.seen, nodes, &outs);
    let judged = judge(&book.tried, &village.runs);
    let (served, lost, twice, no_word) = counts(&book.orders, &village.runs);
    let of = |who: usize, side: usize, from: f64, to: f64| {
        let within = |s: &&Sample| s.who == who && s.side == side && s.served && (from..to).contains(&s.at);
        median(book.samples.iter().filter(within).map(|s| s.ms).collect())
    };
    let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
    for (side, name) in names.iter().enumerate() {
        let (Some(before), Some(after)) = (of(0, side, 0.5, 3.0), of(0, side, end - 2.5, end)) else {
            faults.push(format!("{name}: no reads at the beginning or the end"));
            continue;
        };
        let slower = after - before;
        (least, most) = (least.min(slower), most.max(slower));
        // The full wait is 150 to 300 ms.
        if renewed && slower > 60.0 || !renewed && slower < 120.0 {
            faults.push(format!("{name}: {before:.0} ms at first, {after:.0} ms at the end"));
        }
    }
    println!(
        "  orders and reads {}: served {served}, lost {lost}, twice {twice}, no word {no_word}; tries {}, refused for want of time {}\n  \
         steps {} followed, the last node in touch {:.2} s after the first at worst; reads at the end {least:+.0} to {most:+.0} ms over nodes",
        book.orders.len(),
        book.tried.len(),
        book.tried.iter().filter(|t| t.came.status() == Some(429)).count(),
        spread.steps,
        spread.worst,
    );
    if !book.samples.iter().any(|s| s.stepped && s.who == 0) {
        faults.push("no answer told a step".to_string());
    }
    for (count, what) in [(lost, "lost"), (twice, "ran twice")] {
        if count > 0 {
            faults.push(format!("{count} {what}"));
        }
    }
    faults.extend(judged.faults);
    faults.extend(spread.faults);
    if let Some(folder) = &how.svg {
        std::fs::create_dir_all(folder)?;
        let file = folder.join(format!("lapse-{name}.svg"));
        plot(&file, name, &book, nodes, names.len())?;
        println!("  {}", file.display());
    }
    Ok(faults)
}

/// Play all, or the one named; whether nothing was wrong.
pub async fn lapse(program: &Path, how: &Lapse) -> Result<bool> {
    let mut good = true;
    if let Some(only) = how.only.as_deref().filter(|only| !PLAYS.contains(only)) {
        bail!("{only}: no such play (one of {PLAYS:?})");
    }
    for name in PLAYS.iter().filter(|name| how.only.as_ref().is_none_or(|only| only == *name)) {
        println!(
            "{name}: {} cores, {} sides, {STEPS} steps over {SPAN_S} s",
            Plan::default().core,
            how.sides
        );
        let faults = play(name, program, how).await.unwrap_or_else(|e| vec![format!("{e:#}")]);
        println!(
            "  {}",
            if faults.is_empty() { "kept".to_string() } else { format!("{} BROKEN", faults.len()) }
        );
        for fault in faults.iter().take(8) {
            println!("    {fault}");
        }
        good &= faults.is_empty();
    }
    Ok(good)
}
