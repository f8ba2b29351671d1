//! Control machines and sidecars of one process, with links on loopback: what a sidecar makes of a control machine that is
//! left alone with an old configuration.
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

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 7, last)
}

/// The first two control machines; the third one is never there.
const CONTROL: [u8; 3] = [1, 2, 3];

/// The configuration after so many changes.
fn configuration(changes: u64) -> ControlValue {
    let mut control_value = ControlValue::Blank;
    for edition in 1..=changes {
        let item = format!("{{\"withdraw\":{{\"routes\":[{{\"name\":\"r\",\"edition\":{edition}}}]}}}}");
        let patch = silvercross_mesh_config::parse_change(item.as_bytes()).expect("well-formed");
        control_value.apply(&ControlChange::Patch(patch)).expect("valid");
    }
    control_value
}

/// A disk with the configuration after so many changes, each taken over anew.
fn disk_of(last: u8, changes: u64) -> StoredState<ControlValue> {
    let members = CONTROL
        .iter()
        .map(|c| silvercross_control_store::Member {
            node: silvercross_control_store::Node(address(*c).to_bits()),
            joined_in: 1,
        })
        .collect();
    let replica_set = ReplicaSet { version: 1, members, leaving: None, joining: None };
    let epoch = Epoch { round: changes, owner: address(last).to_bits() };
    let accepted = silvercross_control_store::Revision { epoch, sequence: 1 };
    let (key, value) = (CONFIGURATION_KEY.to_string(), configuration(changes));
    let stored = StoredKey { key, promised: epoch, accepted, value };
    StoredState { metadata: Some(Metadata { replica_set, ..Metadata::default() }), keys: vec![stored] }
}

/// A step of a sidecar's clock.
const STEP: Duration = Duration::from_millis(2);

/// A sidecar's clock that goes in steps, so that none of them is lost where the machine is busy: the bound passes when the
/// test moves it.
fn clock() -> (Clock, Rc<Cell<i64>>) {
    let at = Rc::new(Cell::new(Clock::system().now()));
    let clock = Clock::manual(at.clone());
    let moved = at.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(STEP).await;
            at.set(at.get() + STEP.as_micros() as i64);
        }
    });
    (clock, moved)
}

/// A process at its address: its listener and datagrams at the port that all share.
async fn process(
    last: u8,
    port: u16,
    clock: Clock,
    disk: Option<StoredState<ControlValue>>,
) -> Rc<NodeState> {
    let ip = address(last);
    let data = if disk.is_some() { "dataDir: /nowhere\n" } else { "" };
    let text = format!(
        "node: n{last}\nmachineClass: c\nip: {ip}\nzone: a\ninternalPorts: [{port}, {port}]\n{data}\
         countersAt: {{inbound: '{ip}:1', outbound: '{ip}:1', ready: '{ip}:1'}}\n"
    );
    let settings = settings::parse(&text).expect("settings");
    let (me, core) = (Node(ip.to_bits()), settings.is_control);
    let body = RecordBody { inbound_port: 1, control_port: 1, ..RecordBody::default() };
    // The seeds name the first control machine alone.
    let seeds = vec![Node(address(CONTROL[0]).to_bits())];
    let start = silvercross_mesh_membership::MembershipConfig {
        local_node: me,
        zone: "a".into(),
        is_control: core,
        seeds,
        incarnation: 1,
        random_seed: u64::from(last),
    };
    let membership = Membership::new(Instant::from_micros(clock.now()), start, body);
    let udp = UdpSocket::bind((ip, port)).await.expect("the port");
    let links = TcpListener::bind((ip, port)).await.expect("the port");
    let (writes, todo) = std::sync::mpsc::channel::<disk::DiskWrite>();
    let (done, synced) = mpsc::unbounded_channel();
    // Each write is synced at once.
    std::thread::spawn(move || {
        todo.into_iter().all(|write| done.send(disk::DiskEvent::Synced(write.number)).is_ok())
    });
    let store = disk.map(|disk| {
        let me: StoreNode = silvercross_control_store::Node(ip.to_bits());
        let keys = vec![CONFIGURATION_KEY.to_string()];
        let start =
            StartConfig { node: me, replica_set: vec![], keys, is_first_start: false, seed: u64::from(last) };
        LocalControlStore {
            store: ControlStore::new(silvercross_time::Instant::from_micros(clock.now()), start, disk),
            disk_writes: writes,
        }
    });
    let peers = Peers::new(ip, port, membership, store, udp);
    let gate = upstream_gate::UpstreamGate::new(AdmissionController::new(
        settings.reloadable.limits.admission_settings(),
    ));
    let chance = rand_pcg::Pcg64Mcg::seed_from_u64(u64::from(last));
    let node_state = NodeState::new(settings, Logger::root(Discard, o!()), gate, peers, clock, chance);
    tokio::task::spawn_local(peers::accept_links(node_state.clone(), links));
    tokio::task::spawn_local(peers::receive_datagrams(node_state.clone()));
    tokio::task::spawn_local(peers::run_deciders(node_state.clone()));
    tokio::task::spawn_local(peers::follow_disk(node_state.clone(), synced));
    node_state
}

/// A port that is free at all the addresses.
async fn port(of: &[u8]) -> u16 {
    loop {
        let first = TcpListener::bind((address(of[0]), 0)).await.expect("a port");
        let port = first.local_addr().expect("bound").port();
        let mut taken = vec![first];
        for last in &of[1..] {
            taken.extend(TcpListener::bind((address(*last), port)).await);
        }
        if taken.len() == of.len() {
            return port;
        }
    }
}

/// Looked at with every step of the clocks.
async fn until(so: impl Fn() -> bool) {
    let mut step = tokio::time::interval(STEP);
    while !so() {
        step.tick().await;
    }
}

fn change(node_state: &NodeState) -> u64 {
    node_state.revisions().get(CONFIGURATION_KEY).map_or(0, |revision| revision.epoch)
}

/// It had the configuration after one change and stood still; the others acknowledged a second one and stopped; it goes on.
#[test]
fn a_sidecar_below_a_control_machine_left_alone_is_not_ready_with_its_old_configuration() {
    crate::tests::support::run(async {
        let port = port(&[1, 2, 11, 12]).await;
        let alone = process(1, port, Clock::system(), Some(disk_of(1, 1))).await;
        let page = bitcode::encode(&configuration(1));
        let at = Revision::new(1, u64::from(address(1).to_bits()), 1);
        alone.peers.membership.borrow_mut().publish(alone.now(), CONFIGURATION_KEY, at, page);
        let ((slow, _), (quick, moved)) = (clock(), clock());
        let waits = process(11, port, slow, None).await;
        let serves = process(12, port, quick, None).await;
        // Both have the old configuration, and have been told again and again that no majority is reached.
        until(|| change(&waits) == 1 && change(&serves) == 1).await;
        let unsettled = || alone.peers.control_store(|l| l.metrics().unknown_outcomes).unwrap_or(0);
        until(|| unsettled() >= 2).await;
        for sidecar in [&waits, &serves] {
            assert_eq!(
                (sidecar.is_ready(), sidecar.not_ready()),
                (false, Some(NotReady::NotKnownToBeCurrent))
            );
        }
        // While there is no majority they serve what they have, once the bound is passed.
        moved.set(moved.get() + READINESS_TIMEOUT.as_micros());
        until(|| serves.is_ready()).await;
        assert!(matches!(serves.freshness(), Freshness::TimedOut { after } if after >= READINESS_TIMEOUT));
        assert_eq!((change(&serves), waits.is_ready()), (1, false));
        // One of the others comes back: a majority has the second change.
        let back = process(2, port, Clock::system(), Some(disk_of(2, 2))).await;
        until(|| waits.is_ready()).await;
        assert!(change(&waits) >= 2, "{:?}", waits.revisions());
        assert!(matches!(waits.freshness(), Freshness::Current { .. }));
        until(|| change(&serves) >= 2).await;
        assert!(serves.is_ready() && back.peers.control_store(|l| l.is_voter()) == Some(true));
        // It stays ready, whatever becomes of the others, until it stops.
        waits.begin_stop();
        assert_eq!((waits.is_ready(), waits.not_ready()), (false, Some(NotReady::Stopping)));
    });
}
