//! Two processes of one identity or of one name: which of them stands down. Both sides go by the same rule.
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
    /// Another process speaks as this identity. The later start stays; of two alike the one that has not moved; then the one
    /// with the smaller nonce. Both go by the same rule, so one of them stays.
    pub(super) fn resolve_identity_conflict(&mut self, record: &MemberRecord) {
        if self.stood_down {
            return;
        }
        let rank = |c: &MemberRecord| (std::cmp::Reverse(c.incarnation.start_number()), c.moved, c.nonce);
        if rank(record) < rank(&self.me) {
            return self.stand_down(true, record.at);
        }
        if record.incarnation.start_number() < self.me.incarnation.start_number() {
            // What an earlier start of this one said, still on its way. Its process, if there is one, hears of this one.
            return;
        }
        if record.incarnation >= self.me.incarnation {
            self.me.incarnation = self.me.incarnation.above(record.incarnation);
            self.updates.add(MembershipUpdate::Alive(self.me.clone()));
            self.events.push_back(Event::DuplicateMember { same_identity: true, other: record.at });
            // It may be that no update reaches it: others hold its address to be this one's from now on.
            self.send(record.at, Message::Gossip, Some(self.me.id));
        }
    }

    /// Two identities of one name: the one drawn first stays, once both have been heard. A name whose folder was lost comes
    /// back under another identity, and the old one is silent then.
    pub(super) fn resolve_name_conflict(&mut self, now: Micros, id: Identity) {
        let Some(member) = self.table.get(id) else { return };
        if member.record.name != self.me.name || !member.state.is_live() || self.leaving || self.stood_down {
            return;
        }
        let lately = member.heard_at.is_some_and(|at| at + RECENT_CONTACT_PERIODS * self.config.period > now);
        let (other, at) = ((member.record.born_ms, member.record.id), member.record.at);
        if !lately {
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
            // Under this identity nobody else speaks: it says itself that it is gone.
            self.announce_leave();
        }
        self.stood_down = true;
        (self.probe, self.exchanges) = (None, VecDeque::new());
        self.relayed_probes.clear();
        self.events.push_back(Event::StoodDown { same_identity, other });
        self.notify_view_change();
    }
}
