//! Who the holders are, and how one that is gone is replaced: one at a time, through a joint roster, each step decided by
//! more than half of the roster before it.

use crate::ledger::{After, Broken, Ledger, Phase, Stand, GONE, RESEND, STAGGER};
use crate::letter::{Letter, Life, Lives};
use crate::{Epoch, Micros, Node, Page, Revision};
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Holders of one roster at most; one that is larger is dropped.
const MEMBERS: usize = 64;
/// Machines that could become holders, remembered at a time; a further one waits until one goes.
const CANDIDATES: usize = 64;
/// Links of which the state is remembered; a further one counts as down.
pub(crate) const LINKS: usize = 4096;

/// All holders as of one version. While one is being replaced both it and the newcomer belong, and a quorum is more than
/// half without the newcomer and more than half without the one that leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Roster {
    /// Rises with every change; 1 was formatted on the first start, 0 is not known yet and `members` a hint where to ask.
    pub version: u64,
    /// Each with the version in which it came, in order.
    pub members: Vec<(Node, u64)>,
    /// Who is being replaced.
    pub leaving: Option<Node>,
    /// By whom.
    pub coming: Option<Node>,
}

impl Roster {
    pub(crate) fn first(version: u64, nodes: Vec<Node>) -> Roster {
        let mut members: Vec<(Node, u64)> = nodes.into_iter().map(|n| (n, version)).collect();
        members.sort();
        members.dedup();
        Roster { version, members, leaving: None, coming: None }
    }

    /// Whether it belongs.
    pub fn contains(&self, node: Node) -> bool {
        self.since(node).is_some()
    }

    pub(crate) fn since(&self, node: Node) -> Option<u64> {
        self.members.iter().find(|m| m.0 == node).map(|m| m.1)
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = Node> + '_ {
        self.members.iter().map(|m| m.0)
    }

    /// Whether one is being replaced.
    pub fn joint(&self) -> bool {
        self.coming.is_some() || self.leaving.is_some()
    }

    fn more_than_half(&self, said: &[Node], without: Option<Node>) -> bool {
        let all = self.nodes().filter(|n| Some(*n) != without);
        let (mut size, mut have) = (0, 0);
        for node in all {
            size += 1;
            have += usize::from(said.contains(&node));
        }
        have * 2 > size
    }

    /// The next one, in which `new` is to come for `gone`.
    fn swap(&self, gone: Node, new: Node) -> Roster {
        let version = self.version + 1;
        let mut members = self.members.clone();
        members.push((new, version));
        members.sort();
        Roster { version, members, leaving: Some(gone), coming: Some(new) }
    }

    /// The next one, without this one: the change is in force if it is the one that leaves, abandoned if the newcomer.
    fn without(&self, node: Node) -> Roster {
        let members = self.members.iter().copied().filter(|m| m.0 != node).collect();
        Roster { version: self.version + 1, members, leaving: None, coming: None }
    }
}

/// What a holder has said about the next roster. Durable before it is said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Vote {
    /// Nothing of a lower epoch is accepted.
    pub promised: Epoch,
    /// The last that was accepted, and under which epoch.
    pub accepted: Option<(Epoch, Roster)>,
}

impl Vote {
    /// Takes in what another holder has said.
    pub(crate) fn merge(&mut self, other: Vote) {
        self.promised = self.promised.max(other.promised);
        let epoch = |vote: &Option<(Epoch, Roster)>| vote.as_ref().map(|a| a.0);
        if epoch(&other.accepted) > epoch(&self.accepted) {
            self.accepted = other.accepted;
        }
    }
}

/// A next roster that this node wants.
pub(crate) struct Proposal {
    epoch: Epoch,
    next: Roster,
    promises: BTreeMap<Node, Life>,
    best: Option<(Epoch, Roster)>,
    /// More than half have promised: `next` may be accepted now.
    asked: bool,
    accepted: BTreeMap<Node, Life>,
}

impl<P: Page> Ledger<P> {
    /// Whether more than half have said it, with disks that they still have; while one holder is being replaced more than
    /// half of the roster before and of the one after.
    pub(crate) fn enough<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Life)>) -> bool {
        self.enough_of(&self.still(said))
    }

    /// Whether more than half of the roster, without one that is coming, have said it. This does for a repair and for the
    /// next roster, of which only one another must know: every quorum has more than half of these.
    pub(crate) fn enough_before<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Life)>) -> bool {
        let said = self.still(said);
        self.roster.more_than_half(&said, self.roster.coming)
    }

    fn still<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Life)>) -> Vec<Node> {
        said.filter(|(node, life)| self.current(**node, **life)).map(|(node, _)| *node).collect()
    }

    pub(crate) fn enough_of(&self, said: &[Node]) -> bool {
        if self.is(Broken::RemovedVotes) {
            let coming = usize::from(self.roster.coming.is_some());
            return said.len() * 2 > self.roster.members.len() - coming;
        }
        let roster = &self.roster;
        roster.more_than_half(said, roster.coming)
            && (self.is(Broken::OldQuorumOnly) || roster.more_than_half(said, roster.leaving))
    }

    /// A core machine with a disk that is in no roster that it knows of: it may come in the place of a holder that is gone.
    /// `up` is whether it can still be reached and says so.
    pub fn candidate(&mut self, now: Micros, node: Node, up: bool) {
        if !up {
            self.candidates.remove(&node);
        } else if node != self.me && self.candidates.len() < CANDIDATES && self.candidates.insert(node) {
            if self.roster.version == 0 {
                self.send(node, Letter::Which);
            }
            self.tick(now);
        }
    }

    /// Whether this node is no holder.
    pub fn outside(&self) -> bool {
        !self.roster.contains(self.me)
    }

    /// The roster as this node knows it.
    pub fn holders(&self) -> &Roster {
        &self.roster
    }

    /// Asks all that are linked who the holders are.
    pub(crate) fn ask_which(&mut self, now: Micros) {
        self.repair.sent = now;
        for to in self.up.clone() {
            self.send(to, Letter::Which);
        }
    }

    /// Whether it has to ask who the holders are: it doesn't know, or none that it knows can be reached.
    pub(crate) fn lost_touch(&self) -> bool {
        self.phase == Phase::Outside
            && (self.roster.version == 0 || !self.roster.nodes().any(|n| self.up.contains(&n)))
    }

    /// Takes a later roster, which was decided: from here on this node does nothing under the one before.
    pub(crate) fn take_roster(&mut self, now: Micros, roster: Roster) {
        if roster.version <= self.roster.version || roster.members.len() > MEMBERS {
            return;
        }
        let came = roster.since(self.me);
        let new = came.is_some_and(|since| since > self.roster.version);
        let trusted =
            self.is(Broken::WipedVotes) || (self.is(Broken::NewcomerVotes) && roster.coming == Some(self.me));
        self.figures.rosters += 1;
        self.roster = roster;
        self.vote = Vote::default();
        self.proposal = None;
        // What waits for a write was said under the roster before.
        self.after.clear();
        self.repair.replies.clear();
        self.repair.keys.clear();
        self.repair.vote = Vote::default();
        self.lives.retain(|node, _| self.roster.contains(*node));
        self.gone.retain(|node, _| self.roster.contains(*node));
        for node in self.roster.members.iter().map(|m| m.0) {
            if node != self.me && !self.up.contains(&node) {
                self.gone.entry(node).or_insert(now);
            }
        }
        self.next_try = now + RESEND + self.place() * STAGGER;
        let was = self.phase;
        self.phase = match came {
            None if self.is(Broken::RemovedVotes) && was == Phase::Voter => Phase::Formatting,
            None => Phase::Outside,
            Some(_) if trusted => Phase::Formatting,
            Some(_) if new || matches!(was, Phase::Repairing | Phase::Outside) => Phase::Repairing,
            Some(_) => Phase::Formatting,
        };
        if self.phase == Phase::Formatting {
            self.write_marker();
            self.after.push(After::Voter(self.roster.version));
        } else {
            // On disk it stays what it was under the roster before: it has said nothing under this one.
            self.forget_writes();
        }
        if self.phase == Phase::Repairing && was != Phase::Repairing {
            self.life = Life { count: self.life.count.saturating_add(1), nonce: self.draw() };
            for slot in self.keys.values_mut() {
                slot.promised = Epoch::default();
                slot.accepted = Revision::default();
                slot.page = P::default();
            }
        }
        let held =
            |slot: &crate::ledger::Slot<P>| !matches!(slot.stand, Stand::Holder) || !slot.queue.is_empty();
        let keys: Vec<String> = self.keys.iter().filter(|(_, s)| held(s)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.step_down(now, &key);
        }
        self.reroute(now);
        if self.phase == Phase::Repairing {
            self.ask_repair(now);
        }
    }

    /// Which of the holders that can be reached this one is: the first proposes first.
    fn place(&self) -> Micros {
        self.roster.nodes().filter(|n| *n < self.me && self.up.contains(n)).count() as Micros
    }

    /// Whom to replace, if anybody is long gone, and since when.
    fn long_gone(&self) -> Option<(Micros, Node)> {
        self.gone.iter().filter(|(n, _)| self.roster.contains(**n)).map(|(n, since)| (*since, *n)).min()
    }

    fn spare(&self) -> Option<Node> {
        let free = |n: &&Node| self.up.contains(n) && !self.roster.contains(**n);
        self.candidates.iter().find(free).copied()
    }

    /// When a change of the roster is due.
    pub(crate) fn roster_due(&self) -> Option<Micros> {
        if self.roster.joint() {
            return Some(self.next_try);
        }
        self.spare()?;
        let (since, _) = self.long_gone()?;
        Some((since + GONE + self.place() * STAGGER).max(self.next_try))
    }

    /// What this node would have the next roster be.
    fn plan(&self, now: Micros) -> Option<Roster> {
        let gone = |node: Node| self.gone.get(&node).is_some_and(|since| now >= since + GONE);
        match (self.roster.leaving, self.roster.coming) {
            (Some(old), Some(new)) => {
                let back = old == self.me || self.up.contains(&old);
                Some(self.roster.without(if back || gone(new) { new } else { old }))
            }
            _ => {
                let (_, node) = self.long_gone().filter(|(_, node)| gone(*node))?;
                Some(self.roster.swap(node, self.spare()?))
            }
        }
    }

    pub(crate) fn tick_roster(&mut self, now: Micros) {
        if self.roster_due().is_none_or(|at| at > now) {
            return;
        }
        let Some(next) = self.plan(now) else { return };
        self.next_try = now + STAGGER + (self.draw() % STAGGER as u64) as Micros;
        let round = self.vote.promised.max(self.ballot).round.saturating_add(1);
        let epoch = Epoch { round, owner: self.me.0 };
        self.ballot = epoch;
        let gone = next.leaving;
        self.proposal = Some(Proposal {
            epoch,
            next,
            promises: BTreeMap::new(),
            best: None,
            asked: false,
            accepted: BTreeMap::new(),
        });
        if let Some(new) = self.roster.coming.filter(|n| *n != self.me) {
            // It doesn't ask, for it doesn't know yet.
            self.send(new, Letter::Roster { roster: self.roster.clone() });
        }
        for to in self.others() {
            self.send(to, Letter::Propose { epoch, gone });
        }
        self.on_propose(now, self.me, epoch, gone);
    }

    /// Refuses what is of a lower epoch than promised for the next roster.
    fn overruled(&mut self, from: Node, epoch: Epoch) -> bool {
        let promised = self.vote.promised;
        if epoch < promised && from != self.me {
            self.send(from, Letter::Overruled { epoch: promised });
        }
        epoch < promised
    }

    /// Promises, if this node finds as well that who is to be replaced is gone.
    pub(crate) fn on_propose(&mut self, now: Micros, from: Node, epoch: Epoch, gone: Option<Node>) {
        if epoch.owner != from.0 || self.overruled(from, epoch) {
            return;
        }
        let agrees = |node: Node| self.gone.get(&node).is_some_and(|since| now >= since + GONE);
        if !gone.is_none_or(agrees) {
            return;
        }
        self.vote.promised = epoch;
        self.write_marker();
        let letter = Letter::Proposed { epoch, accepted: self.vote.accepted.clone(), lives: self.lives() };
        self.reply(now, from, letter);
    }

    pub(crate) fn on_proposed(
        &mut self,
        now: Micros,
        from: Node,
        epoch: Epoch,
        accepted: Option<(Epoch, Roster)>,
        lives: Lives,
    ) {
        if from != self.me && !self.alive(from, lives.mine) {
            return;
        }
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.epoch == epoch && !p.asked) else { return };
        proposal.promises.insert(from, lives.mine);
        if accepted.as_ref().map(|a| a.0) > proposal.best.as_ref().map(|b| b.0) {
            proposal.best = accepted;
        }
        let Some(proposal) = &self.proposal else { return };
        // A change comes into force only once the newcomer votes.
        let ready = proposal.best.is_some()
            || self
                .roster
                .coming
                .is_none_or(|new| !proposal.next.contains(new) || proposal.promises.contains_key(&new));
        if !ready || !self.enough_before(proposal.promises.iter()) {
            return;
        }
        let Some(proposal) = &mut self.proposal else { return };
        proposal.asked = true;
        if let Some((_, roster)) = proposal.best.take() {
            proposal.next = roster;
        }
        let roster = proposal.next.clone();
        for to in self.others() {
            self.send(to, Letter::Accept { epoch, roster: roster.clone() });
        }
        self.on_accept(now, self.me, epoch, roster);
    }

    pub(crate) fn on_accept(&mut self, now: Micros, from: Node, epoch: Epoch, roster: Roster) {
        let next = roster.version == self.roster.version + 1 && roster.members.len() <= MEMBERS;
        if epoch.owner != from.0 || !next || self.overruled(from, epoch) {
            return;
        }
        self.vote = Vote { promised: epoch, accepted: Some((epoch, roster)) };
        self.write_marker();
        let letter = Letter::Accepted { epoch, lives: self.lives() };
        self.reply(now, from, letter);
    }

    pub(crate) fn on_accepted(&mut self, now: Micros, from: Node, epoch: Epoch, lives: Lives) {
        if from != self.me && !self.alive(from, lives.mine) {
            return;
        }
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.epoch == epoch && p.asked) else { return };
        proposal.accepted.insert(from, lives.mine);
        let Some(proposal) = &self.proposal else { return };
        if !self.enough_before(proposal.accepted.iter()) {
            return;
        }
        let next = proposal.next.clone();
        let mut all: Vec<Node> = self.roster.nodes().chain(next.nodes()).collect();
        all.sort();
        all.dedup();
        self.take_roster(now, next.clone());
        for to in all {
            if to != self.me && self.up.contains(&to) {
                self.send(to, Letter::Roster { roster: next.clone() });
            }
        }
    }

    /// Another proposes under a higher epoch.
    pub(crate) fn on_overruled(&mut self, epoch: Epoch) {
        self.ballot = self.ballot.max(epoch);
    }

    fn reply(&mut self, now: Micros, to: Node, letter: Letter<P, P::Change>) {
        let version = self.roster.version;
        self.later(now, After::Send(version, to, letter));
    }
}
