//! Throttling of members on one node: identifies the member of a request and delays it, tracks the progress of each member's
//! lapse, and, if this node owns a lapse's key, advances it as a singleton.
//!
//! `silvercross-throttle` makes all decisions; this module provides clocks and timers. Without members a request costs one
//! check of a flag, and the lapse owner sleeps. Start with `state.rs`, then `requests.rs` (the data path), `lapse_owner.rs`
//! (the singleton), and `report.rs` and `item_changes.rs` (operators' calls).
mod item_changes;
mod lapse_owner;
mod report;
mod requests;
mod state;
mod step_header;
#[cfg(test)]
mod tests;
mod wall_clock;

pub(crate) use item_changes::{item_version, lapsed_item, percent_decoded, renewed_item, ItemChangeError};
pub(crate) use lapse_owner::run_lapse_owner;
pub(crate) use report::members_report;
pub(crate) use requests::{throttle_request, ThrottleDecision};
pub(crate) use state::MemberThrottle;
pub(crate) use step_header::set_step_header;
