//! A quota shared by all nodes, decided without I/O: the units that a member may use in a window, counted across nodes.
//! A member is a party that sends requests to the service, not a node of the cluster.
//!
//! - [`Allowance`]: what an operator allows, parsed by [`parse()`] and merged in an [`AllowanceSet`].
//! - [`QuotaState`]: a member's usage, kept in the control store under [`QUOTA_KEY_PREFIX`] and the member's name.
//! - [`QuotaLeases`]: the units leased to a node, and the node's decisions on requests.
//! - [`WindowTimer`]: the changes that the key's owner proposes as time passes.
//!
//! The design and why it is correct: `docs/design/quota.md`. Start reading at `protocol`, the calls between nodes and
//! owners. The types encoded here are stored and sent over the wire: fields and variants keep their order.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod allowance;
mod allowance_set;
mod config;
mod error;
mod leases;
mod mutation;
mod parse;
mod protocol;
mod state;
mod window_timer;

pub use allowance::{
    Allowance, KindQuota, RequestKind, Unit, WhenExhausted, WhenUnreachable, MAX_AMOUNT, MAX_NAME_BYTES,
    MAX_WINDOW, MIN_WINDOW,
};
pub use allowance_set::{AllowanceChange, AllowanceSet, MAX_ALLOWANCES};
pub use config::QuotaConfig;
pub use error::AllowanceError;
pub use leases::{
    Decision, LateDecision, Metrics, OwnerCall, QuotaLeases, Request, RequestOutcome, MAX_HELD_LEASES,
    MAX_MEMBERS, MAX_OPEN_REQUESTS, MAX_PENDING_CALLS,
};
#[cfg(feature = "mutants")]
pub use mutation::set_mutation;
pub use mutation::Mutation;
pub use parse::{parse, MAX_BODY_BYTES};
pub use protocol::{Change, Lease, LeasedOrder, OperationId, OrderId, OwnerAnswer, RejectionReason};
pub use state::{
    LeaseNode, QuotaState, LEASE_FRACTION, MAX_ATTEMPTS_PER_ORDER, MAX_LEASES, MAX_LEASE_NODES,
    MAX_LEASE_UNITS, MAX_ORDERS, MAX_ORDERS_PER_LEASE, MIN_LEASE_UNITS, MIN_NODES_COUNTED,
};
pub use window_timer::{Proposal, WindowTimer, ELAPSED_REPORTS_PER_WINDOW, PROPOSAL_RETRY_INTERVAL};

/// Prefix of the control store key of a member's [`QuotaState`]; the member's name follows.
pub const QUOTA_KEY_PREFIX: &str = "allowance/";
