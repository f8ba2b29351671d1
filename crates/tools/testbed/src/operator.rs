//! A stand-in operator: sends its calls again until they are taken, and remembers what was acknowledged.
use crate::client::{Kind, HOST};
use crate::line::{call, Answer};
use anyhow::{bail, Result};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A call is answered within this; else the next sidecar is called.
const SILENCE: Duration = Duration::from_secs(1);
/// A call is sent again for so long.
const LONGEST: Duration = Duration::from_secs(20);

/// A route, as far as it differs here.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its lane.
    pub lane: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Its service.
    pub service: String,
}

impl Route {
    /// The route of a service for requests of a kind.
    pub fn of(service: &str, kind: Kind) -> Self {
        Route {
            name: format!("r-{service}-{}", kind.word()),
            lane: kind.lane(service),
            kind,
            service: service.to_string(),
        }
    }

    fn item(&self, edition: u64) -> Value {
        json!({ "name": self.name, "lane": self.lane, "routeKind": self.kind.word(), "deadlineS": 3, "targetS": 0.6,
            "priority": 1, "destination": self.service, "attempts": 2, "edition": edition })
    }
}

/// Routes set and dropped, as the body of a call.
pub fn patch(routes: &[Route], dropped: &[&str], edition: u64) -> Value {
    let lanes: Vec<Value> = routes.iter().map(|r| r.item(edition)).collect();
    let gone: Vec<Value> = dropped.iter().map(|n| json!({ "name": n, "edition": edition })).collect();
    let depots = if lanes.is_empty() { json!([]) } else { json!([{ "depot": HOST, "lanes": lanes }]) };
    json!({ "deliver": { "depots": depots }, "withdraw": { "routes": gone } })
}

/// Every item, as the body of the first call.
pub fn first(services: &[String], edition: u64) -> Value {
    let routes: Vec<Route> =
        services.iter().flat_map(|s| Kind::ALL.iter().map(|k| Route::of(s, *k))).collect();
    let mut whole = patch(&routes, &[], edition);
    let destinations: Vec<Value> = services
        .iter()
        .map(|s| {
            json!({ "name": s, "healthPath": "/health", "lineCap": 130, "protocol": "h1", "sealed": false, "coldS": 1.0,
                "coldRateS": 50.0, "edition": edition })
        })
        .collect();
    whole["deliver"]["destinations"] = Value::Array(destinations);
    whole["deliver"]["sizeLimits"] = json!({ "envelopeBytes": 16384, "contentBytes": 16 << 20, "envelopeS": 3, "idleS": 15, "edition": edition });
    whole
}

/// The highest edition of each route that was acknowledged, and its service; `None`: dropped.
type Book = BTreeMap<String, (u64, Option<String>)>;

/// An operator. Clones share what was acknowledged.
#[derive(Clone, Debug)]
pub struct Operator {
    to: Vec<SocketAddr>,
    start: usize,
    book: Arc<Mutex<Book>>,
}

fn routes(whole: &Value) -> Vec<(String, u64, String)> {
    let lanes = whole["depots"]
        .as_array()
        .into_iter()
        .flatten()
        .flat_map(|d| d["lanes"].as_array().into_iter().flatten());
    lanes
        .map(|r| {
            let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
            (text(&r["name"]), r["edition"].as_u64().unwrap_or(0), text(&r["destination"]))
        })
        .collect()
}

impl Operator {
    /// One that knows these control addresses.
    pub fn new(to: Vec<SocketAddr>) -> Self {
        Operator { to, start: 0, book: Arc::default() }
    }

    /// The same, but another address comes first.
    pub fn beginning_at(&self, start: usize) -> Self {
        Operator { start, ..self.clone() }
    }

    /// One call to one address; redirections are followed twice.
    pub async fn once(
        &self,
        at: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> std::io::Result<Answer> {
        let (mut at, mut path) = (at, path.to_string());
        for _ in 0..2 {
            let answer = call(at, method, &path, body, SILENCE).await?;
            let Some(to) = answer.location.as_deref().filter(|_| answer.status == 307) else {
                return Ok(answer);
            };
            let to = to.strip_prefix("http://").and_then(|t| t.split_once('/'));
            let Some((host, rest)) = to.and_then(|(h, rest)| Some((h.parse().ok()?, rest))) else {
                return Ok(answer);
            };
            (at, path) = (host, format!("/{rest}"));
        }
        call(at, method, &path, body, SILENCE).await
    }

    /// A call, sent again until it is taken or refused.
    pub async fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Answer> {
        let end = Instant::now() + LONGEST;
        let (mut n, mut pause, mut last) = (self.start, Duration::from_millis(20), "no answer".to_string());
        while Instant::now() < end {
            match self.once(self.to[n % self.to.len()], method, path, body).await {
                Ok(a) if (200..300).contains(&a.status) => return Ok(a),
                Ok(a) if matches!(a.status, 400 | 409 | 412 | 413 | 422) => {
                    bail!("{method} {path}: {} {}", a.status, String::from_utf8_lossy(&a.body));
                }
                Ok(a) => last = a.status.to_string(),
                Err(e) => last = e.to_string(),
            }
            n += 1;
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(Duration::from_millis(320));
        }
        bail!("{method} {path}: not taken within {} s ({last})", LONGEST.as_secs())
    }

    /// Change the configuration; it is acknowledged when this returns.
    pub async fn patch(&self, change: &Value) -> Result<()> {
        self.call("POST", "/-/Config.Patch", change.to_string().as_bytes()).await?;
        self.note(change);
        Ok(())
    }

    /// One that remembers what was acknowledged so far, and nothing later.
    pub fn so_far(&self) -> Self {
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Operator { book: Arc::new(Mutex::new(book)), ..self.clone() }
    }

    /// This change was acknowledged.
    pub fn note(&self, change: &Value) {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let mut note = |name: String, edition: u64, service: Option<String>| {
            let entry = book.entry(name).or_insert((0, None));
            if edition > entry.0 {
                *entry = (edition, service);
            }
        };
        for (name, edition, service) in routes(&change["deliver"]) {
            note(name, edition, Some(service));
        }
        for gone in change["withdraw"]["routes"].as_array().into_iter().flatten() {
            note(
                gone["name"].as_str().unwrap_or_default().into(),
                gone["edition"].as_u64().unwrap_or(0),
                None,
            );
        }
    }

    /// The newest configuration.
    pub async fn get(&self) -> Result<Value> {
        Ok(serde_json::from_slice(&self.call("GET", "/-/Config.Get", b"").await?.body)?)
    }

    /// Begin or end the evacuation of a zone.
    pub async fn evacuate(&self, zone: &str, on: bool) -> Result<()> {
        let path = format!("/-/Evacuate.{}/{zone}", if on { "Start" } else { "End" });
        self.call("POST", &path, b"").await.map(|_| ())
    }

    /// What was acknowledged and is not in a configuration that was read, in words.
    pub fn missing(&self, whole: &Value) -> Vec<String> {
        let found = routes(whole);
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let mut faults = Vec::new();
        for (name, (edition, service)) in book.iter() {
            let at = found.iter().find(|(n, ..)| n == name);
            match (at, service) {
                (None, None) => {}
                (Some((_, e, s)), Some(service)) if e > edition || e == edition && s == service => {}
                (Some((_, e, _)), None) if e > edition => {}
                (at, _) => faults.push(format!("{name}: acknowledged {edition} {service:?}, read {at:?}")),
            }
        }
        faults
    }
}
