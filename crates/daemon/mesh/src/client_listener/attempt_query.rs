//! Recovers the outcome of a non-idempotent attempt whose connection broke after the request was written, by querying
//! the gate.
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

/// Queries are sent until this long after the request was written: half of the time for which the gate remembers an
/// attempt.
const MAX_QUERY_TIME: Duration = Duration::from_micros(RETENTION.as_micros() as u64 / 2);
/// Backoff between queries. The first query is sent immediately; the backoff doubles after each.
const MIN_QUERY_BACKOFF: Duration = Duration::from_millis(25);
const MAX_QUERY_BACKOFF: Duration = Duration::from_millis(400);

/// When, and to which incarnation of the gate, an attempt was written.
pub(super) struct SentAttempt {
    /// The gate's incarnation as last stated before the first byte was written.
    pub(super) gate_incarnation: Option<u64>,
    /// The time just before the first byte was written.
    pub(super) written_at: Instant,
    /// The deadline of the request.
    pub(super) deadline: Instant,
}

/// Returns the outcome, as reported by its gate, of an attempt whose connection broke after it was written.
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

/// Returns what a gate's answer proves. `NeverReceived` proves that the attempt has not run only while the gate still
/// remembers attempts of that age, and only from the incarnation that the request was written to.
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

/// Queries the gate until it answers. `None` if its process has ended or the deadline has passed, so that the outcome
/// is unknown.
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
            // A gate that rejects a connection has not read the query, so its status says nothing about the attempt.
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
