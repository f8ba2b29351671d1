//! The allowance that an operator sets for one member.

use bitcode::{Decode, Encode};
use silvercross_time::Duration;

/// Longest name of an allowance, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Largest quota of a request kind, in units per window.
pub const MAX_AMOUNT: u64 = 1_000_000_000_000;
/// Shortest window. It must outlast a lease and the margin after which the lease counts as lost.
pub const MIN_WINDOW: Duration = Duration::from_secs(60);
/// Longest window: 366 days.
pub const MAX_WINDOW: Duration = Duration::from_secs(366 * 86_400);

/// Kinds of requests, each counted against a quota of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RequestKind {
    /// Reads, of a status or of the service's notice board. Each one is counted, whatever its order number.
    Read,
    /// Writes without large bodies: confirmations and postings.
    Confirmation,
    /// Requests with large bodies.
    Upload,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 3] = [RequestKind::Read, RequestKind::Confirmation, RequestKind::Upload];

    /// The kind's name in the operator's JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Read => "read",
            RequestKind::Confirmation => "confirmation",
            RequestKind::Upload => "upload",
        }
    }

    /// The kind with this name in the operator's JSON.
    pub fn parse(name: &str) -> Option<RequestKind> {
        RequestKind::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// The index in arrays by kind.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// What one unit of a quota measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Unit {
    /// A request.
    Request,
    /// This many bytes of a request's body, rounded up; a request without a body is one unit. Above 0.
    Bytes(u64),
}

impl Unit {
    /// Units of a request whose body has `body_bytes` bytes; at least 1.
    pub fn units(self, body_bytes: u64) -> u64 {
        match self {
            Unit::Request => 1,
            Unit::Bytes(unit_bytes) => body_bytes.div_ceil(unit_bytes.max(1)).max(1),
        }
    }
}

/// What happens to a request when its kind's quota is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum WhenExhausted {
    /// It is rejected.
    Reject,
    /// It is served uncounted, with the delay that `silvercross-throttle` gives the reads of a member whose
    /// trial period has ended. Reads only.
    Slow,
}

/// What a node does while it cannot reach the owner of the member's quota state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum WhenUnreachable {
    /// Serves from the leases it holds, then rejects.
    ServeFromLeases,
    /// Rejects immediately.
    Reject,
}

/// The quota of one request kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct KindQuota {
    /// Units per window.
    pub amount: u64,
    /// What a unit measures.
    pub unit: Unit,
    /// What happens to requests beyond the quota.
    pub when_exhausted: WhenExhausted,
    /// Whether every request with an order number is sent to the owner, so that a repeat is detected immediately on
    /// all nodes. Otherwise a node may count it against a lease that it holds.
    pub strict: bool,
}

/// One member's allowance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Allowance {
    /// The member's name.
    pub name: String,
    /// The item's version; `edition` in the operator's JSON.
    pub version: u64,
    /// Length of a window.
    pub window_length: Duration,
    /// Name, in lower case, of the header with the order number: an idempotency key, by which all attempts of an order
    /// are counted once. Requests without it are counted individually.
    pub order_header: Option<String>,
    /// What a node does while it cannot reach the owner of the member's quota state.
    pub when_unreachable: WhenUnreachable,
    /// Quotas indexed by kind; a kind without a quota is not counted.
    pub quotas: [Option<KindQuota>; 3],
}

impl Allowance {
    /// The quota of a kind, if the kind is counted.
    pub fn quota(&self, kind: RequestKind) -> Option<&KindQuota> {
        self.quotas[kind.index()].as_ref()
    }

    /// Whether requests of a kind are counted by order number.
    pub(crate) fn counts_orders(&self, kind: RequestKind) -> bool {
        kind != RequestKind::Read && self.order_header.is_some()
    }
}
