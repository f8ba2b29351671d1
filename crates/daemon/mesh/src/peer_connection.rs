//! Connections to gates and to the upstream on this machine, kept for more than one request, and one exchange on one of them.
//! Says how far a failed exchange had come; decides nothing.
use crate::body_buffer::{BodyBuffer, BodyReservation};
use crate::wire::{self, Connection, PeerKind, ReadError, Response, Size};
use bytes::Bytes;
use silvercross_net::stream::Decoder;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// Idle connections kept to one address; the longest idle gives way.
const KEPT: usize = 128;
/// An idle one is not used again after this, or after half of what the other end states.
const IDLE: Duration = Duration::from_secs(8);
/// Bytes that the other end has not taken for so long end a connection: a cut says nothing.
const UNTAKEN: Duration = Duration::from_millis(1500);
/// A connection on which nothing comes is asked so often whether the other end still stands.
const ALIVE: Duration = Duration::from_secs(1);
/// An answer that is passed on is whole within this, where nothing else bounds it.
const LONGEST: Duration = Duration::from_secs(600);

/// Lives remembered; beyond it all are forgotten.
const LIVES: usize = 4096;

struct Idle {
    line: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    /// The lives of gates' processes, as last heard; at most [`LIVES`].
    lives: RefCell<BTreeMap<SocketAddr, u64>>,
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    most: Cell<usize>,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// An answer: whole, or so much of it that it can only be passed on.
    Response(Box<Response>),
    /// No connection, or the request was not written whole: it has not run.
    NotConnected,
    /// It may have run.
    Broken,
}

impl ConnectionPool {
    /// The life of the process at an address, as last heard.
    pub fn life(&self, of: SocketAddr) -> Option<u64> {
        self.lives.borrow().get(&of).copied()
    }

    fn take(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&to)?;
        let now = Instant::now();
        while let Some(one) = list.pop() {
            if one.until > now && one.line.is_fresh() {
                return Some(one.line);
            }
        }
        None
    }

    fn give(&self, to: SocketAddr, line: Connection, stated: Option<u64>) {
        let span = stated.map_or(IDLE, |s| IDLE.min(Duration::from_millis(s.saturating_mul(500))));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(to).or_default();
        if list.len() >= KEPT {
            list.remove(0);
        }
        list.push(Idle { line, until: Instant::now() + span });
        // All together they leave room for those at work.
        let mut all: usize = idle.values().map(Vec::len).sum();
        while all > self.most.get() {
            let Some(oldest) = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].until) else {
                break;
            };
            oldest.remove(0);
            all -= 1;
        }
    }

    /// Keep so many idle in all; the longest idle gives way.
    pub fn set_max_idle(&self, most: usize) {
        self.most.set(most);
    }

    /// Close what is idle to an address.
    pub fn close_idle(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }

    /// Close what has been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.until > now);
            !list.is_empty()
        });
    }

    /// How many are idle.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Connect within `limit`, unless one is idle. `from`: the address of this machine.
    pub async fn acquire(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
        limit: Duration,
        end: PeerKind,
    ) -> Option<Connection> {
        if let Some(line) = self.take(to) {
            return Some(line);
        }
        Some(Connection::new(connect(from, to, limit).await?, end))
    }
}

/// A connection that notices when its other end is gone without a word.
pub async fn connect(from: Option<IpAddr>, to: SocketAddr, limit: Duration) -> Option<TcpStream> {
    try_connect(from, to, limit).await.ok()
}

/// The same, with the reason why there is none.
async fn try_connect(from: Option<IpAddr>, to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(from) = from.filter(|f| f.is_loopback()) {
        // On loopback the machines of a small mesh are told apart by their addresses alone.
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = timeout(limit, socket.connect(to)).await.map_err(io::Error::from)??;
    set_liveness_options(&stream);
    Ok(stream)
}

/// What a gate that was asked for an attempt said.
pub enum Told {
    /// An answer, or its own word.
    Response(Box<Response>),
    /// Nobody is there: the process that had it has ended.
    Gone,
    /// Nothing yet.
    Nothing,
}

/// Ask a gate what became of an attempt, on a connection of its own.
pub async fn query_attempt(
    from: IpAddr,
    to: SocketAddr,
    limit: Duration,
    order: Order<'_>,
    share: BodyReservation,
) -> Told {
    let stream = match try_connect(Some(from), to, limit).await {
        Ok(stream) => stream,
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return Told::Gone,
        Err(_) => return Told::Nothing,
    };
    let mut line = Connection::new(stream, PeerKind::Sidecar);
    if line.write(order.bytes).await.is_err() {
        return Told::Nothing;
    }
    match line.answer(order.id, order.bodiless, false, share).await {
        Ok((answer, None)) if order.is_of(&answer) => Told::Response(Box::new(answer)),
        _ => Told::Nothing,
    }
}

/// Have the system notice when the other end is gone without a word.
pub fn set_liveness_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNTAKEN));
    let alive = socket2::TcpKeepalive::new().with_time(ALIVE).with_interval(ALIVE).with_retries(2);
    let _ = socket.set_tcp_keepalive(&alive);
}

/// What is asked on a connection.
pub struct Order<'o> {
    /// Its other end.
    pub to: SocketAddr,
    /// The request's head, and its body if that is here whole.
    pub bytes: &'o [u8],
    /// Its body, if that is still coming.
    pub coming: Option<&'o Rc<BodyBuffer>>,
    /// The body is sent once the other end asks for it.
    pub awaits: bool,
    /// The request's id; empty: it has none, and neither has its answer.
    pub id: &'o str,
    /// A HEAD.
    pub bodiless: bool,
}

impl Order<'_> {
    /// Whether an answer shows that it is to this request, and to no other. A gate that turns a hop away at its door has read no
    /// id; it says so as the first on a new connection.
    fn is_of(&self, answer: &Response) -> bool {
        self.id.is_empty() || answer.id.as_deref() == Some(self.id) || answer.word.is_some()
    }
}

/// One request and its answer on a connection.
pub async fn exchange(
    pool: &ConnectionPool,
    mut line: Connection,
    order: Order<'_>,
    share: BodyReservation,
) -> ExchangeOutcome {
    if line.write(order.bytes).await.is_err() {
        return ExchangeOutcome::NotConnected;
    }
    let Some(body_buffer) = order.coming else {
        return match line.answer(order.id, order.bodiless, false, share).await {
            Ok((answer, rest)) => taken(pool, line, None, &order, answer, rest),
            Err(_) => ExchangeOutcome::Broken,
        };
    };
    let mut room = Some(share);
    if order.awaits {
        let Some(share) = room.take() else { return ExchangeOutcome::Broken };
        match line.answer(order.id, order.bodiless, true, share).await {
            Ok((mut go, None)) if go.status == 100 => room = go.share.take(),
            // Its last word before it took any of the body. What is unsaid on the connection makes it useless.
            Ok((mut answer, rest)) => {
                answer.keep_alive = false;
                return taken(pool, line, None, &order, answer, rest);
            }
            Err(_) => return ExchangeOutcome::Broken,
        }
    }
    let (Some(write), Some(share)) = (line.split(), room) else { return ExchangeOutcome::Broken };
    let mut sending = Sending(tokio::task::spawn_local(send(write, body_buffer.clone())));
    match line.answer(order.id, order.bodiless, false, share).await {
        // Both ways are done with: the connection is whole again.
        Ok((answer, None)) => {
            if let Some(write) = sending.done().await {
                line.join(write);
            }
            taken(pool, line, None, &order, answer, None)
        }
        Ok((answer, rest)) => taken(pool, line, Some(sending), &order, answer, rest),
        Err(_) => ExchangeOutcome::Broken,
    }
}

/// Sends a body that is still coming; the connection's writing half comes back once all of it has gone.
struct Sending(JoinHandle<Option<OwnedWriteHalf>>);

impl Sending {
    /// The writing half, if all has gone.
    async fn done(&mut self) -> Option<OwnedWriteHalf> {
        match self.0.is_finished() {
            true => (&mut self.0).await.ok().flatten(),
            false => None,
        }
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn send(mut write: OwnedWriteHalf, body_buffer: Rc<BodyBuffer>) -> Option<OwnedWriteHalf> {
    let size = body_buffer.size();
    let held = body_buffer.held();
    wire::write_piece(&mut write, &held, size).await.ok()?;
    drop(held);
    if let Some(rest) = &body_buffer.rest {
        while let Some(bytes) = rest.next().await.ok()? {
            body_buffer.let_go();
            wire::write_piece(&mut write, &bytes, size).await.ok()?;
        }
    }
    if size == Size::Chunks {
        write.write_all(wire::LAST_CHUNK).await.ok()?;
    }
    Some(write)
}

fn taken(
    pool: &ConnectionPool,
    line: Connection,
    sending: Option<Sending>,
    order: &Order<'_>,
    mut answer: Response,
    rest: Option<Decoder>,
) -> ExchangeOutcome {
    if !order.is_of(&answer) {
        return ExchangeOutcome::Broken;
    }
    let to = order.to;
    if let Some(life) = answer.life {
        let mut lives = pool.lives.borrow_mut();
        if lives.len() >= LIVES && !lives.contains_key(&to) {
            lives.clear();
        }
        lives.insert(to, life);
    }
    match rest {
        Some(decoder) => {
            let (keep, idle) = (answer.keep_alive, answer.idle);
            let tail =
                StreamedBody { line, decoder, sending, to, keep, idle, until: None, holds: Vec::new() };
            answer.tail = Some(Box::new(tail));
        }
        None if answer.keep_alive && !line.has_surplus() && line.is_joined() => {
            pool.give(to, line, answer.idle);
        }
        None => {}
    }
    ExchangeOutcome::Response(Box::new(answer))
}

/// The rest of an answer that is too large to be held: read as it is passed on.
pub struct StreamedBody {
    line: Connection,
    decoder: Decoder,
    sending: Option<Sending>,
    to: SocketAddr,
    keep: bool,
    idle: Option<u64>,
    /// It is whole by then, or cut off.
    pub until: Option<Instant>,
    /// What ends with it.
    pub holds: Vec<Box<dyn Any>>,
}

impl std::fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Tail({})", self.to)
    }
}

impl StreamedBody {
    async fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        self.line.next(&mut self.decoder).await
    }

    /// Pass it on to its end; `false` if it broke off, on either side, or its time was up.
    pub async fn pass(
        mut self,
        pool: &ConnectionPool,
        to: &mut (impl AsyncWriteExt + Unpin),
        size: Size,
    ) -> bool {
        let until = self.until.unwrap_or_else(|| Instant::now() + LONGEST);
        let all = async {
            while let Some(bytes) = self.next().await.ok()? {
                wire::write_piece(to, &bytes, size).await.ok()?;
            }
            if size == Size::Chunks {
                to.write_all(wire::LAST_CHUNK).await.ok()?;
            }
            Some(())
        };
        if !matches!(timeout_at(until, all).await, Ok(Some(()))) {
            return false;
        }
        if let Some(sending) = &mut self.sending {
            if let Some(write) = sending.done().await {
                self.line.join(write);
            }
        }
        if self.keep && !self.line.has_surplus() && self.line.is_joined() {
            pool.give(self.to, self.line, self.idle);
        }
        true
    }
}

/// Ask an upstream for its health: its life, and how long it is still cold in microseconds; `None` unless it is well.
pub async fn check_health(
    pool: &ConnectionPool,
    to: SocketAddr,
    path: &str,
    share: BodyReservation,
) -> Option<(String, i64)> {
    let limit = Duration::from_millis(300);
    let line = pool.acquire(None, to, limit, PeerKind::External(wire::HEAD)).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n");
    let order = Order { to, bytes: request.as_bytes(), coming: None, awaits: false, id: "", bodiless: false };
    match timeout(limit, exchange(pool, line, order, share)).await {
        Ok(ExchangeOutcome::Response(a)) if a.status == 200 && a.tail.is_none() => {
            Some((a.station?, a.cold.unwrap_or(0)))
        }
        _ => None,
    }
}
