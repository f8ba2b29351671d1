//! Reports about other members against what is known: alive, suspect, failed, left; suspicions begin, are confirmed and end
//! (SWIM, 4.2; Lifeguard, 3.2). How reports are encoded and sent is not known here.
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

/// Whom a report is about.
pub(super) enum Subject {
    /// By its own record: the member need not be known.
    Record(MemberRecord),
    /// By identity alone: the report counts only where the member is known.
    Known {
        /// Who.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
    },
}

impl Members {
    /// One report about a member against what is known. `whole`: it came with an exchange, not by gossip.
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

    /// A report of a state: of two the newer incarnation holds, and of two with one incarnation the later in [`State`]'s order.
    pub(super) fn report(&mut self, now: Micros, about: Subject, state: State, by: Identity, whole: bool) {
        let (id, incarnation) = match &about {
            Subject::Record(record) => (record.id, record.incarnation),
            Subject::Known { id, incarnation } => (*id, *incarnation),
        };
        if id == self.me.id {
            return self.report_about_self(about, state);
        }
        let Some(member) = self.table.get(id) else {
            // Of one that is not known only its own record tells where it is.
            if let Subject::Record(record) = about {
                self.add_member(now, record, state, by);
            }
            return;
        };
        let (old, old_state) = (member.record.clone(), member.state);
        let mut state = state;
        let had_time = member.suspicion.as_ref().is_some_and(|s| s.min_timeout_elapsed(now));
        if state == State::Failed && old_state.is_live() && (whole || !had_time) {
            // Whoever says so may have been cut off itself, and held all others failed: here it gets its time to refute.
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

    /// Of this member itself: another process's record is a conflict, and whatever is worse than alive is refuted.
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

    /// Write a state into the table, with an event if it is another one.
    pub(super) fn change(&mut self, now: Micros, record: MemberRecord, state: State, by: Identity) {
        let (id, name) = (record.id, record.name.clone());
        let before = self.table.get(id).map(|s| s.state);
        self.table.set(record, state, now, by);
        if before != Some(state) {
            self.events.push_back(Event::Changed { id, name, state, by });
        }
    }

    /// A member that was not known is added, and probed from now on.
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
        // A place of chance in the order: nobody is always the last to be probed.
        let place = self.rng.next_u32() as usize % (self.probe_order.len() + 1);
        self.probe_order.push(id);
        let last = self.probe_order.len() - 1;
        self.probe_order.swap(place, last);
        self.events.push_back(Event::Changed { id, name, state: State::Alive, by });
        if state == State::Suspect {
            if let Some(incarnation) = self.table.get(id).map(|s| s.record.incarnation) {
                self.report(now, Subject::Known { id, incarnation }, State::Suspect, by, true);
            }
        }
        self.resolve_name_conflict(now, id);
    }

    /// The suspected member gets its time to refute, and is pinged at once by some.
    pub(super) fn begin_suspicion(&mut self, now: Micros, id: Identity, by: Identity) {
        let fleet = self.table.live() + 1;
        let suspicion = Suspicion::begin(now, by, fleet, self.config.period);
        let Some(member) = self.table.get_mut(id) else { return };
        member.suspicion = Some(suspicion);
        // Whoever has heard it lately tells it at once, and some of the others: it may be that only few reach it.
        let lately = 2 * fleet as Micros * self.config.period;
        let heard = member.heard_at.is_some_and(|at| at + lately > now);
        let at = member.record.at;
        if (heard && fleet <= 64) || (self.rng.next_u32() as usize % fleet) < 8 {
            let number = self.next_probe_number();
            let ping = self.ping(number, id, self.held_state(id));
            self.send(at, ping, Some(id));
        }
    }

    /// Another member suspects it independently (Lifeguard, 3.2).
    pub(super) fn confirm(&mut self, id: Identity, by: Identity) {
        let Some(member) = self.table.get_mut(id) else { return };
        let incarnation = member.record.incarnation;
        if member.suspicion.as_mut().is_some_and(|s| s.confirm(by)) {
            // Others shall count it too.
            self.updates.add(MembershipUpdate::Suspect { id, incarnation, by });
        }
    }

    /// Suspicions whose time is over end as failures.
    pub(super) fn expire_suspicions(&mut self, now: Micros) {
        let over = |id: &Identity| self.suspicion_deadline(*id).is_some_and(|at| at <= now);
        let over: Vec<Identity> = self.table.not_alive().iter().copied().filter(over).collect();
        for id in over {
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
