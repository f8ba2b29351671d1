//! What one key of the idempotency store is: a document, or a keyed request.

use crate::linearizability::Object;
use crate::operation::{Answer, Invocation};

/// A key's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyedState {
    /// Nothing is there.
    Empty,
    /// It is claimed by this client.
    Claimed(u64),
    /// It has this value, or answer.
    Value(u64),
}

/// A document, or a keyed request.
pub struct KeyedEntry;

impl Object for KeyedEntry {
    type State = KeyedState;
    type Invocation = Invocation;
    type Answer = Answer;

    fn first(&self) -> KeyedState {
        KeyedState::Empty
    }

    fn after(
        &self,
        state: &KeyedState,
        invocation: &Invocation,
        answer: Option<&Answer>,
    ) -> Option<KeyedState> {
        let value = match state {
            KeyedState::Value(value) => *value,
            _ => 0,
        };
        let (next, expected) = match *invocation {
            Invocation::Put(new) => (KeyedState::Value(new), Answer::Done),
            Invocation::Cas(old, new) if old == value => (KeyedState::Value(new), Answer::Done),
            Invocation::Cas(..) => (*state, Answer::Mismatch),
            Invocation::Get => (*state, Answer::Value(value)),
            Invocation::Claim(by) => match state {
                KeyedState::Empty => (KeyedState::Claimed(by), Answer::Claimed),
                KeyedState::Claimed(_) => (*state, Answer::InProgress),
                KeyedState::Value(value) => (*state, Answer::Value(*value)),
            },
            Invocation::Complete(by, answer) if *state == KeyedState::Claimed(by) => {
                (KeyedState::Value(answer), Answer::Done)
            }
            Invocation::Complete(..) => (*state, Answer::Mismatch),
            Invocation::Release(by) if *state == KeyedState::Claimed(by) => (KeyedState::Empty, Answer::Done),
            Invocation::Release(_) => (*state, Answer::Mismatch),
        };
        answer.is_none_or(|answer| *answer == expected).then_some(next)
    }
}
