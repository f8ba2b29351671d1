//! Parses a call for events: the query parameters, and cursors in the body, one a line.
use crate::wire::RequestHead;
use silvercross_event_feed::{Cursor, CursorError, Filter};
use std::fmt;

/// The path of the event stream. Part of the wire protocol.
pub(super) const EVENTS_PATH: &str = "/-/Post.Events";
/// Largest `limit` of one response, in lines.
const MAX_LINES_PER_RESPONSE: usize = 1_000;

/// A parsed call for events.
pub(super) struct EventQuery {
    /// The reader's position.
    pub(super) cursor: Cursor,
    /// Selects the events.
    pub(super) filter: Filter,
    /// Whether the reader follows the stream, or gets one response.
    pub(super) follow: bool,
    /// Most lines of that one response.
    pub(super) limit: usize,
}

/// Why a call is invalid.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum QueryError {
    /// A parameter that is not known.
    UnknownParameter { name: String },
    /// `limit` is out of range.
    BadLimit { value: String },
    /// A cursor is invalid.
    BadCursor(CursorError),
    /// The body is not UTF-8 text.
    BodyNotText,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::UnknownParameter { name } => {
                write!(f, "{name:?}: not known (after, kind, service, zone, follow, limit)")
            }
            QueryError::BadLimit { value } => {
                write!(f, "limit {value:?}: not between 1 and {MAX_LINES_PER_RESPONSE}")
            }
            QueryError::BadCursor(error) => error.fmt(f),
            QueryError::BodyNotText => write!(f, "the body is no text (send cursors, one a line)"),
        }
    }
}

impl std::error::Error for QueryError {}

/// Whether the request is a call for events.
pub(crate) fn is_event_stream_call(request: &RequestHead) -> bool {
    let path = request.target.split('?').next();
    matches!(request.method.as_str(), "GET" | "POST") && path == Some(EVENTS_PATH)
}

fn read_cursor(text: &str) -> Result<Cursor, QueryError> {
    Cursor::parse(text).map_err(QueryError::BadCursor)
}

impl EventQuery {
    /// Parses a call.
    ///
    /// # Errors
    /// The first error found.
    pub(super) fn read(target: &str, body: &[u8]) -> Result<EventQuery, QueryError> {
        let (cursor, filter) = (Cursor::default(), Filter::default());
        let mut query = EventQuery { cursor, filter, follow: false, limit: MAX_LINES_PER_RESPONSE };
        let parameters = target.split_once('?').map_or("", |(_, parameters)| parameters);
        for pair in parameters.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let list = || value.split(',').filter(|entry| !entry.is_empty()).map(percent_decoded_lossy);
            match name {
                "after" => query.cursor.merge(read_cursor(value)?),
                "kind" => query.filter.kinds.extend(list()),
                "service" => query.filter.services.extend(list()),
                "zone" => query.filter.zones.extend(list()),
                "follow" => query.follow = value != "0",
                "limit" => {
                    let limit =
                        value.parse().ok().filter(|limit| (1..=MAX_LINES_PER_RESPONSE).contains(limit));
                    query.limit = limit.ok_or_else(|| QueryError::BadLimit { value: value.to_string() })?;
                }
                _ => return Err(QueryError::UnknownParameter { name: name.to_string() }),
            }
        }
        let text = std::str::from_utf8(body).map_err(|_| QueryError::BodyNotText)?;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            query.cursor.merge(read_cursor(line.trim())?);
        }
        Ok(query)
    }
}

/// Decodes `%XX` in text; invalid sequences are kept.
fn percent_decoded_lossy(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
