//! What a node holds of allowances, and what it does with a request at its head.
//!
//! `request` is what the caller sees, `held` what is held of a member, [`QuotaLeases`] in `quota_leases` all of it. The other
//! files are what happens to it, each using those before it: `owner_calls` (calls to owners), `local` (units of leases that are
//! held), `recall` (leases given back), `waiting` (requests that wait for an owner), `step` (the clock), `decide` (a request comes, or ends),
//! `answers` (an owner answers), `tick` (time passes).

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
