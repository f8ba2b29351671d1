//! What a sidecar of the fleet has besides its peers: upstreams that answer, a list service of its own that can be dark, and
//! clients. Threads and blocking sockets: few connections, and nothing is measured through them but whether answers come.
use silvercross_history_checker::{EventKind, History};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Idle watches hear something so often.
const ALIVE: Duration = Duration::from_secs(1);

/// An upstream's zone, by its number.
fn zone_of(name: &str) -> &'static str {
    match name.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) % 3 {
        0 => "a",
        1 => "b",
        _ => "c",
    }
}

/// The list as all lists will come to have it, and how far each machine's is.
#[derive(Default)]
pub struct Lists {
    /// Its version.
    pub seq: u64,
    /// Upstreams: name, address, the version since which it drains (0: it does not).
    pub hosts: Vec<(String, SocketAddr, u64)>,
    /// Each machine's version.
    pub at: Vec<u64>,
}

impl Lists {
    /// The list as a machine's service tells it, as JSON.
    pub fn json(&self, machine: usize) -> serde_json::Value {
        let seq = self.at.get(machine).copied().unwrap_or(self.seq);
        let host = |(name, dial, drains): &(String, SocketAddr, u64)| {
            let health = if *drains > 0 && *drains <= seq { "draining" } else { "ready" };
            serde_json::json!({"host": name, "dial": dial.to_string(), "site": zone_of(name), "class": "k", "block": 0, "health": health,
                "share": 1.0, "born_ms": 7})
        };
        serde_json::json!({"seq": seq, "whole": true, "hosts": self.hosts.iter().map(host).collect::<Vec<_>>()})
    }
}

fn serve(
    over: Arc<AtomicBool>,
    each: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let at = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let each = Arc::new(each);
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let each = each.clone();
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
                    thread::spawn(move || each(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    Ok(at)
}

/// A request's head off a connection: its first line and all headers, their names in lower case.
fn heads(reader: &mut BufReader<TcpStream>) -> Option<(String, BTreeMap<String, String>)> {
    let (mut first, mut lines, mut line) = (String::new(), BTreeMap::new(), String::new());
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some((first, lines));
        }
        if first.is_empty() {
            first = text.to_string();
        } else if let Some((name, v)) = text.split_once(':') {
            lines.insert(name.to_ascii_lowercase(), v.trim().to_string());
        }
    }
}

/// Where upstreams note the effects of keyed requests.
#[derive(Clone)]
pub struct Effects {
    /// The history.
    pub history: Arc<Mutex<History>>,
    /// When its times begin.
    pub origin: Arc<Mutex<Instant>>,
    /// Microseconds before time 0.
    pub gather: i64,
}

/// An upstream: it answers each request with its id, and notes when it came.
pub fn upstream(
    name: String,
    hits: Arc<Mutex<Vec<(String, Instant)>>>,
    effects: Effects,
    over: Arc<AtomicBool>,
) -> std::io::Result<SocketAddr> {
    // Each is a zone of its own: it drops repeats of what it has done, and answers them alike.
    let done: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    serve(over, move |stream| {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some((_, lines)) = heads(&mut reader) {
            let of = |name: &str| lines.get(name).cloned();
            if let Some(key) = of("idempotency-key") {
                let mut done = done.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                let body = done.entry(key.clone()).or_insert_with(|| {
                    let origin = *effects.origin.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    let at = origin.elapsed().as_micros() as i64 - effects.gather;
                    let what = EventKind::Effect { key: key.clone(), by: name.clone() };
                    effects
                        .history
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .record(silvercross_time::Instant::from_micros(at), what);
                    format!("{name} did {key} at {at}")
                });
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                drop(done);
                if out.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = of("x-correlation-id").unwrap_or_default();
            hits.lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .push((name.clone(), Instant::now()));
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A machine's list service.
pub fn list_service(
    machine: usize,
    lists: Arc<Mutex<Lists>>,
    over: Arc<AtomicBool>,
) -> std::io::Result<SocketAddr> {
    let stop = over.clone();
    serve(over, move |stream| {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let Some((first, _)) = heads(&mut reader) else { return };
        let now = || {
            let lists = lists.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            (lists.at.get(machine).copied().unwrap_or(lists.seq), lists.json(machine).to_string())
        };
        if !first.contains("follow=1") {
            let body = now().1;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let _ = out.write_all(answer.as_bytes());
            return;
        }
        let mut told = None;
        let mut said = Instant::now();
        if out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        while !stop.load(Ordering::Relaxed) {
            let (seq, text) = now();
            let line = match (told != Some(seq), said.elapsed() > ALIVE) {
                (true, _) => text,
                (false, true) => String::new(),
                (false, false) => {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
            };
            if out.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_err() {
                return;
            }
            (told, said) = (Some(seq), Instant::now());
        }
    })
}

/// Ask once, on a connection of its own; the status, or 0 where none came in time.
pub fn ask(at: SocketAddr, id: u64, patience: Duration) -> u16 {
    let call = || -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&at, patience).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let text = format!(
            "GET /api HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 2000\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    };
    call().unwrap_or(0)
}

/// What a process tells of its fleet over its door.
pub fn members(at: SocketAddr, patience: Duration) -> Option<serde_json::Value> {
    told(at, "/admin/members", patience)
}

/// What a process tells over its door.
pub fn told(at: SocketAddr, path: &str, patience: Duration) -> Option<serde_json::Value> {
    let mut stream = TcpStream::connect_timeout(&at, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: door\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}
