//! Links between sidecars: made and taken, greeted, read and written, until they end.
use super::frames::{framed, parcel, write_lanes, Parcel, HELLO, LARGEST, PART, VERSION};
use super::{ip, Carriers};
use crate::hop;
use crate::post::{Counted, Door, Post};
use silvercross_mesh_membership::Node;
use silvercross_throttle::Voice;
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

impl Carriers {
    /// Send this to a node that is linked; to another one it is lost.
    pub(super) fn send(&self, post: &Rc<Post>, to: u32, parcel: &Parcel) {
        let bytes = framed(parcel);
        post.counts.letters.set(post.counts.letters.get() + 1);
        let full = {
            let links = self.links.borrow();
            let Some(link) = links.get(&to).and_then(|l| l.last()) else { return };
            let lane = if matches!(parcel, Parcel::Round(_)) { &link.out } else { &link.first };
            lane.try_send(Rc::new(bytes)).is_err()
        };
        if full {
            // It takes nothing: what it lacks it gets by snapshot, on another link.
            self.links.borrow_mut().remove(&to);
            self.down(post, to);
        }
    }

    /// No link to this node is left.
    pub(super) fn down(&self, post: &Rc<Post>, node: u32) {
        let now = post.now();
        self.rounds.borrow_mut().link_down(now, Node(node));
        if let Some(l) = &self.ledger {
            l.borrow_mut().reachable(now, silvercross_control_store::Node(node), false);
        }
        self.changed.notify_one();
    }

    /// Make a link to this node.
    pub(super) fn link(&self, post: &Rc<Post>, to: u32) {
        if to == self.me {
            return;
        }
        let post = post.clone();
        tokio::task::spawn_local(async move {
            let c = &post.carriers;
            let at = SocketAddr::new(ip(to), c.port);
            match hop::connect(Some(ip(c.me)), at, CONNECT).await {
                Some(stream) => carry(post.clone(), stream, Some(to), None).await,
                None => {
                    if !c.links.borrow().contains_key(&to) {
                        c.down(&post, to);
                        c.pump(&post);
                    }
                }
            }
        });
    }

    /// Take links, for as long as the process lives.
    pub async fn listen(post: Rc<Post>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if post.carriers.links.borrow().len() >= LINKS || post.counts.greeting.get() >= GREETING {
                post.shut_out(Door::Link);
                continue;
            }
            hop::guard(&stream);
            let greeting = Counted::new(&post, |c| &c.greeting);
            tokio::task::spawn_local(carry(post.clone(), stream, None, Some(greeting)));
        }
    }

    /// A link to this node is up; its number, and what is to be written on it.
    fn up(&self, post: &Rc<Post>, node: u32) -> (u64, Lane, Lane) {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let (out, waiting) = mpsc::channel(WAITING);
        let (first, waiting_first) = mpsc::channel(WAITING);
        self.links.borrow_mut().entry(node).or_default().push(Link { number, out, first });
        let now = post.now();
        self.rounds.borrow_mut().link_up(now, Node(node));
        if let Some(l) = &self.ledger {
            l.borrow_mut().reachable(now, silvercross_control_store::Node(node), true);
        }
        self.pump(post);
        (number, waiting, waiting_first)
    }

    /// Hand on what came on a link; `false` if it has no place there.
    fn received(&self, post: &Rc<Post>, node: u32, parcel: Parcel) -> bool {
        let now = post.now();
        match parcel {
            Parcel::Hello { .. } => return false,
            Parcel::Round(letter) => self.rounds.borrow_mut().letter(now, Node(node), letter),
            Parcel::Store(version, message) => {
                if let Some(l) = &self.ledger {
                    l.borrow_mut().receive(now, silvercross_control_store::Node(node), version, message);
                }
            }
            Parcel::Time { asked } => {
                if let Some((wall, stepped)) = post.members.time_told(now) {
                    self.send(post, node, &Parcel::Told { asked, wall, stepped });
                }
            }
            Parcel::Told { asked, wall, stepped } => {
                let holder = silvercross_control_store::Node(node);
                if self.control_store(|l| l.replica_set().contains(&holder)) == Some(true) {
                    let answered = now;
                    post.members.heard(Voice { node: holder, asked, answered, wall, stepped });
                }
            }
        }
        self.pump(post);
        true
    }

    /// A link has ended.
    fn ended(&self, post: &Rc<Post>, node: u32, number: u64) {
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
            self.down(post, node);
            self.pump(post);
        }
    }
}

/// Frames that wait to be written.
type Lane = mpsc::Receiver<Rc<Vec<u8>>>;

/// One link, until it ends.
async fn carry(post: Rc<Post>, stream: TcpStream, to: Option<u32>, greeting: Option<Counted>) {
    let c = &post.carriers;
    let peer = stream.peer_addr().ok().map(|a| a.ip());
    // What is handed over and not sent can't be passed any more.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(2 * PART as u32);
    let (read, mut write) = stream.into_split();
    // Many small parcels come at a time: one read for them.
    let mut read = tokio::io::BufReader::with_capacity(8 * 1024, read);
    let mut parts = Vec::new();
    let greeted = greet(&post, &mut read, &mut write, &mut parts).await;
    let Some(node) = greeted else { return gone(&post, to) };
    if peer != Some(ip(node)) || to.is_some_and(|to| to != node) {
        post.counts.strangers.set(post.counts.strangers.get() + 1);
        return gone(&post, to);
    }
    drop(greeting);
    let (number, waiting, waiting_first) = c.up(&post, node);
    let reading = async {
        while let Some(parcel) = parcel(&mut read, &mut parts, LARGEST).await {
            if !c.received(&post, node, parcel) {
                break;
            }
        }
    };
    let writing = write_lanes(&mut write, waiting, waiting_first);
    tokio::select! {
        _ = reading => {}
        _ = writing => {}
    }
    c.ended(&post, node, number);
}

/// Say who this is, and hear who is at the other end.
async fn greet(
    post: &Post,
    read: &mut (impl AsyncReadExt + Unpin),
    write: &mut (impl AsyncWriteExt + Unpin),
    parts: &mut Vec<u8>,
) -> Option<u32> {
    let hello = framed(&Parcel::Hello { version: VERSION, node: post.carriers.me });
    write.write_all(&hello).await.ok()?;
    match timeout(CONNECT * 2, parcel(read, parts, HELLO)).await.ok().flatten() {
        Some(Parcel::Hello { version: VERSION, node }) => Some(node),
        _ => {
            post.counts.strangers.set(post.counts.strangers.get() + 1);
            None
        }
    }
}

/// A link ended before it was up.
fn gone(post: &Rc<Post>, to: Option<u32>) {
    if let Some(to) = to.filter(|to| !post.carriers.links.borrow().contains_key(to)) {
        post.carriers.down(post, to);
        post.carriers.pump(post);
    }
}
