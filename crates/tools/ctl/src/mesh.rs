//! All nodes of a mesh, asked at once: what each tells of itself and of the others.
use crate::call::call;
use crate::outcome::{end, UNREACHED};
use anyhow::{Context, Result};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// A node answers within this.
pub const ANSWERS: Duration = Duration::from_millis(2500);
/// Nodes asked at a time.
const AT_A_TIME: usize = 32;
/// A call that was not settled is sent again for so long.
pub const SETTLES: Duration = Duration::from_secs(20);

/// Where a mesh is reached.
#[derive(Clone, Debug)]
pub struct Door {
    /// Control addresses given by the operator.
    pub at: Vec<SocketAddr>,
}

/// One node, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Its control address; empty if none is known.
    pub at: Option<SocketAddr>,
    /// `Post.State`; or why it didn't answer.
    pub state: Option<Value>,
    /// `Post.Figures`.
    pub figures: Option<Value>,
    /// Why it did not answer.
    pub why: String,
}

/// What all nodes told, by their address.
pub type Picture = BTreeMap<IpAddr, Told>;

/// A list in a value, or nothing.
pub fn list<'v>(value: &'v Value, key: &str) -> impl Iterator<Item = &'v Value> {
    value[key].as_array().into_iter().flatten()
}

/// Text in a value, or a dash.
pub fn text<'v>(value: &'v Value, key: &str) -> &'v str {
    value[key].as_str().unwrap_or("-")
}

/// `GET` of JSON.
pub fn ask(at: SocketAddr, path: &str) -> Result<Value> {
    let answer = call(at, "GET", path, b"", ANSWERS)?;
    if answer.status != 200 {
        return Err(end(UNREACHED, format!("{at}{path}: {} {}", answer.status, reason(&answer.body))));
    }
    serde_json::from_str(&answer.body).with_context(|| format!("{at}{path}: no JSON"))
}

/// The reason in an answer.
pub fn reason(body: &str) -> String {
    let value: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    value["error"].as_str().unwrap_or(body).to_string()
}

fn told(at: SocketAddr) -> Told {
    let state = ask(at, "/-/Post.State");
    let figures = state.as_ref().ok().and_then(|_| ask(at, "/-/Post.Figures").ok());
    match state {
        Ok(state) => Told { at: Some(at), state: Some(state), figures, why: String::new() },
        Err(e) => Told { at: Some(at), why: format!("{e:#}"), ..Told::default() },
    }
}

fn told_by(all: &[SocketAddr]) -> Vec<Told> {
    let mut out = Vec::new();
    for some in all.chunks(AT_A_TIME) {
        let asked = some.iter().copied();
        std::thread::scope(|scope| {
            let threads: Vec<_> = asked.map(|at| (at, scope.spawn(move || told(at)))).collect();
            for (at, thread) in threads {
                let lost =
                    |_| Told { at: Some(at), why: "the call broke off".to_string(), ..Told::default() };
                out.push(thread.join().unwrap_or_else(lost));
            }
        });
    }
    out
}

impl Door {
    /// The first of the addresses given that answers.
    pub fn first(&self) -> Result<(SocketAddr, Value)> {
        let mut why = String::new();
        for at in &self.at {
            match ask(*at, "/-/Post.State") {
                Ok(state) => return Ok((*at, state)),
                Err(e) => why = format!("{e:#}"),
            }
        }
        Err(end(UNREACHED, format!("nobody answers: {why} (give the control address of a node that is up)")))
    }

    /// Ask every node that any of those asked knows of.
    pub fn picture(&self) -> Result<Picture> {
        self.first()?;
        let mut picture = Picture::new();
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut next: Vec<SocketAddr> = self.at.clone();
        while !next.is_empty() {
            asked.extend(next.iter().copied());
            let mut found: BTreeSet<SocketAddr> = BTreeSet::new();
            for told in told_by(&next) {
                let Some(at) = told.at else { continue };
                for node in told.state.iter().flat_map(|s| list(s, "nodes")) {
                    let Ok(ip) = text(node, "node").parse::<IpAddr>() else { continue };
                    match text(node, "control").parse::<SocketAddr>() {
                        Ok(control) if node["gone"] != true => {
                            found.insert(control);
                        }
                        _ => {
                            picture.entry(ip).or_insert_with(|| Told {
                                why: if node["gone"] == true { "gone" } else { "has no control address" }
                                    .to_string(),
                                ..Told::default()
                            });
                        }
                    }
                }
                let ip = told.state.as_ref().and_then(|s| text(s, "ip").parse().ok()).unwrap_or(at.ip());
                picture.insert(ip, told);
            }
            next = found.into_iter().filter(|at| !asked.contains(at)).collect();
        }
        Ok(picture)
    }

    /// Control addresses, those given first, then offices.
    fn everywhere(&self) -> Vec<SocketAddr> {
        let mut all = self.at.clone();
        if let Ok((_, state)) = self.first() {
            let cores = list(&state, "nodes").filter(|n| n["core"] == true && n["gone"] != true);
            all.extend(cores.filter_map(|n| text(n, "control").parse::<SocketAddr>().ok()));
        }
        let mut seen = BTreeSet::new();
        all.retain(|at| seen.insert(*at));
        all
    }

    /// An operator's call, sent again anywhere until it is settled: its status, 200 or a refusal, and its body.
    pub fn settle(&self, method: &str, path: &str, body: &[u8]) -> Result<(u16, String)> {
        let (began, all) = (Instant::now(), self.everywhere());
        let (mut n, mut pause, mut last) = (0, Duration::from_millis(50), String::new());
        while began.elapsed() < SETTLES {
            match call(all[n % all.len()], method, path, body, ANSWERS) {
                Ok(a) if matches!(a.status, 200..=299 | 400 | 404 | 405 | 409 | 413) => {
                    return Ok((a.status, a.body));
                }
                Ok(a) => last = format!("{} {}", a.status, reason(&a.body)),
                Err(e) => last = format!("{e:#}"),
            }
            n += 1;
            if began.elapsed() > Duration::from_secs(2) {
                eprintln!("not settled yet ({:.0} s): {last}", began.elapsed().as_secs_f64());
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        let why = format!(
            "not settled within {} s, it may or may not be in force: {last} (two of three offices have to be up; \
             `silvercrossctl ledger`, then the same again)",
            SETTLES.as_secs()
        );
        Err(end(UNREACHED, why))
    }
}
