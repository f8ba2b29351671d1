//! The fields of a member, its constructor, accessors and poll functions. The protocol is in the other files of this module;
//! continue with `timer.rs` and `receive.rs`.
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

/// Parameters of a start.
#[derive(Clone, Debug)]
pub struct Start {
    /// Identity of the member, loaded from its data folder or newly generated.
    pub id: Identity,
    /// Number of this start, from 1; stored durably before the first message is sent.
    pub start_number: u32,
    /// When the identity was generated, Unix time in milliseconds.
    pub born_ms: u64,
    /// Whether the address differs from the one last stored in the data folder.
    pub moved: bool,
    /// Name of the member.
    pub name: String,
    /// Zone of the member.
    pub zone: String,
    /// Address that others reach it at.
    pub at: SocketAddr,
    /// Members to contact first: the configured ones and those stored in the data folder.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// This member's probe in the current period, while its ack is pending.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) target: Identity,
    /// When to send ping-reqs.
    pub(super) indirect_at: Micros,
    /// When the probe has failed.
    pub(super) until: Micros,
    /// Number of members that a ping-req was sent to; set to 1 if there were none, so that 0 means not sent yet.
    pub(super) asked: u32,
    pub(super) nacks: u32,
    pub(super) answered: bool,
}

/// An indirect probe on behalf of another member, which sent a ping-req.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    /// Probe number of the ping sent by this member.
    pub(super) own_number: u64,
    /// Probe number at the requesting member.
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
    /// Order of the round-robin, shuffled after each pass.
    pub(super) probe_order: Vec<Identity>,
    pub(super) next_in_order: usize,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) next_seed: usize,
    pub(super) probe: Option<Probe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    pub(super) updates: UpdateQueue,
    pub(super) drains: Drains,
    /// Lifeguard, 3.1: 0 while this member's links and scheduling are healthy.
    pub(super) local_health_multiplier: u32,
    /// Consecutive messages whose digest differed from this member's.
    pub(super) digest_mismatches: u32,
    pub(super) last_message_number: u64,
    pub(super) last_probe_number: u64,
    pub(super) next_probe: Micros,
    pub(super) next_round: Micros,
    pub(super) next_seeds: Micros,
    pub(super) next_drains: Micros,
    pub(super) last_tick: Micros,
    /// The deadline that the last tick asked for.
    pub(super) planned_tick: Micros,
    /// Sender of the last accepted message.
    pub(super) last_heard: Option<Identity>,
    /// View and number of senders at the last view event.
    pub(super) last_view: Option<(View, Option<usize>)>,
    pub(super) datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(super) exchanges: VecDeque<SocketAddr>,
    pub(super) events: VecDeque<Event>,
    /// Name conflicts already reported: name and identity of the other member.
    pub(super) name_conflicts: BTreeMap<String, Identity>,
    pub(super) rng: Pcg32,
    /// Counters.
    pub metrics: Metrics,
}

impl Members {
    /// Creates a member that knows only its seeds.
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

    /// The fleet, to encode other messages between members.
    pub fn fleet(&self) -> &crate::wire::Fleet {
        &self.config.fleet
    }

    /// This member's record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All other known members.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.table.all()
    }

    /// Another member, if known.
    pub fn other(&self, id: Identity) -> Option<&Member> {
        self.table.get(id)
    }

    /// The view of the fleet.
    pub fn view(&self) -> View {
        match self.stood_down {
            true => View::Out,
            false => View::of(self.table.live(), self.table.failed()),
        }
    }

    /// Number of live members including this one, and number of failed members.
    pub fn size(&self) -> (usize, usize) {
        (self.table.live() + 1, self.table.failed())
    }

    /// Number of sidecars that send requests, see [`View::senders`].
    pub fn senders(&self) -> Option<usize> {
        if self.config.has_mutant(Mutant::FailedNotCounted) {
            return Some(self.table.live() + 1);
        }
        self.view().senders(self.table.live() + 1, self.table.failed())
    }

    /// Digest of the live members and their incarnations, this one included; equal where these are equal.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ digest_of(&self.me)
    }

    /// The local health multiplier (Lifeguard, 3.1), 0 to [`crate::limits::MAX_LOCAL_HEALTH_MULTIPLIER`].
    pub fn local_health_multiplier(&self) -> u32 {
        self.local_health_multiplier
    }

    /// Whether another member reported this start of the upstream, or a later one, as draining.
    pub fn is_draining(&self, host: &str, born_ms: u64) -> bool {
        self.drains.is_draining(host, born_ms)
    }

    /// Names of draining upstreams, from the local endpoint list and from other members' reports.
    pub fn draining_hosts(&self) -> impl Iterator<Item = &str> {
        self.drains.all().map(|d| d.host.as_str())
    }

    /// Number of drains reported by other members that still hold.
    pub fn reported_drains(&self) -> usize {
        self.drains.reported_count()
    }

    /// The next datagram to send.
    pub fn poll_send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    /// The next full-state exchange to start.
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
            // Only this member's leave remains to be gossiped.
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
