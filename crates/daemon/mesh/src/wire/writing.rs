//! Messages as they are written: status lines, heads, and bodies whole or in pieces.
use silvercross_net::http::Bad;
use std::io;
use tokio::io::AsyncWriteExt;

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the end of a body that is written is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunks,
    /// By the connection's end.
    Close,
}

/// The words of a status line.
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

/// The bytes of a whole answer: header lines, then a length, then the body; `close`: the connection ends behind it.
pub fn encode_response(status: u16, lines: &[u8], body: &[u8], close: bool, bodiless: bool) -> Vec<u8> {
    let room = lines.len() + body.len() + 96;
    let mut out = head(status, lines, Size::Length(body.len() as u64), close, room);
    if !bodiless {
        out.extend_from_slice(body);
    }
    out
}

/// The bytes of an answer's head.
fn head(status: u16, lines: &[u8], size: Size, close: bool, room: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(room);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    out.extend_from_slice(lines);
    if status != 204 && status != 304 {
        match size {
            Size::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
            Size::Chunks => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
            Size::Close => {}
        }
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// The bytes that an answer begins with whose rest is still coming, and how its end is told. `old`: to a client that knows no
/// chunks; where no length is stated the connection's end has to do.
pub fn encode_response_start(
    status: u16,
    lines: &[u8],
    body: &[u8],
    length: Option<u64>,
    close: bool,
    old: bool,
) -> (Vec<u8>, Size) {
    let size = match length {
        Some(n) => Size::Length(n),
        None if old => Size::Close,
        None => Size::Chunks,
    };
    let room = lines.len() + body.len() + 128;
    let mut out = head(status, lines, size, close || size == Size::Close, room);
    let chunk = size == Size::Chunks && !body.is_empty();
    if chunk {
        out.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(body);
    if chunk {
        out.extend_from_slice(b"\r\n");
    }
    (out, size)
}

/// Write a piece of a body.
pub async fn write_piece(to: &mut (impl AsyncWriteExt + Unpin), bytes: &[u8], size: Size) -> io::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    if size == Size::Chunks {
        to.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
        to.write_all(bytes).await?;
        return to.write_all(b"\r\n").await;
    }
    to.write_all(bytes).await
}

/// What a fault in a message is answered with.
pub fn error_status(bad: &Bad) -> u16 {
    match bad {
        Bad::HeadTooLarge => 431,
        Bad::BodyTooLarge => 413,
        Bad::TooManyAhead => 429,
        Bad::IdInUse => 409,
        Bad::Malformed(_) => 400,
    }
}
