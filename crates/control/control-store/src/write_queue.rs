//! Writes in flight, and what waits for them.

use crate::message::Message;
use crate::types::{Epoch, Node};
use crate::value::State;

/// What is done once a write is durable.
#[derive(Clone, Debug)]
pub(crate) enum AfterWrite<V: State> {
    /// A message is sent.
    Send {
        /// Under which version of the replica set: under a later one it is not sent any more.
        version: u64,
        to: Node,
        message: Message<V, V::Change>,
    },
    /// This node's own promise for its claim counts.
    OwnPromise { key: String, epoch: Epoch },
    /// This node's own append counts.
    OwnAppend { key: String, epoch: Epoch, sequence: u64 },
    /// This node votes, if this is still the replica set's version.
    Vote { version: u64 },
}

/// A write in flight.
#[derive(Clone, Debug)]
pub(crate) struct WriteInFlight<V: State> {
    pub(crate) write: u64,
    pub(crate) then: Vec<AfterWrite<V>>,
}
