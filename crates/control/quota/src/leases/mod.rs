//! The leases of a node, and its decisions on requests when their heads arrive.
//!
//! `request` holds the types of the interface, `held` the state kept for a member, `quota_leases` the state of the
//! node, [`QuotaLeases`]. The other files implement it, each using those before it: `owner_calls` (calls to owners),
//! `local` (units taken from held leases), `recall` (leases given back), `waiting` (requests that wait for an owner),
//! `step` (the clock), `decide` (a request arrives or ends), `answers` (an owner answers), `tick` (time passes).

mod answers;
mod decide;
mod held;
mod local;
mod owner_calls;
mod quota_leases;
mod recall;
mod request;
mod step;
mod tick;
mod waiting;

pub use held::MAX_HELD_LEASES;
pub use quota_leases::{QuotaLeases, MAX_MEMBERS, MAX_OPEN_REQUESTS, MAX_PENDING_CALLS};
pub use request::{Decision, LateDecision, Metrics, OwnerCall, Request, RequestOutcome};
