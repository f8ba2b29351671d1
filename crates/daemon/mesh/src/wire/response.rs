//! Parsing heads of responses: headers that this program uses by name, and the others to be forwarded.
use super::header_names::{
    ATTEMPT_ID, GATE_INCARNATION, GATE_STATUS, NOT_DELIVERED, UPSTREAM_ID, UPSTREAM_STAMP, WARM_UP_LEFT_MS,
};
use super::limits::MAX_PARSED_HEADER_LINES;
use super::{PeerKind, ReadError};
use crate::body_budget::BodyReservation;
use httparse::EMPTY_HEADER;
use silvercross_net::http::{self, Framing, Limits};
use silvercross_time::Duration;

/// Longest warm-up that an upstream can state, in milliseconds; longer ones are reduced to this.
const MAX_WARM_UP_MS: f64 = 1e9;

/// A response: its head and its body, or as much of the body as is buffered.
#[derive(Debug, Default)]
pub(crate) struct Response {
    /// Its status.
    pub(crate) status: u16,
    /// Header lines to be forwarded, each with its line end.
    pub(crate) forwarded_lines: Vec<u8>,
    /// Its `Attempt-Id`.
    pub(crate) attempt_id: Option<String>,
    /// The id of the upstream, if it states one.
    pub(crate) upstream_id: Option<String>,
    /// It has the upstream's stamp, so the upstream itself sent it.
    pub(crate) has_upstream_stamp: bool,
    /// It says that the request did not run.
    pub(crate) is_not_delivered: bool,
    /// It has a content coding, which no request asks for.
    pub(crate) has_content_encoding: bool,
    /// How long its upstream is still warming up.
    pub(crate) warm_up_left: Option<Duration>,
    /// From another sidecar: the gate's own status, encoded.
    pub(crate) gate_status: Option<String>,
    /// From another sidecar: the incarnation of the gate's process.
    pub(crate) gate_incarnation: Option<u64>,
    /// The connection may carry another request.
    pub(crate) keep_alive: bool,
    /// After how long idle the connection will be closed, in seconds.
    pub(crate) idle_timeout_seconds: Option<u64>,
    /// The length of the whole body in bytes, where it is stated.
    pub(crate) content_length: Option<usize>,
    /// The body, or its beginning.
    pub(crate) body: Vec<u8>,
    /// The share of the body budget that the buffered body takes.
    pub(crate) reservation: Option<BodyReservation>,
}

/// The head of a response, its length in bytes and how its body is framed.
pub(super) struct ParsedResponseHead {
    pub(super) length: usize,
    pub(super) response: Response,
    pub(super) framing: Framing,
}

/// Parse the head of a response; `None` while it is incomplete. Headers about the gate are accepted only from sidecars.
pub(super) fn parse(
    bytes: &[u8],
    limits: Limits,
    peer: PeerKind,
) -> Result<Option<ParsedResponseHead>, ReadError> {
    let mut header_slots = [EMPTY_HEADER; MAX_PARSED_HEADER_LINES];
    let header_slots = &mut header_slots[..peer.head_limits().lines];
    let Some(parsed) = http::response_head_within(bytes, header_slots, limits)? else { return Ok(None) };
    let headers = &parsed.headers;
    let mut forwarded_lines = Vec::with_capacity(256);
    headers.forward(&mut forwarded_lines, &[GATE_STATUS, GATE_INCARNATION]);
    let from_sidecar = peer == PeerKind::Sidecar;
    let warm_up_ms =
        headers.one(WARM_UP_LEFT_MS)?.and_then(|t| t.parse::<f64>().ok()).filter(|ms| ms.is_finite());
    let response = Response {
        status: parsed.status,
        forwarded_lines,
        attempt_id: headers.one(ATTEMPT_ID)?.map(str::to_string),
        upstream_id: headers.one(UPSTREAM_ID)?.map(str::to_string),
        has_upstream_stamp: headers.all(UPSTREAM_STAMP).next().is_some(),
        is_not_delivered: headers.all(NOT_DELIVERED).next().is_some(),
        has_content_encoding: headers.all("content-encoding").next().is_some(),
        warm_up_left: warm_up_ms
            .map(|ms| Duration::from_micros((ms.clamp(0.0, MAX_WARM_UP_MS) * 1e3) as i64)),
        gate_status: match from_sidecar {
            true => headers.one(GATE_STATUS)?.map(str::to_string),
            false => None,
        },
        gate_incarnation: match from_sidecar {
            true => headers.one(GATE_INCARNATION)?.and_then(|t| u64::from_str_radix(t, 16).ok()),
            false => None,
        },
        keep_alive: parsed.keep_alive,
        idle_timeout_seconds: headers.one("keep-alive")?.and_then(stated_idle_timeout),
        content_length: None,
        body: Vec::new(),
        reservation: None,
    };
    Ok(Some(ParsedResponseHead { length: parsed.len, response, framing: parsed.framing }))
}

/// The `timeout` parameter of a `Keep-Alive` header, in seconds.
fn stated_idle_timeout(keep_alive: &str) -> Option<u64> {
    keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout=")).and_then(|t| t.parse().ok())
}
