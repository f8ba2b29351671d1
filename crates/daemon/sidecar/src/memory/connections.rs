//! All open connections, which of them stand idle towards upstreams, and how many descriptors they may take.
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
    /// To a far gateway, to hear what it offers.
    Peer(peer::Conn),
}

/// Idle connections kept to one upstream: enough for what is out there at once on a busy day.
const IDLE_EACH: usize = 24;
/// One descriptor in so many is kept for connections that are accepted to be told no.
const TOLD_NO: usize = 8;
/// A connection that has carried nothing for so long since it was opened counts as idle, and gives way first: whoever
/// means to ask does so at once.
const FIRST_USE: Micros = 50_000;
/// Descriptors the process needs besides its connections: standard streams, poller, listener, signal pipe, log.
const RESERVE: usize = 32;

/// The table of connections, with its limits.
pub struct Connections {
    table: Table<Connection>,
    /// To each upstream, the longest idle first.
    idle: BTreeMap<Upstream, Vec<Handle>>,
    most: usize,
    /// Connections from applications.
    pub applications: usize,
}

impl Connections {
    /// For a process that may hold so many descriptors.
    pub fn new(descriptors: usize) -> Self {
        let mut new =
            Connections { table: Table::default(), idle: BTreeMap::new(), most: 0, applications: 0 };
        new.hold(descriptors);
        new
    }

    /// Keep to so many descriptors from now on; what is open beyond them goes as it ends.
    pub fn hold(&mut self, descriptors: usize) {
        self.most = descriptors.saturating_sub(RESERVE).clamp(16, Handle::MAX_ENTRIES);
    }

    /// Whether more than the part for upstreams and discovery is taken.
    pub fn over_outwards(&self) -> bool {
        self.table.len() - self.applications > self.half()
    }

    /// Whether the part for upstreams and discovery is taken.
    pub fn full_outwards(&self) -> bool {
        self.table.len() - self.applications >= self.half()
    }

    /// Past this many, an application's connection is accepted only to be told no: attempts need descriptors too.
    pub fn crowded(&self) -> bool {
        self.applications >= self.half()
    }

    /// Past this many, no more are accepted until one has ended.
    pub fn closed_to_applications(&self) -> bool {
        self.applications >= self.half() + self.most / TOLD_NO
    }

    /// The part for each side. The parts are fixed: were they shared, busy attempts could leave no descriptor to
    /// accept with, and whoever waits in the machine's queue would wait for them.
    fn half(&self) -> usize {
        (self.most - self.most / TOLD_NO) / 2
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Add a connection made from its handle; `None` at the limit.
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

    /// Take a connection out; dropping it closes it.
    pub fn remove(&mut self, h: Handle) -> Option<Connection> {
        let removed = self.table.remove(h)?;
        match &removed {
            Connection::Application(_) => self.applications -= 1,
            Connection::Upstream(c) => {
                if let Some(idle) = self.idle.get_mut(&c.upstream) {
                    idle.retain(|i| *i != h);
                    // Upstreams come and go: an empty list for each that ever was would never end.
                    if idle.is_empty() {
                        self.idle.remove(&c.upstream);
                    }
                }
            }
            Connection::Discovery(_) | Connection::Peer(_) => {}
        }
        Some(removed)
    }

    /// Keep an upstream's connection for another request; `false` if enough are kept already.
    pub fn keep_idle(&mut self, h: Handle, upstream: Upstream) -> bool {
        let idle = self.idle.entry(upstream).or_default();
        let room = idle.len() < IDLE_EACH;
        if room {
            idle.push(h);
        }
        room
    }

    /// The connection to an upstream that was used last, but not since `rested`: what an upstream sends behind an
    /// answer, by mistake, may still be on its way, and would be taken for the answer to the next request.
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

    /// The upstream's connection that has been idle for longest: the first to go when descriptors run out.
    pub fn idle_upstream(&self) -> Option<Handle> {
        let since = |h: &Handle| match self.table.get(*h) {
            Some(Connection::Upstream(c)) => Some((c.since, *h)),
            _ => None,
        };
        self.idle.values().flatten().filter_map(since).min().map(|(_, h)| h)
    }

    /// The application's connections on which no request has been open since then.
    pub fn idle_applications(&self, since: Micros) -> Vec<Handle> {
        let of = |(h, c): (Handle, &Connection)| match c {
            Connection::Application(c) => (c.is_idle() && c.since <= since).then_some(h),
            _ => None,
        };
        self.table.iter().filter_map(of).collect()
    }

    /// The application's connection that has been idle for longest, silent ones before those that were of use. One
    /// that was opened only now is about to be used.
    pub fn idle_application(&self, now: Micros) -> Option<Handle> {
        let spare = |c: &application::Conn| c.is_idle() && (c.used || c.since + FIRST_USE <= now);
        let since = |(h, c): (Handle, &Connection)| match c {
            Connection::Application(c) if spare(c) => Some((c.used, c.since, h)),
            _ => None,
        };
        self.table.iter().filter_map(since).min().map(|(_, _, h)| h)
    }

    /// A connection on which a far gateway is asked for its offer.
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
