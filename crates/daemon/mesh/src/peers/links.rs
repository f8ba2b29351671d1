//! Opens and accepts links between nodes, identifies the other node, and reads and writes frames until the
//! link ends.
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

/// Timeout for connecting a link.
pub(super) const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum number of linked nodes.
const MAX_LINKED_NODES: usize = 1024;
/// The maximum number of links whose first frame has not been received.
pub(super) const MAX_UNIDENTIFIED_LINKS: u64 = 64;
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Limit on a link's unsent bytes in the kernel. Urgent frames can't overtake these bytes.
const MAX_UNSENT_BYTES: u32 = 2 * CHUNK_BYTES as u32;

impl Peers {
    /// Sends a frame to a node. It is dropped if there is no link to the node.
    pub(super) fn send(&self, node_state: &Rc<NodeState>, to: Node, frame: &Frame) {
        let is_ordinary = matches!(frame, Frame::Membership(_));
        let class = if is_ordinary { FrameClass::Ordinary } else { FrameClass::Urgent };
        self.send_as(node_state, to, frame, class);
    }

    /// Sends a frame with control entries. Membership is notified when it has been written, and sends no
    /// further entries before.
    pub(super) fn send_entries(&self, node_state: &Rc<NodeState>, to: Node, frame: &Frame) {
        let unsent_frames =
            self.links.borrow().get(&to).and_then(|links| links.last()).map_or(0, Link::entry_frames);
        if unsent_frames > 0 {
            let found = format!("{unsent_frames} on the link to {}", ip_of(to));
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
        let is_queue_full = {
            let links = self.links.borrow();
            let Some(link) = links.get(&to).and_then(|links| links.last()) else { return };
            let enqueued = link.enqueue(Rc::new(bytes), class);
            self.link_backlog_peak.set(self.link_backlog_peak.get().max(link.queued_bytes()));
            enqueued.is_err()
        };
        if is_queue_full {
            // The other node gets what it missed as a snapshot, on another link.
            let found = format!("a full queue to {}", ip_of(to));
            node_state.report_violation(Invariant::BoundedBacklog, "a link that takes what is sent", &found);
            self.links.borrow_mut().remove(&to);
            self.link_lost(node_state, to);
        }
    }

    /// A frame with control entries has been written on a link.
    fn report_entries_sent(&self, node_state: &Rc<NodeState>, node: Node, number: u64) {
        // Older links are ignored: membership started anew with the newest one.
        if self.newest_link(node) == Some(number) {
            self.membership.borrow_mut().entries_sent(node_state.now(), node);
            self.carry_out_effects(node_state);
        }
    }

    /// Returns the number of the link on which frames to a node are sent.
    pub(super) fn newest_link(&self, node: Node) -> Option<u64> {
        self.links.borrow().get(&node).and_then(|links| links.last()).map(|link| link.number)
    }

    /// What was asked of a node, and what it has asked, on an earlier connection is not answered any more.
    fn confirmations_changed(&self, node: Node) {
        self.confirmations.connection_changed(node);
        self.held_confirmations.connection_changed(node);
    }

    /// Reports that the last link to a node has ended.
    pub(super) fn link_lost(&self, node_state: &Rc<NodeState>, node: Node) {
        let now = node_state.now();
        self.confirmations_changed(node);
        self.membership.borrow_mut().link_down(now, node);
        if let Some(store) = &self.control_store {
            store.borrow_mut().set_reachable(now, store_node(node), false);
        }
        self.deadline_changed.notify_one();
    }

    /// Opens a link to a node.
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
                Err(_) => peers.link_failed(&node_state, to),
            }
        });
    }

    /// Reports that no link to a node could be opened, unless another one is established.
    fn link_failed(&self, node_state: &Rc<NodeState>, to: Node) {
        if !self.links.borrow().contains_key(&to) {
            self.link_lost(node_state, to);
            self.carry_out_effects(node_state);
        }
    }

    /// Registers an established link to a node. Returns its number and its queues.
    fn link_up(&self, node_state: &Rc<NodeState>, node: Node) -> (u64, FrameQueues) {
        let number = self.take_number();
        let (link, queues) = Link::new(number);
        self.links.borrow_mut().entry(node).or_default().push(link);
        self.confirmations_changed(node);
        let now = node_state.now();
        self.membership.borrow_mut().link_up(now, node);
        if let Some(store) = &self.control_store {
            store.borrow_mut().set_reachable(now, store_node(node), true);
        }
        self.carry_out_effects(node_state);
        (number, queues)
    }

    /// Passes on a received frame. Returns `false` if it is only allowed as the first frame.
    fn receive(&self, node_state: &Rc<NodeState>, from: Node, frame: Frame) -> bool {
        let now = node_state.now();
        match frame {
            Frame::Hello { .. } => return false,
            Frame::Membership(message) => self.receive_membership(node_state, from, message),
            Frame::ControlStore { replica_set_version, message } => {
                if let Some(store) = &self.control_store {
                    let mut store = store.borrow_mut();
                    store.receive(now, store_node(from), replica_set_version, message);
                }
            }
            Frame::WallClockRequest { requested_at } => {
                if let Some(clock) = node_state.member_throttle.wall_clock(now) {
                    let (wall_micros, stepped) = (clock.wall_micros, clock.stepped);
                    self.send(
                        node_state,
                        from,
                        &Frame::WallClockReply { requested_at, wall_micros, stepped },
                    );
                }
            }
            Frame::WallClockReply { requested_at, wall_micros, stepped } => {
                let replica = store_node(from);
                if self.control_store(|store| store.replica_nodes().contains(&replica)) == Some(true) {
                    let reading = PeerClockReading {
                        node: replica,
                        sent_at: requested_at,
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

    /// Removes a link that has ended.
    fn link_ended(&self, node_state: &Rc<NodeState>, node: Node, number: u64) {
        let was_newest = self.newest_link(node) == Some(number);
        let was_last = {
            let mut links = self.links.borrow_mut();
            let Some(node_links) = links.get_mut(&node) else { return };
            node_links.retain(|link| link.number != number);
            let is_empty = node_links.is_empty();
            if is_empty {
                links.remove(&node);
            }
            is_empty
        };
        if was_last {
            self.link_lost(node_state, node);
        } else if was_newest {
            self.confirmations_changed(node);
            self.membership.borrow_mut().connection_changed(node_state.now(), node);
        }
        self.carry_out_effects(node_state);
    }
}

/// Accepts links. Runs as long as the process.
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

/// Runs a link until it ends. `to` is the node that it was opened to. `unidentified` counts the link until
/// the first frame has been received.
async fn run_link(
    node_state: Rc<NodeState>,
    stream: TcpStream,
    to: Option<Node>,
    unidentified: Option<GaugeGuard>,
) {
    let peers = &node_state.peers;
    let remote_ip = stream.peer_addr().ok().map(|address| address.ip());
    // On systems without this option, urgent frames wait longer in the kernel.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let (read, mut write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let identified = exchange_hello(&node_state, &mut reader, &mut write).await;
    let is_expected = |node: &Node| remote_ip == Some(ip_of(*node)) && to.is_none_or(|to| to == *node);
    let Some(node) = identified.filter(is_expected) else {
        if identified.is_some() {
            node_state.counters.count_foreign_message();
        }
        to.into_iter().for_each(|to| peers.link_failed(&node_state, to));
        return;
    };
    drop(unidentified);
    let (number, queues) = peers.link_up(&node_state, node);
    let reading = async {
        while let Some(incoming) = reader.next_incoming(MAX_FRAME_BYTES).await {
            match incoming {
                // On a slow link a large frame may take longer than the timeout for a silent link.
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
        _ = write_frames(&mut write, queues, || peers.report_entries_sent(&node_state, node, number)) => {}
    }
    peers.link_ended(&node_state, node, number);
}

/// Exchanges the first frames. Returns the other node, or `None` if it speaks another protocol or version, or
/// none in time.
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
