//! A sidecar that runs in the test process.
use crate::control_value::{ControlChange, ControlValue, CONFIGURATION_KEY};
use crate::node_state::{Heartbeat, NodeState};
use crate::peers::{Peers, RecordBody, UpstreamRecord};
use crate::{client_listener, settings, upstream_gate};
use rand_core::SeedableRng;
use silvercross_admission::AdmissionController;
use silvercross_control_store::State;
use silvercross_mesh_membership::{
    Effect, Membership, MembershipConfig, MembershipMessage, Node, NodeRecord, Revision, TreePosition,
};
use silvercross_time::{Duration, Instant};
use slog::{o, Discard, Logger};
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};

/// The service of all sidecars and routes.
pub(crate) const SERVICE: &str = "quotes";

/// A running sidecar.
#[derive(Clone)]
pub(crate) struct Sidecar {
    pub(crate) node_state: Rc<NodeState>,
    /// The address for clients.
    pub(crate) outbound: SocketAddr,
    /// The address for other sidecars.
    pub(crate) inbound: SocketAddr,
    pub(crate) ip: Ipv4Addr,
    /// The configuration in force.
    control_value: Rc<RefCell<ControlValue>>,
}

/// A sidecar and the text of its settings file.
pub(crate) struct StartedSidecar {
    pub(crate) sidecar: Sidecar,
    pub(crate) settings: String,
}

/// Settings that tests override.
#[derive(Clone, Copy)]
pub(crate) struct SidecarOptions {
    pub(crate) memory_bytes: u64,
    pub(crate) descriptors: u64,
}

impl Default for SidecarOptions {
    fn default() -> Self {
        SidecarOptions { memory_bytes: 256 << 20, descriptors: 1024 }
    }
}

/// The runtime's clock, which a test may have paused; never 0.
fn now() -> i64 {
    thread_local! {
        static START: tokio::time::Instant = tokio::time::Instant::now();
    }
    START.with(|start| 1_000_000_000 + start.elapsed().as_micros() as i64)
}

/// Starts a sidecar at 127.0.0.`last_octet` in front of `upstream`, with the configuration applied and no other node known.
pub(crate) async fn start_sidecar(last_octet: u8, upstream: SocketAddr, options: SidecarOptions) -> Sidecar {
    start_sidecar_with_settings(last_octet, upstream, options).await.sidecar
}

/// Like [`start_sidecar`], and also returns the text of the settings.
pub(crate) async fn start_sidecar_with_settings(
    last_octet: u8,
    upstream: SocketAddr,
    options: SidecarOptions,
) -> StartedSidecar {
    start_sidecar_at(Ipv4Addr::new(127, 0, 0, last_octet), upstream, options).await
}

/// Like [`start_sidecar_with_settings`], at a given local address.
pub(crate) async fn start_sidecar_at(
    ip: Ipv4Addr,
    upstream: SocketAddr,
    options: SidecarOptions,
) -> StartedSidecar {
    let bind = || async { TcpListener::bind((ip, 0)).await.expect("free port") };
    let (clients, sidecars) = (bind().await, bind().await);
    let (outbound, inbound) =
        (clients.local_addr().expect("bound listener"), sidecars.local_addr().expect("bound listener"));
    let text = settings_text(ip, outbound, inbound, upstream);
    let mut settings = settings::parse(&text).expect("valid settings");
    (settings.memory_bytes, settings.max_descriptors) = (options.memory_bytes, options.descriptors);
    let clock = silvercross_facade::Clock::from_fn(now);
    let membership = isolated_membership(ip, inbound.port(), Instant::from_micros(clock.now()));
    let udp = UdpSocket::bind((ip, 0)).await.expect("free port");
    let gate = upstream_gate::UpstreamGate::new(AdmissionController::new(
        settings.reloadable.limits.admission_settings(),
    ));
    let peers = Peers::new(ip, 1, membership, None, udp);
    let rng = rand_pcg::Pcg64Mcg::seed_from_u64(u64::from(inbound.port()));
    let node_state = NodeState::new(settings, Logger::root(Discard, o!()), gate, peers, clock, rng);
    tokio::task::spawn_local(client_listener::listen(node_state.clone(), clients));
    tokio::task::spawn_local(upstream_gate::listen(node_state.clone(), sidecars));
    tokio::task::spawn_local(upstream_gate::run_timer(node_state.clone()));
    let mut control_value = ControlValue::Blank;
    let change =
        silvercross_mesh_config::parse_change(configuration().as_bytes()).expect("valid configuration");
    control_value.apply(&ControlChange::Patch(change)).expect("applies");
    node_state.apply_control_entry(CONFIGURATION_KEY, Revision::new(1, 1, 1), control_value.clone());
    let control_value = Rc::new(RefCell::new(control_value));
    StartedSidecar { sidecar: Sidecar { node_state, outbound, inbound, ip, control_value }, settings: text }
}

fn settings_text(ip: Ipv4Addr, outbound: SocketAddr, inbound: SocketAddr, upstream: SocketAddr) -> String {
    let last_octet = ip.octets()[3];
    format!(
        "node: n{last_octet}\nmachineClass: side\nip: {ip}\nzone: a\ndestination: {SERVICE}\n\
         countersAt: {{inbound: '{inbound}', outbound: '{outbound}', ready: '{ip}:1'}}\n\
         internalPorts: [1, 1]\nfirstStart: true\nlocalStation: '{upstream}'\n"
    )
}

/// Routes `safe`, `once` and `up` of host `h`, one of each kind.
fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"lane\":\"/{name}/\",\"routeKind\":\"{kind}\",\"deadlineS\":20,\"targetS\":1,\
             \"priority\":1,\"destination\":\"{SERVICE}\",\"attempts\":2,\"edition\":1}}"
        )
    };
    let routes = [route("safe", "safe"), route("once", "unsafe"), route("up", "upload")].join(",");
    format!(
        "{{\"deliver\":{{\"destinations\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"lineCap\":50,\"coldS\":0,\
         \"coldRateS\":0,\"edition\":1}}],\"sizeLimits\":{{\"envelopeBytes\":16384,\"contentBytes\":268435456,\"envelopeS\":3,\
         \"idleS\":15,\"edition\":1}},\"depots\":[{{\"depot\":\"h\",\"lanes\":[{routes}]}}]}}}}"
    )
}

/// The membership of a node that knows only itself and has confirmed that its state is current.
fn isolated_membership(ip: Ipv4Addr, inbound: u16, now: Instant) -> Membership<RecordBody> {
    let body = RecordBody { inbound_port: inbound, ..RecordBody::default() };
    let config = MembershipConfig {
        local_node: Node(ip.to_bits()),
        zone: "a".into(),
        is_control: false,
        seeds: vec![],
        incarnation: 1,
        random_seed: u64::from(ip.octets()[3]),
    };
    let mut membership = Membership::new(now, config, body);
    become_current(&mut membership, now);
    membership
}

/// Simulates a control node that links with the sidecar, reports that a majority has acknowledged no
/// revisions, and leaves.
fn become_current(membership: &mut Membership<RecordBody>, now: Instant) {
    let node = Node(Ipv4Addr::new(127, 0, 0, 250).to_bits());
    let body = RecordBody::default();
    let record = node_record(node, "a", true, body);
    let position = TreePosition { path: vec![node], ..TreePosition::default() };
    membership.link_up(now, node);
    let hello = MembershipMessage::Hello { record: record.clone(), digest: 0, known_items: 2, position };
    membership.receive(now, node, hello);
    let asked = membership.take_effects().into_iter().find_map(|effect| match effect {
        Effect::SendMessage { message: MembershipMessage::FreshnessRequest { number }, .. } => Some(number),
        _ => None,
    });
    let number = asked.expect("a starting sidecar sends a freshness request");
    membership.receive(now, node, MembershipMessage::FreshnessReply { number, revisions: Some(Vec::new()) });
    let gone =
        MembershipMessage::Update { records: vec![NodeRecord { gone: true, ..record }], entries: Vec::new() };
    membership.receive(now, node, gone);
    membership.link_down(now, node);
    membership.take_effects();
}

fn node_record(node: Node, zone: &str, is_control: bool, body: RecordBody) -> NodeRecord<RecordBody> {
    NodeRecord { node, incarnation: 1, sequence: 1, zone: zone.into(), is_control, gone: false, body }
}

impl Sidecar {
    /// The same sidecar with another gate address, as peers behind a relay see it.
    pub(crate) fn reached_at(&self, inbound: SocketAddr) -> Sidecar {
        Sidecar { inbound, ..self.clone() }
    }

    /// Delivers a heartbeat of the sidecar's upstream.
    pub(crate) fn send_heartbeat(&self) {
        let text = format!(
            "{{\"destination\":\"{SERVICE}\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"coldLeftS\":0,\"sequence\":1}}"
        );
        let heartbeat: Heartbeat = serde_json::from_str(&text).expect("valid heartbeat");
        assert!(self.node_state.upstream_heartbeat(&format!("i-{}", self.ip), heartbeat));
    }

    /// Applies a change to the configuration in force.
    pub(crate) fn apply_change(&self, change: &str) {
        let change = silvercross_mesh_config::parse_change(change.as_bytes()).expect("valid change");
        let mut control_value = self.control_value.borrow_mut();
        control_value.apply(&ControlChange::Patch(change)).expect("applies");
        let number = self.node_state.revisions().get(CONFIGURATION_KEY).map_or(0, |r| r.sequence) + 1;
        self.node_state.apply_control_entry(
            CONFIGURATION_KEY,
            Revision::new(1, 1, number),
            control_value.clone().published(),
        );
    }

    /// Sets the client limits: idle seconds and head bytes.
    pub(crate) fn set_limits(&self, version: u64, idle_seconds: f64, head_bytes: usize) {
        self.apply_change(&format!(
            "{{\"deliver\":{{\"sizeLimits\":{{\"envelopeBytes\":{head_bytes},\"contentBytes\":268435456,\"envelopeS\":3,\
             \"idleS\":{idle_seconds},\"edition\":{version}}}}}}}"
        ));
    }

    /// Adds the record of a control node: its address for calls, and the nodes that it names as control nodes.
    pub(crate) fn learn_control_node(
        &self,
        calls: SocketAddr,
        zone: &str,
        stopping: bool,
        named: &[Ipv4Addr],
    ) {
        let IpAddr::V4(ip) = calls.ip() else { return };
        let replica_set = named.iter().map(|ip| ip.to_bits()).collect();
        let control_port = calls.port();
        let body = RecordBody { control_port, stopping, replica_set, ..RecordBody::default() };
        self.node_state.apply_record(node_record(Node(ip.to_bits()), zone, true, body));
    }

    /// Adds the record of another sidecar and its upstream.
    pub(crate) fn learn_sidecar(&self, other: &Sidecar) {
        let upstream = UpstreamRecord {
            id: format!("i-{}", other.ip),
            service: SERVICE.to_string(),
            slots: 8,
            draining: false,
            silent: false,
            warm_ups: 0,
            warm_up_left: Duration::ZERO,
        };
        let inbound_port = other.inbound.port();
        let body = RecordBody { inbound_port, upstream: Some(upstream), ..RecordBody::default() };
        self.node_state.apply_record(node_record(Node(other.ip.to_bits()), "a", false, body));
    }
}
