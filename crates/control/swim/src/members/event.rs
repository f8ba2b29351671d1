//! Outputs of a member to its caller: events, and full-state exchanges to start.
use crate::drains::Drain;
use crate::identity::Identity;
use crate::table::State;
use crate::view::View;
use std::net::SocketAddr;

/// An event for the caller that runs the member.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The view or the number of senders changed.
    View(View),
    /// The state of a member changed, or a new member was added.
    Changed {
        /// Identity of the member.
        id: Identity,
        /// Name of the member.
        name: String,
        /// New state.
        state: State,
        /// The member that reported it.
        by: Identity,
    },
    /// Another member reported that an upstream is draining.
    Drain(Drain),
    /// This member refuted a report that it is in this state.
    Refuted(State),
    /// This member stands down, because another process has its identity or its name.
    StoodDown {
        /// Whether the identity is the same too.
        same_identity: bool,
        /// Address of the other process.
        other: SocketAddr,
    },
    /// Another process has this member's identity or name and has to stand down.
    DuplicateMember {
        /// Whether the identity is the same too.
        same_identity: bool,
        /// Address of the other process.
        other: SocketAddr,
    },
}

/// A full-state exchange to start: send [`Exchange::bytes`] and pass the response to
/// [`crate::Members::handle_exchange_response`].
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// Address of the other member.
    pub to: SocketAddr,
    /// The request.
    pub bytes: Vec<u8>,
}
