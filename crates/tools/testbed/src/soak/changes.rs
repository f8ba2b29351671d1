//! The operator: adds a route with each change and withdraws an old one; some answers are dropped unread, and the same change is
//! sent again. What was acknowledged, and when, is what the watchers go by.
use crate::client::RequestKind;
use crate::http_connection::HttpConnection;
use crate::operator::{patch, Operator, Route};
use anyhow::Result;
use serde_json::Value;
use silvercross_test_rng::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The version of the first change: those below are the first configuration's.
pub(crate) const FIRST_VERSION: u64 = 10;
/// A change withdraws the route that so many changes before it added.
pub(crate) const LIFETIME: u64 = 200;
/// Between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// One of so many changes has its first answer dropped.
const ONE_IN_DROPPED: u64 = 5;
/// A call whose answer is dropped is written within this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The path that a change's route begins with.
pub(crate) fn path_prefix(version: u64) -> String {
    format!("/soak-{version}/")
}

fn route_name(version: u64) -> String {
    format!("soak-{version}")
}

/// The body of a change.
fn change(service: &str, version: u64) -> Value {
    let route = Route {
        name: route_name(version),
        path_prefix: path_prefix(version),
        ..Route::of(service, RequestKind::Safe)
    };
    let withdrawn = version.checked_sub(LIFETIME).filter(|old| *old >= FIRST_VERSION).map(route_name);
    let withdrawn: Vec<&str> = withdrawn.iter().map(String::as_str).collect();
    patch(&[route], &withdrawn, version)
}

/// Routes that are never asked for, so that the configuration is large beside the links.
pub(crate) fn filler(service: &str, count: usize) -> Value {
    let route = |number: usize| Route {
        name: format!("filler-{number}"),
        path_prefix: format!("/filler-{number}/of-a-configuration-that-is-large/"),
        ..Route::of(service, RequestKind::Safe)
    };
    patch(&(0..count).map(route).collect::<Vec<Route>>(), &[], 2)
}

/// When each change was acknowledged. Shared between the operator and the watchers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acknowledged {
    at: Arc<Mutex<BTreeMap<u64, Instant>>>,
}

impl Acknowledged {
    fn record(&self, version: u64) {
        self.at.lock().unwrap_or_else(PoisonError::into_inner).insert(version, Instant::now());
    }

    /// The newest change that was acknowledged before this moment.
    pub(crate) fn newest_before(&self, moment: Instant) -> Option<u64> {
        let all = self.at.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().rev().find(|(_, at)| **at <= moment).map(|(version, _)| *version)
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.at.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// Send a call and close the connection without reading its answer.
async fn send_unread(to: SocketAddr, body: &[u8]) -> std::io::Result<()> {
    let mut connection = HttpConnection::connect(None, to, WRITE_TIMEOUT).await?;
    let head = format!(
        "POST /-/Config.Patch HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write(&[head.as_bytes(), body].concat()).await
}

/// Change after change, until it is told to end. Each is acknowledged before it ends: what is read back then is known.
pub(crate) async fn write_changes(
    operator: Operator,
    addresses: Vec<SocketAddr>,
    service: String,
    seed: u64,
    acknowledged: Acknowledged,
    is_ending: Arc<AtomicBool>,
) -> Result<()> {
    let mut rng = Rng::new(seed ^ 0x5eed);
    for version in FIRST_VERSION.. {
        if is_ending.load(Relaxed) {
            break;
        }
        let change = change(&service, version);
        if rng.one_in(ONE_IN_DROPPED) {
            let to = addresses[rng.index(addresses.len())];
            // It may be taken or not: the same change is sent again below.
            let _ = send_unread(to, change.to_string().as_bytes()).await;
        }
        operator.beginning_at(rng.index(addresses.len())).patch(&change).await?;
        acknowledged.record(version);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}
