//! Delivery of a request to the upstream on this machine: admission, the exchange, and the evaluation of the
//! response.
use super::admission::{admit, AdmittedRequest};
use super::counting::count_delivered;
use super::delivery_request::Delivery;
use super::responses::status_response;
use crate::forwarding_headers::GateStatus;
use crate::node_state::NodeState;
use crate::peer_connection::{exchange, ExchangeOutcome, OutgoingRequest, ReceivedResponse};
use crate::request_encoding::ForwardedRequest;
use crate::wire::{PeerKind, Response, MAX_HEAD_BYTES};
use silvercross_time::Duration;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::time::{timeout_at, Instant};

/// Timeout for connecting to the upstream on this machine.
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// How long after a request's timeout the upstream's response is still awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(40);

/// Delivers a request to the upstream on this machine if it is admitted. A response without a body and with a
/// [`GateStatus`] is the gate's own.
pub(crate) async fn deliver(node_state: &Rc<NodeState>, delivery: Delivery<'_>) -> ReceivedResponse {
    let (Some(upstream), Some(attempt_id)) =
        (node_state.settings.upstream_address, &delivery.head.attempt_id)
    else {
        return status_response(GateStatus::Unavailable);
    };
    let started = Instant::now();
    let admitted = match admit(node_state, &delivery, attempt_id).await {
        Ok(admitted) => admitted,
        Err(status) => return status_response(status),
    };
    let peer = PeerKind::External(MAX_HEAD_BYTES);
    let Ok(connection) = node_state.pool.acquire(None, upstream, CONNECT_TIMEOUT, peer).await else {
        // A failed connection suggests that the upstream has stopped. Its next heartbeat corrects this if it has not.
        let now = node_state.now();
        node_state.gate.with_admission(|admission| admission.set_silent(now));
        node_state.mark_upstream_silent();
        return status_response(GateStatus::Unavailable);
    };
    let time_left = delivery.timeout - Duration::from(started.elapsed());
    if time_left <= Duration::ZERO {
        return status_response(GateStatus::Overloaded(Duration::ZERO));
    }
    // The upstream may have started draining, or been replaced by another incarnation, while the connection was set
    // up.
    let now = node_state.now();
    if !node_state.gate.with_admission(|admission| admission.may_begin(now, admitted.number)) {
        return status_response(GateStatus::Draining);
    }
    let bytes = encode(&delivery, time_left);
    mark_begun(node_state, &delivery, &admitted);
    let request = OutgoingRequest {
        to: upstream,
        bytes: &bytes,
        body: Some(delivery.body).filter(|body| body.is_streamed()),
        awaits_continue: false,
        attempt_id,
        is_head_request: delivery.head.is_head_request(),
        cancellation: None,
    };
    let exchange = exchange(&node_state.pool, connection, request, node_state.body_budget.reservation());
    let deadline = Instant::now() + (time_left + RESPONSE_GRACE).to_std();
    match timeout_at(deadline, exchange).await {
        Ok(ExchangeOutcome::Response(received)) => {
            evaluate(node_state, *received, delivery.forwarding.is_idempotent, admitted, deadline)
        }
        // Bytes may have been written before the connection broke, so the request may have run.
        Ok(ExchangeOutcome::NotSent | ExchangeOutcome::ResponseLost) | Err(_) => {
            status_response(GateStatus::MayHaveRun)
        }
    }
}

fn encode(delivery: &Delivery<'_>, time_left: Duration) -> Vec<u8> {
    let request = ForwardedRequest {
        head: delivery.head,
        time_left,
        expected_upstream: delivery.expected_upstream,
        forwarding_headers: None,
        body: delivery.body,
        awaits_continue: false,
    };
    request.encode()
}

/// Marks the request as begun. Called just before its first byte is written.
fn mark_begun(node_state: &NodeState, delivery: &Delivery<'_>, admitted: &AdmittedRequest) {
    let now = node_state.now();
    node_state.gate.with_admission(|admission| admission.begin(now, admitted.number));
    delivery.has_begun.set(true);
    if let Some(replay_entry) = delivery.replay_entry {
        replay_entry.set_begun();
    }
    count_delivered(node_state);
}

/// Returns the upstream's response for the origin, and reports to the controller what it implies about the upstream
/// and the request.
fn evaluate(
    node_state: &Rc<NodeState>,
    mut received: ReceivedResponse,
    is_idempotent: bool,
    admitted: AdmittedRequest,
    deadline: Instant,
) -> ReceivedResponse {
    let (now, number) = (node_state.now(), admitted.number);
    let response = &received.response;
    if let Some(left) = response.warm_up_left {
        node_state.gate.with_admission(|admission| admission.set_warmup_left(now, left));
    }
    if is_untrustworthy(response, is_idempotent) {
        return status_response(GateStatus::MayHaveRun);
    }
    // The upstream states that the request did not run, so its attempt id may be used again. This is reported before
    // `admitted` is dropped, which reports the end of the request.
    match response.status {
        503 if response.is_not_delivered => {
            node_state.gate.with_admission(|admission| admission.finish_rejected_by_upstream(now, number));
        }
        421 => node_state.gate.with_admission(|admission| admission.finish_not_run(now, number)),
        _ if response.is_not_delivered => {
            node_state.gate.with_admission(|admission| admission.finish_not_run(now, number));
        }
        _ => {}
    }
    // A request stays in flight while its response is being forwarded.
    if let Some(remainder) = &mut received.remainder {
        remainder.deadline = Some(deadline);
        remainder.guards.push(Box::new(admitted));
    }
    received
}

/// Returns whether a response must not be returned because it may be wrong. That is a response with a content coding,
/// which nobody asked for; a success without the upstream's stamp, the header by which an upstream marks its own
/// responses; a success or redirect that states that the request was not delivered; or a status that promises that the
/// request did not run where the upstream has not stated so and a retry could run the request twice.
fn is_untrustworthy(response: &Response, is_idempotent: bool) -> bool {
    let is_promise = matches!(response.status, 408 | 429 | 503);
    response.has_content_encoding
        || response.status < 300 && !response.has_upstream_stamp
        || response.status < 400 && response.is_not_delivered
        || is_promise && !response.is_not_delivered && !is_idempotent
}
