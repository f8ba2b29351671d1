//! Sidecars of one process on real sockets of loopback, with clients and upstreams of the test's own. What the tree would bring,
//! records and the configuration, is handed to them.
use crate::control_value::{ControlChange, ControlValue, CONFIGURATION_KEY};
use crate::node_state::{Heartbeat, NodeState};
use crate::peers::{Peers, RecordBody, UpstreamRecord};
use crate::{client_listener, settings, upstream_gate};
use rand_core::SeedableRng;
use silvercross_admission::AdmissionController;
use silvercross_control_store::State;
use silvercross_mesh_membership::{
    Effect, Membership, MembershipConfig, MembershipMessage, Node, NodeRecord, TreePosition,
};
use slog::{o, Discard, Logger};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::timeout;

pub const ID: &str = "Attempt-Id: a1\r\n";
const SERVICE: &str = "quotes";
/// No test waits longer for anything.
const PATIENCE: Duration = Duration::from_secs(20);

/// Run a test in the one thread that sidecars run in.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        timeout(3 * PATIENCE, test).await.expect("in time");
    });
}

/// The same in paused time: it passes only while nothing else can be done.
pub fn run_paused(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A sidecar, where its clients connect, and where others bring requests.
#[derive(Clone)]
pub struct Sidecar {
    pub node_state: Rc<NodeState>,
    pub at: SocketAddr,
    pub inbound: SocketAddr,
    pub ip: Ipv4Addr,
    pub control_value: Rc<RefCell<ControlValue>>,
}

/// Settings that a test changes.
#[derive(Clone, Copy)]
pub struct SidecarOptions {
    pub memory: u64,
    pub descriptors: u64,
}

impl Default for SidecarOptions {
    fn default() -> Self {
        SidecarOptions { memory: 256 << 20, descriptors: 1024 }
    }
}

/// The runtime's time, which a test may have paused; never 0.
fn now() -> i64 {
    thread_local! {
        static START: tokio::time::Instant = tokio::time::Instant::now();
    }
    START.with(|start| 1_000_000_000 + start.elapsed().as_micros() as i64)
}

/// A sidecar at 127.0.0.`last`, in front of `station`; the configuration in force, and nothing known of others.
pub async fn sidecar(last: u8, station: SocketAddr, terms: SidecarOptions) -> Sidecar {
    sidecar_of(last, station, terms).await.0
}

/// The same, and its settings.
pub async fn sidecar_of(last: u8, station: SocketAddr, terms: SidecarOptions) -> (Sidecar, String) {
    sidecar_at(Ipv4Addr::new(127, 0, 0, last), station, terms).await
}

/// The same, at an address of this machine.
pub async fn sidecar_at(ip: Ipv4Addr, station: SocketAddr, terms: SidecarOptions) -> (Sidecar, String) {
    let last = ip.octets()[3];
    let bind = || async { TcpListener::bind((ip, 0)).await.expect("a port") };
    let (outer, inner) = (bind().await, bind().await);
    let (at, inbound) = (outer.local_addr().expect("bound"), inner.local_addr().expect("bound"));
    let text = format!(
        "node: n{last}\nmachineClass: side\nip: {ip}\nzone: a\ndestination: {SERVICE}\n\
         countersAt: {{inbound: '{inbound}', outbound: '{at}', ready: '{ip}:1'}}\n\
         internalPorts: [1, 1]\nfirstStart: true\nlocalStation: '{station}'\n"
    );
    let mut settings = settings::parse(&text).expect("settings");
    (settings.memory_bytes, settings.max_descriptors) = (terms.memory, terms.descriptors);
    let clock = silvercross_facade::Clock::read_by(now);
    let body = RecordBody { inbound_port: inbound.port(), ..RecordBody::default() };
    let me = Node(ip.to_bits());
    let start = MembershipConfig {
        local_node: me,
        zone: "a".into(),
        is_control: false,
        seeds: vec![],
        incarnation: 1,
        random_seed: u64::from(last),
    };
    let mut membership = Membership::new(clock.now(), start, body);
    become_current(&mut membership, clock.now());
    let udp = UdpSocket::bind((ip, 0)).await.expect("a port");
    let gate = upstream_gate::UpstreamGate::new(AdmissionController::new(
        settings.reloadable.limits.admission_bounds(),
    ));
    let peers = Peers::new(ip, 1, membership, None, udp);
    let chance = rand_pcg::Pcg64Mcg::seed_from_u64(u64::from(inbound.port()));
    let node_state = NodeState::new(settings, Logger::root(Discard, o!()), gate, peers, clock, chance);
    tokio::task::spawn_local(client_listener::listen(node_state.clone(), outer));
    tokio::task::spawn_local(upstream_gate::listen(node_state.clone(), inner));
    tokio::task::spawn_local(upstream_gate::run_timer(node_state.clone()));
    let items = format!(
        "{{\"deliver\":{{\"destinations\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"lineCap\":50,\"coldS\":0,\
         \"coldRateS\":0,\"edition\":1}}],\"sizeLimits\":{{\"envelopeBytes\":16384,\"contentBytes\":268435456,\"envelopeS\":3,\
         \"idleS\":15,\"edition\":1}},\"depots\":[{{\"depot\":\"h\",\"lanes\":[{{\"name\":\"safe\",\"lane\":\"/safe/\",\
         \"routeKind\":\"safe\",\"deadlineS\":20,\"targetS\":1,\"priority\":1,\"destination\":\"{SERVICE}\",\"attempts\":2,\
         \"edition\":1}},{{\"name\":\"once\",\"lane\":\"/once/\",\"routeKind\":\"unsafe\",\"deadlineS\":20,\"targetS\":1,\
         \"priority\":1,\"destination\":\"{SERVICE}\",\"attempts\":2,\"edition\":1}},{{\"name\":\"up\",\"lane\":\"/up/\",\
         \"routeKind\":\"upload\",\"deadlineS\":20,\"targetS\":1,\"priority\":1,\"destination\":\"{SERVICE}\",\"attempts\":2,\
         \"edition\":1}}]}}]}}}}"
    );
    let patch = silvercross_mesh_config::parse_change(items.as_bytes()).expect("a configuration");
    let mut control_value = ControlValue::Blank;
    control_value.apply(&ControlChange::Patch(patch)).expect("applies");
    node_state.apply_control_entry(CONFIGURATION_KEY, (1, 1, 1), control_value.clone());
    (Sidecar { node_state, at, inbound, ip, control_value: Rc::new(RefCell::new(control_value)) }, text)
}

/// A core machine links with the sidecar, says that a majority has acknowledged nothing so far, and goes.
fn become_current(membership: &mut Membership<RecordBody>, now: i64) {
    let node = Node(Ipv4Addr::new(127, 0, 0, 250).to_bits());
    let body = RecordBody::default();
    let record = NodeRecord {
        node,
        incarnation: 1,
        sequence: 1,
        zone: "a".into(),
        is_control: true,
        gone: false,
        body,
    };
    let position = TreePosition { path: vec![node], ..TreePosition::default() };
    membership.link_up(now, node);
    membership.receive(
        now,
        node,
        MembershipMessage::Hello { record: record.clone(), digest: 0, known: 2, position },
    );
    let asked = membership.take_effects().into_iter().find_map(|effect| match effect {
        Effect::SendMessage { message: MembershipMessage::FreshnessRequest { number }, .. } => Some(number),
        _ => None,
    });
    let number = asked.expect("a sidecar that starts asks");
    membership.receive(now, node, MembershipMessage::FreshnessReply { number, revisions: Some(Vec::new()) });
    membership.receive(
        now,
        node,
        MembershipMessage::Update { records: vec![NodeRecord { gone: true, ..record }], entries: Vec::new() },
    );
    membership.link_down(now, node);
    membership.take_effects();
}

impl Sidecar {
    /// Its upstream beats.
    pub fn beat(&self) {
        let text = format!(
            "{{\"destination\":\"{SERVICE}\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"coldLeftS\":0,\"sequence\":1}}"
        );
        let beat: Heartbeat = serde_json::from_str(&text).expect("a beat");
        assert!(self.node_state.upstream_heartbeat(&format!("i-{}", self.ip), beat));
    }

    /// Another page of the configuration: this change, on top of what stands.
    pub fn patch(&self, change: &str) {
        let patch = silvercross_mesh_config::parse_change(change.as_bytes()).expect("a change");
        let mut control_value = self.control_value.borrow_mut();
        control_value.apply(&ControlChange::Patch(patch)).expect("applies");
        let change = self.node_state.revisions().get(CONFIGURATION_KEY).map_or(0, |r| r.2) + 1;
        self.node_state.apply_control_entry(
            CONFIGURATION_KEY,
            (1, 1, change),
            control_value.clone().published(),
        );
    }

    /// Other limits for clients: seconds idle, and bytes of a head.
    pub fn limits(&self, edition: u64, idle: f64, head: usize) {
        self.patch(&format!(
            "{{\"deliver\":{{\"sizeLimits\":{{\"envelopeBytes\":{head},\"contentBytes\":268435456,\"envelopeS\":3,\
             \"idleS\":{idle},\"edition\":{edition}}}}}}}"
        ));
    }

    /// Tell this one of a machine without an upstream: where it takes calls, and who it says holds the control state.
    pub fn hears_of_core(&self, at: SocketAddr, zone: &str, leaving: bool, roster: &[Ipv4Addr]) {
        let IpAddr::V4(ip) = at.ip() else { return };
        let replica_set = roster.iter().map(|replica| replica.to_bits()).collect();
        let control_port = at.port();
        let body = RecordBody { control_port, stopping: leaving, replica_set, ..RecordBody::default() };
        let node = Node(ip.to_bits());
        self.node_state.apply_record(NodeRecord {
            node,
            incarnation: 1,
            sequence: 1,
            zone: zone.into(),
            is_control: true,
            gone: false,
            body,
        });
    }

    /// Tell this one of another and its upstream.
    pub fn hears_of(&self, other: &Sidecar) {
        let upstream = UpstreamRecord {
            id: format!("i-{}", other.ip),
            service: SERVICE.to_string(),
            slots: 8,
            draining: false,
            silent: false,
            warm_ups: 0,
            warm_up_left: silvercross_time::Duration::ZERO,
        };
        let inbound_port = other.inbound.port();
        let body = RecordBody { inbound_port, upstream: Some(upstream), ..RecordBody::default() };
        let node = Node(other.ip.to_bits());
        let record = NodeRecord {
            node,
            incarnation: 1,
            sequence: 1,
            zone: "a".into(),
            is_control: false,
            gone: false,
            body,
        };
        self.node_state.apply_record(record);
    }
}

/// A place for an upstream.
pub async fn station() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("bound");
    (listener, at)
}

/// A connection with what was read too far.
pub struct TestConnection {
    pub stream: TcpStream,
    come: Vec<u8>,
}

impl TestConnection {
    pub async fn to(at: SocketAddr) -> TestConnection {
        TestConnection::over(TcpStream::connect(at).await.expect("a connection"))
    }

    pub fn over(stream: TcpStream) -> TestConnection {
        TestConnection { stream, come: Vec::new() }
    }

    pub async fn say(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("written");
    }

    /// Some bytes more; none: the other end has closed, or broken off.
    pub async fn more(&mut self) -> usize {
        let mut room = vec![0; 64 * 1024];
        let n = timeout(PATIENCE, self.stream.read(&mut room)).await.expect("something comes").unwrap_or(0);
        self.come.extend_from_slice(&room[..n]);
        n
    }

    /// Whether the other end has neither closed nor said anything, once all that waits in this process has had its turn.
    pub async fn is_open(&mut self) -> bool {
        for _ in 0..64 {
            tokio::task::yield_now().await;
        }
        let mut room = [0; 1];
        matches!(self.stream.try_read(&mut room), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// A head, the blank line included; empty if the connection ended.
    pub async fn head(&mut self) -> String {
        loop {
            if let Some(end) = self.come.windows(4).position(|w| w == b"\r\n\r\n") {
                return String::from_utf8(self.come.drain(..end + 4).collect()).expect("text");
            }
            if self.more().await == 0 {
                return String::new();
            }
        }
    }

    /// So many bytes, or fewer if the connection ended.
    pub async fn bytes(&mut self, n: usize) -> Vec<u8> {
        while self.come.len() < n && self.more().await > 0 {}
        self.come.drain(..n.min(self.come.len())).collect()
    }

    /// A line, its end cut off.
    async fn text(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.come.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.come.drain(..end + 2).collect();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if self.more().await == 0 {
                return None;
            }
        }
    }

    /// The body behind a head, and whether it came whole.
    pub async fn body(&mut self, head: &str) -> (Vec<u8>, bool) {
        if let Some(n) = value(head, "content-length") {
            let n = n.parse().expect("a number");
            let body = self.bytes(n).await;
            let whole = body.len() == n;
            return (body, whole);
        }
        let mut all = Vec::new();
        if value(head, "transfer-encoding").is_none() {
            return (all, true);
        }
        loop {
            let Some(size) = self.text().await else { return (all, false) };
            let size = usize::from_str_radix(&size, 16).expect("a size");
            let piece = self.bytes(size).await;
            let whole = piece.len() == size && self.text().await.is_some();
            all.extend(piece);
            if !whole || size == 0 {
                return (all, whole);
            }
        }
    }
}

/// A header line's value.
pub fn value(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|l| {
        let (n, v) = l.split_once(':')?;
        n.eq_ignore_ascii_case(name).then(|| v.trim().to_string())
    })
}

/// The status of an answer.
pub fn status(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

/// Bytes that a misplaced piece would show in.
pub fn bytes(n: usize) -> Vec<u8> {
    (0..n as u64).map(|i| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8).collect()
}

/// The head of an upstream's answer to `asked`.
pub fn stamped(asked: &str, status: u16, framing: &str) -> String {
    let id = value(asked, "attempt-id").unwrap_or_default();
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nPostmark: p\r\n{framing}\r\n")
}

/// What a relay does with a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Both directions go on until either ends.
    Pass,
    /// The request goes on; once [`Relay::cut`] is told, both sides are reset.
    CutWhenTold,
    /// The request goes on, its answer is swallowed, then both sides are reset.
    SwallowAnswer,
    /// The request is kept back, and the origin's side reset.
    KeepRequest,
}

/// Stands before a sidecar's `inbound`, and breaks hops.
#[derive(Clone)]
pub struct Relay {
    pub at: SocketAddr,
    pub to: Rc<Cell<SocketAddr>>,
    pub ways: Rc<RefCell<VecDeque<Way>>>,
    pub kept: Rc<RefCell<Vec<u8>>>,
    pub cut: Rc<Notify>,
}

fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

impl Relay {
    /// Before a sidecar, which the other is told of at the relay's address.
    pub async fn between(origin: &Sidecar, gate: &Sidecar) -> Relay {
        let listener = TcpListener::bind((gate.ip, 0)).await.expect("a port");
        let at = listener.local_addr().expect("bound");
        let relay = Relay {
            at,
            to: Rc::new(Cell::new(gate.inbound)),
            ways: Rc::default(),
            kept: Rc::default(),
            cut: Rc::default(),
        };
        origin.hears_of(&Sidecar { inbound: at, ..gate.clone() });
        let r = relay.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let way = r.ways.borrow_mut().pop_front().unwrap_or(Way::Pass);
                tokio::task::spawn_local(r.clone().carry(stream, way));
            }
        });
        relay
    }

    async fn carry(self, mut stream: TcpStream, way: Way) {
        if way == Way::KeepRequest {
            let mut talk = TestConnection::over(stream);
            let head = talk.head().await;
            self.kept.borrow_mut().extend_from_slice(head.as_bytes());
            return reset(talk.stream);
        }
        let mut on = TcpStream::connect(self.to.get()).await.expect("a connection");
        match way {
            Way::SwallowAnswer => {
                let mut talk = TestConnection::over(stream);
                let head = talk.head().await;
                let mut on = TestConnection::over(on);
                on.say(head.as_bytes()).await;
                on.head().await;
                reset(on.stream);
                reset(talk.stream);
            }
            _ => {
                let cut = way == Way::CutWhenTold;
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut stream, &mut on) => {}
                    () = self.cut.notified(), if cut => {
                        reset(on);
                        reset(stream);
                    }
                }
            }
        }
    }
}
