//! Kinds of routes.

use bitcode::{Decode, Encode};

/// How a route's requests may be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// A request runs at most once for each attempt.
    Unsafe,
    /// Large bodies; otherwise as `Unsafe`.
    Upload,
}

impl RouteKind {
    const ALL: [RouteKind; 3] = [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload];

    /// Whether a request of this kind may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }

    /// The kind's name in the operator's JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Upload => "upload",
        }
    }

    /// The kind with this name in the operator's JSON.
    pub fn parse(name: &str) -> Option<RouteKind> {
        RouteKind::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}
