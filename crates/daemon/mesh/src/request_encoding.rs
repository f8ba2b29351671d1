//! Encodes requests as they are forwarded to an upstream or to another sidecar.
use crate::body_buffer::BodyBuffer;
use crate::wire::header_names::{DEADLINE_MS, EXPECTED_UPSTREAM, FORWARDING, SENDER};
use crate::wire::RequestHead;
use silvercross_net::http::Framing;
use silvercross_time::Duration;

/// Maximum size of the added headers, without the names of the service and the upstream. Only used to reserve
/// capacity.
const ADDED_HEAD_BYTES: usize = 512;

/// The parts of a forwarded request.
pub(crate) struct ForwardedRequest<'r> {
    /// The head of the request as it was received.
    pub(crate) head: &'r RequestHead,
    /// How long its sender still waits for the response.
    pub(crate) time_left: Duration,
    /// The id of the upstream that the request is intended for.
    pub(crate) expected_upstream: Option<&'r str>,
    /// For another sidecar, the encoded [`ForwardingHeaders`](crate::forwarding_headers::ForwardingHeaders).
    pub(crate) forwarding_headers: Option<&'r str>,
    /// The body of the request.
    pub(crate) body: &'r BodyBuffer,
    /// Whether the body is sent only after the receiver's `100 Continue`.
    pub(crate) awaits_continue: bool,
}

impl ForwardedRequest<'_> {
    /// Encodes the head, followed by the body if that is completely buffered and not held back.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let head = self.head;
        let prefix = self.body.prefix();
        let body: &[u8] = if self.body.is_streamed() || self.awaits_continue { &[] } else { &prefix };
        let mut out = Vec::with_capacity(head.forwarded_lines.len() + body.len() + ADDED_HEAD_BYTES);
        out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        out.extend_from_slice(format!("Host: {}\r\n", head.host).as_bytes());
        out.extend_from_slice(&head.forwarded_lines);
        let milliseconds = (self.time_left.as_micros() / 1000).max(1);
        out.extend_from_slice(format!("{DEADLINE_MS}: {milliseconds}\r\n").as_bytes());
        if let Some(sender) = &head.sender {
            out.extend_from_slice(format!("{SENDER}: {sender}\r\n").as_bytes());
        }
        if let Some(upstream) = self.expected_upstream {
            out.extend_from_slice(format!("{EXPECTED_UPSTREAM}: {upstream}\r\n").as_bytes());
        }
        if let Some(forwarding_headers) = self.forwarding_headers {
            out.extend_from_slice(format!("{FORWARDING}: {forwarding_headers}\r\n").as_bytes());
        }
        match self.body.framing() {
            Framing::Length(0) if matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS") => {}
            Framing::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
            Framing::Chunked | Framing::UntilClose => {
                out.extend_from_slice(b"Transfer-Encoding: chunked\r\n")
            }
        }
        if self.awaits_continue {
            out.extend_from_slice(b"Expect: 100-continue\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        out
    }
}
