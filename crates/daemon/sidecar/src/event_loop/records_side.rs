//! The event loop and the records, the replicated store of claims and responses of keyed requests: messages to and from other
//! members, writes to disk, and requests of the classes whose responses are stored. Such a request waits for the claim of
//! its key before its first attempt, and its response waits until it is stored. What the records contain and which members
//! have copies is decided in `crates/control/idempotency-store`; where a request is sent, by the decision module. No request
//! waits longer for the records than the fleet's file allows, nor longer than its client does.
use super::{EventLoop, Wake};
use crate::lifecycle::fleet::{HeldClass, RecordsParts, Without};
use crate::lifecycle::store::Store;
use crate::memory::requests::{Held, Phase};
use crate::wire::batches::Link;
use silvercross_core::interface::Micros;
use silvercross_facade::Request as BalancerRequest;
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

const STORE_KEY: usize = usize::MAX - 7;
const FIRST_LINK_KEY: usize = usize::MAX - 1024;
/// Maximum number of members to which a link exists at a time; the one unused for longest is replaced.
const MAX_LINKS: usize = 256;
/// Interval at which the list of members is passed to the records.
const MEMBERS_INTERVAL: Micros = 250_000;
/// The claim of a key that another sidecar has claimed is retried after this.
const CLAIM_RETRY_DELAY: Micros = 50_000;
/// A response is sent at the latest this long before its client stops waiting, even if it is not stored yet.
const RESPONSE_MARGIN: Micros = 20_000;
/// Time limit of commands that no client waits for to the end: storing a response, releasing a claim.
const BACKGROUND_TIMEOUT: Micros = 2_000_000;
/// A document whose next version is waited for is read at this interval, and for this long at most.
const DOCUMENT_POLL_INTERVAL: Micros = 100_000;
const MAX_DOCUMENT_WAIT: Micros = 4_000_000;
/// Time limit of an operator's command.
const OPERATOR_TIMEOUT: Micros = 3_000_000;
/// Share of the upstreams' duplicate window within which a retry from here is considered safe; the rest allows for clock
/// drift.
const SAFE_WINDOW_SHARE: f64 = 0.9;

/// Who waits for the outcome of a command.
enum Waiter {
    Claim(Handle),
    Store(Handle),
    Nobody,
    Operator(usize),
}

/// Counts since the start.
#[derive(Default)]
pub struct Counts {
    /// Responses sent with the `X-Held` header after they were stored.
    marked: u64,
    /// Responses sent without it, and requests sent without a claim since their key could not be claimed.
    unmarked: u64,
    /// Requests answered with a stored response.
    from_records: u64,
    /// Claims that found the key claimed by another sidecar.
    busy: u64,
    /// Requests that failed since another sidecar may have sent them.
    failed: u64,
    /// Requests refused since their key could not be claimed.
    refused: u64,
    /// Writes requested by the records.
    writes: u64,
}

/// A sidecar's part in the records, with its links to other members and the commands under way.
pub struct RecordsSide {
    pub(super) records: Records,
    store: Option<Store>,
    wake: Option<Watched<UnixStream>>,
    classes: Vec<HeldClass>,
    /// Maximum time that a request waits for its claim or for the store of its response.
    max_wait: Micros,
    links: Vec<Option<Link>>,
    link_indices: BTreeMap<Identity, usize>,
    /// Commands under way, by their id.
    commands: HashMap<u64, Waiter>,
    /// By slot, operators who wait for a later version of a document: its name, the version that they know, until when.
    awaited: BTreeMap<usize, (String, u64, Micros)>,
    members_due: Micros,
    due: Micros,
    counts: Counts,
}

impl RecordsSide {
    /// Registers the store's wake-up stream with the poller.
    pub fn new(parts: RecordsParts, registry: &Registry) -> io::Result<Self> {
        let RecordsParts { records, mut store, classes, ask: max_wait } = parts;
        let wake = store.as_mut().and_then(|s| s.wake.take());
        Ok(RecordsSide {
            records,
            store,
            wake: wake.map(|w| registry.watch(w, STORE_KEY, Interest::Read)).transpose()?,
            classes,
            max_wait,
            links: (0..MAX_LINKS).map(|_| None).collect(),
            link_indices: BTreeMap::new(),
            commands: HashMap::new(),
            awaited: BTreeMap::new(),
            members_due: 0,
            due: Micros::MAX,
            counts: Counts::default(),
        })
    }

    /// Whether a poller key belongs to the records.
    pub fn is_key(key: usize) -> bool {
        key == STORE_KEY || (FIRST_LINK_KEY..FIRST_LINK_KEY + MAX_LINKS).contains(&key)
    }

    /// Index of the link to a member: an existing one, a free one, or the one unused for longest.
    fn link(&mut self, to: Identity, now: Micros) -> usize {
        if let Some(index) = self.link_indices.get(&to) {
            return *index;
        }
        let longest = |(i, l): (usize, &Option<Link>)| (l.as_ref().map_or(Micros::MIN, |l| l.since), i);
        let index = self.links.iter().enumerate().map(longest).min().map_or(0, |(_, i)| i);
        if let Some(old) = self.links[index].take() {
            self.link_indices.remove(&old.to);
        }
        self.links[index] = Some(Link::new(to, now));
        self.link_indices.insert(to, index);
        index
    }
}

impl EventLoop {
    pub(super) fn records_ready(&mut self, key: usize) {
        let now = self.balancer.now();
        if key == STORE_KEY {
            let Some(h) = &mut self.records_side else { return };
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
            self.transfer_on_link(key - FIRST_LINK_KEY, now);
            return;
        }
        self.records_pending = true;
    }

    fn transfer_on_link(&mut self, index: usize, now: Micros) {
        let (Some(h), Some(fleet)) = (&mut self.records_side, &self.fleet) else { return };
        let Some(Some(link)) = h.links.get_mut(index) else { return };
        let (from, to) = (fleet.members.me().id, link.to);
        link.advance(now, &mut |said: Vec<StoreMessage>| {
            fleet.members.fleet().encode_batch(&(from, to, said))
        });
    }

    /// A batch has arrived from another member; `false` if it is not accepted.
    pub(super) fn batch_received(&mut self, now: Micros, bytes: &[u8]) -> bool {
        let (Some(h), Some(fleet)) = (&mut self.records_side, &self.fleet) else { return false };
        let batch: Result<(Identity, Identity, Vec<StoreMessage>), _> =
            fleet.members.fleet().decode_batch(bytes);
        let Ok((from, to, said)) = batch else { return false };
        if to == fleet.members.me().id {
            said.into_iter().for_each(|s| h.records.handle_message(now, from.0, s));
        }
        true
    }

    /// Advances the records to the present time and carries out what they ask for.
    pub(super) fn advance_records(&mut self) {
        let now = self.balancer.now();
        let (Some(h), Some(fleet)) = (&mut self.records_side, &self.fleet) else { return };
        if now >= h.members_due {
            h.members_due = now + MEMBERS_INTERVAL;
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
                    let index = h.link(Identity(to), now);
                    if let Some(link) = &mut h.links[index] {
                        link.enqueue(said);
                    }
                }
                Effect::Write(group, epoch, write) => {
                    h.counts.writes += 1;
                    let number = write.number;
                    match &h.store {
                        // Without a disk the copy is in memory only, and a write needs no sync.
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
                    error!(self.log, "this member has given up its copy of a group of the records";
                        "group" => group, "why" => ?why, "mend" => "restart this process: it joins under a new identity");
                    if let Some(Err(e)) = h.store.as_ref().map(Store::give_up) {
                        error!(self.log, "the store file of a copy that was given up could not be renamed or removed"; "error" => e.to_string());
                    }
                }
                Effect::DrainsChanged => drains = true,
            }
        }
        let ready: Vec<usize> = (0..MAX_LINKS).filter(|i| h.links[*i].is_some()).collect();
        for index in ready {
            self.advance_link(index, now);
        }
        if drains {
            self.update_ordered_drains();
        }
        for (id, outcome) in done {
            self.command_ended(now, id, outcome);
        }
        self.wake_for_records(now);
    }

    fn advance_link(&mut self, index: usize, now: Micros) {
        let registry = self.registry.clone();
        let (Some(h), Some(fleet)) = (&mut self.records_side, &self.fleet) else { return };
        let Some(link) = &mut h.links[index] else { return };
        link.tick(now);
        if link.needs_connection(now) {
            let at = fleet.members.others().find(|s| s.record.id == link.to).map(|s| s.record.at);
            match at {
                Some(at) => {
                    let made = fleet
                        .connect_to(at)
                        .and_then(|s| registry.watch(s, FIRST_LINK_KEY + index, Interest::Both));
                    link.connected(now, made);
                }
                None => link.connected(now, Err(io::ErrorKind::NotFound.into())),
            }
        }
        if link.is_idle() && now > link.since + 1_000_000 {
            let to = link.to;
            h.links[index] = None;
            h.link_indices.remove(&to);
            return;
        }
        self.transfer_on_link(index, now);
    }

    fn wake_for_records(&mut self, now: Micros) {
        let Some(h) = &mut self.records_side else { return };
        let retry = h.links.iter().flatten().any(|l| !l.is_idle());
        let links = if retry { now + CLAIM_RETRY_DELAY } else { Micros::MAX };
        let wake = h.records.next_deadline().min(h.members_due).min(links).max(now + 1_000);
        if wake < h.due || h.due <= now {
            h.due = wake;
            self.balancer.set_timer(wake, Wake::Records);
        }
    }

    /// The timer has expired; one that was set earlier than the present one is ignored.
    pub(super) fn records_timer_expired(&mut self) {
        let now = self.balancer.now();
        if self.records_side.as_ref().is_some_and(|h| h.due <= now) {
            self.advance_records();
        }
    }

    /// At a planned stop: groups that this process leads are handed to other members, and the messages for that are sent.
    pub(super) fn leave_records(&mut self) {
        let now = self.balancer.now();
        if let Some(h) = &mut self.records_side {
            h.records.transfer_leadership(now);
        }
        self.advance_records();
    }

    // --- requests of classes whose responses are stored ---

    /// A request is about to be passed to the balancer. `None`: its key is claimed first.
    pub(super) fn claim_first(
        &mut self,
        request: Handle,
        placed: BalancerRequest,
        class: &str,
        head: &[u8],
    ) -> Option<BalancerRequest> {
        let Some(h) = &mut self.records_side else { return Some(placed) };
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
        self.send_claim(request);
        None
    }

    /// Sends the claim of a request's key.
    pub(super) fn send_claim(&mut self, request: Handle) {
        let now = self.balancer.now();
        let Some(h) = &mut self.records_side else { return };
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        if !matches!(held.phase, Phase::Asking | Phase::Waiting) {
            return;
        }
        held.phase = Phase::Asking;
        let window_ms = h.classes[held.class].window_ms;
        let wait = h.max_wait.min((held.until - now) / 2);
        let command = Command::Take { key: held.key.clone(), window_ms };
        let id = h.records.submit_for_key(now, &held.key.clone(), command, now + wait.max(1_000));
        h.commands.insert(id, Waiter::Claim(request));
        self.records_pending = true;
    }

    fn command_ended(&mut self, now: Micros, id: u64, outcome: Result<Outcome, SubmitError>) {
        let Some(waiter) = self.records_side.as_mut().and_then(|h| h.commands.remove(&id)) else { return };
        match waiter {
            Waiter::Nobody => {}
            Waiter::Claim(request) => self.claim_answered(now, request, outcome),
            Waiter::Store(request) => {
                let marked = matches!(outcome, Ok(Outcome::Done(_)));
                let key = self.requests.get(request).and_then(|r| r.held.as_ref()).map(|h| h.key.clone());
                if let (false, Some(key)) = (marked, key) {
                    // A client's retry must not wait for a response that was not stored.
                    self.send_release(now, key, true);
                }
                self.response_stored(request, marked);
            }
            Waiter::Operator(slot) => self.operator_command_ended(slot, outcome),
        }
        self.run_steps();
    }

    fn claim_answered(&mut self, now: Micros, request: Handle, outcome: Result<Outcome, SubmitError>) {
        let Some(h) = &mut self.records_side else { return };
        let Some(r) = self.requests.get_mut(request) else { return };
        let connected = r.client.is_some();
        let Some(held) = r.held.as_mut() else { return };
        let class = &h.classes[held.class];
        match outcome {
            Ok(Outcome::Take(TakeOutcome::Yours)) if connected => {
                held.phase = Phase::Taken;
                self.pick_claimed(now, request, false);
            }
            Ok(Outcome::Take(TakeOutcome::Yours)) => {
                // Its client has disconnected meanwhile, and nothing was sent.
                held.phase = Phase::Taken;
                self.release_claim(request, false);
                self.forget_if_done(request);
            }
            Ok(Outcome::Take(TakeOutcome::Held(a))) => {
                held.phase = Phase::Free;
                h.counts.from_records += 1;
                let mut lines = a.lines;
                let held_line: &[u8] =
                    if a.body.is_some() { b"X-Held: 1\r\n" } else { b"X-Held: outcome\r\n" };
                lines.extend_from_slice(held_line);
                self.counts.served += 1;
                self.answer_call(request, a.status, &lines, &[&a.body.unwrap_or_default()]);
            }
            Ok(Outcome::Take(TakeOutcome::Busy { by, passed_ms, over })) => {
                h.counts.busy += 1;
                let may_wait = !over
                    && h.records.is_live(by)
                    && now + 2 * CLAIM_RETRY_DELAY + RESPONSE_MARGIN < held.until;
                let placed = held.placed.as_ref().map_or(0, |p| p.class);
                let safe =
                    self.balancer.repeat_window(placed).map(|w| (w as f64 / 1e3 * SAFE_WINDOW_SHARE) as u64);
                if may_wait && connected {
                    held.phase = Phase::Waiting;
                    return self.balancer.set_timer(now + CLAIM_RETRY_DELAY, Wake::RetryClaim(request));
                }
                held.phase = Phase::Free;
                if connected && passed_ms.zip(safe).is_some_and(|(passed, safe)| passed < safe) {
                    // Every upstream still recognises it as a duplicate, if the other sidecar has sent it.
                    return self.pick_claimed(now, request, true);
                }
                // The other sidecar may have sent it, and whether it was executed is not known.
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
                    // The claim may still take effect and would block retries, so it is released.
                    self.send_release(now, key, false);
                }
                if let Some(h) = &mut self.records_side {
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
                    false => self.pick_claimed(now, request, false),
                }
            }
        }
    }

    /// Passes a request that waited for its claim to the balancer, with the time it has left.
    fn pick_claimed(&mut self, now: Micros, request: Handle, repeat: bool) {
        let Some(r) = self.requests.get_mut(request).filter(|r| r.client.is_some()) else { return };
        let Some(held) = r.held.as_mut() else { return };
        let Some(mut placed) = held.placed.take() else { return };
        let waited = now - held.since;
        placed.budget = placed.budget.map(|b| (b - waited).max(0)).or(Some((held.until - now).max(0)));
        placed.client_retry |= repeat;
        let decision = self.balancer.pick(placed);
        self.queue_steps(decision);
    }

    /// Whether a request's response is to be stored before it is sent.
    pub(super) fn must_store_response(&self, request: Handle) -> bool {
        let held = self.requests.get(request).and_then(|r| r.held.as_ref());
        held.is_some_and(|h| matches!(h.phase, Phase::Taken))
    }

    /// The response has arrived: it is stored, and then sent.
    pub(super) fn store_response(&mut self, request: Handle, lines: Vec<u8>, parts: &[&[u8]]) {
        let now = self.balancer.now();
        let Some(h) = &mut self.records_side else { return };
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        let body: Vec<u8> = parts.concat();
        let fits = body.len() <= MAX_VALUE_BYTES && lines.len() <= MAX_VALUE_BYTES;
        let answer = StoredResponse { status: 200, lines: lines.clone(), body: fits.then(|| body.clone()) };
        (held.answer, held.phase) = (Some((lines, body)), Phase::Holding);
        let window_ms = h.classes[held.class].window_ms;
        // Storing continues after this limit, for later retries, although this client then gets its response without the
        // header.
        let until = now + h.max_wait.min(held.until - RESPONSE_MARGIN - now);
        let command = Command::Hold { key: held.key.clone(), window_ms, answer };
        let id = h.records.submit_for_key(now, &held.key.clone(), command.clone(), now + BACKGROUND_TIMEOUT);
        h.commands.insert(id, Waiter::Store(request));
        self.balancer.set_timer(until.max(now + 1_000), Wake::StoreTimeout(request));
        self.records_pending = true;
    }

    /// A response was stored, or not in time: it is sent. `marked`: it was stored, so it gets the `X-Held` header if the group
    /// has all its copies.
    pub(super) fn response_stored(&mut self, request: Handle, marked: bool) {
        let Some(h) = &mut self.records_side else { return };
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        let Some((mut lines, body)) = held.answer.take() else { return };
        held.phase = Phase::Free;
        let marked = marked && h.records.is_fully_replicated(h.records.group_of(&held.key));
        match marked {
            true => h.counts.marked += 1,
            false => h.counts.unmarked += 1,
        }
        if marked {
            let held_line: &[u8] =
                if body.len() <= MAX_VALUE_BYTES { b"X-Held: 1\r\n" } else { b"X-Held: outcome\r\n" };
            lines.extend_from_slice(held_line);
        }
        self.answer_call(request, 200, &lines, &[&body]);
    }

    /// A request ends without a stored response: releases its claim, with whether it may have been executed.
    pub(super) fn release_claim(&mut self, request: Handle, may_have_run: bool) {
        let now = self.balancer.now();
        let Some(held) = self.requests.get_mut(request).and_then(|r| r.held.as_mut()) else { return };
        if held.phase == Phase::Taken {
            held.phase = Phase::Free;
            let key = held.key.clone();
            self.send_release(now, key, may_have_run);
        }
    }

    fn send_release(&mut self, now: Micros, key: String, may_have_run: bool) {
        let Some(h) = &mut self.records_side else { return };
        let id = h.records.submit_for_key(
            now,
            &key.clone(),
            Command::Give { key, may_have_run },
            now + BACKGROUND_TIMEOUT,
        );
        h.commands.insert(id, Waiter::Nobody);
        self.records_pending = true;
    }

    // --- operators ---

    /// Drains ordered by operators have changed: each applies, whatever the list says, until it is ended.
    fn update_ordered_drains(&mut self) {
        let Some(h) = &self.records_side else { return };
        let names = h.records.drains().to_vec();
        let new: Vec<&String> = names.iter().filter(|n| !self.ordered_drains.contains(*n)).collect();
        for name in new {
            info!(self.log, "an operator ordered a drain"; "host" => name);
            let decision = self.balancer.peer_reported_drain(name, u64::MAX, true);
            self.queue_steps(decision);
        }
        let ended: Vec<String> =
            self.ordered_drains.iter().filter(|n| !names.contains(*n)).cloned().collect();
        for name in ended {
            info!(self.log, "an operator ended a drain"; "host" => &name);
            let decision = self.balancer.peer_reported_drain(&name, u64::MAX, false);
            self.queue_steps(decision);
        }
        self.ordered_drains = names;
    }

    /// Sends an operator's command to the records. `None`: the response follows when it is done.
    pub(super) fn submit_command(&mut self, slot: usize, command: Command) -> Option<Vec<u8>> {
        let now = self.balancer.now();
        let Some(h) = &mut self.records_side else { return Some(response(404, NO_RECORDS)) };
        if let Err(why) = command.validate() {
            return Some(response(400, &format!("{why}\n")));
        }
        let name = match &command {
            Command::Put { name, .. } | Command::Get { name } | Command::Drain { name, .. } => name.clone(),
            _ => String::new(),
        };
        if !matches!(command, Command::Get { .. }) {
            h.awaited.remove(&slot);
        }
        let id = h.records.submit_for_key(now, &name, command, now + OPERATOR_TIMEOUT);
        h.commands.retain(|_, w| !matches!(w, Waiter::Operator(s) if *s == slot));
        h.commands.insert(id, Waiter::Operator(slot));
        self.records_pending = true;
        None
    }

    /// Reads a document for an operator. With `above` the response waits, up to `wait_ms`, until its version is higher than
    /// that.
    pub(super) fn read_document(
        &mut self,
        slot: usize,
        name: String,
        above: Option<u64>,
        wait_ms: u64,
    ) -> Option<Vec<u8>> {
        let now = self.balancer.now();
        if let Some(h) = &mut self.records_side {
            h.awaited.remove(&slot);
            if let Some(above) = above {
                let until = now + (wait_ms.min(1 << 40) as Micros * 1000).min(MAX_DOCUMENT_WAIT);
                h.awaited.insert(slot, (name.clone(), above, until));
            }
        }
        self.submit_command(slot, Command::Get { name })
    }

    /// Reads again a document that an operator waits for.
    pub(super) fn read_document_again(&mut self, slot: usize) {
        let name = self.records_side.as_ref().and_then(|h| h.awaited.get(&slot)).map(|a| a.0.clone());
        if let Some(name) = name {
            self.submit_command(slot, Command::Get { name });
        }
    }

    /// An operator's command has an outcome, which is sent as the response; a document that is not newer than the operator
    /// waits for is read again later instead.
    fn operator_command_ended(&mut self, slot: usize, outcome: Result<Outcome, SubmitError>) {
        let now = self.balancer.now();
        if let (Some(h), Ok(Outcome::Document(version, _))) = (&mut self.records_side, &outcome) {
            let waits = |a: &(String, u64, Micros)| *version <= a.1 && now + DOCUMENT_POLL_INTERVAL < a.2;
            if h.awaited.get(&slot).is_some_and(waits) {
                return self.balancer.set_timer(now + DOCUMENT_POLL_INTERVAL, Wake::ReadDocument(slot));
            }
            h.awaited.remove(&slot);
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
        self.send_command_response(slot, bytes);
    }

    /// Founds the records here: creates a copy of each group.
    pub(super) fn found_records(&mut self) -> Vec<u8> {
        let now = self.balancer.now();
        let Some(h) = &mut self.records_side else { return response(404, NO_RECORDS) };
        let bytes = match h.records.bootstrap(now) {
            Ok(epoch) => {
                info!(self.log, "the records were founded here"; "epoch" => epoch.0);
                response(200, &format!("{{\"epoch\":{}}}\n", epoch.0))
            }
            Err(why) => response(409, &format!("{why}\n")),
        };
        self.advance_records();
        bytes
    }

    /// Begins a new epoch of a group from this process's copy.
    pub(super) fn recover_records(&mut self, group: u32) -> Vec<u8> {
        let now = self.balancer.now();
        let Some(h) = &mut self.records_side else { return response(404, NO_RECORDS) };
        let bytes = match h.records.recover(now, group) {
            Ok((epoch, index, term)) => {
                warn!(self.log, "began a new epoch of a group of the records here, by an operator's order"; "group" => group,
                    "epoch" => epoch.0, "from" => index, "term" => term);
                let text = format!("{{\"epoch\":{},\"from\":{index},\"term\":{term}}}\n", epoch.0);
                response(200, &text)
            }
            Err(why) => response(409, &format!("{why}\n")),
        };
        self.advance_records();
        bytes
    }

    /// The state of the records as this process knows it, as JSON.
    pub(super) fn records_json(&self) -> Option<String> {
        let h = self.records_side.as_ref()?;
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
        let json = serde_json::json!({
            "id": format!("{:016x}", h.records.me()), "holders": h.records.target_voters(), "groups": groups,
            "drains": h.records.drains(), "disk": h.store.is_some(), "foreign": h.records.foreign_epochs,
            "figures": {
                "marked": h.counts.marked, "unmarked": h.counts.unmarked, "from_records": h.counts.from_records,
                "busy": h.counts.busy, "failed": h.counts.failed, "refused": h.counts.refused, "writes": h.counts.writes,
                "asks_open": h.commands.len(), "links": h.link_indices.len(),
            },
        });
        Some(json.to_string() + "\n")
    }

    /// The records' metrics.
    pub(super) fn records_metrics(&self) -> String {
        let Some(h) = &self.records_side else { return String::new() };
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
            ("asks_open", h.commands.len() as u64),
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

/// Response to operators if the fleet has no records.
pub(super) const NO_RECORDS: &str = "this sidecar's fleet holds nothing: its file has no [records]\n";
