//! Links between sidecars: made and taken, greeted, read and written, until they end.
use super::frames::{frame, framed, write_lanes, Frame, HELLO, LARGEST, PART, VERSION};
use super::{ip, Peers};
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::peer_connection;
use silvercross_mesh_membership::Node;
use silvercross_throttle::PeerClockReading;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Parcels that may wait for a link; at the bound the link ends, and what it lacked comes by snapshot.
const WAITING: usize = 1024;
/// A link is up, and its first parcel there, within this.
pub(super) const CONNECT: Duration = Duration::from_millis(400);
/// Links that others may make.
const LINKS: usize = 1024;
/// Of these, those on which nobody has said yet who they are.
pub(super) const GREETING: u64 = 64;

/// A link that is up, as it is written to.
pub(super) struct Link {
    number: u64,
    /// What goes in its order, and what goes before it.
    out: mpsc::Sender<Rc<Vec<u8>>>,
    first: mpsc::Sender<Rc<Vec<u8>>>,
}

impl Peers {
    /// Send this to a node that is linked; to another one it is lost.
    pub(super) fn send(&self, node_state: &Rc<NodeState>, to: u32, frame: &Frame) {
        let bytes = framed(frame);
        node_state.counters.frames_sent.set(node_state.counters.frames_sent.get() + 1);
        let full = {
            let links = self.links.borrow();
            let Some(link) = links.get(&to).and_then(|l| l.last()) else { return };
            let lane = if matches!(frame, Frame::Round(_)) { &link.out } else { &link.first };
            lane.try_send(Rc::new(bytes)).is_err()
        };
        if full {
            // It takes nothing: what it lacks it gets by snapshot, on another link.
            self.links.borrow_mut().remove(&to);
            self.down(node_state, to);
        }
    }

    /// No link to this node is left.
    pub(super) fn down(&self, node_state: &Rc<NodeState>, node: u32) {
        let now = node_state.now().as_micros();
        self.membership.borrow_mut().link_down(now, Node(node));
        if let Some(l) = &self.ledger {
            l.borrow_mut().set_reachable(now, silvercross_control_store::Node(node), false);
        }
        self.changed.notify_one();
    }

    /// Make a link to this node.
    pub(super) fn link(&self, node_state: &Rc<NodeState>, to: u32) {
        if to == self.me {
            return;
        }
        let node_state = node_state.clone();
        tokio::task::spawn_local(async move {
            let c = &node_state.peers;
            let at = SocketAddr::new(ip(to), c.port);
            match peer_connection::connect(Some(ip(c.me)), at, CONNECT).await {
                Ok(stream) => carry(node_state.clone(), stream, Some(to), None).await,
                Err(_) => {
                    if !c.links.borrow().contains_key(&to) {
                        c.down(&node_state, to);
                        c.pump(&node_state);
                    }
                }
            }
        });
    }

    /// Take links, for as long as the process lives.
    pub async fn listen(node_state: Rc<NodeState>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if node_state.peers.links.borrow().len() >= LINKS
                || node_state.counters.unidentified_links.get() >= GREETING
            {
                node_state.reject_connection(ConnectionKind::Link);
                continue;
            }
            peer_connection::set_liveness_options(&stream);
            let greeting = GaugeGuard::new(&node_state, |c| &c.unidentified_links);
            tokio::task::spawn_local(carry(node_state.clone(), stream, None, Some(greeting)));
        }
    }

    /// A link to this node is up; its number, and what is to be written on it.
    fn up(&self, node_state: &Rc<NodeState>, node: u32) -> (u64, Lane, Lane) {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let (out, waiting) = mpsc::channel(WAITING);
        let (first, waiting_first) = mpsc::channel(WAITING);
        self.links.borrow_mut().entry(node).or_default().push(Link { number, out, first });
        let now = node_state.now().as_micros();
        self.membership.borrow_mut().link_up(now, Node(node));
        if let Some(l) = &self.ledger {
            l.borrow_mut().set_reachable(now, silvercross_control_store::Node(node), true);
        }
        self.pump(node_state);
        (number, waiting, waiting_first)
    }

    /// Hand on what came on a link; `false` if it has no place there.
    fn received(&self, node_state: &Rc<NodeState>, node: u32, frame: Frame) -> bool {
        let now = node_state.now().as_micros();
        match frame {
            Frame::Hello { .. } => return false,
            Frame::Round(letter) => self.membership.borrow_mut().receive(now, Node(node), letter),
            Frame::Store(version, message) => {
                if let Some(l) = &self.ledger {
                    l.borrow_mut().receive(now, silvercross_control_store::Node(node), version, message);
                }
            }
            Frame::Time { asked } => {
                if let Some((wall, stepped)) = node_state.member_throttle.time_told(now) {
                    self.send(node_state, node, &Frame::Told { asked, wall, stepped });
                }
            }
            Frame::Told { asked, wall, stepped } => {
                let holder = silvercross_control_store::Node(node);
                if self.control_store(|l| l.replica_nodes().contains(&holder)) == Some(true) {
                    let answered = now;
                    node_state.member_throttle.heard(PeerClockReading {
                        node: holder,
                        sent_at: asked,
                        received_at: answered,
                        wall,
                        stepped,
                    });
                }
            }
        }
        self.pump(node_state);
        true
    }

    /// A link has ended.
    fn ended(&self, node_state: &Rc<NodeState>, node: u32, number: u64) {
        let last = {
            let mut links = self.links.borrow_mut();
            let Some(list) = links.get_mut(&node) else { return };
            list.retain(|l| l.number != number);
            let last = list.is_empty();
            if last {
                links.remove(&node);
            }
            last
        };
        if last {
            self.down(node_state, node);
            self.pump(node_state);
        }
    }
}

/// Frames that wait to be written.
type Lane = mpsc::Receiver<Rc<Vec<u8>>>;

/// One link, until it ends.
async fn carry(node_state: Rc<NodeState>, stream: TcpStream, to: Option<u32>, greeting: Option<GaugeGuard>) {
    let c = &node_state.peers;
    let peer = stream.peer_addr().ok().map(|a| a.ip());
    // What is handed over and not sent can't be passed any more.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(2 * PART as u32);
    let (read, mut write) = stream.into_split();
    // Many small parcels come at a time: one read for them.
    let mut read = tokio::io::BufReader::with_capacity(8 * 1024, read);
    let mut parts = Vec::new();
    let greeted = greet(&node_state, &mut read, &mut write, &mut parts).await;
    let Some(node) = greeted else { return gone(&node_state, to) };
    if peer != Some(ip(node)) || to.is_some_and(|to| to != node) {
        node_state.counters.foreign_messages.set(node_state.counters.foreign_messages.get() + 1);
        return gone(&node_state, to);
    }
    drop(greeting);
    let (number, waiting, waiting_first) = c.up(&node_state, node);
    let reading = async {
        while let Some(frame) = frame(&mut read, &mut parts, LARGEST).await {
            if !c.received(&node_state, node, frame) {
                break;
            }
        }
    };
    let writing = write_lanes(&mut write, waiting, waiting_first);
    tokio::select! {
        _ = reading => {}
        _ = writing => {}
    }
    c.ended(&node_state, node, number);
}

/// Say who this is, and hear who is at the other end.
async fn greet(
    node_state: &NodeState,
    read: &mut (impl AsyncReadExt + Unpin),
    write: &mut (impl AsyncWriteExt + Unpin),
    parts: &mut Vec<u8>,
) -> Option<u32> {
    let hello = framed(&Frame::Hello { version: VERSION, node: node_state.peers.me });
    write.write_all(&hello).await.ok()?;
    match timeout(CONNECT * 2, frame(read, parts, HELLO)).await.ok().flatten() {
        Some(Frame::Hello { version: VERSION, node }) => Some(node),
        _ => {
            node_state.counters.foreign_messages.set(node_state.counters.foreign_messages.get() + 1);
            None
        }
    }
}

/// A link ended before it was up.
fn gone(node_state: &Rc<NodeState>, to: Option<u32>) {
    if let Some(to) = to.filter(|to| !node_state.peers.links.borrow().contains_key(to)) {
        node_state.peers.down(node_state, to);
        node_state.peers.pump(node_state);
    }
}
