//! HTTP/1.1 heads, framing and responses, for both directions. Independent of services and sockets.
use crate::buffers::{Buffer, MAX_BODY, MAX_HEAD};
use httparse::{Header, Status, EMPTY_HEADER};
use std::ops::Range;

/// Maximum bytes of a body that is streamed.
pub const MAX_STREAMED_BODY: usize = 34 << 20;
/// Maximum number of header lines.
pub const MAX_HEADERS: usize = 64;

/// Size limits of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of its head, the blank line included. The number of header lines is limited by the slots passed for them.
    pub head: usize,
    /// Bytes of its body, if it states a length.
    pub body: usize,
}

impl Default for Limits {
    /// The maximum sizes of a head in a buffer of this package and of a streamed body.
    fn default() -> Self {
        Limits { head: MAX_HEAD, body: MAX_STREAMED_BODY }
    }
}

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// It can't be parsed; what is wrong.
    Malformed(&'static str),
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// Its correlation id is that of an open request.
    IdInUse,
    /// Its sender has pipelined too many requests.
    TooManyAhead,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(usize),
    /// It is sent in chunks.
    Chunked,
    /// It ends when the connection closes (responses only).
    UntilClose,
}

/// The header lines of a head.
pub struct Headers<'h, 'b>(&'h [Header<'b>]);

impl<'b> Headers<'_, 'b> {
    /// The values of all lines with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'b [u8]> + 'a {
        self.0.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    }

    /// The value of the only line with a name. Several lines are an error, since they are ambiguous.
    pub fn one(&self, name: &str) -> Result<Option<&'b str>, MessageError> {
        let mut all = self.all(name);
        let Some(value) = all.next() else { return Ok(None) };
        if all.next().is_some() {
            return Err(MessageError::Malformed("a header that may stand once stands twice"));
        }
        let text = std::str::from_utf8(value).map_err(|_| MessageError::Malformed("a header is not text"))?;
        Ok(Some(text.trim()))
    }

    /// Whether a list-valued header contains a token.
    pub fn has_token(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .any(|v| v.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes())))
    }

    /// Appends the end-to-end header lines, except those in `excluded`.
    pub fn forward(&self, out: &mut Vec<u8>, excluded: &[&str]) {
        const HOP_BY_HOP: [&str; 10] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "proxy-authorization",
        ];
        for h in self.0 {
            let named = |n: &&str| h.name.eq_ignore_ascii_case(n);
            if !HOP_BY_HOP.iter().any(named)
                && !excluded.iter().any(named)
                && !self.has_token("connection", h.name)
            {
                for part in [h.name.as_bytes(), b": ", h.value, b"\r\n"] {
                    out.extend_from_slice(part);
                }
            }
        }
    }

    fn framing(&self, max_body: usize) -> Result<Option<Framing>, MessageError> {
        let length = self.one("content-length")?;
        match self.one("transfer-encoding")? {
            // Two readers could interpret it as two different messages (request smuggling).
            Some(_) if length.is_some() => {
                Err(MessageError::Malformed("both a length and a transfer coding"))
            }
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            Some(_) => Err(MessageError::Malformed("an unknown transfer coding")),
            None => match length {
                None => Ok(None),
                Some(n) if n.is_empty() || !n.bytes().all(|b| b.is_ascii_digit()) => {
                    Err(MessageError::Malformed("a length that is no number"))
                }
                // It has only digits, so a number that can't be parsed is too large.
                Some(n) => match n.parse::<usize>() {
                    Ok(n) if n <= max_body => Ok(Some(Framing::Length(n))),
                    _ => Err(MessageError::BodyTooLarge),
                },
            },
        }
    }

    fn keep_alive(&self, version: Option<u8>) -> bool {
        match version {
            Some(0) => self.has_token("connection", "keep-alive"),
            _ => !self.has_token("connection", "close"),
        }
    }
}

/// The head of a request.
pub struct RequestHead<'h, 'b> {
    /// Its bytes, the blank line included.
    pub len: usize,
    /// Its method.
    pub method: &'b str,
    /// Path and query.
    pub target: &'b str,
    /// Its header lines.
    pub headers: Headers<'h, 'b>,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// The client uses HTTP/1.0 and does not support chunks.
    pub is_http10: bool,
}

/// Slots for the header lines of a head.
pub fn empty_headers<'b>() -> [Header<'b>; MAX_HEADERS] {
    [EMPTY_HEADER; MAX_HEADERS]
}

fn head_error(e: httparse::Error) -> MessageError {
    match e {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
        _ => MessageError::Malformed("a malformed head"),
    }
}

fn head_length(
    parsed: Result<Status<usize>, httparse::Error>,
    bytes: &[u8],
    max_head: usize,
) -> Result<Option<usize>, MessageError> {
    match parsed.map_err(head_error)? {
        Status::Complete(n) if n > max_head => Err(MessageError::HeadTooLarge),
        Status::Complete(n) => Ok(Some(n)),
        Status::Partial if bytes.len() >= max_head => Err(MessageError::HeadTooLarge),
        Status::Partial => Ok(None),
    }
}

/// Parses the head of a request at the start of `bytes`; `None` while it is incomplete.
pub fn request_head<'h, 'b>(
    bytes: &'b [u8],
    header_slots: &'h mut [Header<'b>],
) -> Result<Option<RequestHead<'h, 'b>>, MessageError> {
    request_head_within(bytes, header_slots, Limits::default())
}

/// Parses the head of a request as [`request_head`] does, within the given limits.
pub fn request_head_within<'h, 'b>(
    bytes: &'b [u8],
    header_slots: &'h mut [Header<'b>],
    limits: Limits,
) -> Result<Option<RequestHead<'h, 'b>>, MessageError> {
    let mut request = httparse::Request::new(header_slots);
    let Some(len) = head_length(request.parse(bytes), bytes, limits.head)? else { return Ok(None) };
    let (method, target, version) = (request.method, request.path, request.version);
    let headers = Headers(request.headers);
    let framing = headers.framing(limits.body)?.unwrap_or(Framing::Length(0));
    if framing == Framing::Chunked && version == Some(0) {
        return Err(MessageError::Malformed("chunks in HTTP/1.0"));
    }
    let (Some(method), Some(target)) = (method, target) else {
        return Err(MessageError::Malformed("a malformed head"));
    };
    let keep_alive = headers.keep_alive(version);
    let is_http10 = version == Some(0);
    Ok(Some(RequestHead { len, method, target, headers, framing, keep_alive, is_http10 }))
}

/// The head of a response.
pub struct ResponseHead<'h, 'b> {
    /// Its bytes, the blank line included.
    pub len: usize,
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub headers: Headers<'h, 'b>,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// Parses the head of a response at the start of `bytes`; `None` while it is incomplete.
pub fn response_head<'h, 'b>(
    bytes: &'b [u8],
    header_slots: &'h mut [Header<'b>],
) -> Result<Option<ResponseHead<'h, 'b>>, MessageError> {
    response_head_within(bytes, header_slots, Limits::default())
}

/// Parses the head of a response as [`response_head`] does, within the given limits.
pub fn response_head_within<'h, 'b>(
    bytes: &'b [u8],
    header_slots: &'h mut [Header<'b>],
    limits: Limits,
) -> Result<Option<ResponseHead<'h, 'b>>, MessageError> {
    let mut response = httparse::Response::new(header_slots);
    let Some(len) = head_length(response.parse(bytes), bytes, limits.head)? else { return Ok(None) };
    let (status, version) = (response.code.unwrap_or(0), response.version);
    let headers = Headers(response.headers);
    let framing = match status {
        100..=199 | 204 | 304 => Framing::Length(0),
        _ => headers.framing(limits.body)?.unwrap_or(Framing::UntilClose),
    };
    let keep_alive = framing != Framing::UntilClose && headers.keep_alive(version);
    Ok(Some(ResponseHead { len, status, headers, framing, keep_alive }))
}

/// The position of a complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Its parts, in order.
    pub parts: Vec<Range<usize>>,
    /// End of the message.
    pub end: usize,
}

/// Path and query of a request target, which may be in absolute form.
pub fn origin_form(target: &str) -> &str {
    let Some((scheme, rest)) = target.split_once("://") else { return target };
    if !scheme.eq_ignore_ascii_case("http") {
        return target;
    }
    rest.find('/').map_or("/", |at| &rest[at..])
}

/// Finds the body that starts at `from`, of at most [`MAX_BODY`] bytes; `None` while it is incomplete. `closed`: no more
/// bytes will be received.
pub fn body(bytes: &[u8], from: usize, framing: Framing, closed: bool) -> Result<Option<Body>, MessageError> {
    let part = |end| Body { parts: std::iter::once(from..end).collect(), end };
    match framing {
        Framing::Length(n) if n > MAX_BODY => Err(MessageError::BodyTooLarge),
        Framing::Length(n) => Ok((bytes.len() - from >= n).then(|| part(from + n))),
        Framing::Chunked => find_chunks(bytes, from),
        Framing::UntilClose if bytes.len() - from > MAX_BODY => Err(MessageError::BodyTooLarge),
        Framing::UntilClose => Ok(closed.then(|| part(bytes.len()))),
    }
}

fn find_chunks(bytes: &[u8], from: usize) -> Result<Option<Body>, MessageError> {
    let (mut at, mut total, mut parts) = (from, 0, Vec::new());
    loop {
        let size = httparse::parse_chunk_size(&bytes[at..])
            .map_err(|_| MessageError::Malformed("a malformed chunk"))?;
        let Status::Complete((line, size)) = size else { return Ok(None) };
        at += line;
        if size == 0 {
            break;
        }
        total += usize::try_from(size).ok().filter(|s| *s <= MAX_BODY).ok_or(MessageError::BodyTooLarge)?;
        if total > MAX_BODY {
            return Err(MessageError::BodyTooLarge);
        }
        let end = at + size as usize;
        match bytes.get(end..end + 2) {
            Some(b"\r\n") => parts.push(at..end),
            Some(_) => return Err(MessageError::Malformed("a chunk without its end")),
            None => return Ok(None),
        }
        at = end + 2;
    }
    // Trailers are skipped.
    match httparse::parse_headers(&bytes[at..], &mut empty_headers()).map_err(head_error)? {
        Status::Complete((n, _)) => Ok(Some(Body { parts, end: at + n })),
        Status::Partial => Ok(None),
    }
}

/// Merges the complete chunks that start at `from` into one, if there are at least `min_chunks`. A body in very many small
/// chunks then takes little more space than its bytes and is not parsed again from its start for each chunk.
pub fn merge_chunks(buffer: &mut Buffer, from: usize, min_chunks: usize) {
    let bytes = buffer.filled();
    let (mut at, mut total, mut parts) = (from, 0, Vec::new());
    while let Ok(Status::Complete((line, size))) =
        httparse::parse_chunk_size(bytes.get(at..).unwrap_or_default())
    {
        let Some(size) = usize::try_from(size).ok().filter(|s| (1..=MAX_BODY).contains(s)) else { break };
        let data = at + line..at + line + size;
        if bytes.get(data.end..data.end + 2) != Some(b"\r\n") {
            break;
        }
        total += size;
        at = data.end + 2;
        parts.push(data);
    }
    if parts.len() >= min_chunks.max(2) {
        let mut merged = format!("{total:x}\r\n").into_bytes();
        parts.into_iter().for_each(|p| merged.extend_from_slice(&bytes[p]));
        merged.extend_from_slice(b"\r\n");
        merged.extend_from_slice(&bytes[at..]);
        buffer.replace_from(from, &merged);
    }
}

/// Number of complete chunks from which they are merged while more are expected.
pub const MIN_CHUNKS_TO_MERGE: usize = 64;

/// The reason phrase of a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// Appends a response; if it does not fit, appends nothing and returns `false`. `lines` are further header lines.
#[must_use]
pub fn write_response(out: &mut Buffer, status: u16, lines: &[u8], parts: &[&[u8]], close: bool) -> bool {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    let mut head =
        format!("HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", reason(status)).into_bytes();
    if close {
        head.extend_from_slice(b"Connection: close\r\n");
    }
    head.extend_from_slice(lines);
    head.extend_from_slice(b"\r\n");
    if out.room().len() < head.len() + length {
        return false;
    }
    out.append(&head) && parts.iter().all(|p| out.append(p))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn framing_of(head: &str) -> Result<Option<Framing>, MessageError> {
        request_head(head.as_bytes(), &mut empty_headers()).map(|h| h.map(|h| h.framing))
    }

    #[test]
    fn framing_is_read_strictly() {
        let get = |rest: &str| framing_of(&format!("GET / HTTP/1.1\r\n{rest}\r\n"));
        assert_eq!(get(""), Ok(Some(Framing::Length(0))));
        assert_eq!(get("Content-Length: 5\r\n"), Ok(Some(Framing::Length(5))));
        assert_eq!(get("Transfer-Encoding: Chunked\r\n"), Ok(Some(Framing::Chunked)));
        for bad in [
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Content-Length: +5\r\n",
            "Content-Length: five\r\n",
            "Content-Length:\r\n",
            "Transfer-Encoding: gzip\r\n",
        ] {
            assert!(matches!(get(bad), Err(MessageError::Malformed(_))), "{bad}");
        }
        assert_eq!(
            get(&format!("Content-Length: {}\r\n", MAX_STREAMED_BODY + 1)),
            Err(MessageError::BodyTooLarge)
        );
        assert_eq!(get("Content-Length: 99999999999999999999999\r\n"), Err(MessageError::BodyTooLarge));
    }

    #[test]
    fn a_head_may_be_incomplete_but_not_too_large() {
        assert_eq!(framing_of("GET / HTTP/1.1\r\nHost: a\r\n"), Ok(None));
        let long = format!("GET / HTTP/1.1\r\nX-Long: {}", "a".repeat(MAX_HEAD));
        assert_eq!(framing_of(&long), Err(MessageError::HeadTooLarge));
        assert_eq!(framing_of(&format!("{long}\r\n\r\n")), Err(MessageError::HeadTooLarge));
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X: 1\r\n".repeat(MAX_HEADERS + 1));
        assert_eq!(framing_of(&many), Err(MessageError::HeadTooLarge));
        assert!(matches!(framing_of("G\0T / HTTP/1.1\r\n\r\n"), Err(MessageError::Malformed(_))));
    }

    #[test]
    fn given_limits_apply() {
        let limits = Limits { head: MAX_HEAD + 4096, body: 2 * MAX_STREAMED_BODY };
        let most = limits.head - "GET / HTTP/1.1\r\nX: \r\n\r\n".len();
        let read = |text: &str| {
            let mut room = [EMPTY_HEADER; MAX_HEADERS + 8];
            request_head_within(text.as_bytes(), &mut room, limits).map(|h| h.map(|h| h.framing))
        };
        let of = |n: usize| format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(n));
        assert_eq!(read(&of(most)), Ok(Some(Framing::Length(0))));
        assert_eq!(read(&of(most + 1)), Err(MessageError::HeadTooLarge));
        let lined = |n: usize| format!("GET / HTTP/1.1\r\n{}\r\n", "X: 1\r\n".repeat(n));
        assert_eq!(read(&lined(MAX_HEADERS + 8)), Ok(Some(Framing::Length(0))));
        assert_eq!(read(&lined(MAX_HEADERS + 9)), Err(MessageError::HeadTooLarge));
        let stated = |n: usize| format!("GET / HTTP/1.1\r\nContent-Length: {n}\r\n\r\n");
        assert_eq!(read(&stated(2 * MAX_STREAMED_BODY)), Ok(Some(Framing::Length(2 * MAX_STREAMED_BODY))));
        assert_eq!(read(&stated(2 * MAX_STREAMED_BODY + 1)), Err(MessageError::BodyTooLarge));
    }

    #[test]
    fn a_target_may_be_in_absolute_form() {
        let cases = [
            ("/api?x=1", "/api?x=1"),
            ("http://a:1/api?x=1", "/api?x=1"),
            ("HTTP://a", "/"),
            ("ftp://a/b", "ftp://a/b"),
        ];
        cases.iter().for_each(|(target, path)| assert_eq!(origin_form(target), *path));
    }

    #[test]
    fn a_body_larger_than_a_buffer_is_an_error() {
        assert_eq!(body(b"", 0, Framing::Length(MAX_BODY + 1), false), Err(MessageError::BodyTooLarge));
    }

    #[test]
    fn chunks_are_found_once_they_are_complete() {
        let text = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\nGET";
        let whole = body(text, 0, Framing::Chunked, false).expect("well-formed").expect("whole");
        let read: Vec<u8> = whole.parts.iter().flat_map(|p| text[p.clone()].to_vec()).collect();
        assert_eq!((read.as_slice(), &text[whole.end..]), (&b"abcde"[..], &b"GET"[..]));
        for cut in 0..text.len() - 3 {
            assert_eq!(body(&text[..cut], 0, Framing::Chunked, false), Ok(None), "cut at {cut}");
        }
        assert!(body(b"3\r\nabcd\r\n", 0, Framing::Chunked, false).is_err());
        assert!(body(b"xyz\r\n", 0, Framing::Chunked, false).is_err());
        assert_eq!(body(b"ffffffffff\r\n", 0, Framing::Chunked, false), Err(MessageError::BodyTooLarge));
    }

    #[test]
    fn merged_chunks_hold_the_same_bytes_in_less_space() {
        let mut buffer = crate::buffers::Pool::new(0).take().expect("room");
        assert!(buffer.append(b"HEAD1\r\na\r\n1\r\nb\r\n2;x\r\ncd\r\n3\r\nef"));
        merge_chunks(&mut buffer, 4, 4);
        assert_eq!(buffer.filled().len(), 4 + 6 + 6 + 9 + 5, "three chunks are fewer than four");
        merge_chunks(&mut buffer, 4, 3);
        assert_eq!(buffer.filled(), b"HEAD4\r\nabcd\r\n3\r\nef");
        merge_chunks(&mut buffer, 4, 2);
        assert!(buffer.append(b"g\r\n0\r\n\r\n"));
        let whole = body(buffer.filled(), 4, Framing::Chunked, false).expect("well-formed").expect("whole");
        let read: Vec<u8> = whole.parts.iter().flat_map(|p| buffer.filled()[p.clone()].to_vec()).collect();
        assert_eq!(read, b"abcdefg");
        // Malformed chunks are left for the parser to report.
        let mut buffer = crate::buffers::Pool::new(0).take().expect("room");
        assert!(buffer.append(b"1\r\na\r\n1\r\nbX1\r\n"));
        merge_chunks(&mut buffer, 0, 2);
        assert_eq!(buffer.filled(), b"1\r\na\r\n1\r\nbX1\r\n");
    }

    #[test]
    fn a_body_without_length_ends_with_the_connection() {
        let text = b"HTTP/1.1 200 OK\r\n\r\nabc";
        let mut slots = empty_headers();
        let head = response_head(text, &mut slots).expect("well-formed").expect("whole");
        assert_eq!((head.framing, head.keep_alive), (Framing::UntilClose, false));
        assert_eq!(body(text, head.len, head.framing, false), Ok(None));
        assert_eq!(body(text, head.len, head.framing, true).map(|b| b.map(|b| b.end)), Ok(Some(text.len())));
    }

    #[test]
    fn hop_by_hop_headers_are_not_forwarded() {
        let text = b"GET / HTTP/1.1\r\nA: 1\r\nConnection: close, B\r\nB: 2\r\nTE: x\r\nC: 3\r\n\r\n";
        let mut slots = empty_headers();
        let head = request_head(text, &mut slots).expect("well-formed").expect("whole");
        let mut out = Vec::new();
        head.headers.forward(&mut out, &["c"]);
        assert_eq!(out, b"A: 1\r\n");
        assert!(!head.keep_alive);
    }
}
