//! Watchers: each node listens for the few before it on the ring.
use crate::membership::Membership;
use crate::{Datagram, Effect, Micros, Node, Record, Version};
use crate::{ASK_WAIT, BEAT, SILENCE, WATCHERS};
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
        now - self.last() > SILENCE
    }
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    fn send_datagram(&mut self, to: Node, datagram: Datagram) {
        self.figures.datagrams += 1;
        self.out.push(Effect::Datagram { to, datagram });
    }

    fn ring(&mut self, now: Micros) {
        if !std::mem::take(&mut self.ring_moved) {
            return;
        }
        self.successors = self.places.neighbours(self.start.me, WATCHERS, true);
        let watched = self.places.neighbours(self.start.me, WATCHERS, false);
        self.watches.retain(|node, _| watched.contains(node));
        for node in watched {
            self.watches.entry(node).or_insert_with(|| Watch::new(now));
        }
    }

    /// Whether it is more likely that this node hears nobody than that all others are gone.
    fn cut_off(&self, now: Micros) -> bool {
        let silent = self.watches.values().filter(|watch| watch.silent(now)).count();
        let no_link = if self.start.core { self.links.is_empty() } else { self.parent.is_none() };
        let alone = self.places.count() <= 1;
        (silent >= 2 && silent == self.watches.len()) || (no_link && !alone)
    }

    pub(crate) fn tend_watches(&mut self, now: Micros) {
        self.tended = now;
        self.ring(now);
        let Some(own) = self.own().filter(|own| !own.gone).map(Record::version) else {
            self.beat_at = now + BEAT;
            self.watches.clear();
            return;
        };
        if now >= self.beat_at {
            // Late beats don't pile up.
            self.beat_at = (self.beat_at + BEAT).max(now + BEAT / 2);
            for to in self.successors.clone() {
                self.send_datagram(to, Datagram::Beat { life: own.life, seq: own.seq });
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
        let Some(life) = self.table.version(node).map(|version| version.life) else { return };
        let me = self.start.me;
        let Some(watch) = self.watches.get_mut(&node) else { return };
        match &mut watch.accused {
            None => {
                let others = self.places.neighbours(node, WATCHERS, true);
                let others: Vec<Node> = others.into_iter().filter(|other| *other != me).collect();
                watch.accused =
                    Some(Accusal { until: now + ASK_WAIT, asked: others.len(), agreed: 0, trying: false });
                self.figures.accused += 1;
                others.into_iter().for_each(|to| self.send_datagram(to, Datagram::Ask { about: node, life }));
            }
            Some(accusal) if now < accusal.until => (),
            Some(accusal) if accusal.agreed > 0 => self.found_gone(now, node),
            Some(accusal) if accusal.trying => watch.accused = None,
            Some(accusal) => {
                accusal.trying = true;
                accusal.until = now + TRY_WAIT;
                self.out.push(Effect::Try { node });
            }
        }
    }

    fn found_gone(&mut self, now: Micros, node: Node) {
        self.watches.remove(&node);
        let Some(record) = self.record(node).filter(|record| !record.gone) else { return };
        let record = Record { gone: true, ..record.clone() };
        self.figures.gone += 1;
        if self.put(now, record.clone()) {
            self.out.push(Effect::Record(record));
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
            Datagram::Beat { life, seq } => {
                self.heard(now, from);
                let known = self.table.version(from).filter(|known| known.gone);
                if let Some(known) = known.filter(|known| (known.life, known.seq) >= (life, seq)) {
                    self.send_datagram(from, Datagram::Dead { life: known.life, seq: known.seq });
                }
            }
            Datagram::Dead { life, seq } => {
                self.version_told(now, Version { node: self.start.me, life, seq, gone: true });
            }
            Datagram::Ask { about, life } => self.asked(now, from, about, life),
            Datagram::Agree { about, life } => {
                let same = self.table.version(about).is_some_and(|known| known.life == life);
                let accused = self.watches.get_mut(&about).and_then(|watch| watch.accused.as_mut());
                let Some(accusal) = accused.filter(|_| same) else { return };
                accusal.agreed += 1;
                if accusal.agreed >= accusal.asked && !self.cut_off(now) {
                    self.found_gone(now, about);
                }
            }
            Datagram::Heard { about, life, ago } => {
                if self.table.version(about).is_some_and(|known| known.life <= life) {
                    self.heard(now - ago.clamp(0, SILENCE), about);
                }
            }
        }
    }

    fn asked(&mut self, now: Micros, from: Node, about: Node, life: u64) {
        let Some(known) = self.table.version(about) else { return };
        if about == self.start.me {
            return self.send_datagram(from, Datagram::Heard { about, life, ago: 0 });
        }
        if known.life == life && known.gone {
            return self.send_datagram(from, Datagram::Agree { about, life });
        }
        let Some(watch) = self.watches.get(&about) else { return };
        let quiet = now - watch.last() > SILENCE - ASK_SLACK;
        if known.life > life {
            self.send_datagram(from, Datagram::Heard { about, life, ago: 0 });
        } else if let Some(heard) = watch.heard.filter(|heard| now - heard <= SILENCE - ASK_SLACK) {
            self.send_datagram(from, Datagram::Heard { about, life, ago: now - heard });
        } else if quiet && !self.cut_off(now) {
            self.send_datagram(from, Datagram::Agree { about, life });
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
            None => watch.last() + SILENCE + 1,
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
