//! Clients on all sides that go on asking, and what came of each attempt.
use crate::checker::Attempt;
use crate::client::{Client, Outcome, RequestKind};
use crate::identifiers::attempt_id;
use crate::testbed::{is_ready, Testbed};
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::Result;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Clients on each side.
pub(crate) const CLIENTS_PER_SIDE: usize = 4;
/// Between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Between two requests of a client that only reads.
const READ_INTERVAL: Duration = Duration::from_millis(15);
/// The longest pause that a client takes because it was told to come back later, in seconds.
const MAX_RETRY_AFTER_S: f64 = 1.0;
/// A client whose attempt got no answer waits so many intervals.
const INTERVALS_AFTER_LOSS: u32 = 4;
/// Every n-th request of a client is an upload.
const UPLOAD_EVERY: usize = 40;
/// The platform asks so often whether a side is ready.
pub(crate) const READY_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A side that misses so many probes in a row gets no new work.
pub(crate) const MAX_MISSED_PROBES: u32 = 2;
/// Bytes of an upload.
pub(crate) const UPLOAD_BYTES: usize = 200_000;

/// Probe a side as the platform does, until `stop`; `is_shut` says whether it gets no new work.
pub(crate) async fn probe_readiness(ready: SocketAddr, is_shut: &AtomicBool, stop: &AtomicBool) {
    let mut missed = 0;
    while !stop.load(Relaxed) {
        missed = if is_ready(ready).await { 0 } else { missed + 1 };
        is_shut.store(missed >= MAX_MISSED_PROBES, Relaxed);
        tokio::time::sleep(READY_PROBE_INTERVAL).await;
    }
}

/// What a request of a kind carries.
pub(crate) fn request_body(kind: RequestKind, seed: &str) -> Vec<u8> {
    match kind {
        RequestKind::Safe => Vec::new(),
        RequestKind::Unsafe => seed.as_bytes().to_vec(),
        RequestKind::Upload => seed.bytes().cycle().take(UPLOAD_BYTES).collect(),
    }
}

/// One attempt of a kind.
pub async fn attempt(client: &mut Client, kind: RequestKind, service: &str, sender: &str) -> Attempt {
    let (id, target) = (attempt_id(), format!("{}page", kind.path_prefix(service)));
    let body = request_body(kind, &id);
    let outcome = client.send(&target, &id, &body).await;
    Attempt { id, kind, target, sender: sender.to_string(), body, outcome }
}

/// When each attempt was sent, by its id.
#[derive(Clone, Debug, Default)]
pub struct SentTimes(Arc<Mutex<BTreeMap<String, Instant>>>);

impl SentTimes {
    fn record(&self, id: String, sent_at: Instant) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sent_at);
    }

    /// When the attempt of this id was sent, if its client has taken note of that.
    pub fn get(&self, id: &str) -> Option<Instant> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(id).copied()
    }
}

/// Start a client at each side that asks all services, one after the other, and notes when.
pub fn start_readers(testbed: &Testbed, sent_times: &SentTimes) -> Vec<JoinHandle<()>> {
    let client = |machine: usize| {
        let (outbound, services) = (testbed.mesh.outbound(machine), testbed.services().to_vec());
        let (sender, sent_times) = (testbed.mesh.machines[machine].service.clone(), sent_times.clone());
        tokio::spawn(async move {
            let mut client = Client::new(outbound);
            for number in 0usize.. {
                tokio::time::sleep(READ_INTERVAL).await;
                let sent_at = Instant::now();
                let service = &services[number % services.len()];
                let attempt = attempt(&mut client, RequestKind::Safe, service, &sender).await;
                sent_times.record(attempt.id, sent_at);
            }
        })
    };
    testbed.mesh.side_machines().map(client).collect()
}

/// Clients on all sides, for as long as it lives.
pub struct Clients {
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// One client's part of the load.
struct ClientLoop {
    number: usize,
    outbound: SocketAddr,
    services: Vec<String>,
    sender: String,
    interval: Duration,
    is_shut: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl ClientLoop {
    async fn run(self) {
        let mut client = Client::new(self.outbound);
        for number in self.number.. {
            if self.stop.load(Relaxed) {
                return;
            }
            if self.is_shut.load(Relaxed) {
                tokio::time::sleep(self.interval).await;
                continue;
            }
            let is_upload = number % UPLOAD_EVERY == UPLOAD_EVERY - 1;
            let kind = if is_upload { RequestKind::Upload } else { RequestKind::ALL[number % 2] };
            let service = &self.services[number / 2 % self.services.len()];
            let attempt = attempt(&mut client, kind, service, &self.sender).await;
            let pause = match &attempt.outcome {
                Outcome::Answer(response) => response
                    .retry_after_s
                    .map_or(self.interval, |s| Duration::from_secs_f64(s.clamp(0.0, MAX_RETRY_AFTER_S))),
                _ => self.interval * INTERVALS_AFTER_LOSS,
            };
            self.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
            tokio::time::sleep(pause).await;
        }
    }
}

impl Clients {
    /// Start them. They ask all services, in all kinds; a side that misses its ready calls twice gets no new work.
    pub fn start(testbed: &Testbed) -> Self {
        Clients::start_with(testbed, CLIENTS_PER_SIDE, REQUEST_INTERVAL)
    }

    /// So many on each side, with this pause between two requests of one.
    pub fn start_with(testbed: &Testbed, clients_per_side: usize, interval: Duration) -> Self {
        let (stop, attempts): (Arc<AtomicBool>, Arc<Mutex<Vec<Attempt>>>) = Default::default();
        let mut tasks = Vec::new();
        for machine in testbed.mesh.side_machines() {
            let is_shut = Arc::new(AtomicBool::new(false));
            let (ready, shut, ends) = (testbed.mesh.ready(machine), is_shut.clone(), stop.clone());
            tasks.push(tokio::spawn(async move { probe_readiness(ready, &shut, &ends).await }));
            for number in 0..clients_per_side {
                let client = ClientLoop {
                    number,
                    outbound: testbed.mesh.outbound(machine),
                    services: testbed.services().to_vec(),
                    sender: testbed.mesh.machines[machine].service.clone(),
                    interval,
                    is_shut: is_shut.clone(),
                    stop: stop.clone(),
                    attempts: attempts.clone(),
                };
                tasks.push(tokio::spawn(client.run()));
            }
        }
        Clients { stop, attempts, tasks }
    }

    /// How many attempts have ended.
    pub fn count(&self) -> usize {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Wait until so many more have ended.
    ///
    /// # Errors
    /// When they have not in time.
    pub async fn wait_for_more(&self, more: usize) -> Result<()> {
        let target = self.count() + more;
        wait_until("requests go on", WAIT_TIMEOUT, || std::future::ready(self.count() >= target)).await
    }

    /// End them; all their attempts.
    pub async fn end(mut self) -> Vec<Attempt> {
        self.stop.store(true, Relaxed);
        for task in self.tasks.drain(..) {
            // A task that panicked is missed by its attempts.
            let _ = task.await;
        }
        std::mem::take(&mut self.attempts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
