//! What goes between watchers by datagram. Only the form: what is done with one stands in `watching`.
use crate::node::Node;
use bitcode::{Decode, Encode};
use silvercross_time::Duration;

/// What goes by datagram, and may be lost.
///
/// Encoded between nodes: order of the variants, and order and types of their fields, are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Datagram {
    /// A heartbeat, to watchers.
    Heartbeat {
        /// The sender's incarnation.
        incarnation: u64,
        /// Its sequence within the incarnation.
        sequence: u64,
    },
    /// To a node that is believed gone and was heard: it may refute this.
    DeclaredDead {
        /// The incarnation that is believed gone.
        incarnation: u64,
        /// The sequence within the incarnation.
        sequence: u64,
    },
    /// To another watcher: the node is silent; was it heard there?
    Suspect {
        /// The node in question.
        suspect: Node,
        /// Its incarnation as far as known.
        incarnation: u64,
    },
    /// Nothing was heard of the suspect here either.
    SuspectConfirmed {
        /// The node in question.
        suspect: Node,
        /// Its incarnation as asked.
        incarnation: u64,
    },
    /// The suspect was heard here, by the sender itself.
    SuspectAlive {
        /// The node in question.
        suspect: Node,
        /// Its incarnation as asked.
        incarnation: u64,
        /// How long ago. What another watcher heard is no newer for having been reported.
        elapsed: Duration,
    },
}
