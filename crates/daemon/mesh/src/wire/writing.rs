//! Encoding and writing messages: status lines, heads, and bodies whole or in parts.
//!
//! `silvercross_net::http` encodes responses too, for `silvercross-sidecar`: into a fixed buffer, with the length ahead of
//! the other headers and other reason phrases. Clients see those bytes, so the two encoders stay apart; parsing is shared.
use silvercross_net::http::{Framing, MessageError};
use std::io;
use tokio::io::AsyncWriteExt;

/// The last chunk of a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A response's first bytes, or all of them.
#[derive(Debug)]
pub(crate) struct EncodedResponse {
    /// The bytes.
    pub(crate) bytes: Vec<u8>,
    /// How the body's remainder has to be framed; `None`: the bytes are the whole response.
    pub(crate) remainder: Option<Framing>,
}

/// A response whose body is to be streamed from some point on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseStart<'r> {
    /// Its status.
    pub(crate) status: u16,
    /// Header lines, each with its line end.
    pub(crate) lines: &'r [u8],
    /// The beginning of its body.
    pub(crate) body: &'r [u8],
    /// The length of the whole body, where it is known.
    pub(crate) content_length: Option<usize>,
    /// The connection is closed after it.
    pub(crate) closes: bool,
    /// Its receiver understands no chunks.
    pub(crate) is_http_10: bool,
}

/// The reason phrase of a status line.
fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Encode a whole response. `lines`: header lines, each with its line end; `closes`: the connection is closed after it;
/// `is_head_request`: its length is stated, its body left out.
pub(crate) fn encode_response(
    status: u16,
    lines: &[u8],
    body: &[u8],
    closes: bool,
    is_head_request: bool,
) -> Vec<u8> {
    let capacity = lines.len() + body.len() + 96;
    let mut out = encode_head(status, lines, Framing::Length(body.len()), closes, capacity);
    if !is_head_request {
        out.extend_from_slice(body);
    }
    out
}

fn encode_head(status: u16, lines: &[u8], framing: Framing, closes: bool, capacity: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(capacity);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    out.extend_from_slice(lines);
    if status != 204 && status != 304 {
        match framing {
            Framing::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
            Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
            Framing::UntilClose => {}
        }
    }
    if closes {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Encode the beginning of a response whose body is streamed. Without a known length the remainder is sent in
/// chunks, or, to an HTTP/1.0 receiver, ends with the connection (RFC 9112, 6.3).
pub(crate) fn encode_response_start(start: ResponseStart<'_>) -> EncodedResponse {
    let ResponseStart { status, lines, body, content_length, closes, is_http_10 } = start;
    let framing = match content_length {
        Some(n) => Framing::Length(n),
        None if is_http_10 => Framing::UntilClose,
        None => Framing::Chunked,
    };
    let capacity = lines.len() + body.len() + 128;
    let mut bytes = encode_head(status, lines, framing, closes || framing == Framing::UntilClose, capacity);
    let is_chunk = framing == Framing::Chunked && !body.is_empty();
    if is_chunk {
        bytes.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(body);
    if is_chunk {
        bytes.extend_from_slice(b"\r\n");
    }
    EncodedResponse { bytes, remainder: Some(framing) }
}

/// Write a part of a body, as a chunk if the body is chunked.
pub(crate) async fn write_body_part(
    to: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    framing: Framing,
) -> io::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    if framing == Framing::Chunked {
        to.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
        to.write_all(bytes).await?;
        return to.write_all(b"\r\n").await;
    }
    to.write_all(bytes).await
}

/// The HTTP status that reports a message error to its sender.
pub(crate) fn error_status(error: &MessageError) -> u16 {
    match error {
        MessageError::HeadTooLarge => 431,
        MessageError::BodyTooLarge => 413,
        MessageError::TooManyAhead => 429,
        MessageError::IdInUse => 409,
        MessageError::Malformed(_) => 400,
    }
}
