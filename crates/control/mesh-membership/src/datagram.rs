//! Datagrams between watchers. They are handled in `watching`.
use crate::node::Node;
use bitcode::{Decode, Encode};
use silvercross_time::Duration;

/// A datagram of the failure detector; it may be lost.
///
/// Encoded between nodes: order of the variants, and order and types of their fields, are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Datagram {
    /// Heartbeat to a watcher.
    Heartbeat {
        /// The sender's incarnation.
        incarnation: u64,
        /// The sender's sequence within the incarnation.
        sequence: u64,
    },
    /// To a node that sent a heartbeat although it is recorded as gone, so that it can refute this.
    DeclaredDead {
        /// The incarnation recorded as gone.
        incarnation: u64,
        /// The sequence within the incarnation.
        sequence: u64,
    },
    /// To another watcher: asks whether it has heard the silent node.
    Suspect {
        /// The silent node.
        suspect: Node,
        /// Its incarnation as known to the sender.
        incarnation: u64,
    },
    /// Reply: the sender hasn't heard the suspect either.
    SuspectConfirmed {
        /// The suspected node.
        suspect: Node,
        /// Its incarnation, copied from the query.
        incarnation: u64,
    },
    /// Reply: the sender has heard the suspect.
    SuspectAlive {
        /// The suspected node.
        suspect: Node,
        /// Its incarnation, copied from the query.
        incarnation: u64,
        /// Time since it was heard, so that passing the report on doesn't make it any newer.
        elapsed: Duration,
    },
}
