//! The loop's side towards the records: what is said to and by other holders, what is written and synced, requests of held
//! classes that wait for the records before their first attempt and before their answer goes out. It translates: what is held
//! and who holds is decided in `crates/control/idempotency-store`, where a request goes by the module. No request waits longer than the fleet's
//! file says, nor longer than its client.
use super::{EventLoop, Wake};
use crate::lifecycle::fleet::{HeldClass, RecordsParts, Without};
use crate::lifecycle::store::Store;
use crate::memory::requests::{Held, Phase};
use crate::wire::batches::Link;
use silvercross_core::interface::Micros;
use silvercross_facade::Request as Placed;
use silvercross_idempotency_store::command::MAX_VALUE_BYTES;
use silvercross_idempotency_store::placement::MemberStatus;
use silvercross_idempotency_store::{
    Command, Effect, Outcome, Records, StoreMessage, StoredResponse, SubmitError, TakeOutcome,
};
use silvercross_management::response;
use silvercross_net::registry::{Interest, Registry, Watched};
use silvercross_net::table::Handle;
use silvercross_raft::Node;
use silvercross_swim::{Identity, State};
use slog::{error, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

const STORE: usize = usize::MAX - 7;
const LINK_0: usize = usize::MAX - 1024;
/// Peers that are talked to at a time; the one that was silent for longest gives way.
const LINKS: usize = 256;
/// The list of members is handed on so often at least.
const PLACES: Micros = 250_000;
/// A key that somebody else has taken is asked for again after this.
const AGAIN: Micros = 50_000;
/// An answer goes out so long before its client stops waiting, whatever is still asked.
const MARGIN: Micros = 20_000;
/// What nobody waits for is asked for so long.
const GIVE: Micros = 2_000_000;
/// A document that is waited for is looked at so often, and so long at most.
const LOOK: Micros = 100_000;
const LOOK_FOR: Micros = 4_000_000;
/// An operator's order is waited for so long.
const ORDER: Micros = 3_000_000;
/// Share of an upstream's window in which a repeat elsewhere is safe: the rest is for clocks that drift.
const SAFE: f64 = 0.9;

/// Who waits for an ask.
enum Waits {
    Take(Handle),
    Hold(Handle),
    Nobody,
    Operator(usize),
}

/// Counted up.
#[derive(Default)]
pub struct Counts {
    marked: u64,
    unmarked: u64,
    from_records: u64,
    busy: u64,
    failed: u64,
    refused: u64,
    writes: u64,
}

/// What a sidecar needs to hold, and to ask.
pub struct Holding {
    pub(super) records: Records,
    store: Option<Store>,
    wake: Option<Watched<UnixStream>>,
    classes: Vec<HeldClass>,
    ask: Micros,
    links: Vec<Option<Link>>,
    seats: BTreeMap<Identity, usize>,
    asks: HashMap<u64, Waits>,
    /// Operators who wait for a later version of a document: its name, the version they know, until when.
    awaited: BTreeMap<usize, (String, u64, Micros)>,
    places_at: Micros,
    due: Micros,
    counts: Counts,
}

impl Holding {
    /// Everything watched.
    pub fn new(parts: RecordsParts, registry: &Registry) -> io::Result<Self> {
        let RecordsParts { records, mut store, classes, ask } = parts;
        let wake = store.as_mut().and_then(|s| s.wake.take());
        Ok(Holding {
            records,
            store,
            wake: wake.map(|w| registry.watch(w, STORE, Interest::Read)).transpose()?,
            classes,
            ask,
            links: (0..LINKS).map(|_| None).collect(),
            seats: BTreeMap::new(),
            asks: HashMap::new(),
            awaited: BTreeMap::new(),
            places_at: 0,
            due: Micros::MAX,
            counts: Counts::default(),
        })
    }

    /// Whether a readiness is the records'.
    pub fn is_key(key: usize) -> bool {
        key == STORE || (LINK_0..LINK_0 + LINKS).contains(&key)
    }

    /// The way to a peer: its own, a free one, or that of whoever was silent for longest.
    fn link(&mut self, to: Identity, now: Micros) -> usize {
        if let Some(seat) = self.seats.get(&to) {
            return *seat;
        }
        let longest = |(i, l): (usize, &Option<Link>)| (l.as_ref().map_or(Micros::MIN, |l| l.since), i);
        let seat = self.links.iter().enumerate().map(longest).min().map_or(0, |(_, i)| i);
        if let Some(old) = self.links[seat].take() {
            self.seats.remove(&old.to);
        }
        self.links[seat] = Some(Link::new(to, now));
        self.seats.insert(to, seat);
        seat
    }
}

impl EventLoop {
    pub(super) fn records_ready(&mut self, key: usize) {
        let now = self.balancer.now();
        if key == STORE {
            let Some(h) = &mut self.holding else { return };
            if let Some(wake) = &mut h.wake {
                let mut waste = [0; 64];
                while matches!(wake.get().read(&mut waste), Ok(n) if n > 0) {}
            }
            while let Some(done) = h.store.as_ref().and_then(Store::poll) {
                match done.well {
                    true => h.records.written(now, done.group, done.epoch, done.number),
                    false => h.records.write_failed(now, done.group, done.epoch),
                }
            }
        } else {
            self.go_on_with(key - LINK_0, now);
            return;
        }
        self.stirred = true;
    }

    fn go_on_with(&mut self, seat: usize, now: Micros) {
        let (Some(h), Some(fleet)) = (&mut self.holding, &self.fleet) else { return };
        let Some(Some(link)) = h.links.get_mut(seat) else { return };
        let (from, to) = (fleet.members.me().id, link.to);
        link.advance(now, &mut |said: Vec<StoreMessage>| {
            fleet.members.fleet().encode_batch(&(from, to, said))
        });
    }

    /// A batch has come from another member.
    pub(super) fn batch_came(&mut self, now: Micros, bytes: &[u8]) -> bool {
        let (Some(h), Some(fleet)) = (&mut self.holding, &self.fleet) else { return false };
        let batch: Result<(Identity, Identity, Vec<StoreMessage>), _> =
            fleet.members.fleet().decode_batch(bytes);
        let Ok((from, to, said)) = batch else { return false };
        if to == fleet.members.me().id {
            said.into_iter().for_each(|s| h.records.handle_message(now, from.0, s));
        }
        true
    }

    /// Let time pass for the records, and do what they want done.
    pub(super) fn mind_records(&mut self) {
        let now = self.balancer.now();
        let (Some(h), Some(fleet)) = (&mut self.holding, &self.fleet) else { return };
        if now >= h.places_at {
            h.places_at = now + PLACES;
            let place = |s: &silvercross_swim::table::Member| MemberStatus {
                node: Node(s.record.id.0),
                zone: s.record.zone.clone(),
                alive: matches!(s.state, State::Alive | State::Suspect),
            };
            let own = MemberStatus {
                node: Node(fleet.members.me().id.0),
                zone: fleet.members.me().zone.clone(),
                alive: true,
            };
            let places = fleet.members.others().map(place).chain([own]).collect();
            h.records.update_members(now, places);
        }
        h.records.tick(now);
        let mut done = Vec::new();
        let mut drains = false;
        while let Some(want) = h.records.poll_effect() {
            match want {
                Effect::Send(to, said) => {
                    let seat = h.link(Identity(to), now);
                    if let Some(link) = &mut h.links[seat] {
                        link.say(said);
                    }
                }
                Effect::Write(group, epoch, write) => {
                    h.counts.writes += 1;
                    let number = write.number;
                    match &h.store {
                        // In memory alone: as durable as the process.
                        None => h.records.written(now, group, epoch, number),
                        Some(store) => {
                            if !store.write(group, epoch, write) {
                                h.records.write_failed(now, group, epoch);
                            }
                        }
                    }
                }
                Effect::Completed(id, outcome) => done.push((id, outcome)),
                Effect::Ended(group, why) => {
                    error!(self.log, "a copy of the records has ended, and this member holds it no more";
                        "group" => group, "why" => ?why, "mend" => "restart it: it will be somebody new");
                    if let Some(Err(e)) = h.store.as_ref().map(Store::give_up) {
                        error!(self.log, "its store can't be put aside"; "error" => e.to_string());
                    }
                }
                Effect::DrainsChanged => drains = true,
            }
        }
        let ready: Vec<usize> = (0..LINKS).filter(|i| h.links[*i].is_some()).collect();
        for seat in ready {
            self.mind_link(seat, now);
        }
        if drains {
            self.ordered_drains();
        }
        for (id, outcome) in done {
            self.ask_done(now, id, outcome);
        }
        self.wake_for_records(now);
    }

    fn mind_link(&mut self, seat: usize, now: Micros) {
        let registry = self.registry.clone();
        let (Some(h), Some(fleet)) = (&mut self.holding, &self.fleet) else { return };
        let Some(link) = &mut h.links[seat] else { return };
        link.tick(now);
        if link.wants(now) {
            let at = fleet.members.others().find(|s| s.record.id == link.to).map(|s| s.record.at);
            match at {
                Some(at) => {
                    let made = fleet.reach(at).and_then(|s| registry.watch(s, LINK_0 + seat, Interest::Both));
                    link.connected(now, made);
                }
                None => link.connected(now, Err(io::ErrorKind::NotFound.into())),
            }
        }
        if link.is_idle() && now > link.since + 1_000_000 {
            let to = link.to;
            h.links[seat] = None;
            h.seats.remove(&to);
            return;
        }
        self.go_on_with(seat, now);
    }

    fn wake_for_records(&mut self, now: Micros) {
        let Some(h) = &mut self.holding else { return };
        let retry = h.links.iter().flatten().any(|l| !l.is_idle());
        let links = if retry { now + AGAIN } else { Micros::MAX };
        let wake = h.records.next_deadline().min(h.places_at).min(links).max(now + 1_000);
        if wake < h.due || h.due <= now {
            h.due = wake;
            self.balancer.set_timer(wake, Wake::Records);
        }
    }

    /// The timer has come; an older one that was overtaken is passed over.
    pub(super) fn records_woken(&mut self) {
        let now = self.balancer.now();
        if self.holding.as_ref().is_some_and(|h| h.due <= now) {
            self.mind_records();
        }
    }

    /// A planned stop: what this process leads goes to others, and what is said of it goes out.
    pub(super) fn leave_records(&mut self) {
        let now = self.balancer.now();
        if let Some(h) = &mut self.holding {
            h.records.transfer_leadership(now);
        }
        self.mind_records();
    }

    // --- requests of held classes ---

    /// A request is about to be placed. `None`: it waits for the records first.
    pub(super) fn hold_first(
        &mut self,
        request: Handle,
        placed: Placed,
        class: &str,
        head: &[u8],
    ) -> Option<Placed> {
        let Some(h) = &mut self.holding else { return Some(placed) };
        let Some(number) = h.classes.iter().position(|c| c.name == class) else { return Some(placed) };
        let key = head.split(|b| *b == b'\n').find_map(|line| {
            let line = std::str::from_utf8(line).ok()?;
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("Idempotency-Key").then(|| value.trim().to_string())
        });
        let Some(key) = key.filter(|k| !k.is_empty() && k.len() + class.len() < 500) else {
            return Some(placed);
        };
        let now = self.balancer.now();
        let left = placed.budget.unwrap_or_else(|| self.balancer.deadline_of(placed.class));
        let key = format!("{class} {key}");
        let held = Held {
            key,
            class: number,
            phase: Phase::Asking,
            since: now,
            until: now + left,
            placed: Some(placed),
            answer: None,
        };
        if let Some(r) = self.requests.get_mut(request) {
            r.held = Some(Box::new(held));
        }
        self.ask_to_take(request);
        None
    }

    /// Ask for a request's key.
    pub(super) fn ask_to_take(&mut self, request: Handle) {
        let now = self.balancer.now();
        let Some(h) = &mut self.holding else { return };
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        if !matches!(held.phase, Phase::Asking | Phase::Waiting) {
            return;
        }
        held.phase = Phase::Asking;
        let window_ms = h.classes[held.class].window_ms;
        let wait = h.ask.min((held.until - now) / 2);
        let command = Command::Take { key: held.key.clone(), window_ms };
        let id = h.records.submit_for_key(now, &held.key.clone(), command, now + wait.max(1_000));
        h.asks.insert(id, Waits::Take(request));
        self.stirred = true;
    }

    fn ask_done(&mut self, now: Micros, id: u64, outcome: Result<Outcome, SubmitError>) {
        let Some(waits) = self.holding.as_mut().and_then(|h| h.asks.remove(&id)) else { return };
        match waits {
            Waits::Nobody => {}
            Waits::Take(request) => self.took(now, request, outcome),
            Waits::Hold(request) => {
                let marked = matches!(outcome, Ok(Outcome::Done(_)));
                let key = self.requests.get(request).and_then(|r| r.held.as_ref()).map(|h| h.key.clone());
                if let (false, Some(key)) = (marked, key) {
                    // Whoever asks again is not to wait for an answer that is not held.
                    self.ask_for_nobody(now, key, true);
                }
                self.held_answer(request, marked);
            }
            Waits::Operator(seat) => self.operator_told(seat, outcome),
        }
        self.do_steps();
    }

    fn took(&mut self, now: Micros, request: Handle, outcome: Result<Outcome, SubmitError>) {
        let Some(h) = &mut self.holding else { return };
        let Some(r) = self.requests.get_mut(request) else { return };
        let there = r.client.is_some();
        let Some(held) = r.held.as_mut() else { return };
        let class = &h.classes[held.class];
        match outcome {
            Ok(Outcome::Take(TakeOutcome::Yours)) if there => {
                held.phase = Phase::Taken;
                self.place_held(now, request, false);
            }
            Ok(Outcome::Take(TakeOutcome::Yours)) => {
                // Its client has left meanwhile, and nothing was sent.
                held.phase = Phase::Taken;
                self.give_held(request, false);
                self.forget_if_done(request);
            }
            Ok(Outcome::Take(TakeOutcome::Held(a))) => {
                held.phase = Phase::Free;
                h.counts.from_records += 1;
                let mut lines = a.lines;
                let mark: &[u8] = if a.body.is_some() { b"X-Held: 1\r\n" } else { b"X-Held: outcome\r\n" };
                lines.extend_from_slice(mark);
                self.counts.served += 1;
                self.answer_call(request, a.status, &lines, &[&a.body.unwrap_or_default()]);
            }
            Ok(Outcome::Take(TakeOutcome::Busy { by, passed_ms, over })) => {
                h.counts.busy += 1;
                let waits = !over && h.records.is_live(by) && now + 2 * AGAIN + MARGIN < held.until;
                let placed = held.placed.as_ref().map_or(0, |p| p.class);
                let safe = self.balancer.repeat_window(placed).map(|w| (w as f64 / 1e3 * SAFE) as u64);
                if waits && there {
                    held.phase = Phase::Waiting;
                    return self.balancer.set_timer(now + AGAIN, Wake::Retake(request));
                }
                held.phase = Phase::Free;
                if there && passed_ms.zip(safe).is_some_and(|(passed, safe)| passed < safe) {
                    // Any upstream drops its repeat, for long enough.
                    return self.place_held(now, request, true);
                }
                // It may have run elsewhere, and nobody knows.
                h.counts.failed += 1;
                self.counts.failed += 1;
                self.answer_call(
                    request,
                    502,
                    b"",
                    &[b"another sidecar may have sent it, and its answer is not known\n"],
                );
            }
            _ => {
                let sent = !matches!(
                    outcome,
                    Err(SubmitError::Unavailable { sent: false } | SubmitError::TooManyPending)
                );
                let (key, refuses) = (held.key.clone(), class.without == Without::Refuse);
                held.phase = Phase::Free;
                if sent {
                    // The take may yet come about: nothing is to stand under it.
                    self.ask_for_nobody(now, key, false);
                }
                if let Some(h) = &mut self.holding {
                    h.counts.refused += u64::from(refuses);
                    h.counts.unmarked += u64::from(!refuses);
                }
                match refuses {
                    true => {
                        self.counts.refused += 1;
                        self.answer_call(
                            request,
                            503,
                            b"Retry-After: 1\r\n",
                            &[b"the records can't be asked; nothing ran\n"],
                        );
                    }
                    false => self.place_held(now, request, false),
                }
            }
        }
    }

    /// A request that waited for the records is placed, with the time it has left.
    fn place_held(&mut self, now: Micros, request: Handle, repeat: bool) {
        let Some(r) = self.requests.get_mut(request).filter(|r| r.client.is_some()) else { return };
        let Some(held) = r.held.as_mut() else { return };
        let Some(mut placed) = held.placed.take() else { return };
        let waited = now - held.since;
        placed.budget = placed.budget.map(|b| (b - waited).max(0)).or(Some((held.until - now).max(0)));
        placed.client_retry |= repeat;
        let turn = self.balancer.pick(placed);
        self.absorb(turn);
    }

    /// Whether a request's answer is to be held before it goes out.
    pub(super) fn is_to_be_held(&self, request: Handle) -> bool {
        let held = self.requests.get(request).and_then(|r| r.held.as_ref());
        held.is_some_and(|h| matches!(h.phase, Phase::Taken))
    }

    /// The answer has come: it is held, and then goes out.
    pub(super) fn hold_answer(&mut self, request: Handle, lines: Vec<u8>, parts: &[&[u8]]) {
        let now = self.balancer.now();
        let Some(h) = &mut self.holding else { return };
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        let body: Vec<u8> = parts.concat();
        let fits = body.len() <= MAX_VALUE_BYTES && lines.len() <= MAX_VALUE_BYTES;
        let answer = StoredResponse { status: 200, lines: lines.clone(), body: fits.then(|| body.clone()) };
        (held.answer, held.phase) = (Some((lines, body)), Phase::Holding);
        let window_ms = h.classes[held.class].window_ms;
        // Its answer is held for whoever asks again, though this client be told without the mark.
        let until = now + h.ask.min(held.until - MARGIN - now);
        let command = Command::Hold { key: held.key.clone(), window_ms, answer };
        let id = h.records.submit_for_key(now, &held.key.clone(), command.clone(), now + GIVE);
        h.asks.insert(id, Waits::Hold(request));
        self.balancer.set_timer(until.max(now + 1_000), Wake::Unheld(request));
        self.stirred = true;
    }

    /// An answer is held, or was not in time: it goes out.
    pub(super) fn held_answer(&mut self, request: Handle, marked: bool) {
        let Some(h) = &mut self.holding else { return };
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        let Some((mut lines, body)) = held.answer.take() else { return };
        held.phase = Phase::Free;
        let marked = marked && h.records.is_fully_replicated(h.records.group_of(&held.key));
        match marked {
            true => h.counts.marked += 1,
            false => h.counts.unmarked += 1,
        }
        if marked {
            let mark: &[u8] =
                if body.len() <= MAX_VALUE_BYTES { b"X-Held: 1\r\n" } else { b"X-Held: outcome\r\n" };
            lines.extend_from_slice(mark);
        }
        self.answer_call(request, 200, &lines, &[&body]);
    }

    /// A request ends without an answer that is held: others are told whether it may have run.
    pub(super) fn give_held(&mut self, request: Handle, may_have_run: bool) {
        let now = self.balancer.now();
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        if held.phase == Phase::Taken {
            held.phase = Phase::Free;
            let key = held.key.clone();
            self.ask_for_nobody(now, key, may_have_run);
        }
    }

    fn ask_for_nobody(&mut self, now: Micros, key: String, may_have_run: bool) {
        let Some(h) = &mut self.holding else { return };
        let id = h.records.submit_for_key(now, &key.clone(), Command::Give { key, may_have_run }, now + GIVE);
        h.asks.insert(id, Waits::Nobody);
        self.stirred = true;
    }

    // --- operators ---

    /// Operators' drains have changed: each holds whatever the list says, until it is taken back.
    fn ordered_drains(&mut self) {
        let Some(h) = &self.holding else { return };
        let names = h.records.drains().to_vec();
        let new: Vec<&String> = names.iter().filter(|n| !self.ordered.contains(*n)).collect();
        for name in new {
            info!(self.log, "an operator ordered a drain"; "host" => name);
            let turn = self.balancer.peer_reported_drain(name, u64::MAX, true);
            self.absorb(turn);
        }
        let over: Vec<String> = self.ordered.iter().filter(|n| !names.contains(*n)).cloned().collect();
        for name in over {
            info!(self.log, "an operator ended a drain"; "host" => &name);
            let turn = self.balancer.peer_reported_drain(&name, u64::MAX, false);
            self.absorb(turn);
        }
        self.ordered = names;
    }

    /// An operator's order that takes its time: the seat is answered when it is done.
    pub(super) fn order(&mut self, seat: usize, command: Command) -> Option<Vec<u8>> {
        let now = self.balancer.now();
        let Some(h) = &mut self.holding else { return Some(response(404, NO_RECORDS)) };
        if let Err(why) = command.validate() {
            return Some(response(400, &format!("{why}\n")));
        }
        let name = match &command {
            Command::Put { name, .. } | Command::Get { name } | Command::Drain { name, .. } => name.clone(),
            _ => String::new(),
        };
        if !matches!(command, Command::Get { .. }) {
            h.awaited.remove(&seat);
        }
        let id = h.records.submit_for_key(now, &name, command, now + ORDER);
        h.asks.retain(|_, w| !matches!(w, Waits::Operator(s) if *s == seat));
        h.asks.insert(id, Waits::Operator(seat));
        self.stirred = true;
        None
    }

    /// A document is asked for; it is told at once, or when it is later than the version that is known.
    pub(super) fn order_document(
        &mut self,
        seat: usize,
        name: String,
        above: Option<u64>,
        wait_ms: u64,
    ) -> Option<Vec<u8>> {
        let now = self.balancer.now();
        if let Some(h) = &mut self.holding {
            h.awaited.remove(&seat);
            if let Some(above) = above {
                let until = now + (wait_ms.min(1 << 40) as Micros * 1000).min(LOOK_FOR);
                h.awaited.insert(seat, (name.clone(), above, until));
            }
        }
        self.order(seat, Command::Get { name })
    }

    /// A document that an operator waits for is looked at again.
    pub(super) fn look_again(&mut self, seat: usize) {
        let name = self.holding.as_ref().and_then(|h| h.awaited.get(&seat)).map(|a| a.0.clone());
        if let Some(name) = name {
            self.order(seat, Command::Get { name });
        }
    }

    fn operator_told(&mut self, seat: usize, outcome: Result<Outcome, SubmitError>) {
        let now = self.balancer.now();
        if let (Some(h), Ok(Outcome::Document(version, _))) = (&mut self.holding, &outcome) {
            let waits = |a: &(String, u64, Micros)| *version <= a.1 && now + LOOK < a.2;
            if h.awaited.get(&seat).is_some_and(waits) {
                return self.balancer.set_timer(now + LOOK, Wake::Look(seat));
            }
            h.awaited.remove(&seat);
        }
        let bytes = match outcome {
            Ok(Outcome::Done(version)) => response(200, &format!("{{\"version\":{version}}}\n")),
            Ok(Outcome::Document(0, _)) => response(404, "{\"version\":0}\n"),
            Ok(Outcome::Document(version, bytes)) => {
                let value = String::from_utf8_lossy(&bytes.unwrap_or_default()).into_owned();
                response(200, &(serde_json::json!({"version": version, "value": value}).to_string() + "\n"))
            }
            Ok(Outcome::Other(version)) => response(409, &format!("{{\"version\":{version}}}\n")),
            Ok(Outcome::Full) => response(507, "there is no room\n"),
            Ok(_) => response(400, "not done\n"),
            Err(SubmitError::Unavailable { sent: false }) => {
                response(503, "most holders can't be asked; nothing was done\n")
            }
            Err(_) => response(504, "it may have been done, or may yet be\n"),
        };
        self.operator_answered(seat, bytes);
    }

    /// Found the records here.
    pub(super) fn found_records(&mut self) -> Vec<u8> {
        let now = self.balancer.now();
        let Some(h) = &mut self.holding else { return response(404, NO_RECORDS) };
        let told = match h.records.bootstrap(now) {
            Ok(epoch) => {
                info!(self.log, "the records were founded here"; "epoch" => epoch.0);
                response(200, &format!("{{\"epoch\":{}}}\n", epoch.0))
            }
            Err(why) => response(409, &format!("{why}\n")),
        };
        self.mind_records();
        told
    }

    /// Begin a new epoch of a group here.
    pub(super) fn recover_records(&mut self, group: u32) -> Vec<u8> {
        let now = self.balancer.now();
        let Some(h) = &mut self.holding else { return response(404, NO_RECORDS) };
        let told = match h.records.recover(now, group) {
            Ok((epoch, index, term)) => {
                warn!(self.log, "a new epoch of the records begins here, by an operator's order"; "group" => group,
                    "epoch" => epoch.0, "from" => index, "term" => term);
                let text = format!("{{\"epoch\":{},\"from\":{index},\"term\":{term}}}\n", epoch.0);
                response(200, &text)
            }
            Err(why) => response(409, &format!("{why}\n")),
        };
        self.mind_records();
        told
    }

    /// What is held and known, as JSON.
    pub(super) fn records_told(&self) -> Option<String> {
        let h = self.holding.as_ref()?;
        let now = self.balancer.now();
        let groups: Vec<serde_json::Value> = (0..h.records.groups())
            .map(|g| {
                let hex = |n: &u64| format!("{n:016x}");
                let card = h.records.group_info(g).map(|c| {
                    serde_json::json!({
                        "epoch": c.epoch.0, "term": c.term, "leader": c.leader.as_ref().map(hex),
                        "voters": c.voters.iter().map(hex).collect::<Vec<_>>(),
                        "learners": c.learners.iter().map(hex).collect::<Vec<_>>(),
                    })
                });
                let copy = h.records.replica(g).map(|(epoch, copy)| {
                    let r = &copy.raft;
                    let (records, documents, sessions, bytes) = copy.machine.size();
                    let far = r.progress().map(|p| {
                        let line = |(n, p): (&Node, &silvercross_raft::Progress)| {
                            (hex(&n.0), serde_json::json!({"matched": p.matched, "heard_s": (now - p.heard_at.as_micros()) as f64 / 1e6}))
                        };
                        p.iter().map(line).collect::<BTreeMap<_, _>>()
                    });
                    serde_json::json!({
                        "epoch": epoch.0, "leads": r.is_leader(), "term": r.term(), "last": r.log().last_index(),
                        "last_term": r.log().last_term(), "commit": r.commit_index(), "applied": r.applied_index(),
                        "durable": r.durable_index(), "writes": r.writes(), "entries": r.log().len(), "records": records,
                        "documents": documents, "sessions": sessions, "bytes": bytes, "changing": r.is_changing(), "followers": far,
                        "ended": copy.ended().map(|e| format!("{e:?}")), "stood": r.metrics.campaigns, "led": r.metrics.terms_led,
                    })
                });
                serde_json::json!({"group": g, "known": card, "copy": copy,
                    "silent_s": h.records.unresponsive_since(g).map(|s| (now - s) as f64 / 1e6)})
            })
            .collect();
        let told = serde_json::json!({
            "id": format!("{:016x}", h.records.me()), "holders": h.records.target_voters(), "groups": groups,
            "drains": h.records.drains(), "disk": h.store.is_some(), "foreign": h.records.foreign_epochs,
            "figures": {
                "marked": h.counts.marked, "unmarked": h.counts.unmarked, "from_records": h.counts.from_records,
                "busy": h.counts.busy, "failed": h.counts.failed, "refused": h.counts.refused, "writes": h.counts.writes,
                "asks_open": h.asks.len(), "links": h.seats.len(),
            },
        });
        Some(told.to_string() + "\n")
    }

    /// The records' lines among the figures.
    pub(super) fn records_figures(&self) -> String {
        let Some(h) = &self.holding else { return String::new() };
        let c = &h.counts;
        let mut out = String::new();
        for (what, n) in [
            ("marked_total", c.marked),
            ("unmarked_total", c.unmarked),
            ("from_records_total", c.from_records),
            ("busy_total", c.busy),
            ("failed_total", c.failed),
            ("refused_total", c.refused),
            ("writes_total", c.writes),
            ("asks_open", h.asks.len() as u64),
        ] {
            out += &format!("svc_records_{what} {n}\n");
        }
        for g in 0..h.records.groups() {
            let leads = h.records.replica(g).is_some_and(|(_, c)| c.raft.is_leader());
            let full = h.records.is_fully_replicated(g);
            out += &format!("svc_records_leads{{group=\"{g}\"}} {}\n", u8::from(leads));
            out += &format!("svc_records_full{{group=\"{g}\"}} {}\n", u8::from(full));
        }
        out
    }
}

/// What is told where nothing is held.
pub(super) const NO_RECORDS: &str = "this sidecar's fleet holds nothing: its file has no [records]\n";
