//! What the caller has to do for a control store.

use crate::message::{CallOutcome, Message};
use crate::stored::{Metadata, StoredKey};
use crate::types::{Node, Revision};
use crate::value::State;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<V: State> {
    /// Send a message. It may get lost, duplicated or reordered.
    Send {
        /// To whom.
        to: Node,
        /// The version of the replica set under which it is said, to be handed to
        /// [`ControlStore::receive`](crate::ControlStore::receive) with it.
        version: u64,
        /// What.
        message: Message<V, V::Change>,
    },
    /// Make durable as one transaction, then call [`ControlStore::write_completed`](crate::ControlStore::write_completed).
    /// Writes complete in order. For one that finds no space on the disk call
    /// [`ControlStore::set_disk_has_space`](crate::ControlStore::set_disk_has_space), and try it again, before all later
    /// ones, until it succeeds; if a sync fails the process ends.
    Store {
        /// Its number.
        write: u64,
        /// Replaces the metadata there.
        metadata: Option<Metadata>,
        /// Each replaces what is there under its key.
        keys: Vec<StoredKey<V>>,
    },
    /// The outcome of a call or read, exactly one for each token.
    Answer {
        /// As the caller gave it.
        token: u64,
        /// The outcome.
        outcome: CallOutcome<V>,
    },
    /// A committed value, from its owner.
    Committed {
        /// The key.
        key: String,
        /// Where the value stands.
        revision: Revision,
        /// The value.
        value: V,
    },
}
