//! Runs control nodes and sidecars in one process, with links on loopback. Tests how sidecars below an
//! isolated control node with an outdated configuration become ready.
use crate::control_value::{ControlChange, ControlValue, CONFIGURATION_KEY};
use crate::node_state::{NodeState, NotReady};
use crate::peers::{self, LocalControlStore, Peers, RecordBody};
use crate::{disk, settings, upstream_gate};
use rand_core::SeedableRng;
use silvercross_admission::AdmissionController;
use silvercross_control_store::{
    ControlStore, Epoch, Metadata, ReplicaSet, StartConfig, State, StoredKey, StoredState,
};
use silvercross_facade::Clock;
use silvercross_mesh_membership::{Freshness, Membership, Node, Revision, READINESS_TIMEOUT};
use silvercross_time::Instant;
use slog::{o, Discard, Logger};
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

type StoreNode = silvercross_control_store::Node;

fn address(last_octet: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 7, last_octet)
}

/// The control nodes. The third one is never started.
const CONTROL: [u8; 3] = [1, 2, 3];

/// Returns the configuration after this number of changes.
fn configuration(changes: u64) -> ControlValue {
    let mut control_value = ControlValue::Blank;
    for edition in 1..=changes {
        let item = format!("{{\"withdraw\":{{\"routes\":[{{\"name\":\"r\",\"edition\":{edition}}}]}}}}");
        let patch = silvercross_mesh_config::parse_change(item.as_bytes()).expect("well-formed");
        control_value.apply(&ControlChange::Patch(patch)).expect("valid");
    }
    control_value
}

/// Returns a stored state with the configuration after this number of changes, each in a new epoch.
fn stored_state(last_octet: u8, changes: u64) -> StoredState<ControlValue> {
    let members = CONTROL
        .iter()
        .map(|c| silvercross_control_store::Member {
            node: silvercross_control_store::Node(address(*c).to_bits()),
            joined_in: 1,
        })
        .collect();
    let replica_set = ReplicaSet { version: 1, members, leaving: None, joining: None };
    let epoch = Epoch { round: changes, owner: address(last_octet).to_bits() };
    let accepted = silvercross_control_store::Revision { epoch, sequence: 1 };
    let (key, value) = (CONFIGURATION_KEY.to_string(), configuration(changes));
    let stored = StoredKey { key, promised: epoch, accepted, value };
    StoredState { metadata: Some(Metadata { replica_set, ..Metadata::default() }), keys: vec![stored] }
}

/// The step of a manual clock.
const STEP: Duration = Duration::from_millis(2);

/// Creates a clock that advances in steps, so that a delay on a busy machine does not advance it. The
/// readiness timeout expires only when the test advances the clock. Returns the clock and its time.
fn clock() -> (Clock, Rc<Cell<i64>>) {
    let at = Rc::new(Cell::new(Clock::system().now()));
    let clock = Clock::manual(at.clone());
    let clock_time = at.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(STEP).await;
            at.set(at.get() + STEP.as_micros() as i64);
        }
    });
    (clock, clock_time)
}

/// Starts a node at its address. Its listener and its datagrams use the port that all nodes share.
async fn start_node(
    last_octet: u8,
    port: u16,
    clock: Clock,
    disk: Option<StoredState<ControlValue>>,
) -> Rc<NodeState> {
    let ip = address(last_octet);
    let data = if disk.is_some() { "dataDir: /nowhere\n" } else { "" };
    let text = format!(
        "node: n{last_octet}\nmachineClass: c\nip: {ip}\nzone: a\ninternalPorts: [{port}, {port}]\n{data}\
         countersAt: {{inbound: '{ip}:1', outbound: '{ip}:1', ready: '{ip}:1'}}\n"
    );
    let settings = settings::parse(&text).expect("settings");
    let (own_node, is_control_node) = (Node(ip.to_bits()), settings.is_control);
    let body = RecordBody { inbound_port: 1, control_port: 1, ..RecordBody::default() };
    // The only seed is the first control node.
    let seeds = vec![Node(address(CONTROL[0]).to_bits())];
    let start = silvercross_mesh_membership::MembershipConfig {
        local_node: own_node,
        zone: "a".into(),
        is_control: is_control_node,
        seeds,
        incarnation: 1,
        random_seed: u64::from(last_octet),
    };
    let membership = Membership::new(Instant::from_micros(clock.now()), start, body);
    let udp = UdpSocket::bind((ip, port)).await.expect("the port");
    let links = TcpListener::bind((ip, port)).await.expect("the port");
    let (writes, pending_writes) = std::sync::mpsc::channel::<disk::DiskRequest>();
    let (completions, disk_events) = mpsc::unbounded_channel();
    // Reports each write as synced at once.
    std::thread::spawn(move || {
        pending_writes.into_iter().all(|request| completions.send(request.synced_event()).is_ok())
    });
    let store = disk.map(|disk| {
        let own_node: StoreNode = silvercross_control_store::Node(ip.to_bits());
        let keys = vec![CONFIGURATION_KEY.to_string()];
        let start = StartConfig {
            node: own_node,
            replica_set: vec![],
            keys,
            is_first_start: false,
            seed: u64::from(last_octet),
        };
        LocalControlStore {
            store: ControlStore::new(silvercross_time::Instant::from_micros(clock.now()), start, disk),
            disk_writes: writes,
        }
    });
    let peers = Peers::new(ip, port, membership, store, udp);
    let gate = upstream_gate::UpstreamGate::new(AdmissionController::new(
        settings.reloadable.limits.admission_settings(),
    ));
    let rng = rand_pcg::Pcg64Mcg::seed_from_u64(u64::from(last_octet));
    let node_state = NodeState::new(settings, Logger::root(Discard, o!()), gate, peers, clock, rng);
    tokio::task::spawn_local(peers::accept_links(node_state.clone(), links));
    tokio::task::spawn_local(peers::receive_datagrams(node_state.clone()));
    tokio::task::spawn_local(peers::run_decision_modules(node_state.clone()));
    tokio::task::spawn_local(peers::follow_disk(node_state.clone(), disk_events));
    node_state
}

/// Returns a port that is free at all these addresses.
async fn port(octets: &[u8]) -> u16 {
    loop {
        let first = TcpListener::bind((address(octets[0]), 0)).await.expect("a port");
        let port = first.local_addr().expect("bound").port();
        let mut taken = vec![first];
        for last_octet in &octets[1..] {
            taken.extend(TcpListener::bind((address(*last_octet), port)).await);
        }
        if taken.len() == octets.len() {
            return port;
        }
    }
}

/// Waits until the condition holds. It is checked with each step of the clocks.
async fn wait_until(condition: impl Fn() -> bool) {
    let mut step = tokio::time::interval(STEP);
    while !condition() {
        step.tick().await;
    }
}

fn configuration_round(node_state: &NodeState) -> u64 {
    node_state.revisions().get(CONFIGURATION_KEY).map_or(0, |revision| revision.epoch)
}

/// The isolated control node has the configuration after one change. The other control nodes acknowledged a
/// second change before they stopped. Guards against a sidecar that becomes ready with the first change
/// although a majority acknowledged the second.
#[test]
fn a_sidecar_below_an_isolated_control_node_is_not_ready_with_its_old_configuration() {
    crate::tests::support::run(async {
        let port = port(&[1, 2, 11, 12]).await;
        let isolated = start_node(1, port, Clock::system(), Some(stored_state(1, 1))).await;
        let encoded = bitcode::encode(&configuration(1));
        let at = Revision::new(1, u64::from(address(1).to_bits()), 1);
        isolated.peers.membership.borrow_mut().publish(isolated.now(), CONFIGURATION_KEY, at, encoded);
        let ((waiting_clock, _), (serving_clock, clock_time)) = (clock(), clock());
        let waiting = start_node(11, port, waiting_clock, None).await;
        let serving = start_node(12, port, serving_clock, None).await;
        // Both have the outdated configuration, and no majority was reached at least twice.
        wait_until(|| configuration_round(&waiting) == 1 && configuration_round(&serving) == 1).await;
        let unknown_calls = || isolated.peers.control_store(|l| l.metrics().unknown_outcomes).unwrap_or(0);
        wait_until(|| unknown_calls() >= 2).await;
        for sidecar in [&waiting, &serving] {
            assert_eq!(
                (sidecar.is_ready(), sidecar.not_ready()),
                (false, Some(NotReady::NotKnownToBeCurrent))
            );
        }
        // Without a majority, a sidecar serves what it has once the readiness timeout has expired.
        clock_time.set(clock_time.get() + READINESS_TIMEOUT.as_micros());
        wait_until(|| serving.is_ready()).await;
        assert!(matches!(serving.freshness(), Freshness::TimedOut { after } if after >= READINESS_TIMEOUT));
        assert_eq!((configuration_round(&serving), waiting.is_ready()), (1, false));
        // Another control node returns: a majority has the second change.
        let returned = start_node(2, port, Clock::system(), Some(stored_state(2, 2))).await;
        wait_until(|| waiting.is_ready()).await;
        assert!(configuration_round(&waiting) >= 2, "{:?}", waiting.revisions());
        assert!(matches!(waiting.freshness(), Freshness::Current { .. }));
        wait_until(|| configuration_round(&serving) >= 2).await;
        assert!(serving.is_ready() && returned.peers.control_store(|l| l.is_voter()) == Some(true));
        // A ready sidecar remains ready until it stops.
        waiting.begin_stop();
        assert_eq!((waiting.is_ready(), waiting.not_ready()), (false, Some(NotReady::Stopping)));
    });
}
