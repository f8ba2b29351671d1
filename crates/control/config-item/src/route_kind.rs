//! What may be done with the requests of a route.

use bitcode::{Decode, Encode};

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt.
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

    /// Its name in an operator's call.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Upload => "upload",
        }
    }

    /// The kind of this name in an operator's call.
    pub fn parse(name: &str) -> Option<RouteKind> {
        RouteKind::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}
