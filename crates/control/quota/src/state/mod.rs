//! The quota state of a member, as it is stored under its key of the control store.
//!
//! `quota_state` holds [`QuotaState`] and its queries, `leases` and `orders` apply changes to leases and orders, and
//! `apply` dispatches a change and builds the answer to the node that asked.

mod apply;
mod leases;
mod order_entry;
mod orders;
mod quota_state;

pub use leases::{
    LEASE_FRACTION, MAX_LEASES, MAX_LEASE_NODES, MAX_LEASE_UNITS, MAX_ORDERS_PER_LEASE, MIN_LEASE_UNITS,
    MIN_NODES_COUNTED,
};
pub use order_entry::MAX_ATTEMPTS_PER_ORDER;
pub use quota_state::{LeaseNode, QuotaState, MAX_ORDERS};
