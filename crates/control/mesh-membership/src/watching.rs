//! Failure detection: each node sends heartbeats to the next few nodes on the ring and monitors the few
//! before it. As in SWIM a silent node is suspected first; it is declared gone only if another watcher
//! confirms or a probe fails.
use crate::datagram::Datagram;
use crate::effect::Effect;
use crate::limits::WATCHER_COUNT;
use crate::membership::Membership;
use crate::node::Node;
use crate::placement::Direction;
use crate::record::{NodeRecord, RecordVersion};
use crate::timing::{HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, SUSPECT_REPLY_TIMEOUT};
use crate::watch::{Suspicion, Watch};
use silvercross_time::{Duration, Instant};
use std::fmt::Debug;

/// A queried watcher considers the suspect silent this much earlier than the querying one, since it may
/// have received the last heartbeat later.
const SUSPECT_REPLY_SLACK: Duration = Duration::from_millis(300);
/// After this long a probe without an outcome is abandoned, and the node is suspected anew.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

impl<T: Clone + PartialEq + Debug> Membership<T> {
    fn send_datagram(&mut self, to: Node, datagram: Datagram) {
        self.metrics.datagrams_sent += 1;
        self.effects.push(Effect::SendDatagram { to, datagram });
    }

    /// Lists watchers and monitored nodes anew if nodes have come or gone.
    fn update_ring(&mut self, now: Instant) {
        if !std::mem::take(&mut self.watches.ring_changed) {
            return;
        }
        let neighbours =
            |direction| self.placement.ring_neighbours(self.config.local_node, WATCHER_COUNT, direction);
        let (watchers, watched) = (neighbours(Direction::Successors), neighbours(Direction::Predecessors));
        self.watches.watchers = watchers;
        self.watches.watched.retain(|node, _| watched.contains(node));
        for node in watched {
            self.watches.watched.entry(node).or_insert_with(|| Watch::new(now));
        }
    }

    /// Whether this node is more likely isolated itself than all the others are gone.
    fn is_likely_isolated(&self, now: Instant) -> bool {
        let watched = &self.watches.watched;
        let silent = watched.values().filter(|watch| watch.is_silent(now)).count();
        let no_link =
            if self.config.is_control { self.links.up.is_empty() } else { self.links.parent.is_none() };
        let alone = self.placement.count() <= 1;
        (silent >= 2 && silent == watched.len()) || (no_link && !alone)
    }

    /// Sends heartbeats, and suspects silent nodes.
    pub(crate) fn maintain_watches(&mut self, now: Instant) {
        self.update_ring(now);
        let Some(own) = self.own_record().filter(|own| !own.gone).map(NodeRecord::version) else {
            self.watches.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.watches.watched.clear();
            return;
        };
        if now >= self.watches.next_heartbeat_at {
            // Limits the catch-up after a delay, so that missed heartbeats are not sent in a burst.
            self.watches.next_heartbeat_at =
                (self.watches.next_heartbeat_at + HEARTBEAT_INTERVAL).max(now + HEARTBEAT_INTERVAL / 2);
            let heartbeat = Datagram::Heartbeat { incarnation: own.incarnation, sequence: own.sequence };
            for to in self.watches.watchers.clone() {
                self.send_datagram(to, heartbeat.clone());
            }
        }
        let silent = self.watches.watched.iter().filter(|(_, watch)| watch.is_silent(now));
        let silent: Vec<Node> = silent.map(|(node, _)| *node).collect();
        if !silent.is_empty() && !self.is_likely_isolated(now) {
            silent.into_iter().for_each(|node| self.suspect(now, node));
        }
    }

    /// Queries the other watchers about a silent node; once their time is over, declares it gone or probes
    /// it.
    fn suspect(&mut self, now: Instant, node: Node) {
        let Some(incarnation) = self.table.version(node).map(|version| version.incarnation) else { return };
        let Some(watch) = self.watches.watched.get_mut(&node) else { return };
        match &mut watch.suspicion {
            None => self.start_suspicion(now, node, incarnation),
            Some(suspicion) if now < suspicion.deadline => (),
            Some(suspicion) if suspicion.confirmations > 0 => self.declare_gone(now, node),
            Some(suspicion) if suspicion.probing => watch.suspicion = None,
            Some(suspicion) => {
                suspicion.probing = true;
                suspicion.deadline = now + PROBE_TIMEOUT;
                self.effects.push(Effect::Probe { node });
            }
        }
    }

    /// Queries the other watchers of a silent node.
    fn start_suspicion(&mut self, now: Instant, suspect: Node, incarnation: u64) {
        let mut others = self.placement.ring_neighbours(suspect, WATCHER_COUNT, Direction::Successors);
        others.retain(|other| *other != self.config.local_node);
        let deadline = now + SUSPECT_REPLY_TIMEOUT;
        let suspicion = Suspicion { deadline, queried: others.len(), confirmations: 0, probing: false };
        if let Some(watch) = self.watches.watched.get_mut(&suspect) {
            watch.suspicion = Some(suspicion);
        }
        self.metrics.nodes_suspected += 1;
        for to in others {
            self.send_datagram(to, Datagram::Suspect { suspect, incarnation });
        }
    }

    fn declare_gone(&mut self, now: Instant, node: Node) {
        self.watches.watched.remove(&node);
        let Some(record) = self.record(node).filter(|record| !record.gone) else { return };
        let record = NodeRecord { gone: true, ..record.clone() };
        self.metrics.nodes_declared_gone += 1;
        if self.put(now, record.clone()) {
            self.effects.push(Effect::RecordChanged(record));
        }
    }

    pub(crate) fn handle_datagram(&mut self, now: Instant, from: Node, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat { incarnation, sequence } => {
                self.receive_heartbeat(now, from, incarnation, sequence);
            }
            Datagram::DeclaredDead { incarnation, sequence } => {
                let node = self.config.local_node;
                let version = RecordVersion { node, incarnation, sequence, gone: true };
                self.receive_own_version(now, version);
            }
            Datagram::Suspect { suspect, incarnation } => {
                self.answer_suspect_query(now, from, suspect, incarnation);
            }
            Datagram::SuspectConfirmed { suspect, incarnation } => {
                self.receive_confirmation(now, suspect, incarnation);
            }
            Datagram::SuspectAlive { suspect, incarnation, elapsed } => {
                if self.table.version(suspect).is_some_and(|known| known.incarnation <= incarnation) {
                    let heard_at = now - elapsed.clamp(Duration::ZERO, HEARTBEAT_TIMEOUT);
                    self.watches.heard(heard_at, suspect);
                }
            }
        }
    }

    /// Handles a heartbeat. A sender recorded as gone is notified, so that it can refute that.
    fn receive_heartbeat(&mut self, now: Instant, from: Node, incarnation: u64, sequence: u64) {
        self.watches.heard(now, from);
        let Some(known) = self.table.version(from).filter(|known| known.gone) else { return };
        if (known.incarnation, known.sequence) >= (incarnation, sequence) {
            let (incarnation, sequence) = (known.incarnation, known.sequence);
            self.send_datagram(from, Datagram::DeclaredDead { incarnation, sequence });
        }
    }

    /// Handles a confirmation that another watcher hasn't heard the suspect either.
    fn receive_confirmation(&mut self, now: Instant, suspect: Node, incarnation: u64) {
        let known = self.table.version(suspect);
        if known.is_none_or(|known| known.incarnation != incarnation) {
            return;
        }
        let watch = self.watches.watched.get_mut(&suspect);
        let Some(suspicion) = watch.and_then(|watch| watch.suspicion.as_mut()) else { return };
        suspicion.confirmations += 1;
        if suspicion.confirmations >= suspicion.queried && !self.is_likely_isolated(now) {
            self.declare_gone(now, suspect);
        }
    }

    /// Replies to another watcher whether the suspect was heard here.
    fn answer_suspect_query(&mut self, now: Instant, from: Node, suspect: Node, incarnation: u64) {
        let Some(known) = self.table.version(suspect) else { return };
        let alive = |elapsed| Datagram::SuspectAlive { suspect, incarnation, elapsed };
        if suspect == self.config.local_node {
            return self.send_datagram(from, alive(Duration::ZERO));
        }
        if known.incarnation == incarnation && known.gone {
            return self.send_datagram(from, Datagram::SuspectConfirmed { suspect, incarnation });
        }
        let Some(watch) = self.watches.watched.get(&suspect) else { return };
        let latest = HEARTBEAT_TIMEOUT - SUSPECT_REPLY_SLACK;
        let quiet = now - watch.last_activity() > latest;
        if known.incarnation > incarnation {
            self.send_datagram(from, alive(Duration::ZERO));
        } else if let Some(heard_at) = watch.heard_at.filter(|heard_at| now - *heard_at <= latest) {
            self.send_datagram(from, alive(now - heard_at));
        } else if quiet && !self.is_likely_isolated(now) {
            self.send_datagram(from, Datagram::SuspectConfirmed { suspect, incarnation });
        }
    }

    /// Handles the outcome of a probe; ignored if no probe is running.
    pub(crate) fn handle_probe_outcome(&mut self, now: Instant, node: Node, reachable: bool) {
        if !self.watches.watched.get(&node).is_some_and(Watch::is_probed) {
            return;
        }
        if reachable {
            self.watches.heard(now, node);
        } else if !self.is_likely_isolated(now) {
            self.declare_gone(now, node);
        }
    }

    /// When a monitored node next needs attention.
    pub(crate) fn watches_deadline(&self) -> Instant {
        let earliest = self.watches.watched.values().map(Watch::deadline).min().unwrap_or(Instant::MAX);
        // A deadline in the past means that this node may be isolated; it checks again with the next
        // heartbeat.
        if earliest <= self.last_call_at {
            self.watches.next_heartbeat_at
        } else {
            earliest
        }
    }
}
