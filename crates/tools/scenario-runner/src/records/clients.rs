//! Clients of what a fleet of real processes holds: they send keyed requests, try again through other processes as clients do,
//! and ask for documents at the doors; everything goes into the history as they saw it.
use crate::fleet::relay::chance;
use rand_core::RngCore;
use serde_json::Value;
use silvercross_history_checker::{Answer, EventKind, History, Invocation};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A client waits so long for its answer, whatever the class's deadline.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// It tries again through others so often.
const TRIES: usize = 3;
/// What it tells of how long it waits.
const LEFT_MS: u64 = 2_000;
/// Documents each client asks for at a time: their keys change with time, so that each one's history stays short.
const AGE: Duration = Duration::from_millis(1_500);

/// Where a process can be asked.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Which process.
    pub process: usize,
    /// Its applications' door.
    pub front: SocketAddr,
    /// Its operators' door.
    pub door: SocketAddr,
}

/// What all clients share.
#[derive(Clone)]
pub struct Shared {
    /// Processes that are there.
    pub targets: Arc<Mutex<Vec<Target>>>,
    /// The history.
    pub history: Arc<Mutex<History>>,
    /// When it began, and what its time 0 is after that.
    pub origin: Instant,
    /// Microseconds before time 0.
    pub gather: i64,
    /// The rig ends.
    pub over: Arc<AtomicBool>,
    /// Counts values and ids.
    pub count: Arc<AtomicU64>,
    /// Answers: with the mark, without, refused, failed, none; and the longest that one took, in microseconds.
    pub seen: Arc<[AtomicU64; 6]>,
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// The history's time.
    pub fn now(&self) -> i64 {
        self.origin.elapsed().as_micros() as i64 - self.gather
    }

    fn note(&self, began: i64, what: EventKind) {
        lock(&self.history).record_span(
            silvercross_time::Instant::from_micros(began),
            silvercross_time::Instant::from_micros(self.now()),
            what,
        );
    }
}

/// One answer: status, whether it is marked as held, body.
pub fn call(at: SocketAddr, head: &str, patience: Duration) -> Option<(u16, bool, String)> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&at, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    let (mut text, mut piece) = (Vec::new(), [0; 4096]);
    while began.elapsed() < patience {
        match stream.read(&mut piece) {
            Ok(0) => break,
            Ok(n) => text.extend_from_slice(&piece[..n]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse::<usize>().ok())?;
    (body.len() == length).then(|| (status, head.contains("\r\nX-Held: 1"), body.to_string()))
}

/// Send a keyed request once.
pub fn pay(at: SocketAddr, key: &str, id: u64) -> Option<(u16, bool, String)> {
    let head = format!(
        "POST /api/pay HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: pay\r\nIdempotency-Key: {key}\r\n\
         X-Time-Left-Ms: {LEFT_MS}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    call(at, &head, PATIENCE)
}

/// A client, until the rig ends.
pub fn run(number: u64, seed: u64, keys: u64, think: Duration, shared: &Shared) {
    let mut rng = chance(seed ^ number << 32);
    let mut known: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    while !shared.over.load(Ordering::Relaxed) {
        let targets = lock(&shared.targets).clone();
        let pick =
            |n: u64| -> Option<Target> { targets.get((n % targets.len().max(1) as u64) as usize).copied() };
        if let Some(target) = pick(rng.next_u64()) {
            let age = shared.origin.elapsed().as_millis() as u64 / AGE.as_millis() as u64;
            if rng.next_u32() % 10 < 6 {
                let back =
                    if rng.next_u32().is_multiple_of(3) { rng.next_u64() % (age.min(8) + 1) } else { 0 };
                let key = format!("k{}-{}", age - back, rng.next_u64() % (4 * keys));
                keyed(&key, target, &mut |n| pick(n), &mut rng, shared);
            } else {
                let name = format!("d{age}-{}", rng.next_u64() % keys);
                document(&name, target, &mut known, &mut rng, shared);
            }
        }
        std::thread::sleep(think.mul_f64(f64::from(rng.next_u32()) / f64::from(u32::MAX) * 2.0));
    }
}

fn keyed(
    key: &str,
    first: Target,
    pick: &mut dyn FnMut(u64) -> Option<Target>,
    rng: &mut impl RngCore,
    shared: &Shared,
) {
    let mut target = first;
    for _ in 0..TRIES {
        if shared.over.load(Ordering::Relaxed) {
            return;
        }
        let id = shared.count.fetch_add(1, Ordering::Relaxed) + 1;
        let (began, asked) = (shared.now(), Instant::now());
        let got = pay(target.front, key, id);
        let took = asked.elapsed().as_micros() as u64;
        let (which, status) = match &got {
            Some((200, true, _)) => (0, 200),
            Some((200, false, _)) => (1, 200),
            Some((503 | 429, ..)) => (2, 503),
            Some((status, ..)) => (3, *status),
            None => (4, 0),
        };
        shared.seen[which].fetch_add(1, Ordering::Relaxed);
        if status != 0 {
            shared.seen[5].fetch_max(took, Ordering::Relaxed);
        }
        shared.note(began, EventKind::Request { process: target.process, status });
        match got {
            Some((200, true, body)) => {
                return shared.note(began, EventKind::MarkedAnswer { key: key.to_string(), answer: body });
            }
            Some((200, false, body)) => {
                return shared.note(began, EventKind::UnmarkedAnswer { key: key.to_string(), answer: body });
            }
            // As clients do: again, soon, through whoever comes next.
            _ => std::thread::sleep(Duration::from_millis(u64::from(rng.next_u32() % 100))),
        }
        match pick(rng.next_u64()) {
            Some(next) => target = next,
            None => return,
        }
    }
}

fn document(
    name: &str,
    target: Target,
    known: &mut BTreeMap<String, (u64, u64)>,
    rng: &mut impl RngCore,
    shared: &Shared,
) {
    let value = shared.count.fetch_add(1, Ordering::Relaxed) + 1;
    let (asked, query) = match (rng.next_u32() % 4, known.get(name)) {
        (0 | 1, _) => (Invocation::Get, None),
        (2, Some((version, old))) => {
            (Invocation::Cas(*old, value), Some(format!("value={value}&expect={version}")))
        }
        _ => (Invocation::Put(value), Some(format!("value={value}"))),
    };
    let line = match query {
        None => format!("GET /admin/documents/{name}"),
        Some(query) => format!("POST /admin/documents/{name}?{query}"),
    };
    let began = shared.now();
    let got =
        call(target.door, &format!("{line} HTTP/1.1\r\nHost: door\r\n\r\n"), Duration::from_millis(4_000));
    let told: Option<(u16, Value)> =
        got.map(|(s, _, body)| (s, serde_json::from_str(&body).unwrap_or(Value::Null)));
    let answer = match (&told, asked) {
        // Nothing was done, and it says so.
        (Some((503, _)), _) => return,
        (Some((200, v)), Invocation::Get) => {
            let held = v["value"].as_str().and_then(|v| v.parse().ok()).unwrap_or(0);
            known.insert(name.to_string(), (v["version"].as_u64().unwrap_or(0), held));
            Some(Answer::Value(held))
        }
        (Some((404, _)), Invocation::Get) => Some(Answer::Value(0)),
        (Some((200, v)), Invocation::Put(new) | Invocation::Cas(_, new)) => {
            known.insert(name.to_string(), (v["version"].as_u64().unwrap_or(0), new));
            Some(Answer::Done)
        }
        (Some((409, _)), _) => Some(Answer::Mismatch),
        _ => None,
    };
    shared.note(
        began,
        EventKind::Operation { process: target.process, key: name.to_string(), invocation: asked, answer },
    );
}
