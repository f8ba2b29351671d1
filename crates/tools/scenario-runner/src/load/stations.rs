//! What stands on both sides of what is measured: upstreams that answer at once, and callers who do not wait for answers
//! before they ask again. Each side has a loop and a thread of its own.
use super::Seen;
use crate::sockets::Program;
use hdrhistogram::Histogram;
use polling::Events;
use silvercross_core::interface::Micros;
use silvercross_net::http;
use silvercross_net::registry::{Interest, Registry, Watched};
use silvercross_net::table::{Handle, Table};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Connections a caller opens at most: more are never of use on one machine.
const CALLERS: usize = 256;
/// How long answers are waited for after the last request was due.
const AFTER: Micros = 1_500_000;

/// Upstreams that answer at once, on one thread, for as long as the process lives.
pub struct Upstreams {
    pub addresses: Vec<SocketAddr>,
    opened: Arc<AtomicU64>,
}

impl Upstreams {
    pub fn start(n: usize) -> io::Result<Self> {
        let registry = Registry::new()?;
        let mut listeners = Vec::new();
        for i in 0..n.max(1) {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            let key = usize::MAX - 1 - i;
            listeners.push(registry.watch(listener, key, Interest::Read)?);
        }
        let addresses = listeners.iter().map(|l| l.get().local_addr()).collect::<io::Result<_>>()?;
        let opened: Arc<AtomicU64> = Arc::default();
        let count = opened.clone();
        thread::spawn(move || serve(&registry, &listeners, &count));
        Ok(Upstreams { addresses, opened })
    }

    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }
}

fn serve(registry: &Registry, listeners: &[Watched<TcpListener>], opened: &AtomicU64) -> io::Result<()> {
    type Held = (Watched<TcpStream>, Vec<u8>);
    let (mut table, mut events): (Table<Held>, _) = (Table::default(), Events::new());
    let mut bytes = [0; 16 * 1024];
    loop {
        registry.wait(&mut events, None)?;
        for event in events.iter() {
            if let Some(listener) = listeners.get(usize::MAX - 1 - event.key) {
                while let Ok((stream, _)) = listener.get().accept() {
                    opened.fetch_add(1, Ordering::Relaxed);
                    stream.set_nonblocking(true)?;
                    stream.set_nodelay(true)?;
                    table.insert_with(|h| {
                        let socket = registry.watch(stream, h.number() as usize, Interest::Read)?;
                        Ok::<_, io::Error>((socket, Vec::new()))
                    })?;
                }
                continue;
            }
            let handle = Handle::from_number(event.key as u64);
            let Some((socket, input)) = table.get_mut(handle) else { continue };
            let ended = loop {
                match socket.get().read(&mut bytes) {
                    Ok(0) => break true,
                    Ok(n) => input.extend_from_slice(&bytes[..n]),
                    Err(e) => break e.kind() != io::ErrorKind::WouldBlock,
                }
            };
            let mut good = !ended;
            while good {
                let mut lines = http::empty_headers();
                let whole = match http::request_head(input, &mut lines) {
                    Ok(Some(head)) => http::body(input, head.len, head.framing, false),
                    Ok(None) => break,
                    Err(bad) => Err(bad),
                };
                match whole {
                    Ok(Some(body)) => {
                        input.drain(..body.end);
                        // So little always has room.
                        good = socket.get().write_all(ANSWER).is_ok();
                    }
                    Ok(None) => break,
                    Err(_) => good = false,
                }
            }
            if !good {
                table.remove(handle);
            }
        }
    }
}

/// A process that is measured. Dropping it ends it.
pub struct Station {
    child: Child,
    pub at: SocketAddr,
    _config: Option<tempfile::NamedTempFile>,
}

impl Station {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Station {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(mut command: Command, config: Option<tempfile::NamedTempFile>) -> Result<Station, String> {
    command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().map_err(|e| format!("{:?}: {e}", command.get_program()))?;
    let mut lines = child.stderr.take().map(BufReader::new).ok_or("no standard error")?;
    let mut first = String::new();
    let heard = lines.read_line(&mut first);
    let value: Option<serde_json::Value> = serde_json::from_str(&first).ok();
    let at = value.as_ref().and_then(|v| v["listen"].as_str()).and_then(|a| a.parse().ok());
    thread::spawn(move || io::copy(&mut lines, &mut io::sink()));
    let at = match (heard, at) {
        (Ok(_), Some(at)) => at,
        _ => {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!("not started: {}", first.trim()));
        }
    };
    Ok(Station { child, at, _config: config })
}

/// A sidecar that knows these upstreams and finds no discovery.
pub fn sidecar(program: &Program, upstreams: &[SocketAddr]) -> Result<Station, String> {
    let host = |(i, at): (usize, &SocketAddr)| {
        serde_json::json!({"host": format!("s-{i}"), "dial": at.to_string(), "site": "a", "class": "k", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    };
    let config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": true, "hosts": upstreams.iter().enumerate().map(host).collect::<Vec<_>>()},
        "settings": {"areas": ["a"], "shapes": ["k"], "discovery": "on_request",
            "classes": [{"name": "read", "effect": "repeatable", "aim_s": 1.0, "deadline_s": 2.0}],
            "limits": {"attempts_cap": 2, "connect_timeout_s": 0.25, "idle_close_s": 60.0, "may_cancel": true},
            "rules": {}},
    });
    let mut file = tempfile::NamedTempFile::new().map_err(|e| e.to_string())?;
    file.write_all(config.to_string().as_bytes()).map_err(|e| e.to_string())?;
    let mut command = Command::new(&program.path);
    command.args(&program.args).env_clear().env("PROXY_CONFIG", file.path());
    // A member of a fleet, where whoever measures says so.
    if let Some(fleet) = std::env::var_os("PROXY_FLEET") {
        command.env("PROXY_FLEET", fleet);
    }
    start(command, Some(file))
}

/// The bare forwarder, in front of one upstream.
pub fn forwarder(own: &Program, to: SocketAddr) -> Result<Station, String> {
    let mut command = Command::new(&own.path);
    command.args(["forward", &to.to_string()]);
    start(command, None)
}

struct Caller {
    socket: Watched<TcpStream>,
    input: Vec<u8>,
    /// When the request that is out should have been sent.
    due: Option<Micros>,
}

/// Ask so often for so long; the next request does not wait for the last answer.
pub fn ask(at: SocketAddr, per_s: f64, each: Duration, body: usize) -> io::Result<Seen> {
    let registry = Registry::new()?;
    let mut table: Table<Caller> = Table::default();
    let mut events = Events::new();
    let mut idle: Vec<Handle> = Vec::new();
    let mut waiting: std::collections::VecDeque<Micros> = Default::default();
    let took = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let mut seen = Seen { asked: 0, served: 0, took, late: 0 };
    let (began, end) = (Instant::now(), each.as_micros() as Micros);
    let (mut next, gap, mut open) = (0.0f64, 1e6 / per_s, 0usize);
    let mut bytes = [0; 16 * 1024];
    // Ids are new in every step of every run against one sidecar.
    let base = std::process::id() as u64 ^ began.elapsed().as_nanos() as u64 ^ (per_s.to_bits() << 8);
    loop {
        let now = began.elapsed().as_micros() as Micros;
        while (next as Micros) <= now.min(end - 1) {
            waiting.push_back(next as Micros);
            next += gap;
        }
        while let Some(due) = waiting.front().copied() {
            let handle = match idle.pop() {
                Some(handle) => handle,
                None if open < CALLERS => {
                    let stream = TcpStream::connect(at)?;
                    stream.set_nonblocking(true)?;
                    stream.set_nodelay(true)?;
                    let made = table.insert_with(|h| {
                        let socket = registry.watch(stream, h.number() as usize, Interest::Read)?;
                        Ok::<_, io::Error>(Caller { socket, input: Vec::new(), due: None })
                    })?;
                    open += 1;
                    made.ok_or_else(|| io::Error::other("the table is full"))?
                }
                None => break,
            };
            let Some(caller) = table.get_mut(handle) else { continue };
            waiting.pop_front();
            let text = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {:016x}\r\nX-Service-Class: read\r\n\
                 X-Time-Left-Ms: 2000\r\nContent-Length: {body}\r\n\r\n{:body$}",
                base.wrapping_add(seen.asked),
                ""
            );
            seen.asked += 1;
            if caller.socket.get().write_all(text.as_bytes()).is_err() {
                table.remove(handle);
                open -= 1;
                continue;
            }
            seen.late = seen.late.max(now - due);
            caller.due = Some(due);
        }
        let out = open - idle.len();
        if now >= end && (out == 0 && waiting.is_empty() || now >= end + AFTER) {
            return Ok(seen);
        }
        let until = if now < end { (next as Micros).clamp(now, end) } else { end + AFTER };
        let limit = if waiting.is_empty() { until - now } else { 1_000 };
        registry.wait(&mut events, Some(Duration::from_micros(limit.max(0) as u64)))?;
        let now = began.elapsed().as_micros() as Micros;
        for event in events.iter() {
            let handle = Handle::from_number(event.key as u64);
            let Some(caller) = table.get_mut(handle) else { continue };
            let ended = loop {
                match caller.socket.get().read(&mut bytes) {
                    Ok(0) => break true,
                    Ok(n) => caller.input.extend_from_slice(&bytes[..n]),
                    Err(e) => break e.kind() != io::ErrorKind::WouldBlock,
                }
            };
            let mut lines = http::empty_headers();
            let whole = match http::response_head(&caller.input, &mut lines) {
                Ok(Some(head)) => {
                    let end = http::body(&caller.input, head.len, head.framing, ended)
                        .ok()
                        .flatten()
                        .map(|b| b.end);
                    end.map(|end| (head.status, end))
                }
                _ => None,
            };
            if let (Some((status, end)), Some(due)) = (whole, caller.due.take_if(|_| whole.is_some())) {
                caller.input.drain(..end);
                if status == 200 {
                    seen.served += 1;
                    let _ = seen.took.record((now - due).max(1) as u64);
                }
                if !ended {
                    idle.push(handle);
                    continue;
                }
            }
            if ended {
                idle.retain(|h| *h != handle);
                table.remove(handle);
                open -= 1;
            }
        }
    }
}
