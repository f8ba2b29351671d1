//! Watchers: each node listens for the few before it on the ring.
use crate::membership::Membership;
use crate::{Datagram, Effect, Micros, Node, NodeRecord, RecordVersion};
use crate::{HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, SUSPECT_REPLY_TIMEOUT, WATCHER_COUNT};
use std::fmt::Debug;

/// What a watcher that is asked may have heard more than the one that asks.
const ASK_SLACK: Micros = 300_000;
/// A try that nothing was heard of is begun anew after so long.
const TRY_WAIT: Micros = 3_000_000;

/// What is heard of a watched node.
pub(crate) struct Watch {
    since: Micros,
    heard: Option<Micros>,
    accused: Option<Accusal>,
}

struct Accusal {
    until: Micros,
    asked: usize,
    agreed: usize,
    trying: bool,
}

impl Watch {
    pub fn new(now: Micros) -> Self {
        Watch { since: now, heard: None, accused: None }
    }

    fn last(&self) -> Micros {
        self.heard.map_or(self.since, |heard| heard.max(self.since))
    }

    fn silent(&self, now: Micros) -> bool {
        now - self.last() > HEARTBEAT_TIMEOUT
    }
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    fn send_datagram(&mut self, to: Node, datagram: Datagram) {
        self.metrics.datagrams_sent += 1;
        self.out.push(Effect::SendDatagram { to, datagram });
    }

    fn ring(&mut self, now: Micros) {
        if !std::mem::take(&mut self.ring_moved) {
            return;
        }
        self.successors = self.places.neighbours(self.start.local_node, WATCHER_COUNT, true);
        let watched = self.places.neighbours(self.start.local_node, WATCHER_COUNT, false);
        self.watches.retain(|node, _| watched.contains(node));
        for node in watched {
            self.watches.entry(node).or_insert_with(|| Watch::new(now));
        }
    }

    /// Whether it is more likely that this node hears nobody than that all others are gone.
    fn cut_off(&self, now: Micros) -> bool {
        let silent = self.watches.values().filter(|watch| watch.silent(now)).count();
        let no_link = if self.start.is_control { self.links.is_empty() } else { self.parent.is_none() };
        let alone = self.places.count() <= 1;
        (silent >= 2 && silent == self.watches.len()) || (no_link && !alone)
    }

    pub(crate) fn tend_watches(&mut self, now: Micros) {
        self.tended = now;
        self.ring(now);
        let Some(own) = self.own().filter(|own| !own.gone).map(NodeRecord::version) else {
            self.beat_at = now + HEARTBEAT_INTERVAL;
            self.watches.clear();
            return;
        };
        if now >= self.beat_at {
            // Late beats don't pile up.
            self.beat_at = (self.beat_at + HEARTBEAT_INTERVAL).max(now + HEARTBEAT_INTERVAL / 2);
            for to in self.successors.clone() {
                self.send_datagram(
                    to,
                    Datagram::Heartbeat { incarnation: own.incarnation, sequence: own.sequence },
                );
            }
        }
        if self.watches.values().any(|watch| watch.silent(now)) && !self.cut_off(now) {
            let silent = self.watches.iter().filter(|(_, watch)| watch.silent(now));
            let silent: Vec<Node> = silent.map(|(node, _)| *node).collect();
            silent.into_iter().for_each(|node| self.accuse(now, node));
        }
    }

    /// Asks the other watchers; when their time is over, decides or tries.
    fn accuse(&mut self, now: Micros, node: Node) {
        let Some(incarnation) = self.table.version(node).map(|version| version.incarnation) else { return };
        let local_node = self.start.local_node;
        let Some(watch) = self.watches.get_mut(&node) else { return };
        match &mut watch.accused {
            None => {
                let others = self.places.neighbours(node, WATCHER_COUNT, true);
                let others: Vec<Node> = others.into_iter().filter(|other| *other != local_node).collect();
                watch.accused = Some(Accusal {
                    until: now + SUSPECT_REPLY_TIMEOUT,
                    asked: others.len(),
                    agreed: 0,
                    trying: false,
                });
                self.metrics.nodes_suspected += 1;
                others
                    .into_iter()
                    .for_each(|to| self.send_datagram(to, Datagram::Suspect { about: node, incarnation }));
            }
            Some(accusal) if now < accusal.until => (),
            Some(accusal) if accusal.agreed > 0 => self.found_gone(now, node),
            Some(accusal) if accusal.trying => watch.accused = None,
            Some(accusal) => {
                accusal.trying = true;
                accusal.until = now + TRY_WAIT;
                self.out.push(Effect::Probe { node });
            }
        }
    }

    fn found_gone(&mut self, now: Micros, node: Node) {
        self.watches.remove(&node);
        let Some(record) = self.record(node).filter(|record| !record.gone) else { return };
        let record = NodeRecord { gone: true, ..record.clone() };
        self.metrics.nodes_declared_gone += 1;
        if self.put(now, record.clone()) {
            self.out.push(Effect::RecordChanged(record));
        }
    }

    /// It was last heard at this moment, here or by another watcher.
    fn heard(&mut self, at: Micros, node: Node) {
        if let Some(watch) = self.watches.get_mut(&node) {
            watch.heard = watch.heard.max(Some(at));
            watch.accused = None;
        }
    }

    pub(crate) fn watch_datagram(&mut self, now: Micros, from: Node, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat { incarnation, sequence } => {
                self.heard(now, from);
                let known = self.table.version(from).filter(|known| known.gone);
                if let Some(known) =
                    known.filter(|known| (known.incarnation, known.sequence) >= (incarnation, sequence))
                {
                    self.send_datagram(
                        from,
                        Datagram::DeclaredDead { incarnation: known.incarnation, sequence: known.sequence },
                    );
                }
            }
            Datagram::DeclaredDead { incarnation, sequence } => {
                self.version_told(
                    now,
                    RecordVersion { node: self.start.local_node, incarnation, sequence, gone: true },
                );
            }
            Datagram::Suspect { about, incarnation } => self.asked(now, from, about, incarnation),
            Datagram::SuspectConfirmed { about, incarnation } => {
                let same = self.table.version(about).is_some_and(|known| known.incarnation == incarnation);
                let accused = self.watches.get_mut(&about).and_then(|watch| watch.accused.as_mut());
                let Some(accusal) = accused.filter(|_| same) else { return };
                accusal.agreed += 1;
                if accusal.agreed >= accusal.asked && !self.cut_off(now) {
                    self.found_gone(now, about);
                }
            }
            Datagram::SuspectAlive { about, incarnation, elapsed } => {
                if self.table.version(about).is_some_and(|known| known.incarnation <= incarnation) {
                    self.heard(now - elapsed.clamp(0, HEARTBEAT_TIMEOUT), about);
                }
            }
        }
    }

    fn asked(&mut self, now: Micros, from: Node, about: Node, incarnation: u64) {
        let Some(known) = self.table.version(about) else { return };
        if about == self.start.local_node {
            return self.send_datagram(from, Datagram::SuspectAlive { about, incarnation, elapsed: 0 });
        }
        if known.incarnation == incarnation && known.gone {
            return self.send_datagram(from, Datagram::SuspectConfirmed { about, incarnation });
        }
        let Some(watch) = self.watches.get(&about) else { return };
        let quiet = now - watch.last() > HEARTBEAT_TIMEOUT - ASK_SLACK;
        if known.incarnation > incarnation {
            self.send_datagram(from, Datagram::SuspectAlive { about, incarnation, elapsed: 0 });
        } else if let Some(heard) = watch.heard.filter(|heard| now - heard <= HEARTBEAT_TIMEOUT - ASK_SLACK) {
            self.send_datagram(from, Datagram::SuspectAlive { about, incarnation, elapsed: now - heard });
        } else if quiet && !self.cut_off(now) {
            self.send_datagram(from, Datagram::SuspectConfirmed { about, incarnation });
        }
    }

    pub(crate) fn watch_tried(&mut self, now: Micros, node: Node, ok: bool) {
        let trying = |watch: &Watch| watch.accused.as_ref().is_some_and(|accusal| accusal.trying);
        if !self.watches.get(&node).is_some_and(trying) {
            return;
        }
        if ok {
            self.heard(now, node);
        } else if !self.cut_off(now) {
            self.found_gone(now, node);
        }
    }

    pub(crate) fn watches_due(&self) -> Micros {
        let due = self.watches.values().map(|watch| match &watch.accused {
            Some(accusal) => accusal.until,
            None => watch.last() + HEARTBEAT_TIMEOUT + 1,
        });
        let soonest = due.min().unwrap_or(Micros::MAX);
        // While this node may be cut off it looks again with the next beat.
        if soonest <= self.last {
            self.beat_at
        } else {
            soonest
        }
    }
}
