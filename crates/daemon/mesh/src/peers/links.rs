//! Links between nodes: opened and accepted, identified, read and written, until they end.
use super::frame::{encode_frame, Frame, CHUNK_BYTES, MAX_FRAME_BYTES, MAX_HELLO_BYTES, PROTOCOL_VERSION};
use super::frame_reader::{FrameReader, Incoming};
use super::frame_writer::{write_frames, FrameClass, FrameQueues, Link};
use super::state::{ip_of, store_node, Peers};
use crate::node_state::{ConnectionKind, GaugeGuard, Invariant, NodeState};
use crate::peer_connection;
use silvercross_mesh_membership::Node;
use silvercross_throttle::{PeerClockReading, UnixTime};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A connection for a link is up within this.
pub(super) const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The first frame has come within this.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);
/// Nodes that may be linked.
const MAX_LINKED_NODES: usize = 1024;
/// Links that may be up without a first frame.
pub(super) const MAX_UNIDENTIFIED_LINKS: u64 = 64;
/// After a failed accept the next one is tried after this.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Unsent bytes that the kernel takes of a link at a time: what is handed over can't be overtaken by urgent frames any more.
const MAX_UNSENT_BYTES: u32 = 2 * CHUNK_BYTES as u32;

impl Peers {
    /// Send a frame to a node that is linked; for another one it is lost.
    pub(super) fn send(&self, node_state: &Rc<NodeState>, to: Node, frame: &Frame) {
        let is_ordinary = matches!(frame, Frame::Membership(_));
        let class = if is_ordinary { FrameClass::Ordinary } else { FrameClass::Urgent };
        self.send_as(node_state, to, frame, class);
    }

    /// Send a frame with control entries; membership hears when the network has taken it, and sends no further one before.
    pub(super) fn send_entries(&self, node_state: &Rc<NodeState>, to: Node, frame: &Frame) {
        let under_way =
            self.links.borrow().get(&to).and_then(|links| links.last()).map_or(0, Link::entry_frames);
        if under_way > 0 {
            let found = format!("{under_way} on the link to {}", ip_of(to));
            node_state.report_violation(
                Invariant::OneVersionUnderWay,
                "no frame with control entries",
                &found,
            );
        }
        self.send_as(node_state, to, frame, FrameClass::Entries);
    }

    fn send_as(&self, node_state: &Rc<NodeState>, to: Node, frame: &Frame, class: FrameClass) {
        let bytes = encode_frame(frame);
        node_state.counters.frames_sent.set(node_state.counters.frames_sent.get() + 1);
        let is_stuck = {
            let links = self.links.borrow();
            let Some(link) = links.get(&to).and_then(|links| links.last()) else { return };
            let enqueued = link.enqueue(Rc::new(bytes), class);
            self.link_backlog_peak.set(self.link_backlog_peak.get().max(link.waiting_bytes()));
            enqueued.is_err()
        };
        if is_stuck {
            // It takes nothing: what it lacks it gets by snapshot, on another link.
            let found = format!("a full queue to {}", ip_of(to));
            node_state.report_violation(Invariant::BoundedBacklog, "a link that takes what is sent", &found);
            self.links.borrow_mut().remove(&to);
            self.link_lost(node_state, to);
        }
    }

    /// The network has taken a frame with control entries on a link.
    fn entries_left(&self, node_state: &Rc<NodeState>, node: Node, number: u64) {
        // Of an older connection it says nothing: membership has begun anew with the newest one.
        if self.newest_link(node) == Some(number) {
            self.membership.borrow_mut().entries_sent(node_state.now(), node);
            self.carry_out_effects(node_state);
        }
    }

    /// The number of the link to a node that is written to.
    fn newest_link(&self, node: Node) -> Option<u64> {
        self.links.borrow().get(&node).and_then(|links| links.last()).map(|link| link.number)
    }

    /// No link to this node is left.
    pub(super) fn link_lost(&self, node_state: &Rc<NodeState>, node: Node) {
        let now = node_state.now();
        self.membership.borrow_mut().link_down(now, node);
        if let Some(store) = &self.control_store {
            store.borrow_mut().set_reachable(now, store_node(node), false);
        }
        self.deadline_changed.notify_one();
    }

    /// Open a link to this node.
    pub(super) fn open_link(&self, node_state: &Rc<NodeState>, to: Node) {
        if to == self.own_node {
            return;
        }
        let node_state = node_state.clone();
        tokio::task::spawn_local(async move {
            let peers = &node_state.peers;
            let (from, at) = (ip_of(peers.own_node), peers.address_of(to));
            match peer_connection::connect(Some(from), at, LINK_CONNECT_TIMEOUT).await {
                Ok(stream) => run_link(node_state.clone(), stream, Some(to), None).await,
                Err(_) => peers.link_not_made(&node_state, to),
            }
        });
    }

    /// A link to this node could not be made; that counts unless another one is up.
    fn link_not_made(&self, node_state: &Rc<NodeState>, to: Node) {
        if !self.links.borrow().contains_key(&to) {
            self.link_lost(node_state, to);
            self.carry_out_effects(node_state);
        }
    }

    /// A link to this node is up: its number, and what is to be written on it.
    fn link_up(&self, node_state: &Rc<NodeState>, node: Node) -> (u64, FrameQueues) {
        let number = self.take_number();
        let (link, queues) = Link::new(number);
        self.links.borrow_mut().entry(node).or_default().push(link);
        let now = node_state.now();
        self.membership.borrow_mut().link_up(now, node);
        if let Some(store) = &self.control_store {
            store.borrow_mut().set_reachable(now, store_node(node), true);
        }
        self.carry_out_effects(node_state);
        (number, queues)
    }

    /// Hand on a frame; `false` if it has no place behind the first one.
    fn receive(&self, node_state: &Rc<NodeState>, from: Node, frame: Frame) -> bool {
        let now = node_state.now();
        match frame {
            Frame::Hello { .. } => return false,
            Frame::Membership(message) => {
                self.membership.borrow_mut().receive(now, from, message);
            }
            Frame::ControlStore { replica_set_version, message } => {
                if let Some(store) = &self.control_store {
                    let mut store = store.borrow_mut();
                    store.receive(now, store_node(from), replica_set_version, message);
                }
            }
            Frame::WallClockRequest { asked } => {
                if let Some(clock) = node_state.member_throttle.wall_clock(now) {
                    let (wall_micros, stepped) = (clock.wall_micros, clock.stepped);
                    self.send(node_state, from, &Frame::WallClockReply { asked, wall_micros, stepped });
                }
            }
            Frame::WallClockReply { asked, wall_micros, stepped } => {
                let replica = store_node(from);
                if self.control_store(|store| store.replica_nodes().contains(&replica)) == Some(true) {
                    let reading = PeerClockReading {
                        node: replica,
                        sent_at: asked,
                        received_at: now,
                        wall: UnixTime::from_micros(wall_micros),
                        stepped,
                    };
                    node_state.member_throttle.wall_clock_reported(reading);
                }
            }
        }
        self.carry_out_effects(node_state);
        true
    }

    /// A link has ended.
    fn link_ended(&self, node_state: &Rc<NodeState>, node: Node, number: u64) {
        let was_newest = self.newest_link(node) == Some(number);
        let was_last = {
            let mut links = self.links.borrow_mut();
            let Some(of_node) = links.get_mut(&node) else { return };
            of_node.retain(|link| link.number != number);
            let is_empty = of_node.is_empty();
            if is_empty {
                links.remove(&node);
            }
            is_empty
        };
        if was_last {
            self.link_lost(node_state, node);
        } else if was_newest {
            self.membership.borrow_mut().connection_changed(node_state.now(), node);
        }
        self.carry_out_effects(node_state);
    }
}

/// Accept links, for as long as the process lives.
pub(crate) async fn accept_links(node_state: Rc<NodeState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let unidentified = node_state.counters.unidentified_links.get();
        if node_state.peers.links.borrow().len() >= MAX_LINKED_NODES || unidentified >= MAX_UNIDENTIFIED_LINKS
        {
            node_state.reject_connection(ConnectionKind::Link);
            continue;
        }
        peer_connection::set_liveness_options(&stream);
        let unidentified = GaugeGuard::new(&node_state.counters, |counters| &counters.unidentified_links);
        tokio::task::spawn_local(run_link(node_state.clone(), stream, None, Some(unidentified)));
    }
}

/// One link, until it ends. `to`: the node that it was opened to; `unidentified`: counts it until its first frame.
async fn run_link(
    node_state: Rc<NodeState>,
    stream: TcpStream,
    to: Option<Node>,
    unidentified: Option<GaugeGuard>,
) {
    let peers = &node_state.peers;
    let remote_ip = stream.peer_addr().ok().map(|address| address.ip());
    // Where the system doesn't know the option, urgent frames wait a little longer.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let (read, mut write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let said = exchange_hello(&node_state, &mut reader, &mut write).await;
    let is_expected = |node: &Node| remote_ip == Some(ip_of(*node)) && to.is_none_or(|to| to == *node);
    let Some(node) = said.filter(is_expected) else {
        if said.is_some() {
            node_state.counters.count_foreign_message();
        }
        to.into_iter().for_each(|to| peers.link_not_made(&node_state, to));
        return;
    };
    drop(unidentified);
    let (number, queues) = peers.link_up(&node_state, node);
    let reading = async {
        while let Some(incoming) = reader.next_incoming(MAX_FRAME_BYTES).await {
            match incoming {
                // Over a thin link a large frame may take longer than a silent link is kept.
                Incoming::Chunk => peers.membership.borrow_mut().chunk_received(node_state.now(), node),
                Incoming::Frame(frame) => {
                    if !peers.receive(&node_state, node, *frame) {
                        break;
                    }
                }
            }
        }
    };
    tokio::select! {
        _ = reading => {}
        _ = write_frames(&mut write, queues, || peers.entries_left(&node_state, node, number)) => {}
    }
    peers.link_ended(&node_state, node, number);
}

/// Say which node this is, and hear which is at the other end; `None` if that is no node of this protocol.
async fn exchange_hello(
    node_state: &NodeState,
    reader: &mut FrameReader<impl AsyncReadExt + Unpin>,
    write: &mut (impl AsyncWriteExt + Unpin),
) -> Option<Node> {
    let hello = Frame::Hello { version: PROTOCOL_VERSION, node: node_state.peers.own_node.0 };
    write.write_all(&encode_frame(&hello)).await.ok()?;
    match timeout(HELLO_TIMEOUT, reader.next(MAX_HELLO_BYTES)).await.ok().flatten() {
        Some(Frame::Hello { version: PROTOCOL_VERSION, node }) => Some(Node(node)),
        _ => {
            node_state.counters.count_foreign_message();
            None
        }
    }
}
