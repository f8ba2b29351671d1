//! The outputs of a replica, polled by its caller: messages, writes, entries to apply and completed reads. A message that
//! depends on a write is sent only after that write is durable.
use crate::config::Mutation;
use crate::log::{Index, Snapshot};
use crate::message::Message;
use crate::outcome::{Apply, Ended};
use crate::persistent_state::Write;
use crate::replica::Replica;
use crate::Node;
use silvercross_time::Instant;

impl Replica {
    /// The next message: its receiver, the number of durable writes to send along, and the message.
    pub fn poll_send(&mut self) -> Option<(Node, u64, Message)> {
        // Messages that need no write may overtake those that wait for one.
        let skip_sync = self.config.has_mutation(Mutation::AnswerBeforeSync);
        let next = self.outgoing.iter().position(|m| m.0 <= self.durable_writes || skip_sync)?;
        self.outgoing.remove(next).map(|(_, to, message)| (to, self.durable_writes, message))
    }

    /// Whether there is anything to make durable.
    pub fn wants_write(&self) -> bool {
        !self.staged.is_empty() && self.ended.is_none()
    }

    /// The next write to make durable. Only one is handed out at a time, so that changes made meanwhile share the next sync.
    pub fn poll_write(&mut self) -> Option<Write> {
        if !self.wants_write() || !self.in_flight_writes.is_empty() {
            return None;
        }
        let number = self.staged.number;
        let next = Write { number: number + 1, ..Write::default() };
        self.in_flight_writes.push_back((number, self.log.last_index()));
        Some(std::mem::replace(&mut self.staged, next))
    }

    /// Reports that all writes up to this number are durable.
    pub fn written(&mut self, now: Instant, number: u64) {
        while let Some(&(n, last)) = self.in_flight_writes.front() {
            if n > number {
                break;
            }
            self.in_flight_writes.pop_front();
            self.durable_writes = n;
            self.durable_index = last;
        }
        if self.is_leader() {
            self.advance_commit_index(now);
        }
    }

    /// Reports a failed write: the replica stops, and its storage must not be used again.
    pub fn write_failed(&mut self) {
        self.end(Ended::WriteFailed);
    }

    /// The next step for the state machine.
    pub fn poll_apply(&mut self) -> Option<Apply> {
        if std::mem::take(&mut self.restore_pending) {
            self.applied_index = self.log.snapshot.index;
            return Some(Apply::Restore(self.log.snapshot.clone()));
        }
        if self.applied_index >= self.commit_index || self.ended.is_some() {
            return None;
        }
        let entry = self.log.get(self.applied_index + 1)?.clone();
        self.applied_index += 1;
        Some(Apply::Entry(self.applied_index, entry))
    }

    /// Replaces all entries up to the last applied one by a snapshot with this state (RP 7).
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied_index;
        let Some(term) = self.log.term(index).filter(|_| index > self.log.snapshot.index) else { return };
        let at_ms = self.log.get(index).map_or(0, |e| e.at_ms);
        let group = self.log.group_at(index).clone();
        let snapshot = Snapshot { index, term, at_ms, group, data };
        self.log.compact(snapshot.clone());
        self.stage_snapshot(snapshot);
    }

    /// The next completed read: its number, and the index that the state machine has reached and that the read may be served
    /// at; `None` if leadership could not be confirmed.
    pub fn poll_read(&mut self) -> Option<(u64, Option<Index>)> {
        let ready = self.completed_reads.front()?.1.is_none_or(|i| i <= self.applied_index);
        if ready {
            self.completed_reads.pop_front()
        } else {
            None
        }
    }
}
