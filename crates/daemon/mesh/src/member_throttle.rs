//! Members on one node: whose a request is and how long it waits, how far each member's lapse has come, and, where this node
//! owns a lapse's key, the singleton that takes it on.
//!
//! Everything is decided in `silvercross-throttle`; here time passes and requests wait. Where there is no member, a request costs
//! one look at a flag, and no task runs. Read on in `state.rs`, then `requests.rs` (the data path), `lapse_owner.rs` (the
//! singleton), and `report.rs` and `item_changes.rs` (operators' calls).
mod item_changes;
mod lapse_owner;
mod report;
mod requests;
mod state;
mod step_header;
#[cfg(test)]
mod tests;
mod wall_clock;

pub(crate) use item_changes::{lapsed_item, percent_decoded, renewed_item, ItemChangeError};
pub(crate) use lapse_owner::run_lapse_owner;
pub(crate) use report::members_report;
pub(crate) use requests::{throttle_request, ThrottleDecision};
pub(crate) use state::MemberThrottle;
pub(crate) use step_header::set_step_header;
