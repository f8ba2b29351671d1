//! The one count of a member, as it stands under its key of the control store.
//!
//! [`QuotaState`] is in `quota_state`, with what can be asked of it; `leases` and `orders` are how changes of either act on it,
//! `apply` is which change does what and what its node is answered.

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
