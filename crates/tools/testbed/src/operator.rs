//! A stand-in operator: sends its calls again until they are taken, and remembers what was acknowledged.
use crate::client::{RequestKind, HOST};
use crate::http_connection::{call, Response};
use anyhow::{bail, Result};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A call is answered within this; else the next sidecar is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A call is sent again for so long.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause before the first further attempt; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(320);
/// Redirections of a call that are followed.
const MAX_REDIRECTS: usize = 2;

/// A route, as far as routes differ here.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its path prefix.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Its service.
    pub service: String,
    /// Its requests take so long at most, in seconds.
    pub deadline_s: u64,
}

/// Requests of a route take so long at most unless it says otherwise, in seconds.
const DEFAULT_DEADLINE_S: u64 = 3;

impl Route {
    /// The route of a service for requests of a kind.
    pub fn of(service: &str, kind: RequestKind) -> Self {
        Route {
            name: format!("r-{service}-{}", kind.word()),
            path_prefix: kind.path_prefix(service),
            kind,
            service: service.to_string(),
            deadline_s: DEFAULT_DEADLINE_S,
        }
    }

    fn item(&self, version: u64) -> Value {
        json!({ "name": self.name, "lane": self.path_prefix, "routeKind": self.kind.word(), "deadlineS": self.deadline_s, "targetS": 0.6,
            "priority": 1, "destination": self.service, "attempts": 2, "edition": version })
    }
}

/// Routes set and withdrawn, as the body of a call; the names in it are the wire's.
pub fn patch(routes: &[Route], withdrawn: &[&str], version: u64) -> Value {
    let items: Vec<Value> = routes.iter().map(|route| route.item(version)).collect();
    let names: Vec<Value> =
        withdrawn.iter().map(|name| json!({ "name": name, "edition": version })).collect();
    let hosts = if items.is_empty() { json!([]) } else { json!([{ "depot": HOST, "lanes": items }]) };
    json!({ "deliver": { "depots": hosts }, "withdraw": { "routes": names } })
}

/// Every item, as the body of the first call.
pub fn first_configuration(services: &[String], version: u64) -> Value {
    let routes: Vec<Route> = services
        .iter()
        .flat_map(|service| RequestKind::ALL.iter().map(|kind| Route::of(service, *kind)))
        .collect();
    let mut configuration = patch(&routes, &[], version);
    let destinations: Vec<Value> = services
        .iter()
        .map(|service| {
            json!({ "name": service, "healthPath": "/health", "lineCap": 130, "protocol": "h1", "sealed": false, "coldS": 1.0,
                "coldRateS": 50.0, "edition": version })
        })
        .collect();
    configuration["deliver"]["destinations"] = Value::Array(destinations);
    configuration["deliver"]["sizeLimits"] = json!({ "envelopeBytes": 16384, "contentBytes": 16 << 20, "envelopeS": 3, "idleS": 15, "edition": version });
    configuration
}

/// A route's newest version that was acknowledged.
#[derive(Clone, Debug, Default)]
struct AcknowledgedRoute {
    version: u64,
    /// Its service; `None`: it was withdrawn.
    service: Option<String>,
}

/// A route as a configuration that was read has it.
struct RouteInForce {
    name: String,
    version: u64,
    service: String,
}

/// An operator. Clones share what was acknowledged.
#[derive(Clone, Debug)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    first: usize,
    acknowledged: Arc<Mutex<BTreeMap<String, AcknowledgedRoute>>>,
}

fn elements<'v>(value: &'v Value, key: &str) -> impl Iterator<Item = &'v Value> {
    value[key].as_array().into_iter().flatten()
}

fn routes_of(configuration: &Value) -> Vec<RouteInForce> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    elements(configuration, "depots")
        .flat_map(|host| elements(host, "lanes"))
        .map(|route| RouteInForce {
            name: text(&route["name"]),
            version: route["edition"].as_u64().unwrap_or(0),
            service: text(&route["destination"]),
        })
        .collect()
}

/// The node and path that an answer redirects to, if it does.
fn redirect_target(response: &Response) -> Option<(SocketAddr, String)> {
    let location = response.location.as_deref().filter(|_| response.status == 307)?;
    let (host, rest) = location.strip_prefix("http://")?.split_once('/')?;
    Some((host.parse().ok()?, format!("/{rest}")))
}

impl Operator {
    /// One that knows these control addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Operator { addresses, first: 0, acknowledged: Arc::default() }
    }

    /// The same, but another address comes first.
    pub fn beginning_at(&self, first: usize) -> Self {
        Operator { first, ..self.clone() }
    }

    /// One call to one address; redirections are followed twice.
    ///
    /// # Errors
    /// When the node called last gives no complete answer.
    pub async fn call_once(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> std::io::Result<Response> {
        let (mut address, mut path) = (address, path.to_string());
        for _ in 0..MAX_REDIRECTS {
            let response = call(address, method, &path, body, CALL_TIMEOUT).await?;
            let Some(target) = redirect_target(&response) else { return Ok(response) };
            (address, path) = target;
        }
        call(address, method, &path, body, CALL_TIMEOUT).await
    }

    /// A call, sent again until it is taken.
    ///
    /// # Errors
    /// When it is rejected, or not taken in time.
    pub async fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Response> {
        let end = Instant::now() + RETRY_TIMEOUT;
        let (mut attempt, mut backoff) = (self.first, MIN_BACKOFF);
        let mut last = "no answer".to_string();
        while Instant::now() < end {
            let address = self.addresses[attempt % self.addresses.len()];
            match self.call_once(address, method, path, body).await {
                Ok(response) if (200..300).contains(&response.status) => return Ok(response),
                Ok(response) if matches!(response.status, 400 | 409 | 412 | 413 | 422) => {
                    let reason = String::from_utf8_lossy(&response.body);
                    bail!("{method} {path}: {} {reason}", response.status);
                }
                Ok(response) => last = response.status.to_string(),
                Err(error) => last = error.to_string(),
            }
            attempt += 1;
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        bail!("{method} {path}: not taken within {} s ({last})", RETRY_TIMEOUT.as_secs())
    }

    /// Change the configuration; it is acknowledged when this returns.
    ///
    /// # Errors
    /// As [`Operator::call`].
    pub async fn patch(&self, change: &Value) -> Result<()> {
        self.call("POST", "/-/Config.Patch", change.to_string().as_bytes()).await?;
        self.record_acknowledged(change);
        Ok(())
    }

    /// One that remembers what was acknowledged so far, and nothing later.
    pub fn snapshot(&self) -> Self {
        let acknowledged = self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Operator { acknowledged: Arc::new(Mutex::new(acknowledged)), ..self.clone() }
    }

    /// This change was acknowledged.
    pub fn record_acknowledged(&self, change: &Value) {
        let mut acknowledged = self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        let mut record = |name: String, version: u64, service: Option<String>| {
            let known = acknowledged.entry(name).or_default();
            if version > known.version {
                *known = AcknowledgedRoute { version, service };
            }
        };
        for route in routes_of(&change["deliver"]) {
            record(route.name, route.version, Some(route.service));
        }
        for withdrawn in elements(&change["withdraw"], "routes") {
            let name = withdrawn["name"].as_str().unwrap_or_default();
            record(name.to_string(), withdrawn["edition"].as_u64().unwrap_or(0), None);
        }
    }

    /// The newest configuration.
    ///
    /// # Errors
    /// As [`Operator::call`], and when the answer is no JSON.
    pub async fn configuration(&self) -> Result<Value> {
        Ok(serde_json::from_slice(&self.call("GET", "/-/Config.Get", b"").await?.body)?)
    }

    /// Begin or end the evacuation of a zone.
    ///
    /// # Errors
    /// As [`Operator::call`].
    pub async fn set_evacuated(&self, zone: &str, is_evacuated: bool) -> Result<()> {
        let path = format!("/-/Evacuate.{}/{zone}", if is_evacuated { "Start" } else { "End" });
        self.call("POST", &path, b"").await.map(|_| ())
    }

    /// What was acknowledged and is not in a configuration that was read, in words.
    pub fn missing_from(&self, configuration: &Value) -> Vec<String> {
        let in_force = routes_of(configuration);
        let acknowledged = self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        let mut faults = Vec::new();
        for (name, known) in acknowledged.iter() {
            let found = in_force.iter().find(|route| route.name == *name);
            let is_kept = match (found, &known.service) {
                (None, service) => service.is_none(),
                (Some(found), _) if found.version > known.version => true,
                (Some(found), Some(service)) => found.version == known.version && found.service == *service,
                (Some(_), None) => false,
            };
            if !is_kept {
                let read = found.map(|route| (route.version, &route.service));
                let AcknowledgedRoute { version, service } = known;
                faults.push(format!("{name}: acknowledged {version} {service:?}, read {read:?}"));
            }
        }
        faults
    }
}
