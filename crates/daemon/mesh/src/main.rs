//! silvercross' mesh: one program for all machines. `silvercross-mesh sidecar` on machines with an upstream, `silvercross-mesh control` on
//! those that hold the control state. What a process does follows from its settings file; the two words only say it in
//! listings.
#![forbid(unsafe_code)]

mod body_budget;
mod body_buffer;
mod client_listener;
mod control;
mod control_value;
mod disk;
mod event_stream;
mod graceful_stop;
mod idle_timeout;
mod member_throttle;
mod members_command;
mod metrics;
mod mutation;
mod node_state;
mod peer_connection;
mod peers;
mod rate_limited_log;
mod reload;
mod request_encoding;
mod response_replay_cache;
mod service_balancer;
mod settings;
mod upstream_gate;

mod forwarding_headers;
#[cfg(test)]
mod tests;
mod wire;

use anyhow::{anyhow, bail, Context, Result};
use graceful_stop::Phase;
use node_state::NodeState;
use peers::{Peers, RecordBody};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use silvercross_admission::AdmissionController;
use silvercross_control_store::ControlStore;
use silvercross_facade::Clock;
use silvercross_mesh_membership::{Membership, Node};
use slog::{error, info, o, warn, Drain, Logger};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinHandle;

const HELP: &str = "silvercross-mesh sidecar|control [--settings FILE] [--check] [--feed] | members ...
  sidecar   beside an upstream: carries requests
  control   on a machine with a disk: holds the control state
  --settings FILE   the machine's settings (YAML); else the file named in SILVERCROSS_NODE_FILE
  --feed            tell other tools what happens, at control: GET /-/Post.Events
  --check           read the settings, say what is wrong with them, and end
  members   members and how far their slowing has come; silvercross-mesh members --help
Logs are JSON lines on standard error; SILVERCROSS_LOG=debug|info|warning says how many.";

fn main() {
    match run() {
        Ok(()) => {}
        Err(e) => {
            eprintln!("silvercross-mesh: {e:#}");
            std::process::exit(e.downcast_ref::<disk::DiskError>().map_or(2, disk::DiskError::exit_code));
        }
    }
}

fn run() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--version") {
        println!("silvercross-mesh {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let role = args.subcommand()?;
    if role.as_deref() == Some("members") {
        return members_command::run(args);
    }
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let check = args.contains("--check");
    let event_stream = args.contains("--feed");
    let file: Option<PathBuf> =
        args.opt_value_from_os_str("--settings", |s| Ok::<_, String>(PathBuf::from(s)))?;
    if let Some(extra) = args.finish().first() {
        bail!("{}: not understood\n{HELP}", extra.to_string_lossy());
    }
    if !matches!(role.as_deref(), Some("sidecar" | "control")) {
        bail!("say which it is\n{HELP}");
    }
    let file = file.or_else(|| std::env::var_os(settings::VARIABLE).map(PathBuf::from));
    let file =
        file.ok_or_else(|| anyhow!("{} is not set (name the settings file there)", settings::VARIABLE))?;
    let settings = settings::read(&file).map_err(|e| anyhow!(e))?;
    if check {
        println!("{}: as it should be", file.display());
        return Ok(());
    }
    let level = std::env::var("SILVERCROSS_LOG").ok();
    let level = match level.as_deref() {
        None => slog::Level::Info,
        Some(text) => text.parse().map_err(|()| anyhow!("SILVERCROSS_LOG {text:?} is no log level"))?,
    };
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog::LevelFilter::new(std::sync::Mutex::new(json), level).fuse();
    let log = Logger::root(drain, o!("node" => settings.node.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let (ended, logged) = (log.clone(), settings.node.clone());
    let result = local.block_on(&runtime, serve(settings, log, file, event_stream));
    if let Err(e) = &result {
        error!(ended, "cannot run"; "why" => format!("{e:#}"), "at" => logged);
    }
    result
}

async fn serve(
    settings: settings::NodeSettings,
    log: Logger,
    file: PathBuf,
    event_stream: bool,
) -> Result<()> {
    let clock = Clock::system();
    let now = clock.now();
    let seed = RandomState::new().build_hasher().finish();
    let chance = Pcg64Mcg::seed_from_u64(seed);
    let at = SocketAddr::new(settings.ip.into(), settings.ports.0);
    let links = bind(at).await.context("internalPorts")?;
    let udp = UdpSocket::bind(at).await.with_context(|| format!("internalPorts: UDP {at}"))?;
    let seeds = settings.seed_nodes();
    let body = RecordBody {
        inbound: settings.inbound.map_or(0, |a| a.port()),
        control: settings.control.map_or(0, |a| a.port()),
        leaving: false,
        roster: Vec::new(),
        station: None,
    };
    let start = silvercross_mesh_membership::MembershipConfig {
        local_node: Node(settings.ip.to_bits()),
        zone: settings.zone.clone(),
        is_control: settings.core,
        seeds: seeds.iter().map(|s| Node(*s)).collect(),
        incarnation: now as u64,
        random_seed: seed,
    };
    let membership = Membership::new(now, start, body);
    let mut synced = None;
    let ledger = match &settings.data {
        None => None,
        Some(dir) => {
            let opened = disk::open(dir)?;
            // A file that was there and can't be read is no fresh disk, whatever the settings say.
            let fresh = settings.fresh && !opened.content_lost;
            if let Some(why) = opened.quarantined {
                warn!(log, "damaged control data quarantined, the other replicas repair it"; "why" => why.to_string());
            }
            synced = Some(opened.events);
            let mut keys = vec![control_value::CONFIGURATION.to_string()];
            keys.extend(settings.zones.iter().map(|z| format!("{}{z}", control_value::EVACUATION)));
            let replica_set = seeds.iter().map(|s| silvercross_control_store::Node(*s)).collect();
            let me = silvercross_control_store::Node(settings.ip.to_bits());
            let start = silvercross_control_store::Start { me, replica_set, keys, fresh, seed };
            Some((ControlStore::new(now, start, opened.disk), opened.writes))
        }
    };
    let gate =
        upstream_gate::UpstreamGate::new(AdmissionController::new(settings.reloadable.bounds.of_gate()));
    let peers = Peers::new(settings.ip, settings.ports.0, membership, ledger, udp);
    let node_state = NodeState::new(settings, log, gate, peers, clock, chance);
    node_state.reload.begin(&file);
    if event_stream {
        let _ = node_state.event_stream.set(event_stream::EventStream::new());
    }
    let mut listeners = Vec::new();
    for (key, at) in [("outbound", node_state.settings.outbound), ("inbound", node_state.settings.inbound)] {
        if let Some(at) = at {
            listeners.push((key, bind(at).await.with_context(|| format!("countersAt.{key}"))?));
        }
    }
    for (key, listener) in listeners {
        if key == "outbound" {
            tokio::task::spawn_local(client_listener::listen(node_state.clone(), listener));
        } else {
            tokio::task::spawn_local(upstream_gate::listen(node_state.clone(), listener));
        }
    }
    if let Some(at) = node_state.settings.ready {
        let listener = bind(at).await.context("countersAt.ready")?;
        tokio::task::spawn_local(control::listen(node_state.clone(), listener, &control::READY_CALLS));
    }
    if let Some(at) = node_state.settings.control {
        let listener = bind(at).await.context("countersAt.control")?;
        tokio::task::spawn_local(control::listen(node_state.clone(), listener, &control::CALLS));
    }
    tokio::task::spawn_local(Peers::listen(node_state.clone(), links));
    tokio::task::spawn_local(Peers::datagrams(node_state.clone()));
    tokio::task::spawn_local(Peers::tick(node_state.clone()));
    tokio::task::spawn_local(upstream_gate::run_timer(node_state.clone()));
    tokio::task::spawn_local(node_state.clone().watch());
    if node_state.settings.core {
        tokio::task::spawn_local(member_throttle::duty(node_state.clone()));
    }
    let mut disk = synced.map(|told| tokio::task::spawn_local(Peers::synced(node_state.clone(), told)));
    info!(node_state.log, "started"; "core" => node_state.settings.core, "first" => node_state.settings.fresh);
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            why = failed(&mut disk) => return Err(disk::DiskError::WriterFailed { cause: why }.into()),
            _ = hup.recv() => {
                reload::look(&node_state, true);
            }
        }
    }
    stop(&node_state).await;
    Ok(())
}

/// Why the disk has failed, once it has.
async fn failed(disk: &mut Option<JoinHandle<String>>) -> String {
    match disk {
        Some(task) => task.await.unwrap_or_else(|e| e.to_string()),
        None => std::future::pending().await,
    }
}

/// Between two looks at whether a process that stops may end.
const LOOK: Duration = Duration::from_millis(50);
/// The others hear that it leaves within this.
const LEAVES: Duration = Duration::from_millis(60);

/// The platform asks once a second and must be told no twice; what was read is answered; then the end, within the grace.
async fn stop(node_state: &Rc<NodeState>) {
    node_state.begin_stop();
    let (mut idle_connections_closing, mut last) = (false, node_state.now().as_micros());
    loop {
        tokio::time::sleep(LOOK).await;
        let Some((phase, at)) = node_state.graceful_stop() else { break };
        last = at;
        match phase {
            Phase::Serve => {}
            Phase::EndIdle if idle_connections_closing => {}
            Phase::EndIdle => {
                idle_connections_closing = true;
                node_state.close_idle_connections();
            }
            Phase::Shut => break,
        }
    }
    // From now on nobody gets in; whoever did meanwhile is answered before the end.
    node_state.close_idle_connections();
    node_state.close_listeners();
    // A replica that can be replaced stays until it is, for a second loss would leave no majority.
    while node_state.peers.needed() && node_state.now().as_micros() < last {
        tokio::time::sleep(LOOK / 2).await;
    }
    node_state.peers.leave(node_state);
    tokio::time::sleep(LEAVES).await;
    while node_state.is_busy() && node_state.now().as_micros() < last {
        tokio::time::sleep(LOOK / 2).await;
    }
    info!(node_state.log, "ended"; "open" => node_state.open_requests.get());
}

async fn bind(at: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(at).await.with_context(|| format!("{at} (is another process there?)"))
}
