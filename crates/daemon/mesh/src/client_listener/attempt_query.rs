//! The connection of an attempt that may run once broke after the request was written: its gate is asked what became of
//! it.
use super::outgoing_attempt::OutgoingAttempt;
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus, ATTEMPT_QUERY_HOST};
use crate::mutation::{self, Mutation};
use crate::node_state::NodeState;
use crate::peer_connection::{
    query_attempt, ExchangeOutcome, OutgoingRequest, QueryOutcome, ReceivedResponse,
};
use crate::response_replay_cache::RETENTION;
use crate::service_balancer::CONNECT_TIMEOUT;
use crate::wire::header_names::{ATTEMPT_ID, FORWARDING};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A gate is asked for no longer than this after the request was written: half of the time that it remembers an attempt.
const MAX_QUERY_TIME: Duration = Duration::from_micros(RETENTION.as_micros() as u64 / 2);
/// It is asked at once, then after a backoff that doubles.
const MIN_QUERY_BACKOFF: Duration = Duration::from_millis(25);
const MAX_QUERY_BACKOFF: Duration = Duration::from_millis(400);

/// When and to whom an attempt was written.
pub(super) struct SentAttempt {
    /// The gate's incarnation as last stated before the first byte was written.
    pub(super) gate_incarnation: Option<u64>,
    /// Just before the first byte was written.
    pub(super) written_at: Instant,
    /// The request's.
    pub(super) deadline: Instant,
}

/// How an attempt ended whose connection broke after it was written, by its gate's account.
pub(super) async fn recover(
    node_state: &Rc<NodeState>,
    attempt: &OutgoingAttempt,
    sent: SentAttempt,
) -> ExchangeOutcome {
    if mutation::is_active(Mutation::NonIdempotentRetried) {
        return ExchangeOutcome::NotSent;
    }
    let counters = &node_state.counters;
    counters.outcome_queries.set(counters.outcome_queries.get() + 1);
    let query_until = sent.deadline.min(sent.written_at + MAX_QUERY_TIME);
    let answer = timeout_at(query_until, query(node_state, attempt, sent.deadline)).await;
    let outcome = match answer.ok().flatten() {
        None => ExchangeOutcome::ResponseLost,
        Some(received) => evaluate(received, &sent),
    };
    if !matches!(outcome, ExchangeOutcome::ResponseLost) {
        counters.recovered_requests.set(counters.recovered_requests.get() + 1);
    }
    outcome
}

/// What a gate's answer proves. That it knows nothing of the attempt proves that it has not run only while the gate still
/// remembers, and from the incarnation that the request was written to.
fn evaluate(received: Box<ReceivedResponse>, sent: &SentAttempt) -> ExchangeOutcome {
    let response = &received.response;
    let Some(encoded_status) = &response.gate_status else { return ExchangeOutcome::Response(received) };
    let is_remembered = sent.written_at.elapsed() < MAX_QUERY_TIME;
    let is_same_incarnation =
        response.gate_incarnation == sent.gate_incarnation || mutation::is_active(Mutation::AnyIncarnation);
    match forwarding_headers::decode::<GateStatus>(encoded_status) {
        Some(GateStatus::NeverReceived) if is_remembered && is_same_incarnation => ExchangeOutcome::NotSent,
        Some(GateStatus::Unavailable | GateStatus::Overloaded(_) | GateStatus::Draining) => {
            ExchangeOutcome::Response(received)
        }
        Some(GateStatus::NeverReceived | GateStatus::MayHaveRun) | None => ExchangeOutcome::ResponseLost,
    }
}

/// Ask the gate until it answers; `None`: its process has ended, so nobody knows.
async fn query(
    node_state: &Rc<NodeState>,
    attempt: &OutgoingAttempt,
    deadline: Instant,
) -> Option<Box<ReceivedResponse>> {
    let attempt_id = attempt.attempt_id();
    let forwarding = ForwardingHeaders { is_query: true, ..attempt.forwarding.clone() };
    let forwarding = forwarding_headers::encode(&forwarding);
    let bytes = format!(
        "GET / HTTP/1.1\r\nHost: {ATTEMPT_QUERY_HOST}\r\n{ATTEMPT_ID}: {attempt_id}\r\n{FORWARDING}: {forwarding}\r\n\r\n"
    );
    let (from, connect_timeout) = (node_state.settings.ip.into(), CONNECT_TIMEOUT.to_std());
    let mut backoff = MIN_QUERY_BACKOFF;
    while Instant::now() < deadline {
        let request = OutgoingRequest {
            to: attempt.gate,
            bytes: bytes.as_bytes(),
            body: None,
            awaits_continue: false,
            attempt_id,
            is_head_request: attempt.head.is_head_request(),
            cancellation: None,
        };
        let reservation = node_state.body_budget.reservation();
        match query_attempt(from, attempt.gate, connect_timeout, request, reservation).await {
            // A gate that rejects a connection knows nothing of the attempt yet.
            QueryOutcome::Response(received)
                if received.response.gate_status.is_some()
                    && received.response.gate_incarnation.is_none() => {}
            QueryOutcome::Response(received) => return Some(received),
            QueryOutcome::ProcessEnded => return None,
            QueryOutcome::NoAnswer => {}
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_QUERY_BACKOFF);
    }
    None
}
