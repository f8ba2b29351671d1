//! Between sidecars: hands `silvercross-mesh-membership` and `silvercross-control-store` what comes on links and datagrams, lets their time
//! pass, and does what they say; decides nothing.
mod effects;
mod frames;
#[cfg(test)]
mod isolated_control_tests;
mod link;
mod majority_read;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod wire_bytes_tests;

use crate::control_value::{ControlChange, ControlValue};
use crate::disk::{DiskEvent, DiskWriteSender};
use crate::node_state::NodeState;
use bitcode::{Decode, Encode};
use frames::Frame;
use link::Link;
use silvercross_control_store::{CallOutcome, ControlStore};
use silvercross_mesh_membership::{Datagram, Membership, Node, Revision};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::timeout;

/// What a sidecar tells all others of itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RecordBody {
    /// Port of its gate; 0: it has none.
    pub inbound: u16,
    /// Port where it takes control calls; 0: none.
    pub control: u16,
    /// It stops: nothing more is to be sent there.
    pub leaving: bool,
    /// Of a machine with a disk: those that hold the ledger, as it knows.
    pub roster: Vec<u32>,
    /// The upstream beside it.
    pub station: Option<UpstreamRecord>,
}

/// An upstream, as the sidecar beside it knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct UpstreamRecord {
    /// Its life.
    pub id: String,
    /// Its service.
    pub service: String,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// It is to get no more.
    pub draining: bool,
    /// Its beats have stopped, or it refuses connections.
    pub silent: bool,
    /// Counts the times it went cold.
    pub colds: u32,
    /// How long it was still cold when this was told, in microseconds.
    pub cold: i64,
}

/// What goes between sidecars, and who decides about it.
pub struct Peers {
    me: u32,
    port: u16,
    membership: RefCell<Membership<RecordBody>>,
    ledger: Option<RefCell<ControlStore<ControlValue>>>,
    writes: Option<DiskWriteSender>,
    /// Why the disk takes no writes.
    full: RefCell<Option<String>>,
    asked: RefCell<BTreeMap<u64, oneshot::Sender<CallOutcome<ControlValue>>>>,
    links: RefCell<BTreeMap<u32, Vec<Link>>>,
    numbers: Cell<u64>,
    udp: UdpSocket,
    changed: Notify,
}

/// A revision of the control store, as pages carry it.
fn told(revision: silvercross_control_store::Revision) -> Revision {
    (revision.epoch.round, u64::from(revision.epoch.owner), revision.sequence)
}

fn ip(node: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(node))
}

impl Peers {
    /// On this machine, with its own deciders.
    pub fn new(
        me: Ipv4Addr,
        port: u16,
        membership: Membership<RecordBody>,
        ledger: Option<(ControlStore<ControlValue>, DiskWriteSender)>,
        udp: UdpSocket,
    ) -> Self {
        let (ledger, writes) = match ledger {
            Some((l, w)) => (Some(RefCell::new(l)), Some(w)),
            None => (None, None),
        };
        Peers {
            me: me.to_bits(),
            port,
            membership: RefCell::new(membership),
            ledger,
            writes,
            full: RefCell::default(),
            asked: RefCell::default(),
            links: RefCell::default(),
            numbers: Cell::new(1),
            udp,
            changed: Notify::new(),
        }
    }

    /// Look at membership.
    pub fn membership<R>(&self, look: impl FnOnce(&Membership<RecordBody>) -> R) -> R {
        look(&self.membership.borrow())
    }

    /// Look at the ledger, where this machine holds one.
    pub fn control_store<R>(&self, look: impl FnOnce(&ControlStore<ControlValue>) -> R) -> Option<R> {
        self.ledger.as_ref().map(|l| look(&l.borrow()))
    }

    /// Tell the others of this sidecar.
    pub fn tell(&self, node_state: &Rc<NodeState>, body: RecordBody) {
        self.membership.borrow_mut().update_body(node_state.now().as_micros(), body);
        self.pump(node_state);
    }

    /// Other seeds than at the start.
    pub fn seeds(&self, node_state: &Rc<NodeState>, seeds: &[u32]) {
        let seeds: Vec<Node> = seeds.iter().map(|s| Node(*s)).collect();
        self.membership.borrow_mut().set_seeds(node_state.now().as_micros(), &seeds);
        self.pump(node_state);
    }

    /// This sidecar goes.
    pub fn leave(&self, node_state: &Rc<NodeState>) {
        self.membership.borrow_mut().leave(node_state.now().as_micros());
        self.pump(node_state);
    }

    /// This process is told to stop: its replica is to be replaced while it is still there.
    pub fn leave_replicas(&self, node_state: &Rc<NodeState>) {
        if let Some(l) = &self.ledger {
            l.borrow_mut().begin_graceful_stop(node_state.now().as_micros());
        }
        self.pump(node_state);
    }

    /// Whether this process, which stops, is still wanted as a replica.
    pub fn needed(&self) -> bool {
        self.control_store(|l| l.still_needed()).unwrap_or(false)
    }

    /// Ask the other holders for their time of day.
    pub fn ask_time(&self, node_state: &Rc<NodeState>) {
        let holders = self.control_store(|l| l.replica_nodes()).unwrap_or_default();
        for holder in holders.into_iter().filter(|h| h.0 != self.me) {
            self.send(node_state, holder.0, &Frame::Time { asked: node_state.now().as_micros() });
        }
    }

    /// An operator's call; `None` where this machine holds no ledger.
    pub async fn ask(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
        order: Option<ControlChange>,
    ) -> Option<CallOutcome<ControlValue>> {
        let ledger =
            self.ledger.as_ref().filter(|l| !l.borrow().is_outside() && !node_state.is_outsider())?;
        let asked = self.begin(node_state, ledger, key, order);
        self.pump(node_state);
        Some(self.answer(asked).await)
    }

    /// Hand a call or read to the control store; it begins with the next `pump`.
    fn begin(
        &self,
        node_state: &NodeState,
        store: &RefCell<ControlStore<ControlValue>>,
        key: &str,
        order: Option<ControlChange>,
    ) -> (u64, oneshot::Receiver<CallOutcome<ControlValue>>) {
        let token = self.numbers.get();
        self.numbers.set(token + 1);
        let (to, answer) = oneshot::channel();
        self.asked.borrow_mut().insert(token, to);
        match order {
            Some(order) => store.borrow_mut().call(node_state.now().as_micros(), token, key, order),
            None => store.borrow_mut().read(node_state.now().as_micros(), token, key),
        }
        (token, answer)
    }

    async fn answer(
        &self,
        (token, answer): (u64, oneshot::Receiver<CallOutcome<ControlValue>>),
    ) -> CallOutcome<ControlValue> {
        let said = timeout(Duration::from_secs(2), answer).await;
        self.asked.borrow_mut().remove(&token);
        said.ok().and_then(Result::ok).unwrap_or(CallOutcome::Unknown)
    }

    /// Do what the deciders want done, until they want nothing more.
    fn pump(&self, node_state: &Rc<NodeState>) {
        loop {
            let effects = self.membership.borrow_mut().take_effects();
            let deeds = self.ledger.as_ref().map(|l| l.borrow_mut().take_effects()).unwrap_or_default();
            if effects.is_empty() && deeds.is_empty() {
                break;
            }
            for effect in effects {
                self.effect(node_state, effect);
            }
            for deed in deeds {
                self.deed(node_state, deed);
            }
        }
        node_state.look_ready();
        self.changed.notify_one();
    }

    /// Let the deciders' time pass, for as long as the process lives.
    pub async fn tick(node_state: Rc<NodeState>) {
        let c = &node_state.peers;
        loop {
            let now = node_state.now().as_micros();
            let mut wake = c.membership.borrow().next_deadline();
            if let Some(at) = c.ledger.as_ref().and_then(|l| l.borrow().next_deadline()) {
                wake = wake.min(at);
            }
            let span = (wake - now).clamp(0, 1_000_000) as u64;
            tokio::select! {
                _ = tokio::time::sleep(Duration::from_micros(span)) => {
                    let now = node_state.now().as_micros();
                    c.membership.borrow_mut().tick(now);
                    if let Some(l) = &c.ledger {
                        l.borrow_mut().tick(now);
                    }
                    c.pump(&node_state);
                }
                _ = c.changed.notified() => {}
            }
        }
    }

    /// Why the disk takes no writes, while it takes none.
    pub fn disk_full(&self) -> Option<String> {
        self.full.borrow().clone()
    }

    /// Hand on what the disk tells, for as long as the process lives, or until the disk has failed: why.
    pub async fn synced(node_state: Rc<NodeState>, mut told: mpsc::UnboundedReceiver<DiskEvent>) -> String {
        let c = &node_state.peers;
        while let Some(told) = told.recv().await {
            let Some(l) = &c.ledger else { continue };
            match told {
                DiskEvent::Synced(write) => {
                    l.borrow_mut().write_completed(node_state.now().as_micros(), write)
                }
                DiskEvent::OutOfSpace(why) => {
                    warn!(node_state.log, "the disk is full: this machine promises nothing and hands its keys over until there is room";
                        "why" => why.as_str(), "mend" => "free room on the disk of dataDir");
                    *c.full.borrow_mut() = Some(why);
                    l.borrow_mut().set_disk_has_space(node_state.now().as_micros(), false);
                }
                DiskEvent::SpaceAvailable => {
                    info!(node_state.log, "the disk has room again");
                    *c.full.borrow_mut() = None;
                    l.borrow_mut().set_disk_has_space(node_state.now().as_micros(), true);
                }
                DiskEvent::Failed(why) => return why,
            }
            c.pump(&node_state);
        }
        "its thread has ended".to_string()
    }

    /// Take datagrams, for as long as the process lives.
    pub async fn datagrams(node_state: Rc<NodeState>) {
        let mut room = [0; 2048];
        let c = &node_state.peers;
        loop {
            let Ok((n, from)) = c.udp.recv_from(&mut room).await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let IpAddr::V4(from) = from.ip() else { continue };
            match bitcode::decode::<Datagram>(&room[..n]) {
                Ok(datagram) => {
                    c.membership.borrow_mut().receive_datagram(
                        node_state.now().as_micros(),
                        Node(from.to_bits()),
                        datagram,
                    );
                    c.pump(&node_state);
                }
                Err(_) => {
                    node_state.counters.foreign_messages.set(node_state.counters.foreign_messages.get() + 1)
                }
            }
        }
    }
}
