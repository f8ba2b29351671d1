//! Answers an origin that asks for the outcome of its attempt.
use super::responses::{encode_for_origin, incarnation_line, status_response};
use crate::forwarding_headers::GateStatus;
use crate::node_state::NodeState;
use crate::response_replay_cache::{AttemptOutcome, StoredResponse};
use crate::wire::{Connection, RequestHead};
use std::rc::Rc;

/// Answers an attempt query once the attempt has ended, then shuts the connection down gracefully. If the origin
/// disconnects before that, nothing is sent.
pub(super) async fn answer_query(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    head: &RequestHead,
    replay_key: u64,
) {
    let cache = &node_state.response_replay_cache;
    let outcome = tokio::select! {
        outcome = cache.query(replay_key) => outcome,
        _ = connection.wait_for_event() => return,
    };
    let status = match outcome {
        AttemptOutcome::Responded(stored) => {
            let _ = connection.write(&with_incarnation(&stored, cache.incarnation)).await;
            connection.shut_down_writing().await;
            return;
        }
        AttemptOutcome::MayHaveRun => GateStatus::MayHaveRun,
        AttemptOutcome::NotRun => GateStatus::Unavailable,
        AttemptOutcome::NeverReceived => GateStatus::NeverReceived,
    };
    let encoded = encode_for_origin(head, &mut status_response(status), Some(cache.incarnation), false);
    let _ = connection.write(&encoded.bytes).await;
    connection.shut_down_writing().await;
}

/// Returns a stored response with this process's incarnation, which is inserted after the status line if it is
/// missing.
fn with_incarnation(stored: &StoredResponse, incarnation: u64) -> Vec<u8> {
    if stored.states_incarnation {
        return stored.bytes.to_vec();
    }
    let headers_at = stored.bytes.windows(2).position(|w| w == b"\r\n").map_or(0, |at| at + 2);
    let mut bytes = stored.bytes[..headers_at].to_vec();
    bytes.extend_from_slice(incarnation_line(incarnation).as_bytes());
    bytes.extend_from_slice(&stored.bytes[headers_at..]);
    bytes
}
