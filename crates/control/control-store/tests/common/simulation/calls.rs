//! The simulation's callers: new changes, repeated ones, races for a version, and reads, at random machines.

use super::machine::Input;
use super::{Event, Simulation};
use crate::common::history::{Answer, RecordedCall};
use crate::common::notes::Change;
use silvercross_time::Duration;

impl Simulation {
    /// Starts a change, or a read if there is none. Returns its token, if the machine's process is running.
    pub(super) fn begin_call(&mut self, node: usize, key: &str, change: Option<Change>) -> Option<u64> {
        self.machines[node].store.as_ref()?;
        let token = self.next_token;
        self.next_token += 1;
        self.report.calls += 1;
        self.open_calls.insert(token, node);
        self.history.calls.push(RecordedCall {
            key: key.to_owned(),
            started: self.now,
            answered: None,
            items: change.clone().unwrap_or_default(),
            answer: Answer::Pending,
        });
        self.input(node, Input::Call { token, key: key.to_owned(), change });
        Some(token)
    }

    /// One caller makes a call, and schedules the next.
    pub(super) fn call_at_random(&mut self, number: usize) {
        let node = self.rng.index(self.machines.len());
        let key = self.keys[self.rng.index(self.keys.len())].clone();
        match self.rng.below(10) {
            0..=3 => {
                self.begin_call(node, &key, None);
            }
            // Repeats a recent change.
            4 | 5 if !self.recent.is_empty() => {
                let (key, change) = self.recent[self.rng.index(self.recent.len())].clone();
                self.begin_call(node, &key, Some(change));
            }
            _ => self.change_at_random(node, &key),
        }
        let at_most = if self.rng.one_in(3) { 10_000 } else { 200_000 };
        let pause = Duration::from_millis(1) + self.rng.micros_below(at_most);
        if self.now < self.faults_until {
            self.schedule(self.now + pause, Event::Caller { number });
        }
    }

    fn change_at_random(&mut self, node: usize, key: &str) {
        self.last_content += 1;
        let content = self.last_content;
        let mut change = Change::new();
        let first = self.rng.below(4) as u8;
        for item in [first, first + 1] {
            let last = self.versions.entry((key.to_owned(), item)).or_default();
            // One in three races for a version that was used before.
            let version = if self.rng.one_in(3) { (*last).max(1) } else { *last + 1 };
            *last = version;
            let content = if self.rng.one_in(30) { 0 } else { content };
            change.push((item, version, content));
        }
        self.recent.push((key.to_owned(), change.clone()));
        if self.recent.len() > 8 {
            self.recent.remove(0);
        }
        if self.rng.one_in(3) {
            let other = self.rng.index(self.machines.len());
            let rival = change.iter().map(|(i, v, _)| (*i, *v, content + 1_000_000)).collect();
            self.begin_call(other, key, Some(rival));
        }
        self.begin_call(node, key, Some(change));
    }
}
