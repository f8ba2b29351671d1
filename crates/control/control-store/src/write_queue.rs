//! Writes in flight, and the actions that wait for them.

use crate::message::Message;
use crate::types::{Epoch, Node};
use crate::value::State;

/// An action to run once a write is durable.
#[derive(Clone, Debug)]
pub(crate) enum AfterWrite<V: State> {
    /// Send a message.
    Send {
        /// The version of the replica set under which it is sent. Under a later one it is dropped.
        version: u64,
        to: Node,
        message: Message<V, V::Change>,
    },
    /// Count this node's own promise for its claim.
    OwnPromise { key: String, epoch: Epoch },
    /// Count this node's own append.
    OwnAppend { key: String, epoch: Epoch, sequence: u64 },
    /// Start to vote, if the replica set still has this version.
    Vote { version: u64 },
}

/// A write in flight.
#[derive(Clone, Debug)]
pub(crate) struct WriteInFlight<V: State> {
    pub(crate) write: u64,
    pub(crate) actions: Vec<AfterWrite<V>>,
}
