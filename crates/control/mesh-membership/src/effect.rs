//! What the caller has to do, or gets to know. Knows nothing of sockets; the calls that report outcomes stand in `events`.
use crate::control_entry::ControlEntry;
use crate::datagram::Datagram;
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::record::NodeRecord;

/// What the caller is to do, or to know. Effects are carried out in the order in which they are given.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect<T> {
    /// Make a link; the outcome is reported by `link_up` or `link_down`.
    OpenLink {
        /// To whom.
        to: Node,
    },
    /// Drop a link, or stop trying to make it. No `link_down` is needed.
    CloseLink {
        /// To whom.
        to: Node,
    },
    /// Send a message over the link.
    SendMessage {
        /// To whom.
        to: Node,
        /// What.
        message: MembershipMessage<T>,
    },
    /// Send a message with control entries over the link. Once the network has taken all of it, it is reported by `entries_sent`;
    /// until then there is no further one on this connection.
    SendEntries {
        /// To whom.
        to: Node,
        /// What.
        message: MembershipMessage<T>,
    },
    /// Send a datagram.
    SendDatagram {
        /// To whom.
        to: Node,
        /// What.
        datagram: Datagram,
    },
    /// See whether the node's machine accepts a connection; the outcome is reported by `probe_finished`.
    Probe {
        /// Which node.
        node: Node,
    },
    /// Have a majority of the control replicas confirm the revisions of all keys; the outcome is reported by
    /// `revisions_confirmed`.
    ConfirmRevisions {
        /// To be handed back with the outcome.
        request_id: u64,
    },
    /// The record of another node changed.
    RecordChanged(NodeRecord<T>),
    /// A newer control entry arrived.
    EntryChanged(ControlEntry),
}
