//! All open connections, which of those to upstreams are idle, and the limit on descriptors.
use crate::wire::{application, discovery, peer, upstream};
use silvercross_core::interface::Micros;
use silvercross_facade::Upstream;
use silvercross_net::table::{Handle, Table};
use std::collections::BTreeMap;

/// A connection of any kind.
pub enum Connection {
    /// From the application.
    Application(application::Conn),
    /// To an upstream.
    Upstream(upstream::Conn),
    /// To discovery.
    Discovery(discovery::Conn),
    /// To a far gateway, to request its offer.
    Peer(peer::Conn),
}

/// Maximum number of idle connections kept to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 24;
/// One descriptor in this many is reserved for connections that are accepted only to refuse their requests.
const REFUSAL_DIVISOR: usize = 8;
/// A connection that has had no request for this long since it was accepted is closed first when descriptors run out: a
/// client normally sends its first request at once.
const FIRST_USE_TIMEOUT: Micros = 50_000;
/// Descriptors reserved for other uses than connections: standard streams, poller, listener, signal pipe, log.
const RESERVED_DESCRIPTORS: usize = 32;

/// The table of connections and its limits.
pub struct Connections {
    table: Table<Connection>,
    /// Idle connections to each upstream, the longest idle first.
    idle: BTreeMap<Upstream, Vec<Handle>>,
    max_connections: usize,
    /// Number of connections from applications.
    pub applications: usize,
}

impl Connections {
    /// An empty table for a process with this limit on descriptors.
    pub fn new(descriptors: usize) -> Self {
        let mut new = Connections {
            table: Table::default(),
            idle: BTreeMap::new(),
            max_connections: 0,
            applications: 0,
        };
        new.set_descriptor_limit(descriptors);
        new
    }

    /// Changes the limit on descriptors; connections beyond it are not closed here.
    pub fn set_descriptor_limit(&mut self, descriptors: usize) {
        self.max_connections =
            descriptors.saturating_sub(RESERVED_DESCRIPTORS).clamp(16, Handle::MAX_ENTRIES);
    }

    /// Whether the connections that are not from applications exceed their share.
    pub fn over_outwards(&self) -> bool {
        self.table.len() - self.applications > self.share_per_side()
    }

    /// Whether the connections that are not from applications have used up their share.
    pub fn full_outwards(&self) -> bool {
        self.table.len() - self.applications >= self.share_per_side()
    }

    /// Whether a further connection from an application is accepted only to refuse its requests: attempts need descriptors
    /// too.
    pub fn crowded(&self) -> bool {
        self.applications >= self.share_per_side()
    }

    /// Whether no connection from an application is accepted until another has ended.
    pub fn closed_to_applications(&self) -> bool {
        self.applications >= self.share_per_side() + self.max_connections / REFUSAL_DIVISOR
    }

    /// The share of each side. The shares are fixed: otherwise attempts could use all descriptors, and clients in the kernel's
    /// accept queue would have to wait until attempts end.
    fn share_per_side(&self) -> usize {
        (self.max_connections - self.max_connections / REFUSAL_DIVISOR) / 2
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Adds the connection that `make` creates for its handle; `None` if the table is full.
    pub fn insert_with<E>(
        &mut self,
        make: impl FnOnce(Handle) -> Result<Connection, E>,
    ) -> Result<Option<Handle>, E> {
        let mut from_application = false;
        let made = self.table.insert_with(|h| {
            make(h).inspect(|c| from_application = matches!(c, Connection::Application(_)))
        })?;
        self.applications += usize::from(from_application);
        Ok(made)
    }

    /// A connection, unless it has ended.
    pub fn get_mut(&mut self, h: Handle) -> Option<&mut Connection> {
        self.table.get_mut(h)
    }

    /// An application's connection.
    pub fn application(&mut self, h: Handle) -> Option<&mut application::Conn> {
        match self.table.get_mut(h) {
            Some(Connection::Application(c)) => Some(c),
            _ => None,
        }
    }

    /// An upstream's connection.
    pub fn upstream(&mut self, h: Handle) -> Option<&mut upstream::Conn> {
        match self.table.get_mut(h) {
            Some(Connection::Upstream(c)) => Some(c),
            _ => None,
        }
    }

    /// Discovery's connection.
    pub fn discovery(&mut self, h: Handle) -> Option<&mut discovery::Conn> {
        match self.table.get_mut(h) {
            Some(Connection::Discovery(c)) => Some(c),
            _ => None,
        }
    }

    /// Removes a connection; dropping it closes it.
    pub fn remove(&mut self, h: Handle) -> Option<Connection> {
        let removed = self.table.remove(h)?;
        match &removed {
            Connection::Application(_) => self.applications -= 1,
            Connection::Upstream(c) => {
                if let Some(idle) = self.idle.get_mut(&c.upstream) {
                    idle.retain(|i| *i != h);
                    // Upstreams come and go: keeping the empty lists would let the map grow without bound.
                    if idle.is_empty() {
                        self.idle.remove(&c.upstream);
                    }
                }
            }
            Connection::Discovery(_) | Connection::Peer(_) => {}
        }
        Some(removed)
    }

    /// Keeps an upstream's connection for another request; `false` if the maximum is kept already.
    pub fn keep_idle(&mut self, h: Handle, upstream: Upstream) -> bool {
        let idle = self.idle.entry(upstream).or_default();
        let room = idle.len() < MAX_IDLE_PER_UPSTREAM;
        if room {
            idle.push(h);
        }
        room
    }

    /// Takes the most recently used idle connection to an upstream among those idle since `rested` or earlier: bytes that an
    /// upstream sends after a response by mistake may still be in flight and would be taken for the next response.
    pub fn take_idle(&mut self, upstream: Upstream, rested: Micros) -> Option<Handle> {
        let (idle, table) = (self.idle.get_mut(&upstream)?, &self.table);
        let ready = |h: &Handle| matches!(table.get(*h), Some(Connection::Upstream(c)) if c.since <= rested);
        let at = idle.iter().rposition(ready)?;
        let taken = idle.remove(at);
        if idle.is_empty() {
            self.idle.remove(&upstream);
        }
        Some(taken)
    }

    /// All idle connections to an upstream.
    pub fn idle_to(&self, upstream: Upstream) -> Vec<Handle> {
        self.idle.get(&upstream).cloned().unwrap_or_default()
    }

    /// All idle connections to upstreams.
    pub fn all_idle(&self) -> Vec<Handle> {
        self.idle.values().flatten().copied().collect()
    }

    /// The connection to an upstream that has been idle for longest, the first to be closed when descriptors run out.
    pub fn idle_upstream(&self) -> Option<Handle> {
        let since = |h: &Handle| match self.table.get(*h) {
            Some(Connection::Upstream(c)) => Some((c.since, *h)),
            _ => None,
        };
        self.idle.values().flatten().filter_map(since).min().map(|(_, h)| h)
    }

    /// Connections from applications that have been idle since that time or earlier.
    pub fn idle_applications(&self, since: Micros) -> Vec<Handle> {
        let of = |(h, c): (Handle, &Connection)| match c {
            Connection::Application(c) => (c.is_idle() && c.since <= since).then_some(h),
            _ => None,
        };
        self.table.iter().filter_map(of).collect()
    }

    /// The connection from an application that has been idle for longest, those never used before those used. One that was
    /// accepted less than `FIRST_USE_TIMEOUT` ago and is not used yet is left out, as its first request is about to arrive.
    pub fn idle_application(&self, now: Micros) -> Option<Handle> {
        let closable = |c: &application::Conn| c.is_idle() && (c.used || c.since + FIRST_USE_TIMEOUT <= now);
        let since = |(h, c): (Handle, &Connection)| match c {
            Connection::Application(c) if closable(c) => Some((c.used, c.since, h)),
            _ => None,
        };
        self.table.iter().filter_map(since).min().map(|(_, _, h)| h)
    }

    /// A far gateway's connection, on which its offer is requested.
    pub fn peer(&mut self, handle: Handle) -> Option<&mut peer::Conn> {
        match self.table.get_mut(handle) {
            Some(Connection::Peer(c)) => Some(c),
            _ => None,
        }
    }

    /// The handles of all connections to discovery.
    pub fn to_discovery(&self) -> Vec<Handle> {
        let of = |(h, c): (Handle, &Connection)| matches!(c, Connection::Discovery(_)).then_some(h);
        self.table.iter().filter_map(of).collect()
    }

    /// The handles of all connections from applications.
    pub fn from_applications(&self) -> Vec<Handle> {
        let of = |(h, c): (Handle, &Connection)| matches!(c, Connection::Application(_)).then_some(h);
        self.table.iter().filter_map(of).collect()
    }
}
