//! Three replicas and a spare one in the middle of something, and what goes wrong then.

use super::bench::{others, Bench, KEY};
use super::Notes;
use silvercross_control_store::*;
use std::collections::BTreeMap;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Blow {
    /// Nothing.
    Nothing,
    /// The machine is lost for good.
    Lost,
    /// Its disk is empty at the next start, which follows at once.
    Wiped,
    /// It stands still for three seconds, linked.
    Frozen,
    /// All lose power at once, with what was not synced.
    Power,
    /// It is lost for good and all others lose power, with what was not synced.
    LostAndPower,
    /// The leaver has just ended, as it is needed no more, and this one is lost for good.
    LostAsTheLeaverEnds,
    /// It ends; where it is the leaver it comes back with its disk after the others went on without it.
    Ends,
}

/// All replicas and the spare one, of which the leaver and one other alone have the last change.
pub struct Case {
    pub b: Bench,
    pub leaver: usize,
    /// Acknowledged, by token, with the item that shows it.
    pub asked: BTreeMap<u64, u8>,
    pub reads: u64,
}

impl Case {
    pub fn new(owner_leaves: bool, broken: Option<Mutation>) -> Case {
        let mut b = Bench::with_spares(3, 1);
        b.broken(broken);
        b.pass(1_000_000);
        let owner = b.owner().expect("an owner");
        let (x, y) = others(owner);
        let leaver = if owner_leaves { owner } else { x };
        let mut case = Case { b, leaver, asked: BTreeMap::new(), reads: 0 };
        case.call(owner, 1);
        case.b.cut.insert((owner, y));
        case.call(owner, 2);
        assert!(case.b.done(1) && case.b.done(2));
        case.b.cut.remove(&(owner, y));
        case
    }

    pub fn call(&mut self, node: usize, token: u64) {
        self.asked.insert(token, token as u8);
        self.b.call(node, token, &[(token as u8, 1, token)]);
    }

    /// The leaver is told to stop and stays while it is needed, with calls under way; at most as far as the fuse goes.
    pub fn leave(&mut self) {
        self.b.leave(self.leaver);
        let y = (0..3).find(|n| *n != self.leaver).expect("another");
        self.call(y, 3);
        for token in 4..40 {
            if !self.b.ledgers[self.leaver].still_needed() || self.b.fuse == Some(0) {
                return;
            }
            self.b.go(100_000);
            if token < 8 {
                self.call(self.leaver, token);
            }
        }
        panic!("still needed: {:?}", self.b.ledgers[self.leaver].replica_set());
    }

    pub fn strike(&mut self, blow: Blow, victim: usize) {
        match blow {
            Blow::Nothing => {}
            Blow::Lost | Blow::Ends => self.b.part(victim),
            Blow::LostAsTheLeaverEnds => {
                self.b.part(self.leaver);
                self.b.part(victim);
            }
            Blow::Wiped => self.b.wipe(victim),
            Blow::Frozen => {
                self.b.frozen.insert(victim);
            }
            Blow::Power => {
                for node in 0..4 {
                    self.b.restart(node);
                }
            }
            Blow::LostAndPower => {
                self.b.part(victim);
                for node in (0..4).filter(|n| *n != victim) {
                    self.b.restart(node);
                }
            }
        }
        self.b.run();
        self.b.gossip();
    }

    /// Asks the machines that are there in turn for a change until one acknowledges it; after how long.
    pub fn answers_after(&mut self, there: &[usize]) -> Option<Micros> {
        let from = self.b.now;
        for token in 100..200 {
            let node = there[token as usize % there.len()];
            self.call(node, token);
            for _ in 0..8 {
                if self.b.done(token) {
                    return Some(self.b.now - from);
                }
                self.b.go(25_000);
            }
        }
        None
    }

    pub fn read(&mut self, node: usize) -> Notes {
        for _ in 0..20 {
            self.reads += 1;
            let token = 1_000 + self.reads;
            self.b.ledgers[node].read(self.b.now, token, KEY);
            self.b.run();
            for _ in 0..50 {
                if let Some(CallOutcome::Value { value, .. }) = self.b.answers.get(&token) {
                    return value.clone();
                }
                self.b.go(20_000);
            }
        }
        panic!("no value at {node}");
    }

    /// Whether all that was acknowledged is in force at all of these.
    pub fn whole(&mut self, there: &[usize]) {
        let done: Vec<u8> =
            self.asked.iter().filter(|(t, _)| self.b.done(**t)).map(|(_, item)| *item).collect();
        assert!(done.contains(&1) && done.contains(&2));
        for node in there {
            let value = self.read(*node);
            for item in &done {
                assert!(value.0.contains_key(item), "{item} was acknowledged and is not in {value:?}");
            }
        }
    }
}
