//! A leader's term: its start, heartbeats, leadership transfer (D 3.10), and stepping down when a majority doesn't respond
//! (D 6.2). Requests of clients are in [`crate::proposal`], replication in [`crate::replication`].
use crate::log::Entry;
use crate::message::Message;
use crate::replica::Replica;
use crate::role::{LeaderState, Progress, Role};
use crate::Node;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

impl Replica {
    pub(crate) fn become_leader(&mut self, now: Instant) {
        let no_leader_known = self.leader.is_none();
        if !self.check_invariant(
            no_leader_known,
            "Election Safety, RP 5.2: one leader per term, as the elected leader sees it",
        ) {
            return;
        }
        self.metrics.terms_led += 1;
        self.failed_elections = 0;
        self.leader = Some(self.me);
        let at_ms = self.log.last_at_ms();
        self.role = Role::Leader(LeaderState {
            peers: BTreeMap::new(),
            first_index: self.log.last_index() + 1,
            round: 0,
            heartbeat_at: now,
            reads: VecDeque::new(),
            last_read_number: self.hard_state.term << 32,
            clock_base: (at_ms, now),
            transfer: None,
        });
        self.append(Entry::no_op(self.hard_state.term, at_ms));
        self.update_peers(now);
        self.send_heartbeats();
        self.advance_commit_index(now);
    }

    /// Fails the pending reads of a leader that steps down, since it can no longer confirm them.
    pub(crate) fn abandon_reads(&mut self) {
        if let Role::Leader(lead) = &mut self.role {
            let reads = std::mem::take(&mut lead.reads);
            self.completed_reads.extend(reads.into_iter().map(|r| (r.0, None)));
        }
    }

    /// Transfers leadership to a voter (D 3.10). The transfer is aborted after one election timeout; until then proposals, reads
    /// and group changes are rejected.
    pub fn transfer(&mut self, now: Instant, to: Node) {
        let give_up_at = now + self.config.election_timeout.max(Duration::from_micros(1));
        if !self.group().is_voter(to) || to == self.me {
            return;
        }
        if let Role::Leader(lead) = &mut self.role {
            lead.transfer = Some((to, give_up_at));
            self.advance_transfer(now);
        }
    }

    pub(crate) fn advance_transfer(&mut self, now: Instant) {
        let (last, term) = (self.log.last_index(), self.hard_state.term);
        let Role::Leader(lead) = &mut self.role else { return };
        let Some((to, give_up_at)) = lead.transfer else { return };
        if now >= give_up_at {
            lead.transfer = None;
        } else if lead.peers.get(&to).is_some_and(|p| p.matched == last) {
            self.send_message(to, Message::TimeoutNow { term }, false);
        }
    }

    pub(crate) fn tick_leader(&mut self, now: Instant) {
        let (me, group, election_timeout) = (self.me, self.group().clone(), self.config.election_timeout);
        let Role::Leader(lead) = &mut self.role else { return };
        if now < lead.heartbeat_at {
            return;
        }
        lead.heartbeat_at = now + self.config.heartbeat_interval;
        // D 6.2: a leader steps down unless it hears from a majority of the voters.
        let is_responsive = |v: &&Node| {
            **v == me || lead.peers.get(v).is_some_and(|p| now < p.heard_at + election_timeout * 2)
        };
        if group.voters.iter().filter(is_responsive).count() < group.majority() {
            self.metrics.step_downs += 1;
            self.abandon_reads();
            self.role = Role::Follower;
            self.leader = None;
            return self.reset_election_timer(now);
        }
        for p in lead.peers.values_mut() {
            if !std::mem::take(&mut p.responded) {
                // No response since the last heartbeat: messages in flight may be lost.
                (p.next, p.in_flight, p.probing) = (p.matched + 1, 0, true);
                if let Some(s) = &mut p.snapshot {
                    s.2 = false;
                }
            }
        }
        self.send_heartbeats();
        self.advance_transfer(now);
    }

    /// Tracks the progress of exactly the other members of the group in force.
    pub(crate) fn update_peers(&mut self, now: Instant) {
        let (me, last, all) = (self.me, self.log.last_index(), self.group().all().collect::<Vec<_>>());
        let Role::Leader(lead) = &mut self.role else { return };
        lead.peers.retain(|n, _| all.contains(n));
        for node in all.into_iter().filter(|n| *n != me) {
            lead.peers.entry(node).or_insert(Progress {
                matched: 0,
                heard_at: now,
                gone: Vec::new(),
                next: last,
                in_flight: 0,
                probing: true,
                confirmed_round: 0,
                snapshot: None,
                responded: true,
            });
        }
    }
}
