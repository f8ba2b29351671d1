//! `silvercross gateway`: runs the outward and the inward half of a gateway in one process. Each half is an event loop on a
//! thread of its own; they share only the log. The settings of both are checked before anything listens.
use super::{config, logging, start};
use crate::event_loop::gateway_side::{GatewayHalf, Inward, Outward};
use crate::event_loop::{Bounds, EventLoop, Parts, ReloadedConfig};
use serde::Deserialize;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use silvercross_core::interface::Micros;
use silvercross_facade::{Balancer, Clock};
use silvercross_gateway::hops::is_name;
use silvercross_gateway::offer::{Limits, Offer};
use silvercross_gateway::peers::Peers;
use silvercross_net::registry::Registry;
use slog::{error, info, o, Logger};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;

/// Maximum number of far gateways.
const MAX_PEERS: usize = 64;

/// The gateway file; `deploy/gateway.example.toml` documents the keys.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    site: String,
    far: String,
    settings: String,
    near: Near,
    link: Link,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Near {
    listen: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Link {
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    #[serde(default = "first")]
    first: u32,
    #[serde(default = "most")]
    most: u32,
    #[serde(default = "holds_ms")]
    holds_ms: u32,
    #[serde(default = "ask_ms")]
    ask_ms: u32,
}

fn first() -> u32 {
    4
}
fn most() -> u32 {
    120
}
fn holds_ms() -> u32 {
    1500
}
fn ask_ms() -> u32 {
    300
}

fn parse(text: &str) -> Result<File, String> {
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(0, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
        format!("line {line}: {}", e.message().replace('\n', " "))
    })?;
    let wrong = |key: &str, why: &str| Err(format!("{key}: {why}"));
    for (key, name) in [("site", &file.site), ("far", &file.far)] {
        if !is_name(name) {
            return wrong(key, "a site's name consists of letters, digits, '-', '_' and '.'");
        }
    }
    let (l, near) = (&file.link, file.near.listen);
    if file.site == file.far {
        return wrong("far", "must not be this site");
    }
    if l.peers.is_empty() || l.peers.len() > MAX_PEERS {
        return wrong("link.peers", "must list 1 to 64 far gateways");
    }
    if l.peers.iter().enumerate().any(|(i, p)| l.peers[..i].contains(p)) {
        return wrong("link.peers", "an address is listed twice");
    }
    let own = |p: &SocketAddr| p.port() != 0 && (*p == l.listen || *p == near);
    if l.peers.iter().any(own) {
        return wrong("link.peers", "an address is this gateway's own");
    }
    if near.port() != 0 && near == l.listen {
        return wrong("link.listen", "must differ from near.listen");
    }
    if l.first > l.most || l.most == 0 || l.most > 100_000 {
        return wrong("link.most", "must be from 1 to 100000, and at least link.first");
    }
    if !(10..=10_000).contains(&l.holds_ms) {
        return wrong("link.holds_ms", "must be from 10 to 10000");
    }
    if !(50..=10_000).contains(&l.ask_ms) {
        return wrong("link.ask_ms", "must be from 50 to 10000");
    }
    Ok(file)
}

/// Runs a gateway until it is told to stop. The error is a single line.
pub fn run(path: &Path) -> Result<(), String> {
    let level = logging::level(std::env::var("SILVERCROSS_LOG").ok().as_deref())?;
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {shown}: {e}"))?;
    let file = parse(&text).map_err(|e| format!("bad gateway file {shown}: {e}"))?;
    // A relative path is resolved against the gateway file's folder.
    let settings = path.parent().unwrap_or(Path::new(".")).join(&file.settings);
    let json =
        std::fs::read_to_string(&settings).map_err(|e| format!("cannot read {}: {e}", settings.display()))?;
    let link = file.link.listen.to_string();
    let var = move |name: &str| (name == "PROXY_LISTEN").then(|| link.clone());
    let read =
        || config::parse(&json, &var).map_err(|e| format!("bad configuration {}: {e}", settings.display()));
    let (inward, outward) = (read()?, read()?);
    for name in [&file.site, &file.far] {
        if !inward.front.zones.contains(name) {
            return Err(format!("bad gateway file {shown}: {name:?} is not among the settings' areas"));
        }
    }
    let near = start::listen(file.near.listen, false)
        .map_err(|e| format!("cannot listen on {}: {e}", file.near.listen))?;
    let link = start::listen(file.link.listen, false)
        .map_err(|e| format!("cannot listen on {}: {e}", file.link.listen))?;
    let (log, flush) = logging::start(&file.name, level);
    let at = |l: &TcpListener| l.local_addr().map_or_else(|e| e.to_string(), |a| a.to_string());
    info!(log, "gateway started"; "near" => at(&near), "link" => at(&link), "site" => &file.site, "far" => &file.far,
        "peers" => file.link.peers.len(), "first" => file.link.first, "most" => file.link.most);
    let ended = thread::scope(|scope| {
        let out_log = log.new(o!("half" => "outward"));
        let out = scope.spawn(|| outward_half(&file, outward, near, out_log));
        let inside = inward_half(&file, inward, link, &settings, log.new(o!("half" => "inward")));
        let out = out.join().unwrap_or_else(|_| Err("the outward half panicked".into()));
        inside.and(out)
    });
    if let Err(e) = &ended {
        error!(log, "gateway half failed"; "error" => e.clone());
    }
    flush.finish();
    ended
}

fn bounds(config: &config::Config) -> Bounds {
    // Each half of the gateway gets half of the process's limits.
    Bounds {
        descriptors: config.sockets / 2,
        buffer_bytes: config.memory_mb * 300_000,
        ..start::bounds_of(config)
    }
}

fn inward_half(
    file: &File,
    c: config::Config,
    link: TcpListener,
    settings: &Path,
    log: Logger,
) -> Result<(), String> {
    let fault = |e: std::io::Error| format!("the inward half: {e}");
    let bounds = bounds(&c);
    let balancer = Balancer::new(c.settings, c.front.clone(), c.seed, &c.known, Clock::system());
    let l = &file.link;
    let limits =
        Limits { initial_slots: l.first, max_slots: l.most, validity: Micros::from(l.holds_ms) * 1000 };
    // The start time is the number of this run, so that no two runs of one gateway have the same.
    let offer = Offer::new(limits, balancer.now() as u64, balancer.now());
    let gate = GatewayHalf::In(Inward { home: file.site.clone(), offer, far_gateways: l.peers.len() as u32 });
    let path = settings.to_path_buf();
    let made = EventLoop::new(Parts {
        registry: Registry::new().map_err(fault)?,
        balancer,
        listen_at: link.local_addr().map_err(fault)?,
        listener: Some(link),
        stops: start::signals(&[SIGTERM, SIGINT]).map_err(fault)?,
        reloads: start::signals(&[SIGHUP]).map_err(fault)?,
        reread: Box::new(move || {
            let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
            let new = config::parse(&text, |_| None)?;
            Ok(ReloadedConfig { discovery: new.discovery, settings: None })
        }),
        discovery: Some(c.discovery),
        gateway: Some(gate),
        management_listener: None,
        classes: c.front.classes.clone(),
        seat: None,
        peers: None,
        seq: c.seq,
        bounds,
        log,
    });
    made.and_then(EventLoop::run).map_err(fault)
}

fn outward_half(file: &File, c: config::Config, near: TcpListener, log: Logger) -> Result<(), String> {
    let fault = |e: std::io::Error| format!("the outward half: {e}");
    let bounds = bounds(&c);
    let (l, n) = (&file.link, file.link.peers.len());
    let gate = Outward {
        home: file.site.clone(),
        far_site: file.far.clone(),
        peers: Peers::new(n, l.most),
        addresses: l.peers.clone(),
        latency_target: c.settings.classes.iter().map(|k| k.latency_target).max().unwrap_or(0),
        offer_interval: Micros::from(l.ask_ms) * 1000,
        reported_open: vec![false; n],
        offer_connections: vec![None; n],
        next_offer_at: 0,
        log_pacing: Default::default(),
    };
    let hosts = gate.hosts(&vec![false; n]);
    let balancer = Balancer::new(c.settings, c.front, c.seed ^ 1, &hosts, Clock::system());
    let (never, _open) = std::os::unix::net::UnixStream::pair().map_err(fault)?;
    never.set_nonblocking(true).map_err(fault)?;
    let made = EventLoop::new(Parts {
        registry: Registry::new().map_err(fault)?,
        balancer,
        listen_at: near.local_addr().map_err(fault)?,
        listener: Some(near),
        stops: start::signals(&[SIGTERM, SIGINT]).map_err(fault)?,
        // This half uses nothing that a reload can change.
        reloads: never,
        reread: Box::new(|| Err("the outward half has nothing to reload".into())),
        discovery: None,
        gateway: Some(GatewayHalf::Out(gate)),
        management_listener: None,
        classes: Vec::new(),
        seat: None,
        peers: None,
        seq: 0,
        bounds,
        log,
    });
    made.and_then(EventLoop::run).map_err(fault)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_example_is_good_and_each_fault_is_told_by_its_key() {
        let example = include_str!("../../../../../deploy/gateway.example.toml");
        parse(example).expect("good");
        let cases = [
            ("site = \"home\"", "site = \"ho me\"", "site:"),
            ("far = \"far\"", "far = \"home\"", "far:"),
            ("[\"127.0.0.1:4200\"]", "[]", "link.peers:"),
            ("[\"127.0.0.1:4200\"]", "[\"127.0.0.1:4100\"]", "link.peers:"),
            ("[\"127.0.0.1:4200\"]", "[\"127.0.0.1:1\", \"127.0.0.1:1\"]", "link.peers:"),
            ("listen = \"127.0.0.1:4100\"", "listen = \"127.0.0.1:4000\"", "link.listen:"),
            ("listen = \"127.0.0.1:4100\"", "listen = \"here\"", "line "),
            ("first = 4", "first = 400", "link.most:"),
            ("most = 120", "most = -1", "line "),
            ("holds_ms = 1500", "holds_ms = 5", "link.holds_ms:"),
            ("ask_ms = 300", "ask_ms = 0", "link.ask_ms:"),
            ("ask_ms = 300", "ask_often = true", "line "),
        ];
        for (from, to, key) in cases {
            let why = parse(&example.replacen(from, to, 1)).expect_err(to);
            assert!(why.starts_with(key) && !why.contains('\n'), "{to}: {why}");
        }
    }
}
