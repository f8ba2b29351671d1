//! Startup: configuration, log, listening sockets and signals; then runs the event loop until it ends.
use super::seat::Seat;
use super::store::OpenDisk;
use super::{config, fleet, logging};
use crate::event_loop::{Bounds, EventLoop, Parts, ReloadedConfig};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use silvercross_core::interface::Micros;
use silvercross_core::interface::Settings;
use silvercross_facade::{Balancer, Clock, DeciderFactory};
use silvercross_net::registry::Registry;
use slog::{error, info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::Path;

/// Maximum number of established connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Share of the memory limit that is available for buffers; the balancing module, the tables and the program need the rest.
const BUFFER_SHARE: f64 = 0.6;

/// A response that has begun must be complete within the shortest latency target divided by this, and has at least
/// `MIN_COMPLETION_TIMEOUT`.
const COMPLETION_DIVISOR: Micros = 5;
const MIN_COMPLETION_TIMEOUT: Micros = 100_000;

/// Runs the sidecar until it is told to stop. The error is a single line.
pub fn run(fleet: Option<&Path>) -> Result<(), String> {
    run_deciding(None, fleet, None)
}

/// Like [`run`], with another decider in place of the balancing module, for comparisons, or with another disk backend under
/// the records, for tests that inject disk faults.
pub fn run_deciding(
    make: Option<DeciderFactory>,
    fleet: Option<&Path>,
    disk: Option<OpenDisk>,
) -> Result<(), String> {
    let var = |name: &str| std::env::var(name).ok();
    let level = logging::level(var("SILVERCROSS_LOG").as_deref())?;
    let config = config::read(var)?;
    let fleet = fleet.map(Path::to_path_buf).or_else(|| var("PROXY_FLEET").map(Into::into));
    let fleet = fleet.map(|path| fleet::read(&path)).transpose()?;
    // Before anything is opened: until they are caught, these signals kill the process.
    let (stops, reloads) = (signals(&[SIGTERM, SIGINT]), signals(&[SIGHUP]));
    let stops = stops.map_err(|e| format!("cannot catch signals: {e}"))?;
    let reloads = reloads.map_err(|e| format!("cannot catch signals: {e}"))?;
    // A second process is started beside this one only if operators can query its readiness.
    let beside = config.management.is_some();
    let clock = Clock::system();
    let shared = var("TMPDIR").filter(|_| beside);
    let seat = shared.and_then(|dir| Seat::take(Path::new(&dir), clock.now()));
    // Beside another process of this sidecar, this one listens only when it can serve too.
    let listener = match seat.as_ref().is_some_and(Seat::has_neighbour) {
        true => None,
        false => Some(
            listen(config.listen, beside).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?,
        ),
    };
    let management_listener = match config.management {
        Some(at) => Some(listen(at, false).map_err(|e| format!("cannot listen on {at}: {e}"))?),
        None => None,
    };
    let peers = fleet.map(|f| fleet::join(&f, &config.name, clock.now(), disk)).transpose()?;
    let fleet_at = peers.as_ref().map_or_else(String::new, |p| p.at.to_string());
    let registry = Registry::new().map_err(|e| format!("cannot create the poller: {e}"))?;
    let (log, flush) = logging::start(&config.name, level);
    let listen_at = listener.as_ref().and_then(|l| l.local_addr().ok()).unwrap_or(config.listen);
    let management = management_listener
        .as_ref()
        .and_then(|d| d.local_addr().ok())
        .map_or_else(String::new, |a| a.to_string());
    info!(log, "started"; "listen" => listen_at.to_string(), "management" => management, "discovery" => config.discovery.to_string(),
        "known" => config.known.len(), "seq" => config.seq, "memory_mb" => config.memory_mb,
        "sockets" => config.sockets, "fleet" => fleet_at, "version" => env!("CARGO_PKG_VERSION"));
    if let Some(why) = peers.as_ref().and_then(|p| p.anew) {
        warn!(log, "this member is somebody new"; "why" => why);
    }
    let bounds = bounds_of(&config);
    let mut in_force = config.file;
    let (discovery, seq) = (config.discovery, config.seq);
    let (settings, seed) = (config.settings, config.seed);
    let classes = config.front.classes.clone();
    let balancer = match make {
        None => Balancer::new(settings, config.front, seed, &config.known, clock),
        Some(make) => {
            let other = make(settings.clone(), seed, clock.now());
            Balancer::with_decider(other, settings, config.front, &config.known, clock)
        }
    };
    let made = EventLoop::new(Parts {
        registry,
        balancer,
        listener,
        listen_at,
        stops,
        reloads,
        reread: Box::new(move || {
            let new = config::reread(var, &in_force)?;
            let (discovery, bounds) = (new.discovery, bounds_of(&new));
            in_force = new.file;
            Ok(ReloadedConfig { discovery, settings: Some((new.settings, new.front, bounds)) })
        }),
        discovery: Some(discovery),
        gateway: None,
        management_listener,
        classes,
        seat,
        peers,
        seq,
        bounds,
        log: log.clone(),
    });
    let ended = made.and_then(EventLoop::run);
    if let Err(e) = &ended {
        error!(log, "event loop failed"; "error" => e.to_string());
    }
    flush.finish();
    ended.map_err(|e| format!("event loop failed: {e}"))
}

/// Limits of the event loop that follow from the configuration.
pub(crate) fn bounds_of(config: &config::Config) -> Bounds {
    Bounds {
        descriptors: config.sockets,
        buffer_bytes: (config.memory_mb as f64 * 1e6 * BUFFER_SHARE) as usize,
        connect_timeout: config.settings.connect_timeout,
        completion_timeout: completion_timeout(&config.settings),
        upstream_idle_timeout: config.front.upstream_idle_timeout,
    }
}

/// Time within which a response that has begun must be complete. Upstreams send a response at once, and it has 64 KiB at
/// most, so a fraction of the shortest latency target is enough.
fn completion_timeout(settings: &Settings) -> Micros {
    let shortest = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0);
    (shortest / COMPLETION_DIVISOR).max(MIN_COMPLETION_TIMEOUT)
}

/// Listens on an address; with `beside`, another process of this sidecar may listen there too.
pub(crate) fn listen(at: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process binds the same address while its old connections are still closing.
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(beside)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Returns a stream that becomes readable when one of these signals arrives.
pub(crate) fn signals(which: &[i32]) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    for signal in which {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    Ok(read)
}
