//! Plays the queue of events, for as long as nothing has gone wrong.

use crate::content::Change;
use crate::event::Event;
use crate::history::Answer;
use crate::operator_state::Call;
use crate::world::World;
use silvercross_time::{Duration, Instant};

/// A read is waited for so long.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// An answer is looked for as often as this.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(1);

impl World {
    /// Plays until then.
    pub fn play(&mut self, until: Instant) {
        while self.failure.is_none() {
            let Some(event) = self.next_event(until) else { break };
            self.handle(event);
        }
        self.now = self.now.max(until);
    }

    /// Plays for so long.
    pub fn run(&mut self, span: Duration) {
        self.play(self.now + span);
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = event.node() {
            return match self.nodes[node].is_frozen {
                true => self.nodes[node].deferred_events.push(event),
                false => self.handle_node_event(event),
            };
        }
        match event {
            Event::Dial { from, generation, to } => self.finish_dial(from, generation, to),
            Event::OperatorActs(operator) => self.act_as_operator(operator),
            Event::CallTimeout(token) => self.end_call(token, Answer::Missing),
            Event::FaultStrikes => self.strike(),
            Event::FaultEnds(end) => self.end_fault(end),
            _ => {}
        }
    }

    /// Sends a call and plays until it is answered or so long has passed.
    pub fn ask(&mut self, node: usize, call: Call, timeout: Duration) -> Answer {
        let token = self.send_call(node, call);
        let until = self.now + timeout;
        while self.operators.open.contains_key(&token) && self.now < until && self.failure.is_none() {
            self.run(ANSWER_POLL_INTERVAL);
        }
        self.history.operations[token.index()].answer.clone()
    }

    /// Reads a key through a node.
    pub fn read(&mut self, node: usize, key: usize) -> Answer {
        let call = self.new_call_of(key, Change::new());
        self.ask(node, call, READ_TIMEOUT)
    }
}
