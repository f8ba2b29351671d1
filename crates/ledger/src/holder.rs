//! A holder's side: promises, copies, and the repair of an empty disk.

use crate::ledger::{After, Broken, Ledger, Phase, Stand};
use crate::letter::{Body, Letter, Life, Lives, Stored};
use crate::{Epoch, Micros, Node, Page, Revision, Vote};

impl<P: Page> Ledger<P> {
    /// Refuses what is of a lower epoch than promised.
    fn refuses(&mut self, from: Node, key: &str, epoch: Epoch) -> bool {
        let Some(promised) = self.keys.get(key).map(|slot| slot.promised) else { return true };
        if epoch < promised {
            self.figures.refused_lower_epoch += 1;
            self.send(from, Letter::Higher { key: key.to_owned(), epoch: promised });
        }
        epoch < promised
    }

    pub(crate) fn on_claim(&mut self, now: Micros, from: Node, key: String, epoch: Epoch) {
        if epoch.owner != from.0 || self.slot(now, &key).is_none() || self.refuses(from, &key, epoch) {
            return;
        }
        self.learn(now, &key, epoch);
        let durable = !self.is(Broken::PromiseNotDurable);
        let lives = self.lives();
        let Some(slot) = self.keys.get_mut(&key) else { return };
        slot.heard = now;
        let raised = epoch > slot.promised;
        slot.promised = epoch;
        let (accepted, page) = (slot.accepted, slot.page.clone());
        if raised && durable {
            self.write_key(&key);
        }
        let letter = Letter::Promise { key, epoch, accepted, page, lives };
        self.later(now, After::Send(self.roster.version, from, letter));
    }

    pub(crate) fn on_copy(
        &mut self,
        now: Micros,
        from: Node,
        key: String,
        epoch: Epoch,
        seq: u64,
        body: Body<P, P::Change>,
    ) {
        if epoch.owner != from.0 || self.slot(now, &key).is_none() {
            return;
        }
        if !self.is(Broken::TakesOldCopies) && self.refuses(from, &key, epoch) {
            return;
        }
        self.learn(now, &key, epoch);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        slot.heard = now;
        slot.promised = slot.promised.max(epoch);
        let kept = slot.accepted.epoch == epoch && slot.accepted.seq >= seq;
        if !kept {
            let page = match body {
                Body::Whole(page) => Some(page),
                Body::Changes(changes) if slot.accepted == (Revision { epoch, seq: seq.wrapping_sub(1) }) => {
                    let mut page = slot.page.clone();
                    changes.iter().all(|change| page.apply(change).is_ok()).then_some(page)
                }
                Body::Changes(_) => None,
            };
            let Some(page) = page else {
                self.send(from, Letter::Behind { key, epoch });
                return;
            };
            slot.page = page;
            slot.accepted = Revision { epoch, seq };
            self.write_key(&key);
        }
        let Some(seq) = self.keys.get(&key).map(|slot| slot.accepted.seq) else { return };
        let lives = self.lives();
        let version = self.roster.version;
        self.later(now, After::Send(version, from, Letter::Kept { key, epoch, seq, lives }));
    }

    pub(crate) fn on_confirm(&mut self, now: Micros, from: Node, key: String, epoch: Epoch, round: u64) {
        if self.slot(now, &key).is_some() && !self.refuses(from, &key, epoch) {
            self.send(from, Letter::Confirmed { key, epoch, round });
        }
    }

    pub(crate) fn on_stands(&mut self, now: Micros, from: Node, keys: Vec<(String, Epoch, u64)>) {
        for (key, epoch, seq) in keys {
            if epoch.owner != from.0 || self.slot(now, &key).is_none() || self.refuses(from, &key, epoch) {
                continue;
            }
            self.learn(now, &key, epoch);
            let Some(slot) = self.keys.get_mut(&key) else { continue };
            slot.heard = now;
            if slot.accepted < (Revision { epoch, seq }) {
                self.send(from, Letter::Behind { key, epoch });
            }
        }
    }

    /// Heard of an epoch: whoever owns or claims under a lower one steps down.
    pub(crate) fn learn(&mut self, now: Micros, key: &str, epoch: Epoch) {
        let Some(slot) = self.slot(now, key) else { return };
        if epoch <= slot.seen {
            return;
        }
        slot.seen = epoch;
        slot.heard = now;
        slot.ownerless = None;
        let own = match &slot.stand {
            Stand::Holder => return,
            Stand::Claiming(claim) => claim.epoch,
            Stand::Owner(owner) => owner.epoch,
        };
        if own < epoch {
            self.step_down(now, key);
        }
    }

    /// Takes in what another says of lives. A holder of which a higher one is known takes it for its own: what it said
    /// under the lower one counts no more, which is always safe.
    pub(crate) fn merge(&mut self, lives: &Lives) {
        for (node, life) in &lives.others {
            if *node == self.me {
                self.outlive(*life);
            } else if self.roster.contains(*node) {
                let known = self.lives.entry(*node).or_default();
                *known = (*known).max(*life);
            }
        }
    }

    fn outlive(&mut self, life: Life) {
        if life > self.life && self.phase == Phase::Voter {
            self.life = life;
            self.write_marker();
        }
    }

    /// Asks all others for everything.
    pub(crate) fn ask_repair(&mut self, now: Micros) {
        self.repair.sent = now;
        for to in self.roster() {
            let has = self.repair.replies.get(&to).is_some_and(|life| self.current(to, *life));
            if to != self.me && self.up.contains(&to) && !has {
                self.send(to, Letter::Recover { life: self.life });
            }
        }
    }

    /// Answers what is durable once the asker's new life is durable too: from then on nothing that is said here counts
    /// together with what the asker said before.
    pub(crate) fn on_recover(&mut self, from: Node, life: Life) {
        let known = self.lives.get(&from).copied().unwrap_or_default();
        if life < known {
            self.send(from, Letter::Outlived { life: known });
            return;
        }
        if life > known {
            self.lives.insert(from, life);
            self.write_marker();
            self.figures.repairs += 1;
        }
        let keys = self.keys.keys().filter_map(|key| self.stored_key(key)).collect();
        let lives = self.lives();
        let (version, vote) = (self.roster.version, self.vote.clone());
        let letter = Letter::Recovered { life, keys, vote, lives };
        self.later(Micros::MIN, After::Send(version, from, letter));
    }

    pub(crate) fn on_outlived(&mut self, now: Micros, life: Life) {
        if life <= self.life {
            return;
        }
        self.outlive(life);
        if self.phase == Phase::Repairing {
            self.life = Life { count: life.count.saturating_add(1), nonce: self.draw() };
            self.repair.replies.clear();
            self.repair.keys.clear();
            self.repair.vote = Vote::default();
            self.ask_repair(now);
        }
    }

    pub(crate) fn on_recovered(
        &mut self,
        now: Micros,
        from: Node,
        life: Life,
        keys: Vec<Stored<P>>,
        vote: Vote,
        lives: Lives,
    ) {
        if self.phase != Phase::Repairing || life != self.life {
            return;
        }
        self.merge(&lives);
        if !self.alive(from, lives.mine) {
            return;
        }
        self.repair.replies.insert(from, lives.mine);
        self.repair.vote.merge(vote);
        for stored in keys {
            let Some(known) = self.repair.keys.get_mut(&stored.key) else {
                self.repair.keys.insert(stored.key.clone(), stored);
                continue;
            };
            known.promised = known.promised.max(stored.promised);
            if stored.accepted > known.accepted {
                known.accepted = stored.accepted;
                known.page = stored.page;
            }
        }
        // The answers are of others alone, and still more than half of the whole roster.
        if !self.enough_before(self.repair.replies.iter()) {
            return;
        }
        for (_, stored) in std::mem::take(&mut self.repair.keys) {
            self.adopt(now, stored);
        }
        // All of them: what an earlier time as a holder left on disk is overwritten too.
        for key in self.keys.keys().cloned().collect::<Vec<_>>() {
            self.write_key(&key);
        }
        self.vote = std::mem::take(&mut self.repair.vote);
        self.repair.replies.clear();
        self.write_marker();
        self.phase = Phase::Formatting;
        self.later(now, After::Voter(self.roster.version));
    }
}
