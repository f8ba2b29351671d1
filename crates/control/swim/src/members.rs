//! The member: probes, suspicions, rumours, exchanges. One probe a period, in a round-robin over a shuffled order (SWIM, 4.3);
//! without a direct answer others are asked ([`crate::config::INDIRECT`]); without any the probed one is suspected, and fails
//! unless it refutes in time. All of it waits longer the more this member doubts itself (Lifeguard, 3.1).
use crate::config::*;
use crate::drains::{Drain, Drains};
use crate::figures::Figures;
use crate::identity::{Identity, Incarnation};
use crate::rumours::{Rumour, Rumours};
use crate::suspicion::Suspicion;
use crate::table::{mark, Card, Slot, State, Table};
use crate::view::View;
use crate::wire::{All, Bad, From, Message, Packet, Window, DATAGRAM_MOST, PACKET};
use crate::Micros;
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
    pub life: u32,
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

/// News for whoever runs the member.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The view, or the number of those that send, is another one.
    View(View),
    /// A member is in another state.
    Changed {
        /// Who.
        id: Identity,
        /// What it is called.
        name: String,
        /// How it is now.
        state: State,
        /// By whom that was told.
        by: Identity,
    },
    /// Another member says that an upstream drains.
    Drain(Drain),
    /// This member refuted what was said of it.
    Refuted(State),
    /// It stands down: there is another process of its identity, or of its name.
    StoodDown {
        /// Whether the identity is the same too.
        same_identity: bool,
        /// Where that one is.
        other: SocketAddr,
    },
    /// The other process of this identity or name has to stand down, not this one.
    Twin {
        /// Whether the identity is the same too.
        same_identity: bool,
        /// Where that one is.
        other: SocketAddr,
    },
}

/// A full exchange to begin: send [`Exchange::bytes`] there, and give what comes back to [`Members::exchanged`].
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// Where.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}

#[derive(Debug)]
struct Probe {
    number: u64,
    target: Identity,
    /// When others are asked.
    indirect_at: Micros,
    /// When it has failed.
    until: Micros,
    asked: u32,
    nacks: u32,
    answered: bool,
}

#[derive(Debug)]
struct Relayed {
    mine: u64,
    theirs: u64,
    at: SocketAddr,
    nack_at: Micros,
    until: Micros,
    nacked: bool,
}

/// A member of the fleet.
pub struct Members {
    config: Config,
    me: Card,
    leaving: bool,
    out_of_it: bool,
    table: Table,
    order: Vec<Identity>,
    next: usize,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    probe: Option<Probe>,
    relayed: Vec<Relayed>,
    rumours: Rumours,
    drains: Drains,
    doubt: u32,
    apart: u32,
    numbers: u64,
    probes: u64,
    next_probe: Micros,
    next_round: Micros,
    next_seeds: Micros,
    next_drains: Micros,
    woken: Micros,
    meant: Micros,
    /// Who was heard of last, by a message of its own.
    last_heard: Option<Identity>,
    told: Option<(View, Option<usize>)>,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    exchanges: VecDeque<SocketAddr>,
    events: VecDeque<Event>,
    names: BTreeMap<String, Identity>,
    rng: Pcg32,
    /// What has been counted.
    pub figures: Figures,
}

impl Members {
    /// A member that knows nobody yet, but whom to ask.
    pub fn new(config: Config, start: Start, now: Micros) -> Self {
        let mut rng = Pcg32::seed_from_u64(start.seed ^ start.id.0.rotate_left(29));
        let life = if config.is_broken(Mutant::IncarnationNotKept) { 1 } else { start.life };
        let by_name = || Identity(start.name.bytes().fold(7, |h: u64, b| h.wrapping_mul(31) + u64::from(b)));
        let id = if config.is_broken(Mutant::IdentityByName) { by_name() } else { start.id };
        let incarnation = Incarnation::of_life(life);
        let me = Card {
            id,
            incarnation,
            nonce: rng.next_u64(),
            born_ms: start.born_ms,
            moved: start.moved,
            name: cut(start.name),
            zone: cut(start.zone),
            at: start.at,
        };
        let spread = config.period as u64;
        let first = now + (rng.next_u64() % spread.max(1)) as Micros;
        let mut new = Members {
            seeds: start.seeds.into_iter().filter(|s| *s != start.at).collect(),
            next_seed: 0,
            leaving: false,
            out_of_it: false,
            table: Table::default(),
            order: Vec::new(),
            next: 0,
            probe: None,
            relayed: Vec::new(),
            rumours: Rumours::default(),
            drains: Drains::default(),
            doubt: 0,
            apart: 0,
            numbers: 0,
            probes: 0,
            next_probe: first,
            next_round: first,
            next_seeds: now,
            next_drains: first,
            woken: now,
            meant: now,
            last_heard: None,
            told: None,
            out: VecDeque::new(),
            exchanges: VecDeque::new(),
            events: VecDeque::new(),
            names: BTreeMap::new(),
            figures: Figures::default(),
            rng,
            me,
            config,
        };
        new.rumours.add(Rumour::Alive(new.me.clone()));
        new
    }

    // --- what is seen ---

    /// The fleet, for what else its members say to each other.
    pub fn fleet(&self) -> &crate::wire::Fleet {
        &self.config.fleet
    }

    /// This member's word of itself.
    pub fn me(&self) -> &Card {
        &self.me
    }

    /// All others that are known.
    pub fn others(&self) -> impl Iterator<Item = &Slot> {
        self.table.all()
    }

    /// One of the others.
    pub fn other(&self, id: Identity) -> Option<&Slot> {
        self.table.get(id)
    }

    /// The view as a whole.
    pub fn view(&self) -> View {
        match self.out_of_it {
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
        if self.config.is_broken(Mutant::Halved) {
            return Some(self.table.live() + 1);
        }
        self.view().senders(self.table.live() + 1, self.table.failed())
    }

    /// The living in one word: the same at all that hold the same ones to live, at the same incarnations.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ mark(&self.me)
    }

    /// How much it doubts itself, 0 to [`DOUBT_MOST`].
    pub fn doubt(&self) -> u32 {
        self.doubt
    }

    /// Whether another member's word says that this start of an upstream drains.
    pub fn drains(&self, host: &str, born_ms: u64) -> bool {
        self.drains.holds(host, born_ms)
    }

    /// The upstreams that are known to drain, by the own list or another's word.
    pub fn drained(&self) -> impl Iterator<Item = &str> {
        self.drains.all().map(|d| d.host.as_str())
    }

    /// How many drains heard from others hold.
    pub fn drains_heard(&self) -> usize {
        self.drains.heard()
    }

    // --- what goes out ---

    /// The next datagram to send.
    pub fn poll_send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next exchange to begin.
    pub fn poll_exchange(&mut self) -> Option<Exchange> {
        let to = self.exchanges.pop_front()?;
        let bytes = self.everything();
        self.figures.exchanges += 1;
        self.figures.exchanged_bytes += bytes.len() as u64;
        Some(Exchange { to, bytes })
    }

    /// The next news.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Members::tick`] is due.
    pub fn wake(&self) -> Micros {
        if self.leaving || self.out_of_it {
            // All that is left to do is to tell.
            return if self.leaving && !self.rumours.is_empty() { self.next_round } else { Micros::MAX / 4 };
        }
        let mut at = self.next_probe.min(self.next_seeds);
        if !self.rumours.is_empty() && self.table.live() > 0 {
            at = at.min(self.next_round);
        }
        if let Some(p) = &self.probe {
            at = at.min(if p.asked == 0 && !p.answered { p.indirect_at } else { p.until });
        }
        let nacks = self.relayed.iter().map(|r| if r.nacked { r.until } else { r.nack_at });
        let ends = self.table.troubled().iter().filter_map(|id| self.ends(*id));
        nacks.chain(ends).fold(at, Micros::min)
    }

    fn ends(&self, id: Identity) -> Option<Micros> {
        self.table.get(id).and_then(|s| s.suspicion.as_ref()).map(Suspicion::ends)
    }

    // --- what comes in ---

    /// The own list has come to this version, and says this of its upstreams: each name, last start, and whether it drains.
    /// Returned are other members' words that are over by it.
    pub fn list_is<'a>(
        &mut self,
        seq: u64,
        whole: bool,
        entries: impl Iterator<Item = (&'a str, u64, bool)>,
    ) -> Vec<Drain> {
        let over = self.drains.list_is(seq, whole);
        for (host, born_ms, draining) in entries {
            if !draining {
                self.drains.own_over(host);
                continue;
            }
            let drain = Drain { host: host.to_string(), born_ms, seq };
            if self.drains.own(&drain) && !self.out_of_it {
                self.rumours.add(Rumour::Drain(drain));
            }
        }
        over
    }

    /// A datagram has come.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.figures.came_bytes += bytes.len() as u64;
        let packet = match self.config.fleet.read_packet(bytes) {
            Ok(packet) => packet,
            Err(Bad::Strange) => return self.figures.strange += 1,
            Err(Bad::Spoilt) => return self.figures.spoilt += 1,
            Err(Bad::Version(_)) => return self.figures.version += 1,
        };
        if self.out_of_it {
            return;
        }
        if !self.admit(now, &packet.from) {
            self.figures.replayed += 1;
            return;
        }
        // What passed the check and is new counts, by its sender: one that talks without end is heard only so far.
        let (period, talks) = (self.config.period, self.table.get_mut(packet.from.id));
        if talks.is_some_and(|s| s.talks_too_much(now, period)) {
            self.figures.flood += 1;
            return;
        }
        self.figures.taken += 1;
        for rumour in packet.rumours {
            self.rumour(now, rumour, packet.from.id, false);
        }
        self.message(now, packet.from, packet.message);
        self.flush_view();
    }

    /// Whether a sender's message counts: of the present process of a member, and not seen before. One that is not known
    /// is let through: it is asked for its card by an exchange.
    fn admit(&mut self, now: Micros, from: &From) -> bool {
        if from.id == self.me.id {
            // The echo of an own message, or a twin's: its card tells which, and comes as a rumour.
            return from.nonce != self.me.nonce;
        }
        let Some(slot) = self.table.get_mut(from.id) else { return true };
        if slot.card.nonce != from.nonce {
            // A process that was replaced speaks no more; one with a newer word, be it from a restored folder that counts the
            // same start, brings its card along.
            return from.incarnation > slot.card.incarnation;
        }
        if !slot.window.pass(from.number) {
            return false;
        }
        slot.heard = Some(now);
        self.last_heard = Some(from.id);
        true
    }

    fn message(&mut self, now: Micros, from: From, message: Message) {
        match message {
            Message::Ping { probe, to, at, held, digest } => {
                if to != self.me.id {
                    // Whoever was here before is gone. The one who looks for it may know a fleet that this one does not.
                    if self.table.get(from.id).is_none_or(|s| !s.state.is_live()) {
                        self.exchange_with(at);
                    }
                    return;
                }
                self.hear_of_myself(held);
                self.compare(from.id, at, digest);
                let ack = Message::Ack { probe, digest: self.digest() };
                let me = held.is_some().then_some(self.me.id);
                self.send(at, ack, me);
            }
            Message::Ack { probe, digest } => {
                if let Some(i) = self.relayed.iter().position(|r| r.mine == probe) {
                    let r = self.relayed.swap_remove(i);
                    return self.send(r.at, Message::Ack { probe: r.theirs, digest }, Some(from.id));
                }
                let Some(p) = self.probe.as_mut().filter(|p| p.number == probe) else { return };
                if !p.answered {
                    p.answered = true;
                    self.doubt = self.doubt.saturating_sub(1);
                }
                let at = self.table.get(from.id).map(|s| s.card.at);
                at.into_iter().for_each(|at| self.compare(from.id, at, digest));
            }
            Message::PingReq { probe, target, target_at, at, held } => {
                if self.relayed.len() >= RELAYED_MOST {
                    return;
                }
                let mine = self.number_probe();
                self.relayed.push(Relayed {
                    mine,
                    theirs: probe,
                    at,
                    nack_at: now + self.config.direct(),
                    until: now + self.config.period * Micros::from(1 + DOUBT_MOST),
                    nacked: false,
                });
                let held = held.or_else(|| self.held(target));
                let ping = self.ping(mine, target, held);
                self.send(target_at, ping, Some(target));
            }
            Message::Nack { probe } => {
                if let Some(p) = self.probe.as_mut().filter(|p| p.number == probe) {
                    p.nacks += 1;
                }
            }
            Message::Gossip => {}
        }
    }

    /// What another one holds this member to be: refuted at once if it is worse than alive.
    fn hear_of_myself(&mut self, held: Option<(State, Incarnation)>) {
        match held {
            Some((state, i)) if state != State::Alive && i >= self.me.incarnation => self.refute(state, i),
            _ => {}
        }
    }

    fn refute(&mut self, state: State, seen: Incarnation) {
        if self.leaving || self.out_of_it || self.config.is_broken(Mutant::NoRefutation) {
            return;
        }
        if seen.life() > self.me.incarnation.life() {
            // A later start of this identity: this process comes from an older folder, or from a copy of it.
            let other = self.me.at;
            return self.stand_down(true, other);
        }
        self.me.incarnation = self.me.incarnation.above(seen);
        self.figures.refutations += 1;
        if state == State::Suspect {
            self.doubt = (self.doubt + 1).min(DOUBT_MOST);
        }
        self.rumours.add(Rumour::Alive(self.me.clone()));
        self.events.push_back(Event::Refuted(state));
    }

    /// Another one's living differ from this one's for longer than rumours need: an exchange settles it.
    fn compare(&mut self, id: Identity, at: SocketAddr, digest: u64) {
        let unknown = self.table.get(id).is_none_or(|s| !s.state.is_live());
        if digest == self.digest() && !unknown {
            self.apart = 0;
            return;
        }
        self.apart += 1;
        let patience = APART + (self.rng.next_u32() % APART);
        if unknown || (self.apart > patience && self.rumours.is_empty()) || self.apart > 4 * patience {
            self.apart = 0;
            self.exchange_with(at);
        }
    }

    fn exchange_with(&mut self, at: SocketAddr) {
        if self.exchanges.len() < 4 && !self.exchanges.contains(&at) && at != self.me.at {
            self.exchanges.push_back(at);
        }
    }

    // --- rumours ---

    /// One report about a member against what is known. `whole`: it came with an exchange, not as news.
    fn rumour(&mut self, now: Micros, rumour: Rumour, from: Identity, whole: bool) {
        match rumour {
            Rumour::Alive(card) => self.report(now, Ok(card), State::Alive, from, whole),
            Rumour::Suspect { id, incarnation, by } => {
                self.report(now, Err((id, incarnation)), State::Suspect, by, whole)
            }
            Rumour::Failed { id, incarnation, by } => {
                self.report(now, Err((id, incarnation)), State::Failed, by, whole)
            }
            Rumour::Left { id, incarnation } => {
                self.report(now, Err((id, incarnation)), State::Left, id, whole)
            }
            Rumour::Drain(drain) => {
                if self.drains.hear(&drain) {
                    self.rumours.add(Rumour::Drain(drain.clone()));
                    self.events.push_back(Event::Drain(drain));
                }
            }
        }
    }

    fn report(
        &mut self,
        now: Micros,
        about: Result<Card, (Identity, Incarnation)>,
        state: State,
        by: Identity,
        whole: bool,
    ) {
        let (id, incarnation) = match &about {
            Ok(card) => (card.id, card.incarnation),
            Err(about) => *about,
        };
        if id == self.me.id {
            return match about {
                Ok(card) if card.nonce != self.me.nonce => self.twin(&card),
                Ok(_) => {}
                Err(_) if incarnation >= self.me.incarnation => self.refute(state, incarnation),
                Err(_) => {}
            };
        }
        let Some(slot) = self.table.get(id) else {
            // Of one that is not known only its own word tells where it is.
            if let Ok(card) = about {
                self.take_in(now, card, state, by);
            }
            return;
        };
        let (old, old_state) = (slot.card.clone(), slot.state);
        let mut state = state;
        let had_time = slot.suspicion.as_ref().is_some_and(|s| s.had_its_least(now));
        if state == State::Failed && old_state.is_live() && (whole || !had_time) {
            // Whoever says so may have been cut off itself, and held all others failed: here it gets its time to refute.
            state = State::Suspect;
        }
        if (incarnation, state) <= (old.incarnation, old_state) {
            if (incarnation, state, old_state) == (old.incarnation, State::Suspect, State::Suspect) {
                self.confirm(id, by);
            }
            return;
        }
        let card = match about {
            Ok(card) if sane(&card) => card,
            Ok(_) => return self.figures.turned_away += 1,
            Err(_) => Card { incarnation, ..old.clone() },
        };
        if old_state == State::Suspect && state == State::Alive {
            self.figures.refuted += 1;
        }
        self.rumours.add(match state {
            State::Alive => Rumour::Alive(card.clone()),
            State::Suspect => Rumour::Suspect { id, incarnation, by },
            State::Failed => Rumour::Failed { id, incarnation, by },
            State::Left => Rumour::Left { id, incarnation },
        });
        self.change(now, card, state, by);
        match state {
            State::Suspect => self.begin_suspicion(now, id, by),
            State::Alive => self.check_name(now, id),
            State::Failed | State::Left => {}
        }
    }

    fn change(&mut self, now: Micros, card: Card, state: State, by: Identity) {
        let (id, name) = (card.id, card.name.clone());
        let before = self.table.get(id).map(|s| s.state);
        self.table.set(card, state, now, by);
        if before != Some(state) {
            self.events.push_back(Event::Changed { id, name, state, by });
        }
    }

    fn take_in(&mut self, now: Micros, card: Card, state: State, by: Identity) {
        if self.table.len() >= MEMBERS_MOST || !sane(&card) {
            self.figures.turned_away += 1;
            return;
        }
        let (id, name) = (card.id, card.name.clone());
        self.rumours.add(Rumour::Alive(card.clone()));
        self.table.add(Slot {
            card,
            state: State::Alive,
            since: now,
            heard: None,
            told_by: by,
            suspicion: None,
            window: Window::default(),
            talk: (now, 0),
        });
        // A place of chance in the order: nobody is always the last to be probed.
        let place = self.rng.next_u32() as usize % (self.order.len() + 1);
        self.order.push(id);
        let last = self.order.len() - 1;
        self.order.swap(place, last);
        self.events.push_back(Event::Changed { id, name, state: State::Alive, by });
        if state == State::Suspect {
            if let Some(incarnation) = self.table.get(id).map(|s| s.card.incarnation) {
                self.report(now, Err((id, incarnation)), State::Suspect, by, true);
            }
        }
        self.check_name(now, id);
    }

    fn begin_suspicion(&mut self, now: Micros, id: Identity, by: Identity) {
        let fleet = self.table.live() + 1;
        let suspicion = Suspicion::begin(now, by, fleet, self.config.period);
        let Some(slot) = self.table.get_mut(id) else { return };
        slot.suspicion = Some(suspicion);
        // Whoever has heard it lately tells it at once, and some of the others: it may be that only few reach it.
        let lately = 2 * fleet as Micros * self.config.period;
        let heard = slot.heard.is_some_and(|at| at + lately > now);
        let at = slot.card.at;
        if (heard && fleet <= 64) || (self.rng.next_u32() as usize % fleet) < 8 {
            let number = self.number_probe();
            let ping = self.ping(number, id, self.held(id));
            self.send(at, ping, Some(id));
        }
    }

    fn confirm(&mut self, id: Identity, by: Identity) {
        let Some(slot) = self.table.get_mut(id) else { return };
        let incarnation = slot.card.incarnation;
        if slot.suspicion.as_mut().is_some_and(|s| s.confirm(by)) {
            // Others shall count it too.
            self.rumours.add(Rumour::Suspect { id, incarnation, by });
        }
    }

    // --- two of one identity, or of one name ---

    /// Another process speaks as this identity. The later start stays; of two alike the one that has not moved; then the one
    /// with the smaller nonce. Both go by the same rule, so one of them stays.
    fn twin(&mut self, card: &Card) {
        if self.out_of_it {
            return;
        }
        let rank = |c: &Card| (std::cmp::Reverse(c.incarnation.life()), c.moved, c.nonce);
        if rank(card) < rank(&self.me) {
            return self.stand_down(true, card.at);
        }
        if card.incarnation.life() < self.me.incarnation.life() {
            // What an earlier start of this one said, still on its way. Its process, if there is one, hears of this one.
            return;
        }
        if card.incarnation >= self.me.incarnation {
            self.me.incarnation = self.me.incarnation.above(card.incarnation);
            self.rumours.add(Rumour::Alive(self.me.clone()));
            self.events.push_back(Event::Twin { same_identity: true, other: card.at });
            // It may be that no rumour reaches it: others hold its address to be this one's from now on.
            self.send(card.at, Message::Gossip, Some(self.me.id));
        }
    }

    /// Two identities of one name: the one drawn first stays, once both have been heard. A name whose folder was lost comes
    /// back under another identity, and the old one is silent then.
    fn check_name(&mut self, now: Micros, id: Identity) {
        let Some(slot) = self.table.get(id) else { return };
        if slot.card.name != self.me.name || !slot.state.is_live() || self.leaving || self.out_of_it {
            return;
        }
        let lately = slot.heard.is_some_and(|at| at + FIRST_HAND * self.config.period > now);
        let (other, at) = ((slot.card.born_ms, slot.card.id), slot.card.at);
        if !lately {
            return;
        }
        if other < (self.me.born_ms, self.me.id) {
            self.stand_down(false, at);
        } else if self.names.insert(slot.card.name.clone(), id) != Some(id) {
            self.events.push_back(Event::Twin { same_identity: false, other: at });
        }
    }

    fn stand_down(&mut self, same_identity: bool, other: SocketAddr) {
        if self.out_of_it {
            return;
        }
        if !same_identity {
            // Under this identity nobody else speaks: it says itself that it is gone.
            self.say_left();
        }
        self.out_of_it = true;
        (self.probe, self.exchanges) = (None, VecDeque::new());
        self.relayed.clear();
        self.events.push_back(Event::StoodDown { same_identity, other });
        self.flush_view();
    }

    // --- leaving ---

    /// This process ends by its own will: it says so to some at once, and they to the others.
    pub fn leave(&mut self) {
        if !self.out_of_it && !self.leaving {
            self.say_left();
        }
    }

    fn say_left(&mut self) {
        self.leaving = true;
        self.rumours.add(Rumour::Left { id: self.me.id, incarnation: self.me.incarnation });
        for _ in 0..3 {
            self.gossip();
        }
    }

    // --- time ---

    /// Do what is due. It may be called at any time.
    pub fn tick(&mut self, now: Micros) {
        // One that leaves has no time that it could be late for.
        let late = if self.leaving || self.out_of_it { 0 } else { now - self.woken.max(self.meant) };
        if late > self.config.period / OVERSLEPT && !self.config.is_broken(Mutant::NoDoubt) {
            self.overslept(now, late);
        }
        self.woken = now;
        if !self.out_of_it && !self.leaving {
            self.mind_probe(now);
            self.mind_relayed(now);
            self.mind_suspicions(now);
            if now >= self.next_probe {
                self.next_probe = now + self.span();
                self.forget(now);
                self.begin_probe(now);
                self.reach_for_failed();
            }
            if now >= self.next_seeds {
                let alone = self.table.live() == 0;
                let after = if alone { SEEDS_AGAIN } else { SEEDS_SELDOM };
                // Spread, so that those who started together don't ask together.
                let spread = (self.rng.next_u64() % (after * self.config.period / 4).max(1) as u64) as Micros;
                self.next_seeds = now + after * self.config.period + spread;
                self.ask_seed();
            }
            if now >= self.next_drains {
                if self.config.is_broken(Mutant::DrainsExpire) {
                    self.drains.expire();
                }
                self.next_drains = now + DRAIN_AGAIN * self.config.period;
                let all: Vec<Drain> = self.drains.all().cloned().collect();
                if self.table.live() > 0 && self.rumours.is_empty() {
                    all.into_iter().for_each(|d| self.rumours.add(Rumour::Drain(d)));
                }
            }
            if now >= self.next_round {
                self.next_round = now + self.config.period / ROUNDS;
                self.gossip();
            }
        } else if self.leaving && now >= self.next_round {
            self.next_round = now + self.config.period / ROUNDS;
            self.gossip();
        }
        self.flush_view();
        self.meant = self.wake();
    }

    /// This process was stopped, or had no processor: what did not come meanwhile could not, so no time has passed for others.
    fn overslept(&mut self, now: Micros, by: Micros) {
        self.figures.overslept += 1;
        self.doubt = (self.doubt + 1).min(DOUBT_MOST);
        self.probe = None;
        self.relayed.clear();
        let troubled = self.table.troubled().to_vec();
        for id in troubled {
            let suspicion = self.table.get_mut(id).and_then(|s| s.suspicion.as_mut());
            suspicion.into_iter().for_each(|s| s.put_off(by));
        }
        self.next_probe = self.next_probe.max(now + self.config.period);
    }

    /// A probe's period, longer with doubt of oneself.
    fn span(&self) -> Micros {
        self.config.period * Micros::from(1 + self.doubt)
    }

    fn mind_probe(&mut self, now: Micros) {
        if self.config.is_broken(Mutant::NoDoubt) {
            self.doubt = 0;
        }
        let Some(p) = &self.probe else { return };
        let (number, target) = (p.number, p.target);
        if p.answered {
            self.probe = None;
            return;
        }
        let known = self.table.get(target).map(|s| (s.card.at, s.card.incarnation, s.state));
        let Some((target_at, incarnation, state)) = known.filter(|k| k.2.is_live()) else {
            self.probe = None;
            return;
        };
        if p.asked == 0 && now >= p.indirect_at {
            self.figures.late += 1;
            let asked = if self.config.is_broken(Mutant::NoIndirect) { 0 } else { INDIRECT };
            let mut helpers = self.some_live(asked, Some(target));
            // Whoever was heard last can surely be asked: it may be the only one.
            let last = self
                .last_heard
                .filter(|id| asked > 0 && *id != target && !helpers.iter().any(|h| h.0 == *id));
            let last = last.and_then(|id| self.table.get(id)).filter(|s| s.state.is_live());
            if let Some(last) = last.map(|s| (s.card.id, s.card.at)) {
                helpers.truncate(INDIRECT - 1);
                helpers.push(last);
            }
            let ask = Message::PingReq {
                probe: number,
                target,
                target_at,
                at: self.me.at,
                held: self.held(target),
            };
            if let Some(p) = self.probe.as_mut() {
                p.asked = helpers.len().max(1) as u32;
                // With nobody to ask none is missed.
                p.nacks = if helpers.is_empty() { 1 } else { 0 };
            }
            for (_, at) in helpers {
                self.send(at, ask.clone(), None);
            }
            return;
        }
        if now < p.until {
            return;
        }
        // Helpers that said nothing at all: it may be this member's own links (Lifeguard, 3.1).
        let missed = p.asked.saturating_sub(p.nacks);
        self.probe = None;
        self.doubt = (self.doubt + 1 + missed.min(1)).min(DOUBT_MOST);
        if state == State::Alive {
            self.figures.suspected += 1;
            let me = self.me.id;
            self.report(now, Err((target, incarnation)), State::Suspect, me, false);
        } else {
            let me = self.me.id;
            self.confirm(target, me);
        }
    }

    fn mind_relayed(&mut self, now: Micros) {
        let mut nacks = Vec::new();
        self.relayed.retain_mut(|r| {
            if !r.nacked && now >= r.nack_at {
                r.nacked = true;
                nacks.push((r.at, r.theirs));
            }
            now < r.until
        });
        for (at, probe) in nacks {
            self.send(at, Message::Nack { probe }, None);
        }
    }

    fn mind_suspicions(&mut self, now: Micros) {
        let over = |id: &Identity| self.ends(*id).is_some_and(|at| at <= now);
        let over: Vec<Identity> = self.table.troubled().iter().copied().filter(over).collect();
        for id in over {
            let Some(card) = self.table.get(id).map(|s| s.card.clone()) else { continue };
            self.figures.failed += 1;
            let me = self.me.id;
            self.rumours.add(Rumour::Failed { id, incarnation: card.incarnation, by: me });
            self.change(now, card, State::Failed, me);
        }
    }

    /// Those that left, and those that failed, are forgotten in time; the latter only by who sees most of the fleet.
    fn forget(&mut self, now: Micros) {
        let may = View::may_forget(self.table.live() + 1, self.table.failed());
        let old = |s: &Slot| match s.state {
            State::Left => s.since + self.config.forget <= now,
            State::Failed => may && s.since + self.config.forget <= now,
            _ => false,
        };
        let gone: Vec<Identity> =
            self.table.troubled().iter().copied().filter(|id| self.table.get(*id).is_some_and(old)).collect();
        for id in gone {
            self.table.remove(id);
            self.order.retain(|o| *o != id);
            self.rumours.drop_about(id);
        }
    }

    fn begin_probe(&mut self, now: Micros) {
        if self.probe.is_some() {
            return;
        }
        for _ in 0..self.order.len() {
            if self.next >= self.order.len() {
                self.next = 0;
                self.shuffle();
            }
            let target = self.order[self.next];
            self.next += 1;
            let Some(at) = self.table.get(target).filter(|s| s.state.is_live()).map(|s| s.card.at) else {
                continue;
            };
            let number = self.number_probe();
            self.figures.probes += 1;
            let (direct, span) = (self.config.direct() * Micros::from(1 + self.doubt), self.span());
            self.probe = Some(Probe {
                number,
                target,
                indirect_at: now + direct,
                until: now + span,
                asked: 0,
                nacks: 0,
                answered: false,
            });
            let ping = self.ping(number, target, self.held(target));
            return self.send(at, ping, Some(target));
        }
    }

    /// One of the failed is asked in each period: whoever was cut off is found again by whichever side comes first.
    fn reach_for_failed(&mut self) {
        let failed: Vec<Identity> = self
            .table
            .troubled()
            .iter()
            .copied()
            .filter(|id| self.table.get(*id).is_some_and(|s| s.state == State::Failed))
            .collect();
        if failed.is_empty() {
            return;
        }
        let id = failed[self.rng.next_u32() as usize % failed.len()];
        if let Some(at) = self.table.get(id).map(|s| s.card.at) {
            let number = self.number_probe();
            let ping = self.ping(number, id, self.held(id));
            self.send(at, ping, Some(id));
        }
    }

    /// The seeds at whose address nobody is known to live are asked in turn: at the start, and ever after, but seldom. Two
    /// parts of a fleet that came back at other addresses may each have found some, and not the other part.
    fn ask_seed(&mut self) {
        for _ in 0..self.seeds.len() {
            let at = self.seeds[self.next_seed % self.seeds.len()];
            self.next_seed += 1;
            if !self.table.all().any(|s| s.state.is_live() && s.card.at == at) {
                return self.exchange_with(at);
            }
        }
    }

    fn shuffle(&mut self) {
        for i in (1..self.order.len()).rev() {
            let j = self.rng.next_u32() as usize % (i + 1);
            self.order.swap(i, j);
        }
    }

    /// Some of the living, by chance, but for one.
    fn some_live(&mut self, most: usize, but: Option<Identity>) -> Vec<(Identity, SocketAddr)> {
        let mut chosen: Vec<(Identity, SocketAddr)> = Vec::new();
        if self.table.is_empty() || most == 0 {
            return chosen;
        }
        // A few draws, then a walk: in a fleet most are there.
        for _ in 0..most * 4 {
            let place = self.rng.next_u32() as usize % self.table.len();
            let Some(s) = self.table.at(place) else { continue };
            let id = s.card.id;
            if s.state.is_live() && Some(id) != but && !chosen.iter().any(|c| c.0 == id) {
                chosen.push((id, s.card.at));
            }
            if chosen.len() == most {
                return chosen;
            }
        }
        if chosen.is_empty() {
            let there = self.table.all().find(|s| s.state.is_live() && Some(s.card.id) != but);
            chosen.extend(there.map(|s| (s.card.id, s.card.at)));
        }
        chosen
    }

    fn gossip(&mut self) {
        if self.rumours.is_empty() {
            return;
        }
        for (_, at) in self.some_live(FANOUT, None) {
            if self.rumours.is_empty() {
                return;
            }
            self.send(at, Message::Gossip, None);
        }
    }

    // --- messages ---

    fn number_probe(&mut self) -> u64 {
        self.probes += 1;
        self.probes
    }

    fn held(&self, id: Identity) -> Option<(State, Incarnation)> {
        let slot = self.table.get(id)?;
        (slot.state != State::Alive).then_some((slot.state, slot.card.incarnation))
    }

    fn ping(&self, probe: u64, to: Identity, held: Option<(State, Incarnation)>) -> Message {
        Message::Ping { probe, to, at: self.me.at, held, digest: self.digest() }
    }

    fn from(&mut self) -> From {
        self.numbers += 1;
        From { id: self.me.id, incarnation: self.me.incarnation, nonce: self.me.nonce, number: self.numbers }
    }

    fn send(&mut self, to: SocketAddr, message: Message, first: Option<Identity>) {
        if self.out.len() >= WAITING_MOST {
            self.figures.unsent += 1;
            return;
        }
        let from = self.from();
        let fleet = self.table.live() + 1;
        let rumours = self.rumours.take(DATAGRAM_MOST - PACKET, fleet, first);
        let bytes = self.config.fleet.packet(&Packet { from, message, rumours });
        self.figures.sent += 1;
        self.figures.sent_bytes += bytes.len() as u64;
        self.out.push_back((to, bytes));
    }

    // --- exchanges ---

    /// This member and all that it knows, as one side of an exchange.
    fn everything(&mut self) -> Vec<u8> {
        let from = self.from();
        let mut members = vec![(self.me.clone(), if self.leaving { State::Left } else { State::Alive })];
        members.extend(self.table.all().map(|s| (s.card.clone(), s.state)));
        let drains = self.drains.all().cloned().collect();
        self.config.fleet.exchange(&All { from, members, drains })
    }

    /// Another one began an exchange: what it sent, and what to answer. The error says why it is not taken.
    pub fn exchange(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<u8>, Bad> {
        self.merge(now, bytes)?;
        if self.out_of_it {
            return Err(Bad::Strange);
        }
        let answer = self.everything();
        self.figures.exchanged_bytes += answer.len() as u64;
        Ok(answer)
    }

    /// What came back of an exchange that this member began.
    pub fn exchanged(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Bad> {
        self.merge(now, bytes)
    }

    fn merge(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Bad> {
        self.figures.exchanged_bytes += bytes.len() as u64;
        let all = self.config.fleet.read_exchange(bytes).inspect_err(|bad| match bad {
            Bad::Strange => self.figures.strange += 1,
            Bad::Spoilt => self.figures.spoilt += 1,
            Bad::Version(_) => self.figures.version += 1,
        })?;
        if self.out_of_it {
            return Ok(());
        }
        let sender = all.from.id;
        for (card, state) in all.members {
            let (id, incarnation) = (card.id, card.incarnation);
            let known = self.table.get(id).is_some();
            match state {
                State::Alive => self.rumour(now, Rumour::Alive(card), sender, true),
                // The dead of others are taken over only where they were known alive.
                State::Failed | State::Left if !known && id != self.me.id => {}
                _ => {
                    // Its word of itself first: the report may be of a newer incarnation than is known.
                    if id != self.me.id && self.table.get(id).is_none_or(|s| s.card.incarnation < incarnation)
                    {
                        self.rumour(now, Rumour::Alive(card), sender, true);
                    }
                    self.report(now, Err((id, incarnation)), state, sender, true);
                }
            }
        }
        for drain in all.drains {
            self.rumour(now, Rumour::Drain(drain), sender, true);
        }
        if self.admit(now, &all.from) {
            self.check_name(now, sender);
        }
        self.flush_view();
        Ok(())
    }

    // --- news ---

    fn flush_view(&mut self) {
        let now = (self.view(), self.senders());
        if self.told != Some(now) {
            self.told = Some(now);
            self.events.push_back(Event::View(now.0));
        }
    }
}

fn cut(mut text: String) -> String {
    while text.len() > NAME_MOST {
        text.pop();
    }
    text
}

fn sane(card: &Card) -> bool {
    let short = card.name.len() <= NAME_MOST && card.zone.len() <= NAME_MOST;
    short && card.id.0 != 0 && card.at.port() != 0
}
