//! Conflicts between two processes with the same identity or the same name. Both apply the same rule to decide which of them
//! stands down.
use super::event::Event;
use super::state::Members;
use crate::identity::Identity;
use crate::limits::RECENT_CONTACT_PERIODS;
use crate::table::MemberRecord;
use crate::time::Micros;
use crate::updates::MembershipUpdate;
use crate::wire::Message;
use std::collections::VecDeque;
use std::net::SocketAddr;

impl Members {
    /// Another process uses this identity. The later start stays; of equal starts the one that has not moved, then the one with
    /// the smaller nonce. Both processes apply this order, so exactly one stays.
    pub(super) fn resolve_identity_conflict(&mut self, record: &MemberRecord) {
        if self.stood_down {
            return;
        }
        let rank = |c: &MemberRecord| (std::cmp::Reverse(c.incarnation.start_number()), c.moved, c.nonce);
        if rank(record) < rank(&self.me) {
            return self.stand_down(true, record.at);
        }
        if record.incarnation.start_number() < self.me.incarnation.start_number() {
            // A delayed message of an earlier start. If its process still runs, it will learn of this one and stand down.
            return;
        }
        if record.incarnation >= self.me.incarnation {
            self.me.incarnation = self.me.incarnation.above(record.incarnation);
            self.updates.add(MembershipUpdate::Alive(self.me.clone()));
            self.events.push_back(Event::DuplicateMember { same_identity: true, other: record.at });
            // Send the update directly: other members now associate the identity with this address, so that gossip may not reach
            // the other process.
            self.send(record.at, Message::Gossip, Some(self.me.id));
        }
    }

    /// Two identities have the same name: the one generated first stays. The conflict counts only if the other member was heard
    /// from recently, since a member whose folder was lost returns under its name with a new identity while the old one is silent.
    pub(super) fn resolve_name_conflict(&mut self, now: Micros, id: Identity) {
        let Some(member) = self.table.get(id) else { return };
        if member.record.name != self.me.name || !member.state.is_live() || self.leaving || self.stood_down {
            return;
        }
        let recently_heard =
            member.heard_at.is_some_and(|at| at + RECENT_CONTACT_PERIODS * self.config.period > now);
        let (other, at) = ((member.record.born_ms, member.record.id), member.record.at);
        if !recently_heard {
            return;
        }
        if other < (self.me.born_ms, self.me.id) {
            self.stand_down(false, at);
        } else if self.name_conflicts.insert(member.record.name.clone(), id) != Some(id) {
            self.events.push_back(Event::DuplicateMember { same_identity: false, other: at });
        }
    }

    pub(super) fn stand_down(&mut self, same_identity: bool, other: SocketAddr) {
        if self.stood_down {
            return;
        }
        if !same_identity {
            // No other process uses this identity, so this one announces that it leaves.
            self.announce_leave();
        }
        self.stood_down = true;
        (self.probe, self.exchanges) = (None, VecDeque::new());
        self.relayed_probes.clear();
        self.events.push_back(Event::StoodDown { same_identity, other });
        self.notify_view_change();
    }
}
