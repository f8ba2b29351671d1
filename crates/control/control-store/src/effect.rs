//! Actions that the caller has to execute for a control store.

use crate::message::{CallOutcome, Message};
use crate::stored::{Metadata, StoredKey};
use crate::types::{Node, Revision};
use crate::value::State;

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<V: State> {
    /// Send a message. It may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: Node,
        /// The version of the replica set under which it is sent, to be passed to
        /// [`ControlStore::receive`](crate::ControlStore::receive) with it.
        version: u64,
        /// The message.
        message: Message<V, V::Change>,
    },
    /// Make durable as one transaction, then call
    /// [`ControlStore::write_completed`](crate::ControlStore::write_completed). Writes complete in order. If
    /// the disk has no space, call
    /// [`ControlStore::set_disk_has_space`](crate::ControlStore::set_disk_has_space) and retry the write,
    /// before all later ones, until it succeeds. If a sync fails, the process has to end.
    Store {
        /// The write's number.
        write: u64,
        /// Replaces the stored metadata.
        metadata: Option<Metadata>,
        /// Each replaces what is stored under its key.
        keys: Vec<StoredKey<V>>,
    },
    /// The outcome of a call or read, exactly one for each token.
    Answer {
        /// The token of the call.
        token: u64,
        /// The outcome.
        outcome: CallOutcome<V>,
    },
    /// A committed value, reported by its owner.
    Committed {
        /// The key.
        key: String,
        /// Its revision.
        revision: Revision,
        /// The value.
        value: V,
    },
}
