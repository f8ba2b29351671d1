//! What a member reports to whoever runs it: changes of state, and exchanges to begin.
use crate::drains::Drain;
use crate::identity::Identity;
use crate::table::State;
use crate::view::View;
use std::net::SocketAddr;

/// An event for whoever runs the member.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The view, or the number of those that send, is another one.
    View(View),
    /// A member is in another state.
    Changed {
        /// Who.
        id: Identity,
        /// What it is called.
        name: String,
        /// How it is now.
        state: State,
        /// By whom that was reported.
        by: Identity,
    },
    /// Another member says that an upstream drains.
    Drain(Drain),
    /// This member refuted what was said of it.
    Refuted(State),
    /// It stands down: there is another process of its identity, or of its name.
    StoodDown {
        /// Whether the identity is the same too.
        same_identity: bool,
        /// Where that one is.
        other: SocketAddr,
    },
    /// The other process of this identity or name has to stand down, not this one.
    DuplicateMember {
        /// Whether the identity is the same too.
        same_identity: bool,
        /// Where that one is.
        other: SocketAddr,
    },
}

/// A full exchange to begin: send [`Exchange::bytes`] there, and give what comes back to [`crate::Members::handle_exchange_response`].
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// Where.
    pub to: SocketAddr,
    /// What.
    pub bytes: Vec<u8>,
}
