//! Health checks of upstreams.
use super::exchange::exchange;
use super::outcome::ExchangeOutcome;
use super::pool::ConnectionPool;
use super::request::OutgoingRequest;
use crate::body_budget::BodyReservation;
use crate::wire::{PeerKind, MAX_HEAD_BYTES};
use silvercross_time::Duration;
use std::net::SocketAddr;
use tokio::time::timeout;

/// Timeout for connecting, and again for the exchange.
const HEALTH_CHECK_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

/// What an upstream reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HealthReport {
    /// The id of the upstream.
    pub(crate) id: String,
    /// Whether it says that it is healthy.
    pub(crate) is_healthy: bool,
    /// The remaining time of its warm-up.
    pub(crate) warm_up_left: Duration,
}

/// Checks the health of an upstream. Returns `None` unless it states its id.
pub(crate) async fn check_health(
    pool: &ConnectionPool,
    to: SocketAddr,
    path: &str,
    reservation: BodyReservation,
) -> Option<HealthReport> {
    let peer = PeerKind::External(MAX_HEAD_BYTES);
    let connection = pool.acquire(None, to, HEALTH_CHECK_TIMEOUT, peer).await.ok()?;
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n");
    let request = OutgoingRequest {
        to,
        bytes: bytes.as_bytes(),
        body: None,
        awaits_continue: false,
        attempt_id: "",
        is_head_request: false,
        cancellation: None,
    };
    match timeout(HEALTH_CHECK_TIMEOUT, exchange(pool, connection, request, reservation)).await {
        Ok(ExchangeOutcome::Response(received)) if received.remainder.is_none() => {
            let response = received.response;
            Some(HealthReport {
                id: response.upstream_id?,
                is_healthy: response.status == 200,
                warm_up_left: response.warm_up_left.unwrap_or(Duration::ZERO),
            })
        }
        _ => None,
    }
}
