//! Full-state exchanges (push/pull): encoding, answering and merging.
use super::reports::Subject;
use super::state::Members;
use crate::table::State;
use crate::time::Micros;
use crate::updates::MembershipUpdate;
use crate::wire::{DecodeError, FullState};

impl Members {
    /// Encodes this member and all members it knows as one side of an exchange.
    pub(super) fn encode_full_state(&mut self) -> Vec<u8> {
        let from = self.next_sender();
        let mut members = vec![(self.me.clone(), if self.leaving { State::Left } else { State::Alive })];
        members.extend(self.table.all().map(|s| (s.record.clone(), s.state)));
        let drains = self.drains.all().cloned().collect();
        self.config.fleet.encode_exchange(&FullState { from, members, drains })
    }

    /// Handles an exchange started by another member. Returns the response.
    pub fn handle_exchange(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
        self.merge(now, bytes)?;
        if self.stood_down {
            return Err(DecodeError::Foreign);
        }
        let response = self.encode_full_state();
        self.metrics.exchanged_bytes += response.len() as u64;
        Ok(response)
    }

    /// Handles the response to an exchange started by this member.
    pub fn handle_exchange_response(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        self.merge(now, bytes)
    }

    pub(super) fn merge(&mut self, now: Micros, bytes: &[u8]) -> Result<(), DecodeError> {
        self.metrics.exchanged_bytes += bytes.len() as u64;
        let full_state = self.config.fleet.decode_exchange(bytes).inspect_err(|error| match error {
            DecodeError::Foreign => self.metrics.foreign += 1,
            DecodeError::Corrupt => self.metrics.corrupt += 1,
            DecodeError::Version(_) => self.metrics.unsupported_version += 1,
        })?;
        if self.stood_down {
            return Ok(());
        }
        let sender = full_state.from.id;
        for (record, state) in full_state.members {
            let (id, incarnation) = (record.id, record.incarnation);
            let known = self.table.get(id).is_some();
            match state {
                State::Alive => self.handle_update(now, MembershipUpdate::Alive(record), sender, true),
                // Failed and departed members that are unknown here are not added to the table.
                State::Failed | State::Left if !known && id != self.me.id => {}
                _ => {
                    // The record first, since the state may be about a newer incarnation than the known one.
                    if id != self.me.id
                        && self.table.get(id).is_none_or(|s| s.record.incarnation < incarnation)
                    {
                        self.handle_update(now, MembershipUpdate::Alive(record), sender, true);
                    }
                    self.report(now, Subject::Known { id, incarnation }, state, sender, true);
                }
            }
        }
        for drain in full_state.drains {
            self.handle_update(now, MembershipUpdate::Drain(drain), sender, true);
        }
        if self.admit(now, &full_state.from) {
            self.resolve_name_conflict(now, sender);
        }
        self.notify_view_change();
        Ok(())
    }
}
