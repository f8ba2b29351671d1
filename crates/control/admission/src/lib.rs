//! Admission control for the upstream behind a sidecar.
//!
//! All requests to an upstream pass through its sidecar, so the limits are enforced here even when the rest of the mesh
//! has stale information: the upstream's id and service, its draining, the evacuation of its zone, the rate while it
//! warms up, its concurrency, and that a non-idempotent request is not sent twice.
//!
//! The package has no clock, threads or I/O: callers pass the time with each call and get decisions as return values.
//!
//! Start reading at [`AdmissionController`] (`controller.rs`), which lists the files that implement its parts.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod attempt_ids;
mod capacity;
mod controller;
mod decision;
mod in_flight;
mod limits;
mod metrics;
mod pending_queue;
mod rejection;
mod request;
mod request_events;
mod settings;
mod timer;
mod upstream;
mod upstream_events;
mod warmup_pacer;

pub use controller::AdmissionController;
pub use decision::{Decision, Effect};
pub use limits::{ID_RETENTION, MAX_PENDING_TIME, MAX_REMEMBERED_IDS, MAX_SLOTS, UPSTREAM_QUEUE_SLOTS};
pub use metrics::{Load, Metrics};
pub use rejection::Rejection;
pub use request::AdmissionRequest;
pub use settings::{AdmissionSettings, UpstreamLimits};
pub use upstream::{Upstream, UpstreamReport, UpstreamState};
