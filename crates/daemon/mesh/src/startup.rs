//! Starts a node: reads its disk, creates its decision modules, binds its addresses and spawns its tasks.
//!
//! In this order, so that nothing is sent to other nodes before the content of the disk is known, and no client is accepted
//! before all addresses are bound.
use crate::control_value::{evacuation_key, CONFIGURATION_KEY};
use crate::disk::{self, DiskEvent, StoredDeparture};
use crate::event_stream::EventStream;
use crate::node_state::NodeState;
use crate::peers::{self, LocalControlStore, Peers, RecordBody};
use crate::settings::NodeSettings;
use crate::upstream_gate::{self, UpstreamGate};
use crate::{client_listener, control, member_throttle, periodic};
use anyhow::{Context, Result};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use silvercross_admission::AdmissionController;
use silvercross_control_store::ControlStore;
use silvercross_facade::Clock;
use silvercross_mesh_membership::{Membership, MembershipConfig, Node};
use silvercross_time::Instant;
use slog::{info, warn, Logger};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, JoinHandle};

/// A started node.
pub(crate) struct StartedNode {
    /// The state shared by its tasks.
    pub(crate) node_state: Rc<NodeState>,
    /// Ends with the reason when the disk has failed; `None` on a node without a disk.
    pub(crate) disk_task: Option<JoinHandle<disk::DiskError>>,
}

/// The control store of a node with a disk.
struct OpenedControlStore {
    local: LocalControlStore,
    disk_events: UnboundedReceiver<DiskEvent>,
    departures: Vec<StoredDeparture>,
}

/// Starts a node. Its tasks run until the process ends.
///
/// # Errors
/// A disk that can't be used ([`disk::DiskError`]) or an address that can't be bound, named by its key.
pub(crate) async fn start(
    settings: NodeSettings,
    log: Logger,
    settings_path: &Path,
    with_event_stream: bool,
) -> Result<StartedNode> {
    let clock = Clock::system();
    let now = Instant::from_micros(clock.now());
    let seed = RandomState::new().build_hasher().finish();
    let internal_address = SocketAddr::new(settings.ip.into(), settings.internal_ports.first);
    let links = bind(internal_address).await.context("internalPorts")?;
    let udp = UdpSocket::bind(internal_address)
        .await
        .with_context(|| format!("internalPorts: UDP {internal_address}"))?;
    let membership = membership(&settings, now, seed);
    let (control_store, disk_events, departures) = match open_control_store(&settings, &log, now, seed)? {
        Some(opened) => (Some(opened.local), Some(opened.disk_events), opened.departures),
        None => (None, None, Vec::new()),
    };
    let bounds = settings.reloadable.limits.admission_settings();
    let gate = UpstreamGate::new(AdmissionController::new(bounds));
    let peers = Peers::new(settings.ip, settings.internal_ports.first, membership, control_store, udp);
    let node_state = NodeState::new(settings, log, gate, peers, clock, Pcg64Mcg::seed_from_u64(seed));
    node_state.settings_file.begin(settings_path);
    node_state.peers.restore_departures(&node_state, departures);
    if with_event_stream {
        // Set only here, so this can't fail.
        let _ = node_state.event_stream.set(EventStream::new());
    }
    start_listeners(&node_state).await?;
    start_tasks(&node_state, links);
    let disk_task = disk_events.map(|events| spawn_local(peers::follow_disk(node_state.clone(), events)));
    let settings = &node_state.settings;
    info!(node_state.log, "started"; "control" => settings.is_control, "first" => settings.is_first_start,
        "departures" => node_state.peers.departures_on_disk());
    Ok(StartedNode { node_state, disk_task })
}

/// The initial membership: this node and the seeds.
fn membership(settings: &NodeSettings, now: Instant, seed: u64) -> Membership<RecordBody> {
    let config = MembershipConfig {
        local_node: Node(settings.ip.to_bits()),
        zone: settings.zone.clone(),
        is_control: settings.is_control,
        seeds: settings.seed_nodes(),
        // Higher than that of any earlier process at this address, because the clock counts from 1970.
        incarnation: now.as_micros() as u64,
        random_seed: seed,
    };
    let body = RecordBody {
        inbound_port: settings.inbound_address.map_or(0, |address| address.port()),
        control_port: settings.control_address.map_or(0, |address| address.port()),
        ..RecordBody::default()
    };
    Membership::new(now, config, body)
}

/// Opens the control store from the disk; `None` on a node without a disk.
fn open_control_store(
    settings: &NodeSettings,
    log: &Logger,
    now: Instant,
    seed: u64,
) -> Result<Option<OpenedControlStore>, disk::DiskError> {
    let Some(data_dir) = &settings.data_dir else { return Ok(None) };
    let opened = disk::open(data_dir)?;
    if let Some(error) = opened.quarantined {
        warn!(log, "damaged control data quarantined, the other replicas repair it"; "why" => error.to_string());
    }
    let mut keys = vec![CONFIGURATION_KEY.to_string()];
    keys.extend(settings.zones.iter().map(|zone| evacuation_key(zone)));
    let store_node = |node: Node| silvercross_control_store::Node(node.0);
    let start = silvercross_control_store::StartConfig {
        node: store_node(Node(settings.ip.to_bits())),
        replica_set: settings.seed_nodes().into_iter().map(store_node).collect(),
        keys,
        // A disk that lost its content must not count as a new one, whatever the settings say.
        is_first_start: settings.is_first_start && !opened.content_lost,
        seed,
    };
    let store = ControlStore::new(now, start, opened.disk);
    let local = LocalControlStore { store, disk_writes: opened.writes };
    Ok(Some(OpenedControlStore { local, disk_events: opened.events, departures: opened.departures }))
}

/// Binds the addresses for clients, other sidecars, the platform and operators, and starts to serve them.
async fn start_listeners(node_state: &Rc<NodeState>) -> Result<()> {
    let settings = &node_state.settings;
    let outbound = bind_key("countersAt.outbound", settings.outbound_address).await?;
    let inbound = bind_key("countersAt.inbound", settings.inbound_address).await?;
    if let Some(listener) = outbound {
        spawn_local(client_listener::listen(node_state.clone(), listener));
    }
    if let Some(listener) = inbound {
        spawn_local(upstream_gate::listen(node_state.clone(), listener));
    }
    if let Some(listener) = bind_key("countersAt.ready", settings.ready_address).await? {
        spawn_local(control::listen(node_state.clone(), listener, &control::READY_CALLS));
    }
    if let Some(listener) = bind_key("countersAt.control", settings.control_address).await? {
        spawn_local(control::listen(node_state.clone(), listener, &control::CONTROL_CALLS));
    }
    Ok(())
}

/// Spawns the tasks that do not belong to a connection.
fn start_tasks(node_state: &Rc<NodeState>, links: TcpListener) {
    spawn_local(peers::accept_links(node_state.clone(), links));
    spawn_local(peers::receive_datagrams(node_state.clone()));
    spawn_local(peers::run_decision_modules(node_state.clone()));
    spawn_local(upstream_gate::run_timer(node_state.clone()));
    spawn_local(periodic::run(node_state.clone()));
    if node_state.settings.is_control {
        spawn_local(member_throttle::run_lapse_owner(node_state.clone()));
        spawn_local(periodic::record_event_loop_turns(node_state.clone()));
    }
}

async fn bind_key(key: &'static str, address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    match address {
        Some(address) => bind(address).await.context(key).map(Some),
        None => Ok(None),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("{address} (is another process there?)"))
}
