//! What goes out: messages, writes, entries to apply and answered reads, each polled by the caller. A message that rests on a
//! write leaves only once that write is durable.
use crate::config::Mutation;
use crate::log::{Index, Snapshot};
use crate::message::Message;
use crate::outcome::{Apply, Ended};
use crate::persistent_state::Write;
use crate::replica::Replica;
use crate::Node;
use silvercross_time::Instant;

impl Replica {
    /// The next message, and to whom, with the number of writes to go along.
    pub fn poll_send(&mut self) -> Option<(Node, u64, Message)> {
        // Those that wait for nothing may overtake those that wait for a write.
        let eager = self.config.is_broken(Mutation::AnswerBeforeSync);
        let next = self.out.iter().position(|m| m.0 <= self.done || eager)?;
        self.out.remove(next).map(|(_, to, message)| (to, self.done, message))
    }

    /// Whether anything waits to be made durable.
    pub fn wants_write(&self) -> bool {
        !self.staged.is_empty() && self.ended.is_none()
    }

    /// The next thing to make durable: one at a time, so that all that comes meanwhile shares the next sync.
    pub fn poll_write(&mut self) -> Option<Write> {
        if !self.wants_write() || !self.writing.is_empty() {
            return None;
        }
        let number = self.staged.number;
        let next = Write { number: number + 1, ..Write::default() };
        self.writing.push_back((number, self.log.last_index()));
        Some(std::mem::replace(&mut self.staged, next))
    }

    /// All writes up to this number are durable.
    pub fn written(&mut self, now: Instant, number: u64) {
        while let Some(&(n, last)) = self.writing.front() {
            if n > number {
                break;
            }
            self.writing.pop_front();
            self.done = n;
            self.durable = last;
        }
        if self.is_leader() {
            self.advance(now);
        }
    }

    /// A write failed: this voter ends, and its folder is never used again.
    pub fn write_failed(&mut self) {
        self.end(Ended::WriteFailed);
    }

    /// The next thing for the state machine.
    pub fn poll_apply(&mut self) -> Option<Apply> {
        if std::mem::take(&mut self.restore) {
            self.applied = self.log.snapshot.index;
            return Some(Apply::Restore(self.log.snapshot.clone()));
        }
        if self.applied >= self.commit || self.ended.is_some() {
            return None;
        }
        let entry = self.log.get(self.applied + 1)?.clone();
        self.applied += 1;
        Some(Apply::Entry(self.applied, entry))
    }

    /// The state at the last applied entry, to stand for all entries up to it (RP 7).
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.log.term(index).filter(|_| index > self.log.snapshot.index) else { return };
        let at_ms = self.log.get(index).map_or(0, |e| e.at_ms);
        let group = self.log.group_at(index).clone();
        let snapshot = Snapshot { index, term, at_ms, group, data };
        self.log.compact(snapshot.clone());
        self.stage_snapshot(snapshot);
    }

    /// The next read that was answered: its number, and the place up to which the state has been applied that it may be
    /// answered from; `None`: this node did not lead any more.
    pub fn poll_read(&mut self) -> Option<(u64, Option<Index>)> {
        let ready = self.answered.front()?.1.is_none_or(|i| i <= self.applied);
        if ready {
            self.answered.pop_front()
        } else {
            None
        }
    }
}
