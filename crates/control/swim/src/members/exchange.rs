//! Full-state exchanges (push/pull): encoded, answered and merged.
use super::reports::Subject;
use super::state::Members;
use crate::table::State;
use crate::time::Micros;
use crate::updates::MembershipUpdate;
use crate::wire::{DecodeError, FullState};

impl Members {
    /// This member and all that it knows, as one side of an exchange.
    pub(super) fn encode_full_state(&mut self) -> Vec<u8> {
        let from = self.next_sender();
        let mut members = vec![(self.me.clone(), if self.leaving { State::Left } else { State::Alive })];
        members.extend(self.table.all().map(|s| (s.record.clone(), s.state)));
        let drains = self.drains.all().cloned().collect();
        self.config.fleet.encode_exchange(&FullState { from, members, drains })
    }

    /// Another one began an exchange: what it sent, and what to answer. The error says why it is not taken.
    pub fn handle_exchange(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
        self.merge(now, bytes)?;
        if self.stood_down {
            return Err(DecodeError::Foreign);
        }
        let answer = self.encode_full_state();
        self.metrics.exchanged_bytes += answer.len() as u64;
        Ok(answer)
    }

    /// What came back of an exchange that this member began.
    pub fn handle_exchange_response(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        self.merge(now, bytes)
    }

    pub(super) fn merge(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        self.metrics.exchanged_bytes += bytes.len() as u64;
        let all = self.config.fleet.decode_exchange(bytes).inspect_err(|bad| match bad {
            DecodeError::Foreign => self.metrics.foreign += 1,
            DecodeError::Corrupt => self.metrics.corrupt += 1,
            DecodeError::Version(_) => self.metrics.unsupported_version += 1,
        })?;
        if self.stood_down {
            return Ok(());
        }
        let sender = all.from.id;
        for (record, state) in all.members {
            let (id, incarnation) = (record.id, record.incarnation);
            let known = self.table.get(id).is_some();
            match state {
                State::Alive => self.handle_update(now, MembershipUpdate::Alive(record), sender, true),
                // The dead of others are taken over only where they were known alive.
                State::Failed | State::Left if !known && id != self.me.id => {}
                _ => {
                    // Its record first: the report may be of a newer incarnation than is known.
                    if id != self.me.id
                        && self.table.get(id).is_none_or(|s| s.record.incarnation < incarnation)
                    {
                        self.handle_update(now, MembershipUpdate::Alive(record), sender, true);
                    }
                    self.report(now, Subject::Known { id, incarnation }, state, sender, true);
                }
            }
        }
        for drain in all.drains {
            self.handle_update(now, MembershipUpdate::Drain(drain), sender, true);
        }
        if self.admit(now, &all.from) {
            self.resolve_name_conflict(now, sender);
        }
        self.notify_view_change();
        Ok(())
    }
}
