//! Applying reports about members (alive, suspect, failed, left) to the table, and starting, confirming and expiring suspicions
//! (SWIM, 4.2; Lifeguard, 3.2). Encoding and sending are in other files.
use super::event::Event;
use super::state::Members;
use crate::identity::{Identity, Incarnation};
use crate::limits::{MAX_MEMBERS, MAX_NAME_BYTES};
use crate::replay_window::ReplayWindow;
use crate::suspicion::Suspicion;
use crate::table::{Member, MemberRecord, State};
use crate::time::Micros;
use crate::updates::MembershipUpdate;
use rand_core::RngCore;

/// The subject of a report.
pub(super) enum Subject {
    /// Given by record: the member may be unknown.
    Record(MemberRecord),
    /// Given by identity alone: the report is ignored if the member is unknown.
    Known {
        /// Identity of the member.
        id: Identity,
        /// Incarnation that the report is about.
        incarnation: Incarnation,
    },
}

impl Members {
    /// Applies one update. `whole`: it came with a full-state exchange, not by gossip.
    pub(super) fn handle_update(
        &mut self,
        now: Micros,
        update: MembershipUpdate,
        from: Identity,
        whole: bool,
    ) {
        match update {
            MembershipUpdate::Alive(record) => {
                self.report(now, Subject::Record(record), State::Alive, from, whole)
            }
            MembershipUpdate::Suspect { id, incarnation, by } => {
                self.report(now, Subject::Known { id, incarnation }, State::Suspect, by, whole)
            }
            MembershipUpdate::Confirm { id, incarnation, by } => {
                self.report(now, Subject::Known { id, incarnation }, State::Failed, by, whole)
            }
            MembershipUpdate::Left { id, incarnation } => {
                self.report(now, Subject::Known { id, incarnation }, State::Left, id, whole)
            }
            MembershipUpdate::Drain(drain) => {
                if self.drains.add_reported(&drain) {
                    self.updates.add(MembershipUpdate::Drain(drain.clone()));
                    self.events.push_back(Event::Drain(drain));
                }
            }
        }
    }

    /// Applies a reported state: a newer incarnation overrides an older one, and within one incarnation the later in [`State`]'s
    /// order overrides.
    pub(super) fn report(&mut self, now: Micros, about: Subject, state: State, by: Identity, whole: bool) {
        let (id, incarnation) = match &about {
            Subject::Record(record) => (record.id, record.incarnation),
            Subject::Known { id, incarnation } => (*id, *incarnation),
        };
        if id == self.me.id {
            return self.report_about_self(about, state);
        }
        let Some(member) = self.table.get(id) else {
            // An unknown member can only be added by its record, which has its address.
            if let Subject::Record(record) = about {
                self.add_member(now, record, state, by);
            }
            return;
        };
        let (old, old_state) = (member.record.clone(), member.state);
        let mut state = state;
        let min_timeout_elapsed = member.suspicion.as_ref().is_some_and(|s| s.min_timeout_elapsed(now));
        if state == State::Failed && old_state.is_live() && (whole || !min_timeout_elapsed) {
            // The reporter may have been partitioned and have declared all others failed, so the member first gets its time to
            // refute.
            state = State::Suspect;
        }
        if (incarnation, state) <= (old.incarnation, old_state) {
            if (incarnation, state, old_state) == (old.incarnation, State::Suspect, State::Suspect) {
                self.confirm(id, by);
            }
            return;
        }
        let record = match about {
            Subject::Record(record) if is_valid(&record) => record,
            Subject::Record(_) => return self.metrics.rejected_members += 1,
            Subject::Known { .. } => MemberRecord { incarnation, ..old.clone() },
        };
        if old_state == State::Suspect && state == State::Alive {
            self.metrics.refuted += 1;
        }
        self.updates.add(match state {
            State::Alive => MembershipUpdate::Alive(record.clone()),
            State::Suspect => MembershipUpdate::Suspect { id, incarnation, by },
            State::Failed => MembershipUpdate::Confirm { id, incarnation, by },
            State::Left => MembershipUpdate::Left { id, incarnation },
        });
        self.change(now, record, state, by);
        match state {
            State::Suspect => self.begin_suspicion(now, id, by),
            State::Alive => self.resolve_name_conflict(now, id),
            State::Failed | State::Left => {}
        }
    }

    /// Applies a report about this member: the record of another process is a conflict, any other state is refuted.
    fn report_about_self(&mut self, about: Subject, state: State) {
        match about {
            Subject::Record(record) if record.nonce != self.me.nonce => {
                self.resolve_identity_conflict(&record)
            }
            Subject::Known { incarnation, .. } if incarnation >= self.me.incarnation => {
                self.refute(state, incarnation)
            }
            Subject::Record(_) | Subject::Known { .. } => {}
        }
    }

    /// Updates the table, with an event if the state changes.
    pub(super) fn change(&mut self, now: Micros, record: MemberRecord, state: State, by: Identity) {
        let (id, name) = (record.id, record.name.clone());
        let old_state = self.table.get(id).map(|s| s.state);
        self.table.set(record, state, now, by);
        if old_state != Some(state) {
            self.events.push_back(Event::Changed { id, name, state, by });
        }
    }

    /// Adds an unknown member to the table and to the probe order.
    pub(super) fn add_member(&mut self, now: Micros, record: MemberRecord, state: State, by: Identity) {
        if self.table.len() >= MAX_MEMBERS || !is_valid(&record) {
            self.metrics.rejected_members += 1;
            return;
        }
        let (id, name) = (record.id, record.name.clone());
        self.updates.add(MembershipUpdate::Alive(record.clone()));
        self.table.add(Member {
            record,
            state: State::Alive,
            since: now,
            heard_at: None,
            reported_by: by,
            suspicion: None,
            window: ReplayWindow::default(),
            message_count: (now, 0),
        });
        // Insert at a random position (SWIM, 4.3), so that new members are not always probed last.
        let index = self.rng.next_u32() as usize % (self.probe_order.len() + 1);
        self.probe_order.push(id);
        let last = self.probe_order.len() - 1;
        self.probe_order.swap(index, last);
        self.events.push_back(Event::Changed { id, name, state: State::Alive, by });
        if state == State::Suspect {
            if let Some(incarnation) = self.table.get(id).map(|s| s.record.incarnation) {
                self.report(now, Subject::Known { id, incarnation }, State::Suspect, by, true);
            }
        }
        self.resolve_name_conflict(now, id);
    }

    /// Starts a suspicion; some members ping the suspected one at once, so that it learns of the suspicion.
    pub(super) fn begin_suspicion(&mut self, now: Micros, id: Identity, by: Identity) {
        let fleet = self.table.live() + 1;
        let suspicion = Suspicion::begin(now, by, fleet, self.config.period);
        let Some(member) = self.table.get_mut(id) else { return };
        member.suspicion = Some(suspicion);
        // Members that heard from it recently ping it, and a few random others, since only some may be able to reach it.
        let recently = 2 * fleet as Micros * self.config.period;
        let recently_heard = member.heard_at.is_some_and(|at| at + recently > now);
        let at = member.record.at;
        if (recently_heard && fleet <= 64) || (self.rng.next_u32() as usize % fleet) < 8 {
            let number = self.next_probe_number();
            let ping = self.ping(number, id, self.held_state(id));
            self.send(at, ping, Some(id));
        }
    }

    /// Records an independent suspicion by another member (Lifeguard, 3.2).
    pub(super) fn confirm(&mut self, id: Identity, by: Identity) {
        let Some(member) = self.table.get_mut(id) else { return };
        let incarnation = member.record.incarnation;
        if member.suspicion.as_mut().is_some_and(|s| s.confirm(by)) {
            // Gossip it, so that other members count it too.
            self.updates.add(MembershipUpdate::Suspect { id, incarnation, by });
        }
    }

    /// Declares members failed whose suspicion has timed out.
    pub(super) fn expire_suspicions(&mut self, now: Micros) {
        let timed_out = |id: &Identity| self.suspicion_deadline(*id).is_some_and(|at| at <= now);
        let timed_out: Vec<Identity> = self.table.not_alive().iter().copied().filter(timed_out).collect();
        for id in timed_out {
            let Some(record) = self.table.get(id).map(|s| s.record.clone()) else { continue };
            self.metrics.failed += 1;
            let me = self.me.id;
            self.updates.add(MembershipUpdate::Confirm { id, incarnation: record.incarnation, by: me });
            self.change(now, record, State::Failed, me);
        }
    }
}

fn is_valid(record: &MemberRecord) -> bool {
    let short = record.name.len() <= MAX_NAME_BYTES && record.zone.len() <= MAX_NAME_BYTES;
    short && record.id.0 != 0 && record.at.port() != 0
}
