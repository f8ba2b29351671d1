//! Parsing heads of requests: headers that this program uses by name, and the others to be forwarded.
use super::header_names::{ATTEMPT_ID, DEADLINE_MS, EXPECTED_UPSTREAM, FORWARDING, NOT_FORWARDED, SENDER};
use super::limits::MAX_PARSED_HEADER_LINES;
use super::ReadError;
use httparse::EMPTY_HEADER;
use silvercross_net::http::{self, Framing, Limits, MessageError};
use silvercross_time::Duration;

/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest timeout that a sender can state, in milliseconds; longer ones are reduced to this.
const MAX_TIMEOUT_MS: f64 = 1e9;

/// The head of a request, in owned parts.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Its method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    /// The `Host` header; empty if an HTTP/1.0 request has none.
    pub(crate) host: String,
    /// Its `Attempt-Id`, never empty.
    pub(crate) attempt_id: Option<String>,
    /// How long its sender waits for the response.
    pub(crate) timeout: Option<Duration>,
    /// The id of the upstream that it is meant for.
    pub(crate) expected_upstream: Option<String>,
    /// From another sidecar: the encoded [`ForwardingHeaders`](crate::forwarding_headers::ForwardingHeaders).
    pub(crate) forwarding_headers: Option<String>,
    /// The service that sent it.
    pub(crate) sender: Option<String>,
    /// Header lines to be forwarded, each with its line end.
    pub(crate) forwarded_lines: Vec<u8>,
    /// How its body is framed.
    pub(crate) framing: Framing,
    /// Whether the connection may carry another request.
    pub(crate) keep_alive: bool,
    /// Its sender sends the body only after 100 (Continue) (RFC 9110, 10.1.1).
    pub(crate) expects_continue: bool,
    /// HTTP/1.0: its sender understands no chunks.
    pub(crate) is_http_10: bool,
}

/// The head of a request and its length in bytes.
pub(super) struct ParsedRequestHead {
    pub(super) length: usize,
    pub(super) head: RequestHead,
}

impl RequestHead {
    /// Whether its response has no body (RFC 9110, 9.3.2).
    pub(crate) fn is_head_request(&self) -> bool {
        self.method == "HEAD"
    }

    /// How long its sender waits, or the default.
    pub(crate) fn timeout_or_default(&self) -> Duration {
        self.timeout.unwrap_or(DEFAULT_TIMEOUT)
    }

    /// The length of its body, if it states one.
    pub(crate) fn content_length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// Parse the head of a request; `None` while it is incomplete. `max_lines`: how many header lines it may have.
pub(super) fn parse(
    bytes: &[u8],
    limits: Limits,
    max_lines: usize,
) -> Result<Option<ParsedRequestHead>, ReadError> {
    let mut header_slots = [EMPTY_HEADER; MAX_PARSED_HEADER_LINES];
    let header_slots = &mut header_slots[..max_lines];
    let Some(parsed) = http::request_head_within(bytes, header_slots, limits)? else { return Ok(None) };
    let headers = &parsed.headers;
    let mut forwarded_lines = Vec::with_capacity(256);
    headers.forward(&mut forwarded_lines, &NOT_FORWARDED);
    let host = headers.one("host")?;
    if host.is_none() && !parsed.is_http10 {
        return Err(ReadError::Invalid(MessageError::Malformed("no Host line")));
    }
    let head = RequestHead {
        method: parsed.method.to_string(),
        target: http::origin_form(parsed.target).to_string(),
        host: host.unwrap_or("").to_string(),
        // An empty id does not distinguish responses.
        attempt_id: headers.one(ATTEMPT_ID)?.filter(|id| !id.is_empty()).map(str::to_string),
        timeout: headers.one(DEADLINE_MS)?.map(parse_timeout).transpose()?,
        expected_upstream: headers.one(EXPECTED_UPSTREAM)?.map(str::to_string),
        forwarding_headers: headers.one(FORWARDING)?.map(str::to_string),
        sender: headers.all(SENDER).last().and_then(|v| std::str::from_utf8(v).ok()).map(str::to_string),
        forwarded_lines,
        framing: parsed.framing,
        keep_alive: parsed.keep_alive,
        expects_continue: headers.has_token("expect", "100-continue"),
        is_http_10: parsed.is_http10,
    };
    Ok(Some(ParsedRequestHead { length: parsed.len, head }))
}

fn parse_timeout(milliseconds: &str) -> Result<Duration, MessageError> {
    let milliseconds = milliseconds.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms >= 0.0);
    let milliseconds = milliseconds.ok_or(MessageError::Malformed("Deadline-Ms is no number"))?;
    Ok(Duration::from_micros((milliseconds.min(MAX_TIMEOUT_MS) * 1e3) as i64))
}
