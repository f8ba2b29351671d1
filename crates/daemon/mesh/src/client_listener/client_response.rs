//! Responses to clients: the sidecar's own and those forwarded from an upstream, and their encoding.
use crate::body_budget::BodyReservation;
use crate::idle_timeout::keep_alive_header;
use crate::node_state::NodeState;
use crate::peer_connection::{ReceivedResponse, StreamedBody};
use crate::service_balancer::OpenRequest;
use crate::wire::header_names::ATTEMPT_ID;
use crate::wire::{
    encode_response, encode_response_start, error_status, Connection, EncodedResponse, ReadError,
    RequestHead, Response, ResponseStart,
};
use silvercross_facade::{Attempt, Report};
use silvercross_net::http::{Framing, MessageError};
use silvercross_time::Duration;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::net::tcp::OwnedWriteHalf;

/// How long input after the last response is read and discarded.
pub(super) const DISCARD_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// `Retry-After` of a rejection for which no other time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Minimum `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// A response to a client.
pub(super) struct ClientResponse {
    status: u16,
    /// Header lines, each with its line ending.
    pub(super) lines: Vec<u8>,
    body: Vec<u8>,
    /// The part of the body that is still to be received.
    pub(super) remainder: Option<Box<StreamedBody>>,
    /// The length of the whole body, if it is known.
    content_length: Option<usize>,
    /// The attempt whose response the remainder belongs to.
    pub(super) forwarded_attempt: Option<ForwardedAttempt>,
    /// The body's share of the memory budget.
    _reservation: Option<BodyReservation>,
}

/// An attempt whose response is being forwarded.
pub(super) struct ForwardedAttempt {
    /// The request of the attempt.
    pub(super) request: OpenRequest,
    /// The attempt.
    pub(super) attempt: Attempt,
}

impl ClientResponse {
    /// Creates a response of the sidecar itself.
    pub(super) fn own(status: u16, text: &str) -> Self {
        ClientResponse {
            status,
            lines: b"Content-Type: text/plain\r\n".to_vec(),
            body: format!("{text}\n").into_bytes(),
            remainder: None,
            content_length: None,
            forwarded_attempt: None,
            _reservation: None,
        }
    }

    /// Creates a response that guarantees that the request has not run and will not. The client may retry after
    /// `retry_after`.
    pub(super) fn not_run(status: u16, text: &str, retry_after: Option<Duration>) -> Self {
        let mut response = ClientResponse::own(status, text);
        let seconds = retry_after.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER).as_secs_f64();
        response.lines.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
        response
    }

    /// Creates a response that forwards an upstream's.
    pub(super) fn forwarded(received: ReceivedResponse) -> Self {
        let Response { status, forwarded_lines, body, content_length, reservation, .. } = received.response;
        ClientResponse {
            status,
            lines: forwarded_lines,
            body,
            remainder: received.remainder,
            content_length,
            forwarded_attempt: None,
            _reservation: reservation,
        }
    }

    /// Encodes the response, or only its start if it has a remainder. Takes the header lines out of the response.
    pub(super) fn encode(
        &mut self,
        node_state: &NodeState,
        head: &RequestHead,
        closes: bool,
    ) -> EncodedResponse {
        let mut lines = std::mem::take(&mut self.lines);
        if let Some(attempt_id) = head.attempt_id.as_ref().filter(|_| !has_attempt_id(&lines)) {
            lines.extend_from_slice(format!("{ATTEMPT_ID}: {attempt_id}\r\n").as_bytes());
        }
        let advertised = node_state.idle_timeout.borrow().advertised();
        if let Some(keep_alive) = keep_alive_header(advertised).filter(|_| !closes) {
            lines.extend_from_slice(keep_alive.as_bytes());
        }
        if self.remainder.is_none() {
            let bytes = encode_response(self.status, &lines, &self.body, closes, head.is_head_request());
            return EncodedResponse { bytes, remainder: None };
        }
        encode_response_start(ResponseStart {
            status: self.status,
            lines: &lines,
            body: &self.body,
            content_length: self.content_length,
            closes,
            is_http_10: head.is_http_10,
        })
    }

    /// Forwards the remainder and reports the outcome to the module. Returns `false` if forwarding was interrupted.
    pub(super) async fn forward_remainder(
        self,
        node_state: &Rc<NodeState>,
        to: &mut OwnedWriteHalf,
        framing: Framing,
    ) -> bool {
        let Some(remainder) = self.remainder else { return true };
        let is_complete = remainder.forward(&node_state.pool, to, framing).await;
        if let Some(forwarded) = self.forwarded_attempt {
            let report = if is_complete { Report::Served } else { Report::Reset };
            forwarded.request.service_balancer.report(forwarded.attempt, report);
        }
        is_complete
    }
}

fn has_attempt_id(lines: &[u8]) -> bool {
    lines.split(|byte| *byte == b'\n').any(|line| {
        line.len() > ATTEMPT_ID.len()
            && line[..ATTEMPT_ID.len()].eq_ignore_ascii_case(ATTEMPT_ID.as_bytes())
            && line[ATTEMPT_ID.len()] == b':'
    })
}

/// Answers a request that could not be read with the reason, unless the client has disconnected. Always returns
/// `false`, since the connection ends.
pub(super) async fn refuse(connection: &mut Connection, error: ReadError) -> bool {
    let response = match error {
        ReadError::Closed | ReadError::Interrupted => return false,
        ReadError::TimedOut => ClientResponse::own(408, "the request did not come whole in time"),
        ReadError::BodyBudgetExhausted => ClientResponse::not_run(503, "too many bodies are held here", None),
        ReadError::Invalid(MessageError::Malformed(reason)) => ClientResponse::own(400, reason),
        ReadError::Invalid(err) => ClientResponse::own(error_status(&err), "larger than the limits allow"),
    };
    let bytes = encode_response(response.status, &response.lines, &response.body, true, false);
    if connection.write(&bytes).await.is_ok() {
        connection.close_gracefully(DISCARD_TIMEOUT).await;
    }
    false
}
