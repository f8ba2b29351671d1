//! What the tasks that talk to other nodes share: the two deciders, the links, and the calls that wait for an outcome.
//!
//! Knows nothing of the rest of the process. No borrow of a cell outlives a statement, and none is held over an `await`.
use super::frame_writer::Link;
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

/// The control store of a control node, and where its writes go.
pub(crate) struct LocalControlStore {
    /// The replica.
    pub(crate) store: ControlStore<ControlValue>,
    /// Its disk.
    pub(crate) disk_writes: DiskWriteSender,
}

/// What goes between nodes, and who decides about it.
pub(crate) struct Peers {
    pub(super) own_node: Node,
    /// The port for links and datagrams; the same on all nodes.
    pub(super) port: u16,
    pub(super) membership: RefCell<Membership<RecordBody>>,
    /// On a control node.
    pub(super) control_store: Option<RefCell<ControlStore<ControlValue>>>,
    pub(super) disk_writes: Option<DiskWriteSender>,
    /// Why the disk takes no writes, while it takes none.
    pub(super) disk_full: RefCell<Option<DiskError>>,
    pub(super) pending_calls: RefCell<BTreeMap<u64, oneshot::Sender<CallOutcome<ControlValue>>>>,
    /// The links that are up, by node; the newest is written to.
    pub(super) links: RefCell<BTreeMap<Node, Vec<Link>>>,
    /// The most that ever waited to be written on one link, in bytes.
    pub(super) link_backlog_peak: Cell<usize>,
    /// The next number of a link or call.
    pub(super) next_number: Cell<u64>,
    pub(super) udp: UdpSocket,
    /// The deciders may have an earlier deadline than the one that is slept for.
    pub(super) deadline_changed: Notify,
}

/// The address of a node.
pub(super) fn ip_of(node: Node) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(node.0))
}

/// The same node, as the control store names it.
pub(super) fn store_node(node: Node) -> silvercross_control_store::Node {
    silvercross_control_store::Node(node.0)
}

/// A revision of the control store, as membership carries it.
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
    /// The node at this address, with its own deciders; no link is up.
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
            link_backlog_peak: Cell::new(0),
            next_number: Cell::new(1),
            udp,
            deadline_changed: Notify::new(),
        }
    }

    /// Look at membership.
    pub(crate) fn membership<R>(&self, look: impl FnOnce(&Membership<RecordBody>) -> R) -> R {
        look(&self.membership.borrow())
    }

    /// Where updates come from now; none on a control node.
    pub(crate) fn parent_ip(&self) -> Option<IpAddr> {
        self.membership(|membership| membership.parent()).map(ip_of)
    }

    /// Look at the control store; `None` where this node has none.
    pub(crate) fn control_store<R>(&self, look: impl FnOnce(&ControlStore<ControlValue>) -> R) -> Option<R> {
        self.control_store.as_ref().map(|store| look(&store.borrow()))
    }

    /// Bytes that wait to be written on all links.
    pub(crate) fn link_backlog(&self) -> usize {
        self.links.borrow().values().flatten().map(Link::waiting_bytes).sum()
    }

    /// The most that ever waited to be written on one link, in bytes.
    pub(crate) fn link_backlog_peak(&self) -> usize {
        self.link_backlog_peak.get()
    }

    /// Why the disk takes no writes, while it takes none.
    pub(crate) fn disk_full(&self) -> Option<DiskError> {
        self.disk_full.borrow().clone()
    }

    /// Where a node takes links and datagrams.
    pub(super) fn address_of(&self, node: Node) -> SocketAddr {
        SocketAddr::new(ip_of(node), self.port)
    }

    /// A number that no link or call of this process had before.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}
