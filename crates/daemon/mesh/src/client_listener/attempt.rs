//! Sends one attempt of a request, to another sidecar's gate or through this sidecar's own gate.
use super::attempt_query::{recover, SentAttempt};
use super::outgoing_attempt::OutgoingAttempt;
use crate::forwarding_headers;
use crate::node_state::NodeState;
use crate::peer_connection::{exchange, ExchangeOutcome, OutgoingRequest};
use crate::request_encoding::ForwardedRequest;
use crate::service_balancer::CONNECT_TIMEOUT;
use crate::upstream_gate::{deliver, Delivery};
use crate::wire::PeerKind;
use silvercross_time::Duration;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Bodies of at least this size are sent only after the gate's `100 Continue`, so that a body that the gate would
/// reject uses no bandwidth.
const MIN_HELD_BACK_BODY_BYTES: usize = 16 * 1024;

/// Sends an attempt and returns its outcome. If the connection of a non-idempotent attempt breaks after the request
/// was sent, the gate is queried for the outcome.
pub(super) async fn send(node_state: &Rc<NodeState>, attempt: &OutgoingAttempt) -> ExchangeOutcome {
    if Some(attempt.gate) == node_state.settings.inbound_address {
        let has_begun = Cell::new(false);
        let delivery = Delivery {
            head: &attempt.head,
            forwarding: &attempt.forwarding,
            body: &attempt.body,
            timeout: attempt.time_left,
            expected_upstream: Some(&attempt.upstream),
            replay_entry: None,
            has_begun: &has_begun,
        };
        let delivering = deliver(node_state, delivery);
        tokio::pin!(delivering);
        let received = tokio::select! {
            biased;
            received = &mut delivering => received,
            () = cancelled(attempt) => match has_begun.get() {
                true => delivering.await,
                false => return ExchangeOutcome::NotSent,
            },
        };
        return ExchangeOutcome::Response(Box::new(received));
    }
    send_to_gate(node_state, attempt).await
}

/// Returns once a non-idempotent attempt has been cancelled; never for other attempts.
async fn cancelled(attempt: &OutgoingAttempt) {
    match &attempt.cancellation {
        Some(cancellation) => cancellation.cancelled().await,
        None => std::future::pending().await,
    }
}

async fn send_to_gate(node_state: &Rc<NodeState>, attempt: &OutgoingAttempt) -> ExchangeOutcome {
    let started = Instant::now();
    let from = Some(node_state.settings.ip.into());
    let connect_timeout = CONNECT_TIMEOUT.to_std();
    let acquired = tokio::select! {
        biased;
        acquired = node_state.pool.acquire(from, attempt.gate, connect_timeout, PeerKind::Sidecar) => acquired,
        () = cancelled(attempt) => return ExchangeOutcome::NotSent,
    };
    let Ok(connection) = acquired else { return ExchangeOutcome::NotSent };
    let time_left = attempt.time_left - Duration::from(started.elapsed());
    let body = &attempt.body;
    let holds_body_back = body.is_streamed() || body.prefix().len() >= MIN_HELD_BACK_BODY_BYTES;
    let bytes = encode(attempt, time_left, holds_body_back);
    let request = OutgoingRequest {
        to: attempt.gate,
        bytes: &bytes,
        body: Some(body).filter(|_| holds_body_back),
        awaits_continue: holds_body_back,
        attempt_id: attempt.attempt_id(),
        is_head_request: attempt.head.is_head_request(),
        cancellation: attempt.cancellation.as_deref(),
    };
    let sent = SentAttempt {
        // Read before the first byte is written, so the process that receives the request is of this incarnation or a
        // later one.
        gate_incarnation: node_state.pool.gate_incarnation(attempt.gate),
        written_at: Instant::now(),
        deadline: started + time_left.to_std(),
    };
    let reservation = node_state.body_budget.reservation();
    let outcome = exchange(&node_state.pool, connection, request, reservation).await;
    match outcome {
        ExchangeOutcome::ResponseLost if !attempt.forwarding.is_idempotent => {
            recover(node_state, attempt, sent).await
        }
        _ => outcome,
    }
}

fn encode(attempt: &OutgoingAttempt, time_left: Duration, awaits_continue: bool) -> Vec<u8> {
    let forwarding_headers = forwarding_headers::encode(&attempt.forwarding);
    let request = ForwardedRequest {
        head: &attempt.head,
        time_left,
        expected_upstream: Some(&attempt.upstream),
        forwarding_headers: Some(&forwarding_headers),
        body: &attempt.body,
        awaits_continue,
    };
    request.encode()
}
