//! The balancer of one service at the origin: the decision module behind its facade, and the requests that await its
//! steps.
//!
//! Translates between the module's steps and tasks, and makes no decisions. Does no I/O: attempts are sent in
//! `client_listener`. Start reading in `service_balancer/balancer.rs`.
mod balancer;
mod event;
mod settings;
mod upstream_host;

pub(crate) use balancer::{OpenRequest, ServiceBalancer, UpstreamCounts};
pub(crate) use event::RequestEvent;
pub(crate) use settings::{ServiceSettings, CONNECT_TIMEOUT};
pub(crate) use upstream_host::upstream_host;
