//! The list service: what it knows, when it tells whom, and how it fails. One service for all sidecars; calls are worked
//! off one after the other. A change is told to each watch once the lag has passed.
use silvercross_core::interface::Micros;
use std::collections::{BTreeMap, VecDeque};

/// What the list says of a server's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It runs.
    Ready,
    /// It drains.
    Draining,
    /// It is gone.
    Gone,
}

/// A server as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Which one.
    pub server: usize,
    /// Its life.
    pub health: Health,
    /// Its last start; `None`: long ago.
    pub born: Option<Micros>,
}

/// How the service fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It does not.
    None,
    /// Calls fail and watches end.
    Dark,
    /// It says nothing; connections stay.
    Mute,
}

/// What it does towards one who asked. Askers have numbers given by the driver; each is one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// It tells a list or changes.
    Told {
        /// Whom.
        asker: u64,
        /// Up to which version.
        seq: u64,
        /// All of it.
        whole: bool,
        /// The entries.
        entries: Vec<Listed>,
    },
    /// A call has failed, or a watch ended.
    Ended {
        /// Whose.
        asker: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    asker: u64,
    at: Micros,
    since: Option<u64>,
    watch: bool,
}

/// The service.
#[derive(Debug)]
pub struct ListService {
    lag: Micros,
    each: Micros,
    timeout: Micros,
    seq: u64,
    entries: BTreeMap<usize, (u64, Listed)>,
    coming: VecDeque<(Micros, Listed)>,
    calls: VecDeque<Call>,
    busy_until: Micros,
    watches: BTreeMap<u64, u64>,
    outage: Outage,
    /// Calls taken, for the figures.
    pub asked: u64,
}

impl ListService {
    /// One that knows these servers, all as of long ago.
    pub fn new(servers: impl Iterator<Item = usize>, lag: Micros, calls_per_s: f64, timeout: Micros) -> Self {
        let listed = |server| (server, (1, Listed { server, health: Health::Ready, born: None }));
        ListService {
            lag,
            each: (1e6 / calls_per_s) as Micros,
            timeout,
            seq: 1,
            entries: servers.map(listed).collect(),
            coming: VecDeque::new(),
            calls: VecDeque::new(),
            busy_until: 0,
            watches: BTreeMap::new(),
            outage: Outage::None,
            asked: 0,
        }
    }

    /// The version now told.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Whether it answers.
    pub fn is_well(&self) -> bool {
        self.outage == Outage::None
    }

    /// The whole list as it would be told now.
    pub fn whole(&self) -> Vec<Listed> {
        self.entries.values().map(|e| e.1).filter(|l| l.health != Health::Gone).collect()
    }

    /// A change is announced; it is told after the lag and so much more. Returns when that is.
    pub fn announce(&mut self, now: Micros, more: Micros, listed: Listed) -> Micros {
        let at = now + self.lag + more;
        // In the order of time; of one time in the order announced.
        let place = self.coming.partition_point(|c| c.0 <= at);
        self.coming.insert(place, (at, listed));
        at
    }

    /// Someone asks for the list, or for what changed since, once or from now on.
    pub fn ask(&mut self, now: Micros, asker: u64, since: Option<u64>, watch: bool, out: &mut Vec<Out>) {
        self.asked += 1;
        if self.calls.is_empty() {
            self.busy_until = self.busy_until.max(now);
        }
        match self.outage {
            Outage::None => self.calls.push_back(Call { asker, at: now, since, watch }),
            Outage::Dark => out.push(Out::Ended { asker }),
            Outage::Mute => {}
        }
    }

    /// Someone has gone.
    pub fn hang_up(&mut self, asker: u64) {
        self.watches.remove(&asker);
        self.calls.retain(|c| c.asker != asker);
    }

    /// It fails from now on, or is well again.
    pub fn fail(&mut self, now: Micros, outage: Outage, out: &mut Vec<Out>) {
        if outage == Outage::Dark {
            let ended = std::mem::take(&mut self.watches).into_keys();
            let failed = self.calls.drain(..).map(|c| c.asker);
            out.extend(ended.chain(failed).map(|asker| Out::Ended { asker }));
        }
        if outage == Outage::None && self.outage == Outage::Mute {
            // Whoever watched before has long given up, or missed what was told meanwhile: they ask again.
            out.extend(std::mem::take(&mut self.watches).into_keys().map(|asker| Out::Ended { asker }));
        }
        self.outage = outage;
        self.busy_until = self.busy_until.max(now);
    }

    /// When something will happen by itself.
    pub fn next(&self) -> Option<Micros> {
        let call = self.calls.front().map(|c| (self.busy_until + self.each).min(c.at + self.timeout));
        self.coming.front().map(|c| c.0).into_iter().chain(call.filter(|_| self.is_well())).min()
    }

    /// Let time pass.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Out>) {
        let mut changed = Vec::new();
        while self.coming.front().is_some_and(|c| c.0 <= now) {
            let Some((_, listed)) = self.coming.pop_front() else { break };
            self.seq += 1;
            self.entries.insert(listed.server, (self.seq, listed));
            changed.push(listed);
        }
        if !changed.is_empty() && self.is_well() {
            let (seq, entries) = (self.seq, &changed);
            out.extend(self.watches.iter_mut().map(|(asker, told)| {
                *told = seq;
                Out::Told { asker: *asker, seq, whole: false, entries: entries.clone() }
            }));
        }
        while let Some(call) = self.calls.front().copied().filter(|_| self.is_well()) {
            let done = self.busy_until + self.each;
            let given_up = call.at + self.timeout;
            if given_up < done && given_up <= now {
                self.calls.pop_front();
                out.push(Out::Ended { asker: call.asker });
                continue;
            }
            if done > now {
                return;
            }
            self.calls.pop_front();
            self.busy_until = done;
            let since = call.since.filter(|s| *s > 0 && *s <= self.seq);
            let entries = match since {
                Some(s) => self.entries.values().filter(|e| e.0 > s).map(|e| e.1).collect(),
                None => self.whole(),
            };
            out.push(Out::Told { asker: call.asker, seq: self.seq, whole: since.is_none(), entries });
            if call.watch {
                self.watches.insert(call.asker, self.seq);
            }
        }
    }

    /// Whether this one watches.
    pub fn is_watching(&self, asker: u64) -> bool {
        self.watches.contains_key(&asker)
    }

    /// Who watches, for the lines that only say that a watch stands.
    pub fn watching(&self) -> impl Iterator<Item = u64> + '_ {
        self.watches.keys().copied()
    }
}
