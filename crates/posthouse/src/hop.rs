//! Connections to gates and to the upstream on this machine, kept for more than one request, and one exchange on one of them.
//! Says how far a failed exchange had come; decides nothing.
use crate::wire::{Answer, Line, Wrong};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Instant};

/// Idle connections kept to one address; the longest idle gives way.
const KEPT: usize = 16;
/// An idle one is not used again after this, or after half of what the other end states.
const IDLE: Duration = Duration::from_secs(8);
/// Bytes that the other end has not taken for so long end a connection: a cut says nothing.
const UNTAKEN: Duration = Duration::from_millis(1500);
/// A connection on which nothing comes is asked so often whether the other end still stands.
const ALIVE: Duration = Duration::from_secs(1);

struct Idle {
    line: Line,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Came {
    /// A whole answer.
    Answer(Box<Answer>),
    /// No connection, or the request was not written whole: it has not run.
    NotConnected,
    /// It may have run.
    Broken,
}

impl Pool {
    fn take(&self, to: SocketAddr) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&to)?;
        let now = Instant::now();
        while let Some(mut one) = list.pop() {
            if one.until > now && one.line.is_fresh() {
                return Some(one.line);
            }
        }
        None
    }

    fn give(&self, to: SocketAddr, line: Line, stated: Option<u64>) {
        let span = stated.map_or(IDLE, |s| IDLE.min(Duration::from_millis(s * 500)));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(to).or_default();
        if list.len() >= KEPT {
            list.remove(0);
        }
        list.push(Idle { line, until: Instant::now() + span });
    }

    /// Close what is idle to an address.
    pub fn close(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }

    /// Close what has been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.until > now);
            !list.is_empty()
        });
    }

    /// How many are idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Connect within `limit`, unless one is idle. `from`: the address of this machine. Says whether it is new.
    pub async fn line(
        &self,
        from: Option<std::net::IpAddr>,
        to: SocketAddr,
        limit: Duration,
    ) -> Option<(Line, bool)> {
        if let Some(line) = self.take(to) {
            return Some((line, false));
        }
        Some((Line::new(connect(from, to, limit).await?), true))
    }
}

/// A connection that notices when its other end is gone without a word.
pub async fn connect(from: Option<std::net::IpAddr>, to: SocketAddr, limit: Duration) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if let Some(from) = from.filter(|f| f.is_loopback()) {
        // On loopback the machines of a small mesh are told apart by their addresses alone.
        socket.bind(SocketAddr::new(from, 0)).ok()?;
    }
    let stream = timeout(limit, socket.connect(to)).await.ok()?.ok()?;
    guard(&stream);
    Some(stream)
}

/// Have the system notice when the other end is gone without a word.
pub fn guard(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNTAKEN));
    let alive = socket2::TcpKeepalive::new().with_time(ALIVE).with_interval(ALIVE).with_retries(2);
    let _ = socket.set_tcp_keepalive(&alive);
}

/// One request and its answer on a connection. `written` is called once the whole request is with the system.
pub async fn exchange(
    pool: &Pool,
    to: SocketAddr,
    mut line: Line,
    request: &[u8],
    id: &str,
    bodiless: bool,
    most: usize,
) -> Came {
    if line.write(request).await.is_err() {
        return Came::NotConnected;
    }
    match line.answer(id, bodiless, most).await {
        Ok(answer) => {
            if answer.keep_alive && !line.has_surplus() {
                pool.give(to, line, answer.idle);
            }
            Came::Answer(Box::new(answer))
        }
        Err(Wrong::Closed | Wrong::Broken | Wrong::Bad(_) | Wrong::Late) => Came::Broken,
    }
}

/// Ask an upstream for its health: its life, and how long it is still cold in microseconds; `None` unless it is well.
pub async fn health(pool: &Pool, to: SocketAddr, path: &str) -> Option<(String, i64)> {
    let limit = Duration::from_millis(300);
    let (line, _) = pool.line(None, to, limit).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n");
    match timeout(limit, exchange(pool, to, line, request.as_bytes(), "", false, 64 * 1024)).await {
        Ok(Came::Answer(a)) if a.status == 200 => Some((a.station?, a.cold.unwrap_or(0))),
        _ => None,
    }
}
