//! The origin's side of one service: the decision module behind its facade, and the requests that wait for what it says.
//!
//! Translates between the module's steps and tasks; decides nothing. Knows no socket: attempts are sent in
//! `client_listener`. Read on in `service_balancer/balancer.rs`.
mod balancer;
mod event;
mod settings;
mod upstream_host;

pub(crate) use balancer::{OpenRequest, ServiceBalancer, UpstreamCounts};
pub(crate) use event::RequestEvent;
pub(crate) use settings::{ServiceSettings, CONNECT_TIMEOUT};
pub(crate) use upstream_host::upstream_host;
