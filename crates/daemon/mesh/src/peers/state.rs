//! State shared by the tasks that communicate with other nodes: the two decision modules, the links, and
//! pending calls.
//!
//! It depends on no other state of the process. No borrow of a cell outlives a statement, and none is held
//! across an `await`.
use super::confirmations::Confirmations;
use super::departure_log::DepartureLog;
use super::frame_writer::Link;
use super::held_confirmations::HeldConfirmations;
use super::record::RecordBody;
use crate::control_value::ControlValue;
use crate::disk::{DiskError, DiskWriteSender};
use silvercross_control_store::{CallOutcome, ControlStore};
use silvercross_mesh_membership::{Membership, Node};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};

/// The control store of a control node, and the queue of its disk writes.
pub(crate) struct LocalControlStore {
    /// The replica.
    pub(crate) store: ControlStore<ControlValue>,
    /// Sends its writes to the disk thread.
    pub(crate) disk_writes: DiskWriteSender,
}

/// The links to other nodes, and the decision modules that use them.
pub(crate) struct Peers {
    pub(super) own_node: Node,
    /// The port for links and datagrams, the same on all nodes.
    pub(super) port: u16,
    pub(super) membership: RefCell<Membership<RecordBody>>,
    /// `Some` on a control node.
    pub(super) control_store: Option<RefCell<ControlStore<ControlValue>>>,
    pub(super) disk_writes: Option<DiskWriteSender>,
    /// The error while the disk is full.
    pub(super) disk_full: RefCell<Option<DiskError>>,
    pub(super) pending_calls: RefCell<BTreeMap<u64, oneshot::Sender<CallOutcome<ControlValue>>>>,
    /// The established links by node. Frames are sent on the newest one.
    pub(super) links: RefCell<BTreeMap<Node, Vec<Link>>>,
    pub(super) confirmations: Confirmations,
    pub(super) held_confirmations: HeldConfirmations,
    pub(super) departure_log: RefCell<DepartureLog>,
    /// Notified when a write of departures is synced.
    pub(super) departures_were_synced: Notify,
    /// The largest backlog of a link since the start, in bytes.
    pub(super) link_backlog_peak: Cell<usize>,
    /// The next number for a link or call.
    pub(super) next_number: Cell<u64>,
    pub(super) udp: UdpSocket,
    /// Notified when the next deadline of a decision module may have become earlier.
    pub(super) deadline_changed: Notify,
}

/// Returns the IP address of a node.
pub(super) fn ip_of(node: Node) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(node.0))
}

/// Converts a node to the type of the control store.
pub(super) fn store_node(node: Node) -> silvercross_control_store::Node {
    silvercross_control_store::Node(node.0)
}

/// Converts a revision of the control store to the type of membership.
pub(super) fn entry_revision(
    revision: silvercross_control_store::Revision,
) -> silvercross_mesh_membership::Revision {
    silvercross_mesh_membership::Revision::new(
        revision.epoch.round,
        u64::from(revision.epoch.owner),
        revision.sequence,
    )
}

impl Peers {
    /// Creates the state of the node at this address, without links.
    pub(crate) fn new(
        own_ip: Ipv4Addr,
        port: u16,
        membership: Membership<RecordBody>,
        control_store: Option<LocalControlStore>,
        udp: UdpSocket,
    ) -> Self {
        let (control_store, disk_writes) = match control_store {
            Some(local) => (Some(RefCell::new(local.store)), Some(local.disk_writes)),
            None => (None, None),
        };
        Peers {
            own_node: Node(own_ip.to_bits()),
            port,
            membership: RefCell::new(membership),
            control_store,
            disk_writes,
            disk_full: RefCell::default(),
            pending_calls: RefCell::default(),
            links: RefCell::default(),
            confirmations: Confirmations::default(),
            held_confirmations: HeldConfirmations::default(),
            departure_log: RefCell::default(),
            departures_were_synced: Notify::new(),
            link_backlog_peak: Cell::new(0),
            next_number: Cell::new(1),
            udp,
            deadline_changed: Notify::new(),
        }
    }

    /// Calls `read` with the state of membership.
    pub(crate) fn membership<R>(&self, read: impl FnOnce(&Membership<RecordBody>) -> R) -> R {
        read(&self.membership.borrow())
    }

    /// Returns the IP address of the parent in the relay tree. A control node has none.
    pub(crate) fn parent_ip(&self) -> Option<IpAddr> {
        self.membership(|membership| membership.parent()).map(ip_of)
    }

    /// Calls `read` with the control store. Returns `None` if this node has none.
    pub(crate) fn control_store<R>(&self, read: impl FnOnce(&ControlStore<ControlValue>) -> R) -> Option<R> {
        self.control_store.as_ref().map(|store| read(&store.borrow()))
    }

    /// Returns the bytes queued on all links.
    pub(crate) fn link_backlog(&self) -> usize {
        self.links.borrow().values().flatten().map(Link::queued_bytes).sum()
    }

    /// Returns the largest backlog of a link since the start, in bytes.
    pub(crate) fn link_backlog_peak(&self) -> usize {
        self.link_backlog_peak.get()
    }

    /// Returns the error while the disk is full.
    pub(crate) fn disk_full(&self) -> Option<DiskError> {
        self.disk_full.borrow().clone()
    }

    /// Returns the address of a node for links and datagrams.
    pub(super) fn address_of(&self, node: Node) -> SocketAddr {
        SocketAddr::new(ip_of(node), self.port)
    }

    /// Returns a number that no other link or call of this process has.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}
