//! What a member holds, how it starts, and what can be read and polled from it. Fields are changed by the files beside this one.
//! No protocol rule is here; go on reading at `timer.rs` and `receive.rs`.
use super::event::{Event, Exchange};
use crate::config::{Config, Mutant};
use crate::drains::Drains;
use crate::identity::{Identity, Incarnation};
use crate::limits::MAX_NAME_BYTES;
use crate::metrics::Metrics;
use crate::suspicion::Suspicion;
use crate::table::{digest_of, Member, MemberRecord, Table};
use crate::time::Micros;
use crate::updates::{MembershipUpdate, UpdateQueue};
use crate::view::View;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its identity, from its folder or just drawn.
    pub id: Identity,
    /// Which start of it this is, from 1, kept in its folder before anything is said.
    pub start_number: u32,
    /// When its identity was drawn, Unix time in milliseconds.
    pub born_ms: u64,
    /// It is not where its folder last was.
    pub moved: bool,
    /// What it is called.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where others reach it.
    pub at: SocketAddr,
    /// Whom to ask first: the file's, and those in the folder.
    pub seeds: Vec<SocketAddr>,
    /// For all that is drawn.
    pub seed: u64,
}

/// The own probe of this period, while its answer is waited for.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) target: Identity,
    /// When others are asked.
    pub(super) indirect_at: Micros,
    /// When it has failed.
    pub(super) until: Micros,
    /// How many members were asked to probe, at least 1 once any were looked for.
    pub(super) asked: u32,
    pub(super) nacks: u32,
    pub(super) answered: bool,
}

/// A probe made for another member, which asked for it by ping-req.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    /// The number of the ping sent from here.
    pub(super) own_number: u64,
    /// The number of the probe at the member that asked.
    pub(super) origin_number: u64,
    pub(super) at: SocketAddr,
    pub(super) nack_at: Micros,
    pub(super) until: Micros,
    pub(super) nacked: bool,
}

/// A member of the fleet.
pub struct Members {
    pub(super) config: Config,
    pub(super) me: MemberRecord,
    pub(super) leaving: bool,
    pub(super) stood_down: bool,
    pub(super) table: Table,
    /// Shuffled at each end of the round-robin.
    pub(super) probe_order: Vec<Identity>,
    pub(super) next_in_order: usize,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) next_seed: usize,
    pub(super) probe: Option<Probe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    pub(super) updates: UpdateQueue,
    pub(super) drains: Drains,
    /// Lifeguard, 3.1: 0 while the own links and scheduling are sound.
    pub(super) local_health_multiplier: u32,
    /// Messages running whose digest differed from the own.
    pub(super) digest_mismatches: u32,
    pub(super) last_message_number: u64,
    pub(super) last_probe_number: u64,
    pub(super) next_probe: Micros,
    pub(super) next_round: Micros,
    pub(super) next_seeds: Micros,
    pub(super) next_drains: Micros,
    pub(super) last_tick: Micros,
    /// When the last tick asked for the next one.
    pub(super) planned_tick: Micros,
    /// Who was heard of last, by a message of its own.
    pub(super) last_heard: Option<Identity>,
    /// What the last view event was made from.
    pub(super) last_view: Option<(View, Option<usize>)>,
    pub(super) datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(super) exchanges: VecDeque<SocketAddr>,
    pub(super) events: VecDeque<Event>,
    /// Conflicts of a name that were reported, by identity.
    pub(super) name_conflicts: BTreeMap<String, Identity>,
    pub(super) rng: Pcg32,
    /// What has been counted.
    pub metrics: Metrics,
}

impl Members {
    /// A member that knows nobody yet, but whom to ask.
    pub fn new(config: Config, start: Start, now: Micros) -> Self {
        let mut rng = Pcg32::seed_from_u64(start.seed ^ start.id.0.rotate_left(29));
        let start_number = if config.has_mutant(Mutant::IncarnationNotKept) { 1 } else { start.start_number };
        let by_name = || Identity(start.name.bytes().fold(7, |h: u64, b| h.wrapping_mul(31) + u64::from(b)));
        let id = if config.has_mutant(Mutant::IdentityByName) { by_name() } else { start.id };
        let incarnation = Incarnation::at_start(start_number);
        let me = MemberRecord {
            id,
            incarnation,
            nonce: rng.next_u64(),
            born_ms: start.born_ms,
            moved: start.moved,
            name: truncate_name(start.name),
            zone: truncate_name(start.zone),
            at: start.at,
        };
        let spread = config.period as u64;
        let first = now + (rng.next_u64() % spread.max(1)) as Micros;
        let mut new = Members {
            seeds: start.seeds.into_iter().filter(|s| *s != start.at).collect(),
            next_seed: 0,
            leaving: false,
            stood_down: false,
            table: Table::default(),
            probe_order: Vec::new(),
            next_in_order: 0,
            probe: None,
            relayed_probes: Vec::new(),
            updates: UpdateQueue::default(),
            drains: Drains::default(),
            local_health_multiplier: 0,
            digest_mismatches: 0,
            last_message_number: 0,
            last_probe_number: 0,
            next_probe: first,
            next_round: first,
            next_seeds: now,
            next_drains: first,
            last_tick: now,
            planned_tick: now,
            last_heard: None,
            last_view: None,
            datagrams: VecDeque::new(),
            exchanges: VecDeque::new(),
            events: VecDeque::new(),
            name_conflicts: BTreeMap::new(),
            metrics: Metrics::default(),
            rng,
            me,
            config,
        };
        new.updates.add(MembershipUpdate::Alive(new.me.clone()));
        new
    }

    /// The fleet, for what else its members say to each other.
    pub fn fleet(&self) -> &crate::wire::Fleet {
        &self.config.fleet
    }

    /// This member's record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All others that are known.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.table.all()
    }

    /// One of the others.
    pub fn other(&self, id: Identity) -> Option<&Member> {
        self.table.get(id)
    }

    /// The view as a whole.
    pub fn view(&self) -> View {
        match self.stood_down {
            true => View::Out,
            false => View::of(self.table.live(), self.table.failed()),
        }
    }

    /// How many there are with this one; how many are held failed.
    pub fn size(&self) -> (usize, usize) {
        (self.table.live() + 1, self.table.failed())
    }

    /// How many sidecars send; `None`: the settings' number holds.
    pub fn senders(&self) -> Option<usize> {
        if self.config.has_mutant(Mutant::FailedNotCounted) {
            return Some(self.table.live() + 1);
        }
        self.view().senders(self.table.live() + 1, self.table.failed())
    }

    /// The living in one word: the same at all that hold the same ones to live, at the same incarnations.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ digest_of(&self.me)
    }

    /// The local health multiplier (Lifeguard, 3.1), 0 to [`crate::limits::MAX_LOCAL_HEALTH_MULTIPLIER`].
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health_multiplier
    }

    /// Whether another member reported that this start of an upstream drains.
    pub fn is_draining(&self, host: &str, born_ms: u64) -> bool {
        self.drains.is_draining(host, born_ms)
    }

    /// The upstreams that are known to drain, by the own list or another member's report.
    pub fn draining_hosts(&self) -> impl Iterator<Item = &str> {
        self.drains.all().map(|d| d.host.as_str())
    }

    /// How many drains heard from others hold.
    pub fn reported_drains(&self) -> usize {
        self.drains.reported_count()
    }

    /// The next datagram to send.
    pub fn poll_send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    /// The next exchange to begin.
    pub fn poll_exchange(&mut self) -> Option<Exchange> {
        let to = self.exchanges.pop_front()?;
        let bytes = self.encode_full_state();
        self.metrics.exchanges += 1;
        self.metrics.exchanged_bytes += bytes.len() as u64;
        Some(Exchange { to, bytes })
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Members::tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        if self.leaving || self.stood_down {
            // Only the own leave is left to gossip.
            return if self.leaving && !self.updates.is_empty() { self.next_round } else { Micros::MAX / 4 };
        }
        let mut at = self.next_probe.min(self.next_seeds);
        if !self.updates.is_empty() && self.table.live() > 0 {
            at = at.min(self.next_round);
        }
        if let Some(p) = &self.probe {
            at = at.min(if p.asked == 0 && !p.answered { p.indirect_at } else { p.until });
        }
        let nacks = self.relayed_probes.iter().map(|r| if r.nacked { r.until } else { r.nack_at });
        let ends = self.table.not_alive().iter().filter_map(|id| self.suspicion_deadline(*id));
        nacks.chain(ends).fold(at, Micros::min)
    }

    pub(super) fn suspicion_deadline(&self, id: Identity) -> Option<Micros> {
        self.table.get(id).and_then(|s| s.suspicion.as_ref()).map(Suspicion::deadline)
    }

    pub(super) fn notify_view_change(&mut self) {
        let now = (self.view(), self.senders());
        if self.last_view != Some(now) {
            self.last_view = Some(now);
            self.events.push_back(Event::View(now.0));
        }
    }
}

fn truncate_name(mut text: String) -> String {
    while text.len() > MAX_NAME_BYTES {
        text.pop();
    }
    text
}
