//! Between sidecars: links and datagrams, `bitcode` both ways. Hands `silvercross-rounds` and `silvercross-control-store` what comes and does
//! what they say; decides nothing.
use crate::disk::{Told, Write, Writes};
use crate::hop;
use crate::leaf::{Leaf, Order, CONFIGURATION, EVACUATION};
use crate::post::{Counted, Door, Post};
use bitcode::{Decode, Encode};
use silvercross_control_store::{ControlStore, Effect as StoreEffect, Message as StoreMessage, Verdict};
use silvercross_rounds::{Datagram, Effect, Letter, Node, Revision, Rounds};
use silvercross_tariff::Voice;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::timeout;

/// The form of what is said on a link. Another one is told so once and let go.
pub const VERSION: u16 = 2;
/// No parcel is larger.
const LARGEST: usize = 16 << 20;
/// Parcels that may wait for a link; at the bound the link ends, and what it lacked comes by snapshot.
const WAITING: usize = 1024;
/// A link is up, and its first parcel there, within this.
const CONNECT: Duration = Duration::from_millis(400);
/// A parcel that the other end doesn't take for so long ends the link.
const UNTAKEN: Duration = Duration::from_millis(1500);
/// Links that others may make.
const LINKS: usize = 1024;
/// Of these, those on which nobody has said yet who they are.
const GREETING: u64 = 64;
/// The first parcel of a link is no larger.
const HELLO: usize = 64;

/// What a sidecar tells all others of itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Body {
    /// Port of its gate; 0: it has none.
    pub inbound: u16,
    /// Port where it takes control calls; 0: none.
    pub control: u16,
    /// It stops: nothing more is to be sent there.
    pub leaving: bool,
    /// Of a machine with a disk: those that hold the ledger, as it knows.
    pub roster: Vec<u32>,
    /// The upstream beside it.
    pub station: Option<Station>,
}

/// An upstream, as the sidecar beside it knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Station {
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

#[derive(Encode, Decode)]
enum Parcel {
    Hello {
        version: u16,
        node: u32,
    },
    Round(Letter<Body>),
    /// Under which version of the roster, and what.
    Store(u64, StoreMessage<Leaf, Order>),
    /// What time of day is it? Between holders, where there are members.
    Time {
        asked: i64,
    },
    /// It is this; `stepped`: that clock was set lately.
    Told {
        asked: i64,
        wall: i64,
        stepped: bool,
    },
}

struct Link {
    number: u64,
    out: mpsc::Sender<Rc<Vec<u8>>>,
}

/// What goes between sidecars, and who decides about it.
pub struct Carriers {
    me: u32,
    port: u16,
    rounds: RefCell<Rounds<Body>>,
    ledger: Option<RefCell<ControlStore<Leaf>>>,
    writes: Option<Writes>,
    /// Why the disk takes no writes.
    full: RefCell<Option<String>>,
    asked: RefCell<BTreeMap<u64, oneshot::Sender<Verdict<Leaf>>>>,
    links: RefCell<BTreeMap<u32, Vec<Link>>>,
    numbers: Cell<u64>,
    udp: UdpSocket,
    changed: Notify,
}

/// A revision of the control store, as pages carry it.
fn told(revision: silvercross_control_store::Revision) -> Revision {
    (revision.epoch.round, u64::from(revision.epoch.owner), revision.seq)
}

fn ip(node: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(node))
}

impl Carriers {
    /// On this machine, with its own deciders.
    pub fn new(
        me: Ipv4Addr,
        port: u16,
        rounds: Rounds<Body>,
        ledger: Option<(ControlStore<Leaf>, Writes)>,
        udp: UdpSocket,
    ) -> Self {
        let (ledger, writes) = match ledger {
            Some((l, w)) => (Some(RefCell::new(l)), Some(w)),
            None => (None, None),
        };
        Carriers {
            me: me.to_bits(),
            port,
            rounds: RefCell::new(rounds),
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
    pub fn rounds<R>(&self, look: impl FnOnce(&Rounds<Body>) -> R) -> R {
        look(&self.rounds.borrow())
    }

    /// Look at the ledger, where this machine holds one.
    pub fn control_store<R>(&self, look: impl FnOnce(&ControlStore<Leaf>) -> R) -> Option<R> {
        self.ledger.as_ref().map(|l| look(&l.borrow()))
    }

    /// Tell the others of this sidecar.
    pub fn tell(&self, post: &Rc<Post>, body: Body) {
        self.rounds.borrow_mut().tell(post.now(), body);
        self.pump(post);
    }

    /// Other seeds than at the start.
    pub fn seeds(&self, post: &Rc<Post>, seeds: &[u32]) {
        let seeds: Vec<Node> = seeds.iter().map(|s| Node(*s)).collect();
        self.rounds.borrow_mut().seeds(post.now(), &seeds);
        self.pump(post);
    }

    /// This sidecar goes.
    pub fn leave(&self, post: &Rc<Post>) {
        self.rounds.borrow_mut().leave(post.now());
        self.pump(post);
    }

    /// This process is told to stop: its replica is to be replaced while it is still there.
    pub fn leave_replicas(&self, post: &Rc<Post>) {
        if let Some(l) = &self.ledger {
            l.borrow_mut().leave(post.now());
        }
        self.pump(post);
    }

    /// Whether this process, which stops, is still wanted as a replica.
    pub fn needed(&self) -> bool {
        self.control_store(|l| l.needed()).unwrap_or(false)
    }

    /// Ask the other holders for their time of day.
    pub fn ask_time(&self, post: &Rc<Post>) {
        let holders = self.control_store(|l| l.replica_set()).unwrap_or_default();
        for holder in holders.into_iter().filter(|h| h.0 != self.me) {
            self.send(post, holder.0, &Parcel::Time { asked: post.now() });
        }
    }

    /// An operator's call; `None` where this machine holds no ledger.
    pub async fn ask(&self, post: &Rc<Post>, key: &str, order: Option<Order>) -> Option<Verdict<Leaf>> {
        let ledger = self.ledger.as_ref().filter(|l| !l.borrow().outside() && !post.is_outsider())?;
        let asked = self.begin(post, ledger, key, order);
        self.pump(post);
        Some(self.answer(asked).await)
    }

    /// Hand a call or read to the control store; it begins with the next `pump`.
    fn begin(
        &self,
        post: &Post,
        store: &RefCell<ControlStore<Leaf>>,
        key: &str,
        order: Option<Order>,
    ) -> (u64, oneshot::Receiver<Verdict<Leaf>>) {
        let token = self.numbers.get();
        self.numbers.set(token + 1);
        let (to, answer) = oneshot::channel();
        self.asked.borrow_mut().insert(token, to);
        match order {
            Some(order) => store.borrow_mut().call(post.now(), token, key, order),
            None => store.borrow_mut().read(post.now(), token, key),
        }
        (token, answer)
    }

    async fn answer(&self, (token, answer): (u64, oneshot::Receiver<Verdict<Leaf>>)) -> Verdict<Leaf> {
        let said = timeout(Duration::from_secs(2), answer).await;
        self.asked.borrow_mut().remove(&token);
        said.ok().and_then(Result::ok).unwrap_or(Verdict::Unsettled)
    }

    /// The revisions of all keys that were ever written, each read by a majority; `None` where that can't be had now. A
    /// machine whose store is no replica reads at those that are.
    async fn confirm(&self, post: &Rc<Post>) -> Option<Vec<(String, Revision)>> {
        let store = self.ledger.as_ref()?;
        let known = store.borrow().state().into_iter().map(|state| state.key);
        let zones = post.boot.zones.iter().map(|zone| format!("{EVACUATION}{zone}"));
        let mut keys: BTreeSet<String> = known.chain(zones).chain([CONFIGURATION.to_string()]).collect();
        let mut revisions = Vec::new();
        let mut read = BTreeSet::new();
        // The configuration may name keys that this machine has never heard of.
        while !keys.is_empty() {
            let asked: Vec<_> = keys.iter().map(|key| self.begin(post, store, key, None)).collect();
            self.pump(post);
            let mut named = BTreeSet::new();
            for (key, asked) in keys.iter().zip(asked) {
                let Verdict::Value { revision, value } = self.answer(asked).await else { return None };
                if value != Leaf::Blank {
                    revisions.push((key.clone(), told(revision)));
                }
                named.extend(value.names());
            }
            read.append(&mut keys);
            keys = named.difference(&read).cloned().collect();
        }
        Some(revisions)
    }

    /// Do what the deciders want done, until they want nothing more.
    fn pump(&self, post: &Rc<Post>) {
        loop {
            let effects = self.rounds.borrow_mut().effects();
            let deeds = self.ledger.as_ref().map(|l| l.borrow_mut().effects()).unwrap_or_default();
            if effects.is_empty() && deeds.is_empty() {
                break;
            }
            for effect in effects {
                self.effect(post, effect);
            }
            for deed in deeds {
                self.deed(post, deed);
            }
        }
        post.look_ready();
        self.changed.notify_one();
    }

    fn effect(&self, post: &Rc<Post>, effect: Effect<Body>) {
        match effect {
            Effect::Link { to } => self.link(post, to.0),
            Effect::Unlink { to } => {
                self.links.borrow_mut().remove(&to.0);
                self.down(post, to.0);
            }
            Effect::Send { to, letter } => self.send(post, to.0, &Parcel::Round(letter)),
            Effect::Datagram { to, datagram } => {
                let bytes = bitcode::encode(&datagram);
                let _ = self.udp.try_send_to(&bytes, SocketAddr::new(ip(to.0), self.port));
                post.counts.datagrams.set(post.counts.datagrams.get() + 1);
            }
            Effect::Try { node } => {
                let (post, to) = (post.clone(), SocketAddr::new(ip(node.0), self.port));
                let from = ip(self.me);
                tokio::task::spawn_local(async move {
                    let ok = hop::connect(Some(from), to, CONNECT).await.is_some();
                    post.carriers.rounds.borrow_mut().tried(post.now(), node, ok);
                    post.carriers.pump(&post);
                });
            }
            Effect::ConfirmRevisions { ticket } => {
                let post = post.clone();
                tokio::task::spawn_local(async move {
                    let revisions = post.carriers.confirm(&post).await;
                    post.carriers.rounds.borrow_mut().confirmed(post.now(), ticket, revisions);
                    post.carriers.pump(&post);
                });
            }
            Effect::Record(record) => {
                if let Some(l) = &self.ledger {
                    // It has a disk, knows who the holders are, and is none of them.
                    let told = &record.body;
                    let spare = !told.roster.is_empty() && !told.roster.contains(&record.node.0);
                    let up = record.core && !record.gone && !told.leaving && spare;
                    let node = silvercross_control_store::Node(record.node.0);
                    l.borrow_mut().candidate(post.now(), node, up);
                    if record.core {
                        l.borrow_mut().leaves(post.now(), node, told.leaving);
                    }
                }
                post.record(record);
            }
            Effect::Page { key, revision, bytes } => {
                if let Ok(leaf) = bitcode::decode::<Leaf>(&bytes) {
                    post.page(&key, revision, leaf);
                }
            }
        }
    }

    fn deed(&self, post: &Rc<Post>, deed: StoreEffect<Leaf>) {
        match deed {
            StoreEffect::Send { to, version, message } => {
                self.send(post, to.0, &Parcel::Store(version, message))
            }
            StoreEffect::Store { write, metadata, keys } => {
                if let Some(writes) = &self.writes {
                    let _ = writes.send(Write { number: write, metadata, keys });
                }
            }
            StoreEffect::Answer { token, verdict } => {
                if let Some(to) = self.asked.borrow_mut().remove(&token) {
                    let _ = to.send(verdict);
                }
            }
            StoreEffect::Committed { key, revision, value } => {
                let at = told(revision);
                let bytes = bitcode::encode(&value);
                self.rounds.borrow_mut().post(post.now(), &key, at, bytes);
                post.page(&key, at, value);
            }
        }
    }

    fn send(&self, post: &Rc<Post>, to: u32, parcel: &Parcel) {
        let bytes = framed(parcel);
        post.counts.letters.set(post.counts.letters.get() + 1);
        let full = {
            let links = self.links.borrow();
            let Some(link) = links.get(&to).and_then(|l| l.last()) else { return };
            link.out.try_send(Rc::new(bytes)).is_err()
        };
        if full {
            // It takes nothing: what it lacks it gets by snapshot, on another link.
            self.links.borrow_mut().remove(&to);
            self.down(post, to);
        }
    }

    fn down(&self, post: &Rc<Post>, node: u32) {
        let now = post.now();
        self.rounds.borrow_mut().link_down(now, Node(node));
        if let Some(l) = &self.ledger {
            l.borrow_mut().reachable(now, silvercross_control_store::Node(node), false);
        }
        self.changed.notify_one();
    }

    fn link(&self, post: &Rc<Post>, to: u32) {
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

    /// Let the deciders' time pass, for as long as the process lives.
    pub async fn tick(post: Rc<Post>) {
        let c = &post.carriers;
        loop {
            let now = post.now();
            let mut wake = c.rounds.borrow().wake();
            if let Some(at) = c.ledger.as_ref().and_then(|l| l.borrow().wake()) {
                wake = wake.min(at);
            }
            let span = (wake - now).clamp(0, 1_000_000) as u64;
            tokio::select! {
                _ = tokio::time::sleep(Duration::from_micros(span)) => {
                    let now = post.now();
                    c.rounds.borrow_mut().tick(now);
                    if let Some(l) = &c.ledger {
                        l.borrow_mut().tick(now);
                    }
                    c.pump(&post);
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
    pub async fn synced(post: Rc<Post>, mut told: mpsc::UnboundedReceiver<Told>) -> String {
        let c = &post.carriers;
        while let Some(told) = told.recv().await {
            let Some(l) = &c.ledger else { continue };
            match told {
                Told::Synced(write) => l.borrow_mut().stored(post.now(), write),
                Told::Full(why) => {
                    warn!(post.log, "the disk is full: this machine promises nothing and hands its keys over until there is room";
                        "why" => why.as_str(), "mend" => "free room on the disk of dataDir");
                    *c.full.borrow_mut() = Some(why);
                    l.borrow_mut().room(post.now(), false);
                }
                Told::Room => {
                    info!(post.log, "the disk has room again");
                    *c.full.borrow_mut() = None;
                    l.borrow_mut().room(post.now(), true);
                }
                Told::Failed(why) => return why,
            }
            c.pump(&post);
        }
        "its thread has ended".to_string()
    }

    /// Take datagrams, for as long as the process lives.
    pub async fn datagrams(post: Rc<Post>) {
        let mut room = [0; 2048];
        let c = &post.carriers;
        loop {
            let Ok((n, from)) = c.udp.recv_from(&mut room).await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let IpAddr::V4(from) = from.ip() else { continue };
            match bitcode::decode::<Datagram>(&room[..n]) {
                Ok(datagram) => {
                    c.rounds.borrow_mut().datagram(post.now(), Node(from.to_bits()), datagram);
                    c.pump(&post);
                }
                Err(_) => post.counts.strangers.set(post.counts.strangers.get() + 1),
            }
        }
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
}

fn framed(parcel: &Parcel) -> Vec<u8> {
    let body = bitcode::encode(parcel);
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

async fn parcel(stream: &mut (impl AsyncReadExt + Unpin), most: usize) -> Option<Parcel> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_le_bytes(length) as usize;
    if length > most {
        return None;
    }
    // Room grows with what comes, not with what is announced.
    let mut bytes = Vec::with_capacity(length.min(64 * 1024));
    (&mut *stream).take(length as u64).read_to_end(&mut bytes).await.ok().filter(|n| *n == length)?;
    bitcode::decode(&bytes).ok()
}

/// One link, until it ends.
async fn carry(post: Rc<Post>, stream: TcpStream, to: Option<u32>, greeting: Option<Counted>) {
    let c = &post.carriers;
    let peer = stream.peer_addr().ok().map(|a| a.ip());
    let (read, mut write) = stream.into_split();
    // Many small parcels come at a time: one read for them.
    let mut read = tokio::io::BufReader::with_capacity(8 * 1024, read);
    let hello = framed(&Parcel::Hello { version: VERSION, node: c.me });
    if write.write_all(&hello).await.is_err() {
        return gone(&post, to);
    }
    let first = timeout(CONNECT * 2, parcel(&mut read, HELLO)).await.ok().flatten();
    let Some(Parcel::Hello { version: VERSION, node }) = first else {
        post.counts.strangers.set(post.counts.strangers.get() + 1);
        return gone(&post, to);
    };
    if peer != Some(ip(node)) || to.is_some_and(|to| to != node) {
        post.counts.strangers.set(post.counts.strangers.get() + 1);
        return gone(&post, to);
    }
    drop(greeting);
    let number = c.numbers.get();
    c.numbers.set(number + 1);
    let (out, mut waiting) = mpsc::channel::<Rc<Vec<u8>>>(WAITING);
    c.links.borrow_mut().entry(node).or_default().push(Link { number, out });
    let now = post.now();
    c.rounds.borrow_mut().link_up(now, Node(node));
    if let Some(l) = &c.ledger {
        l.borrow_mut().reachable(now, silvercross_control_store::Node(node), true);
    }
    c.pump(&post);
    let reading = async {
        while let Some(parcel) = parcel(&mut read, LARGEST).await {
            let now = post.now();
            match parcel {
                Parcel::Hello { .. } => break,
                Parcel::Round(letter) => c.rounds.borrow_mut().letter(now, Node(node), letter),
                Parcel::Store(version, message) => {
                    if let Some(l) = &c.ledger {
                        l.borrow_mut().receive(now, silvercross_control_store::Node(node), version, message);
                    }
                }
                Parcel::Time { asked } => {
                    if let Some((wall, stepped)) = post.members.time_told(now) {
                        c.send(&post, node, &Parcel::Told { asked, wall, stepped });
                    }
                }
                Parcel::Told { asked, wall, stepped } => {
                    let holder = silvercross_control_store::Node(node);
                    if c.control_store(|l| l.replica_set().contains(&holder)) == Some(true) {
                        let answered = now;
                        post.members.heard(Voice { node: holder, asked, answered, wall, stepped });
                    }
                }
            }
            c.pump(&post);
        }
    };
    let writing = async {
        while let Some(bytes) = waiting.recv().await {
            let mut all = bytes.to_vec();
            // What has gathered goes in one write.
            while let Ok(more) = waiting.try_recv() {
                all.extend_from_slice(&more);
            }
            if !matches!(timeout(UNTAKEN, write.write_all(&all)).await, Ok(Ok(()))) {
                break;
            }
        }
    };
    tokio::select! {
        _ = reading => {}
        _ = writing => {}
    }
    let last = {
        let mut links = c.links.borrow_mut();
        let Some(list) = links.get_mut(&node) else { return };
        list.retain(|l| l.number != number);
        let last = list.is_empty();
        if last {
            links.remove(&node);
        }
        last
    };
    if last {
        c.down(&post, node);
        c.pump(&post);
    }
}

fn gone(post: &Rc<Post>, to: Option<u32>) {
    if let Some(to) = to.filter(|to| !post.carriers.links.borrow().contains_key(to)) {
        post.carriers.down(post, to);
        post.carriers.pump(post);
    }
}

#[cfg(test)]
mod alone;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::trial::{self, Talk, Terms};

    #[test]
    fn links_that_nobody_greets_on_are_bounded_and_end() {
        trial::run(async {
            let (_, nobody) = trial::station().await;
            let sidecar = trial::sidecar(1, nobody, Terms::default()).await;
            let (listener, at) = trial::station().await;
            tokio::task::spawn_local(Carriers::listen(sidecar.post.clone(), listener));
            let counts = &sidecar.post.counts;
            let mut open = Vec::new();
            for _ in 0..GREETING {
                open.push(Talk::to(at).await);
            }
            assert_eq!(Talk::to(at).await.more().await, 0);
            assert_eq!((counts.greeting.get(), counts.links_shut_out.get()), (GREETING, 1));
            // A first word that is too large to be one ends its link at once.
            open[0].say(&(HELLO as u32 + 1).to_le_bytes()).await;
            while open[0].more().await > 0 {}
            assert_eq!((counts.greeting.get(), counts.strangers.get()), (GREETING - 1, 1));
        });
    }
}
