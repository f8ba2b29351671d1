//! Actions and notifications for the caller. Their outcomes are reported through the methods in `events`.
use crate::control_entry::ControlEntry;
use crate::datagram::Datagram;
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::record::NodeRecord;

/// An action to execute, or a notification. The caller handles effects in the order in which they are
/// returned.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect<T> {
    /// Open a link; the outcome is reported with `link_up` or `link_down`.
    OpenLink {
        /// The node to connect to.
        to: Node,
    },
    /// Close a link, or stop opening it. No `link_down` is needed.
    CloseLink {
        /// The node at the other end.
        to: Node,
    },
    /// Send a message over the link.
    SendMessage {
        /// The receiver.
        to: Node,
        /// The message.
        message: MembershipMessage<T>,
    },
    /// Send a message with control entries over the link. The caller reports with `entries_sent` that the
    /// network has accepted all of it; until then no further one is emitted for this connection.
    SendEntries {
        /// The receiver.
        to: Node,
        /// The message.
        message: MembershipMessage<T>,
    },
    /// Send a datagram.
    SendDatagram {
        /// The receiver.
        to: Node,
        /// The datagram.
        datagram: Datagram,
    },
    /// Check whether the node's machine accepts a connection; the outcome is reported with
    /// `probe_finished`.
    Probe {
        /// The node to probe.
        node: Node,
    },
    /// Have a majority of the control replicas confirm the revisions of all keys; the outcome is reported
    /// with `revisions_confirmed`.
    ConfirmRevisions {
        /// Returned with the outcome.
        request_id: u64,
    },
    /// The record of another node changed.
    RecordChanged(NodeRecord<T>),
    /// A newer control entry arrived.
    EntryChanged(ControlEntry),
}
