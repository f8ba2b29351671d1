//! A replica whose disk has no room, stepped on three replicas: it says nothing that rests on a write, hands over what it owns, and
//! comes back with room.

mod common;

use common::{Change, Notes};
use silvercross_control_store::*;
use std::collections::{BTreeMap, VecDeque};

const KEY: &str = "configuration";
type Write = (u64, Option<Metadata>, Vec<StoredKey<Notes>>);
type Sent = (usize, usize, u64, Message<Notes, Change>);

#[derive(Default)]
struct Trio {
    now: Micros,
    stores: Vec<ControlStore<Notes>>,
    disks: Vec<StoredState<Notes>>,
    /// Under way.
    writes: Vec<VecDeque<Write>>,
    full: [bool; 3],
    /// The most that were under way at once.
    most: usize,
    answers: BTreeMap<u64, (Micros, CallOutcome<Notes>)>,
    /// All that was ever sent.
    sent: Vec<Sent>,
}

impl Trio {
    /// With a settled owner; who that is, and the two others.
    fn settled() -> (Trio, usize, usize, usize) {
        let mut t = Trio { disks: vec![StoredState::default(); 3], ..Trio::default() };
        t.writes = (0..3).map(|_| VecDeque::new()).collect();
        t.stores = (0..3).map(|n| t.store(n, true)).collect();
        t.link();
        t.pass(1_000_000);
        let owner = t.owner().expect("an owner");
        (t, owner, (owner + 1) % 3, (owner + 2) % 3)
    }

    fn store(&self, node: usize, fresh: bool) -> ControlStore<Notes> {
        let replica_set = (0..3).map(Node).collect();
        let seed = self.now as u64 + node as u64;
        let start = Start { me: Node(node as u32), replica_set, keys: vec![KEY.into()], fresh, seed };
        ControlStore::new(self.now, start, self.disks[node].clone())
    }

    fn link(&mut self) {
        for (a, b) in (0..9).map(|i| (i / 3, i % 3)).filter(|(a, b)| a != b) {
            self.stores[a].set_reachable(self.now, Node(b as u32), true);
        }
        self.run();
    }

    fn owner(&self) -> Option<usize> {
        (0..3).find(|n| !self.stores[*n].owned_keys().is_empty())
    }

    fn promised(&self, node: usize) -> Epoch {
        self.disks[node].keys.iter().find(|k| k.key == KEY).map(|k| k.promised).unwrap_or_default()
    }

    /// Until nothing moves any more.
    fn run(&mut self) {
        loop {
            let mut out = Vec::new();
            for node in 0..3 {
                self.disk(node);
                for effect in self.stores[node].take_effects() {
                    match effect {
                        Effect::Send { to, version, message } => {
                            out.push((node, to.0 as usize, version, message))
                        }
                        Effect::Store { write, metadata, keys } => {
                            self.writes[node].push_back((write, metadata, keys))
                        }
                        Effect::Answer { token, verdict } => {
                            self.answers.insert(token, (self.now, verdict));
                        }
                        Effect::Committed { .. } => {}
                    }
                }
                self.most = self.most.max(self.writes[node].len());
            }
            let tried = |n: usize| self.full[n] && !self.stores[n].disk_has_space();
            let waits = (0..3).any(|n| !self.writes[n].is_empty() && !tried(n));
            if out.is_empty() && !waits {
                return;
            }
            for (from, to, version, message) in out {
                self.sent.push((from, to, version, message.clone()));
                self.stores[to].receive(self.now, Node(from as u32), version, message);
            }
        }
    }

    /// What is under way is synced, or found to have no room.
    fn disk(&mut self, node: usize) {
        if self.writes[node].is_empty() {
            return;
        }
        if self.full[node] {
            return self.stores[node].set_disk_has_space(self.now, false);
        }
        while let Some((write, metadata, keys)) = self.writes[node].pop_front() {
            let disk = &mut self.disks[node];
            disk.metadata = metadata.or(disk.metadata.take());
            disk.keys.retain(|k| !keys.iter().any(|new| new.key == k.key));
            disk.keys.extend(keys);
            self.stores[node].write_completed(self.now, write);
        }
    }

    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += 10_000;
            self.stores.iter_mut().for_each(|s| s.tick(self.now));
            self.run();
        }
    }

    fn empty(&mut self, node: usize) {
        self.full[node] = false;
        self.disk(node);
        self.stores[node].set_disk_has_space(self.now, true);
        self.run();
    }

    fn call(&mut self, node: usize, token: u64, change: Change) {
        self.stores[node].call(self.now, token, KEY, change);
        self.run();
    }

    /// A claim of `from` with an epoch far above all.
    fn claim(&mut self, from: usize, to: usize) -> Epoch {
        let epoch = Epoch { round: 99, owner: from as u32 };
        let message = Message::Claim { key: KEY.into(), epoch };
        self.stores[to].receive(self.now, Node(from as u32), 1, message);
        self.run();
        epoch
    }

    fn promises(&self, from: usize, of: Epoch) -> usize {
        let told = |m: &Message<_, _>| matches!(m, Message::Promise { epoch, .. } if *epoch == of);
        self.sent.iter().filter(|s| s.0 == from && told(&s.3)).count()
    }
}

#[cfg_attr(not(feature = "mutants"), allow(unused_mut, unused_variables))]
fn told_without_room(broken: Option<Mutation>) -> usize {
    let (mut t, _, x, y) = Trio::settled();
    #[cfg(feature = "mutants")]
    if let Some(broken) = broken {
        t.stores[y].set_mutation(broken);
    }
    t.full[y] = true;
    let epoch = t.claim(x, y);
    t.claim(x, y);
    assert!(t.promised(y) < epoch);
    let told = t.promises(y, epoch);
    t.empty(y);
    assert_eq!(t.promised(y), epoch, "the write succeeds once there is room");
    t.claim(x, y);
    assert!(t.promises(y, epoch) > told, "who asks again is told");
    told
}

#[test]
fn no_promise_is_told_without_room() {
    assert_eq!(told_without_room(None), 0);
    #[cfg(feature = "mutants")]
    assert!(told_without_room(Some(Mutation::ConfirmsFailedWrites)) > 0, "the rule broken on purpose shows");
}

#[test]
fn an_owner_without_room_hands_over_and_no_call_waits_for_it() {
    let (mut t, owner, x, y) = Trio::settled();
    t.full[owner] = true;
    t.call(owner, 1, vec![(1, 1, 7)]);
    t.pass(300_000);
    assert!(matches!(t.answers[&1].1, CallOutcome::Committed { .. }), "{:?}", t.answers);
    assert!(t.owner().is_some_and(|now| now != owner), "another owns it");
    // Hundreds of changes and reads through all three, the full one too; each is answered at once.
    for round in 0..200 {
        for node in [owner, x, y] {
            let token = 10 + 10 * round + node as u64;
            t.call(node, token, vec![(2, 3 * round + 1 + node as u64, token)]);
            t.stores[node].read(t.now, 5_000 + token, KEY);
            t.run();
            for token in [token, 5_000 + token] {
                let said = t.answers.get(&token);
                assert!(
                    said.is_some_and(|s| s.1 != CallOutcome::Unknown),
                    "{token} through {node}: {said:?}"
                );
            }
        }
        t.pass(20_000);
    }
    assert!(t.most <= 2, "{} writes under way", t.most);
    assert_eq!(t.stores[owner].metrics().no_room, 1);
    t.empty(owner);
    t.pass(1_000_000);
    let copies: Vec<&StoredKey<Notes>> = t.disks.iter().flat_map(|d| &d.keys).collect();
    assert!(copies.len() == 3 && copies.iter().all(|c| c.value == copies[0].value), "all have caught up");
}

#[test]
fn an_epoch_that_was_never_durable_is_told_to_nobody() {
    let (mut t, owner, x, y) = Trio::settled();
    let before = t.promised(x).max(t.promised(y));
    t.full[x] = true;
    // The owner falls silent: `x` claims, and finds no room for its epoch.
    for other in [x, y] {
        t.stores[other].set_reachable(t.now, Node(owner as u32), false);
    }
    t.call(x, 1, vec![(1, 1, 7)]);
    t.pass(2_000_000);
    let own = |epoch: &Epoch| epoch.owner == x as u32 && *epoch > before;
    let tells = |m: &Message<_, _>| match m {
        Message::Claim { epoch, .. } | Message::OwnershipReleased { epoch, .. } => own(epoch),
        Message::Forward { under, .. } => own(under),
        Message::ForwardReply { forwarded: ForwardReply::NotOwner(epoch), .. } => own(epoch),
        _ => false,
    };
    let told: Vec<&Sent> = t.sent.iter().filter(|s| s.0 == x && tells(&s.3)).collect();
    assert!(told.is_empty(), "{told:?}");
    assert!(t.stores[x].metrics().claims <= 1, "it claims nothing more");
}

#[test]
fn a_start_without_room_reads_answers_and_claims_only_with_room() {
    let (mut t, owner, x, y) = Trio::settled();
    let epoch = t.claim(x, y);
    t.stores[y] = t.store(y, false);
    t.stores[y].set_disk_has_space(t.now, false);
    t.full[y] = true;
    t.link();
    assert!(t.stores[y].is_voter() && !t.stores[y].disk_has_space());
    // What it promised before stands, and needs no write to be told again.
    let old = t.promises(y, epoch);
    t.claim(x, y);
    assert_eq!(t.promises(y, epoch), old + 1);
    for other in [owner, x] {
        t.stores[y].set_reachable(t.now, Node(other as u32), false);
    }
    t.pass(5_000_000);
    assert_eq!(t.stores[y].metrics().claims, 0);
    t.empty(y);
    t.pass(1_500_000);
    let claims = t.stores[y].key_states()[0].promised;
    assert!(claims > epoch && claims.owner == y as u32, "{claims:?}: above what it had promised");
}
