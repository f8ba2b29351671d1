//! Idle connections by address, and the incarnations of the gates at these addresses.
use super::connect::connect;
use crate::wire::{Connection, PeerKind};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections to one address; the longest idle gives way.
const MAX_IDLE_PER_ADDRESS: usize = 128;
/// An idle connection is not reused after this, or after half of what the other end states.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Incarnations remembered; beyond it all are forgotten.
const MAX_GATE_INCARNATIONS: usize = 4096;

struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    /// As last stated by each gate's process; at most [`MAX_GATE_INCARNATIONS`].
    gate_incarnations: RefCell<BTreeMap<SocketAddr, u64>>,
    /// Each list in the order of return, so its first has been idle for longest.
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    max_idle: Cell<usize>,
}

impl ConnectionPool {
    /// The incarnation of the gate's process at an address, as last stated.
    pub(crate) fn gate_incarnation(&self, address: SocketAddr) -> Option<u64> {
        self.gate_incarnations.borrow().get(&address).copied()
    }

    /// A gate has stated its incarnation.
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

    /// Return a connection whose exchange is complete. `stated_idle_timeout_seconds`: after how long idle the other end
    /// closes it, if it says so.
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
        // Idle connections leave descriptors for those in use.
        let mut count: usize = idle.values().map(Vec::len).sum();
        while count > self.max_idle.get() {
            let lists = idle.values_mut().filter(|list| !list.is_empty());
            let Some(oldest) = lists.min_by_key(|list| list[0].usable_until) else { break };
            oldest.remove(0);
            count -= 1;
        }
    }

    /// Keep at most this many idle connections; the longest idle gives way.
    pub(crate) fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.set(max_idle);
    }

    /// Close what is idle to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Close what has been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|entry| entry.usable_until > now);
            !list.is_empty()
        });
    }

    /// How many connections are idle.
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// An idle connection to an address, or a new one that is connected within `connect_timeout`. `from`: the address of
    /// this machine.
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
        Ok(Connection::new(connect(from, to, connect_timeout).await?, peer))
    }
}
