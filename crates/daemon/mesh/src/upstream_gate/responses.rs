//! Responses to origins, the sidecars that forward their clients' requests to this gate: the gate's own status, and the
//! encoding of responses.
use crate::forwarding_headers::{self, GateStatus};
use crate::peer_connection::ReceivedResponse;
use crate::response_replay_cache::{ReplayEntry, StoredResponse};
use crate::wire::header_names::{ATTEMPT_ID, GATE_INCARNATION, GATE_STATUS};
use crate::wire::{
    encode_response, encode_response_start, EncodedResponse, RequestHead, Response, ResponseStart,
};
use silvercross_admission::Rejection;
use silvercross_time::Duration;
use std::rc::Rc;

/// Returns the status for the origin of a rejected request.
pub(super) fn gate_status(reason: Rejection, retry_after: Option<Duration>) -> GateStatus {
    match reason {
        Rejection::NoUpstream | Rejection::WrongUpstream => GateStatus::Unavailable,
        Rejection::Draining | Rejection::Evacuated => GateStatus::Draining,
        Rejection::WarmingUp | Rejection::AtCapacity | Rejection::DeadlinePassed => {
            GateStatus::Overloaded(retry_after.unwrap_or(Duration::ZERO))
        }
        Rejection::Duplicate => GateStatus::MayHaveRun,
    }
}

/// Returns a response of the gate itself.
pub(super) fn status_response(status: GateStatus) -> ReceivedResponse {
    let response = Response {
        status: match status {
            GateStatus::MayHaveRun | GateStatus::NeverReceived => 502,
            GateStatus::Unavailable | GateStatus::Overloaded(_) | GateStatus::Draining => 503,
        },
        gate_status: Some(forwarding_headers::encode(&status)),
        keep_alive: true,
        ..Response::default()
    };
    ReceivedResponse { response, remainder: None }
}

/// Encodes a response for its origin, or only its start if it has a remainder. `incarnation` is that of this process,
/// if it is to be stated.
pub(super) fn encode_for_origin(
    head: &RequestHead,
    received: &mut ReceivedResponse,
    incarnation: Option<u64>,
    closes: bool,
) -> EncodedResponse {
    let response = &mut received.response;
    let mut lines = std::mem::take(&mut response.forwarded_lines);
    if let Some(status) = &response.gate_status {
        lines.extend_from_slice(format!("{GATE_STATUS}: {status}\r\n").as_bytes());
        if let Some(attempt_id) = &head.attempt_id {
            lines.extend_from_slice(format!("{ATTEMPT_ID}: {attempt_id}\r\n").as_bytes());
        }
    }
    if let Some(incarnation) = incarnation {
        lines.extend_from_slice(incarnation_line(incarnation).as_bytes());
    }
    let (status, body) = (response.status, &response.body);
    if received.remainder.is_none() {
        let bytes = encode_response(status, &lines, body, closes, head.is_head_request());
        return EncodedResponse { bytes, remainder: None };
    }
    encode_response_start(ResponseStart {
        status,
        lines: &lines,
        body,
        content_length: response.content_length,
        closes,
        is_http_10: false,
    })
}

/// Returns the header line that states this process's incarnation.
pub(super) fn incarnation_line(incarnation: u64) -> String {
    format!("{GATE_INCARNATION}: {incarnation:x}\r\n")
}

/// Stores a complete response, for an origin that may have to query the outcome.
pub(super) fn store_response(
    replay_entry: Option<ReplayEntry>,
    encoded: EncodedResponse,
    states_incarnation: bool,
) -> Rc<Vec<u8>> {
    let bytes = Rc::new(encoded.bytes);
    if let Some(replay_entry) = replay_entry.filter(|_| encoded.remainder.is_none()) {
        replay_entry.set_response(StoredResponse { bytes: bytes.clone(), states_incarnation });
    }
    bytes
}
