//! A pool of idle connections by address, and the incarnations of the gates at these addresses.
use super::connect::{allow_slow_reader, connect};
use crate::wire::{Connection, PeerKind};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of idle connections to one address. Beyond it the one that has been idle longest is closed.
const MAX_IDLE_PER_ADDRESS: usize = 128;
/// An idle connection is not reused after this, or after half of the idle timeout that the other end states if that
/// is shorter.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Maximum number of incarnations kept. When it is exceeded, all are cleared.
const MAX_GATE_INCARNATIONS: usize = 4096;

struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// A pool of idle connections by address.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    /// The incarnation last stated by the gate at each address; at most [`MAX_GATE_INCARNATIONS`].
    gate_incarnations: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Each list is in the order of release, so its first connection has been idle longest.
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    max_idle: Cell<usize>,
}

impl ConnectionPool {
    /// Returns the incarnation last stated by the gate at an address.
    pub(crate) fn gate_incarnation(&self, address: SocketAddr) -> Option<u64> {
        self.gate_incarnations.borrow().get(&address).copied()
    }

    /// Records the incarnation stated by a gate.
    pub(super) fn set_gate_incarnation(&self, address: SocketAddr, incarnation: u64) {
        let mut incarnations = self.gate_incarnations.borrow_mut();
        if incarnations.len() >= MAX_GATE_INCARNATIONS && !incarnations.contains_key(&address) {
            incarnations.clear();
        }
        incarnations.insert(address, incarnation);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(entry) = list.pop() {
            if entry.usable_until > now && entry.connection.is_reusable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection whose exchange is complete to the pool. `stated_idle_timeout_seconds` is the idle timeout
    /// of the other end, if it states one.
    pub(super) fn release(
        &self,
        address: SocketAddr,
        connection: Connection,
        stated_idle_timeout_seconds: Option<u64>,
    ) {
        let half = |seconds: u64| Duration::from_millis(seconds.saturating_mul(500));
        let max_idle = stated_idle_timeout_seconds.map_or(MAX_IDLE, |seconds| MAX_IDLE.min(half(seconds)));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        if list.len() >= MAX_IDLE_PER_ADDRESS {
            list.remove(0);
        }
        list.push(IdleConnection { connection, usable_until: Instant::now() + max_idle });
        // Limits the file descriptors that idle connections use, so that enough remain for active ones.
        let mut count: usize = idle.values().map(Vec::len).sum();
        while count > self.max_idle.get() {
            let lists = idle.values_mut().filter(|list| !list.is_empty());
            let Some(oldest) = lists.min_by_key(|list| list[0].usable_until) else { break };
            oldest.remove(0);
            count -= 1;
        }
    }

    /// Sets the maximum number of idle connections. Beyond it the oldest is closed at the next release.
    pub(crate) fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.set(max_idle);
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections that have been idle too long to be reused.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|entry| entry.usable_until > now);
            !list.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Returns an idle connection to an address, or a new one that is established within `connect_timeout`. `from` is
    /// the address of this machine.
    ///
    /// # Errors
    /// Those of [`connect`].
    pub(crate) async fn acquire(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
        connect_timeout: Duration,
        peer: PeerKind,
    ) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(to) {
            return Ok(connection);
        }
        let stream = connect(from, to, connect_timeout).await?;
        if peer != PeerKind::Sidecar {
            allow_slow_reader(&stream);
        }
        Ok(Connection::new(stream, peer))
    }
}
