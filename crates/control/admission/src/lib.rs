//! What the sidecar beside an upstream admits to it.
//!
//! The only way to an upstream leads through this process, so the rules about what reaches it are kept here exactly,
//! whatever the rest of the mesh believes: its id and service, its draining, the evacuation of its zone, the rate it
//! bears while it warms up, the work it takes at a time, and that nothing that may run only once is sent twice.
//!
//! There is no clock, no thread and no I/O here: time comes with each call, and what is decided goes back as values.
//!
//! On reading go on with [`AdmissionController`] (`controller.rs`), which lists the files that implement its parts.
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
