//! What an operator allows one member.

use bitcode::{Decode, Encode};
use silvercross_time::Duration;

/// A longer name is rejected.
pub const MAX_NAME_BYTES: usize = 200;
/// No kind has more units in a window.
pub const MAX_AMOUNT: u64 = 1_000_000_000_000;
/// A shorter window is rejected: it must outlast a lease and the wait for a lost one.
pub const MIN_WINDOW: Duration = Duration::from_secs(60);
/// A longer window is rejected (a year).
pub const MAX_WINDOW: Duration = Duration::from_secs(366 * 86_400);

/// What is counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RequestKind {
    /// Status and notice-board reads.
    Read,
    /// Confirmations and postings.
    Confirmation,
    /// Large bodies.
    Upload,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 3] = [RequestKind::Read, RequestKind::Confirmation, RequestKind::Upload];

    /// The operator's word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Read => "read",
            RequestKind::Confirmation => "confirmation",
            RequestKind::Upload => "upload",
        }
    }

    /// The kind an operator's word stands for.
    pub fn parse(name: &str) -> Option<RequestKind> {
        RequestKind::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Its place in arrays by kind.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// What one unit is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Unit {
    /// A request.
    Request,
    /// So many bytes of a request's body, begun; a request without a body is one unit. Above 0.
    Bytes(u64),
}

impl Unit {
    /// The units of a request with a body of that many bytes; at least 1.
    pub fn units(self, body_bytes: u64) -> u64 {
        match self {
            Unit::Request => 1,
            Unit::Bytes(each) => body_bytes.div_ceil(each.max(1)).max(1),
        }
    }
}

/// What becomes of a request when its kind's units are used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum WhenExhausted {
    /// It is rejected.
    Reject,
    /// It is not counted and goes on, slowed as for a lapsed trial. Reads only.
    Slow,
}

/// What a node does that can't reach the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum WhenUnreachable {
    /// Serve within the leases that it holds, then reject.
    ServeFromLeases,
    /// Reject at once.
    Reject,
}

/// What a member may use of one kind in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct KindQuota {
    /// Units in a window.
    pub amount: u64,
    /// What a unit is.
    pub unit: Unit,
    /// What becomes of the excess.
    pub when_exhausted: WhenExhausted,
    /// Whether each request with an order number is asked of the owner, so that a repeat is known at once everywhere.
    pub strict: bool,
}

/// One member's allowance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Allowance {
    /// The member.
    pub name: String,
    /// The item's version; `edition` in the operator's JSON.
    pub version: u64,
    /// How long a window is.
    pub window_length: Duration,
    /// The header in which an order's number comes, in lower case; requests without it are counted one by one.
    pub order_header: Option<String>,
    /// What a node does that can't reach the owner.
    pub when_unreachable: WhenUnreachable,
    /// By kind; a kind without a quota is not counted.
    pub quotas: [Option<KindQuota>; 3],
}

impl Allowance {
    /// The quota of a kind, if it is counted.
    pub fn quota(&self, kind: RequestKind) -> Option<&KindQuota> {
        self.quotas[kind.index()].as_ref()
    }

    /// Whether requests of a kind are counted by order number.
    pub(crate) fn counts_orders(&self, kind: RequestKind) -> bool {
        kind != RequestKind::Read && self.order_header.is_some()
    }
}
