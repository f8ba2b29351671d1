//! The calls of the management endpoint, one per connection.
use silvercross_net::http::{self, MessageError};

/// Maximum bytes of a call.
pub const MAX_CALL_BYTES: usize = 4096;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The metrics.
    Stats,
    /// The members of the fleet.
    Members,
    /// The records that this process holds for others, and what it knows of the other processes that hold them.
    Records,
    /// Found the records at this process.
    Found,
    /// Begin a new epoch of a group from the records that this process holds.
    Recover(u32),
    /// Drain an upstream in the whole fleet (`true`), or end its drain (`false`).
    Drain(String, bool),
    /// Read a document. If `above` and `wait_ms` are given, wait until its version is greater than `above` or `wait_ms` have
    /// passed.
    Document {
        /// Its name.
        name: String,
        /// The version that the caller knows.
        above: Option<u64>,
        /// How long to wait for a later version, in milliseconds.
        wait_ms: u64,
    },
    /// Write a document if its version is the expected one.
    Put {
        /// Its name.
        name: String,
        /// The expected version; 0: the document does not exist; `None`: any.
        expect: Option<u64>,
        /// Its content.
        value: String,
    },
    /// An unknown path.
    NotFound,
    /// A known path with a method that it does not support.
    NotAllowed,
}

/// Parses the call at the start of `bytes`; `None` while its head is incomplete. A body is ignored.
pub fn parse_call(bytes: &[u8]) -> Result<Option<Call>, MessageError> {
    let mut slots = http::empty_headers();
    let Some(head) = http::request_head(bytes, &mut slots)? else {
        return if bytes.len() >= MAX_CALL_BYTES { Err(MessageError::HeadTooLarge) } else { Ok(None) };
    };
    let (path, query) = head.target.split_once('?').unwrap_or((head.target, ""));
    let query_value = |key: &str| {
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == key).map(|(_, v)| v.to_string()).next()
    };
    let name =
        |path: &str, prefix: &str| path.strip_prefix(prefix).filter(|n| !n.is_empty()).map(str::to_string);
    if let Some(name) = name(path, "/admin/drains/") {
        return Ok(Some(match head.method {
            "POST" => Call::Drain(name, true),
            "DELETE" => Call::Drain(name, false),
            _ => Call::NotAllowed,
        }));
    }
    if let Some(name) = name(path, "/admin/documents/") {
        return Ok(Some(match head.method {
            "GET" => {
                let number = |key: &str| query_value(key).map(|v| v.parse::<u64>()).transpose();
                match (number("above"), number("wait_ms")) {
                    (Ok(above), Ok(wait)) => Call::Document { name, above, wait_ms: wait.unwrap_or(0) },
                    _ => return Err(MessageError::Malformed("above, wait_ms: numbers")),
                }
            }
            "POST" => {
                let expect = match query_value("expect").map(|v| v.parse()) {
                    None => None,
                    Some(Ok(version)) => Some(version),
                    Some(Err(_)) => {
                        return Err(MessageError::Malformed("expect: a version, which is a number"))
                    }
                };
                Call::Put { name, expect, value: query_value("value").unwrap_or_default() }
            }
            _ => Call::NotAllowed,
        }));
    }
    Ok(Some(match (head.method, path) {
        ("GET", "/admin/health") => Call::Health,
        ("GET", "/admin/stats") => Call::Stats,
        ("GET", "/admin/members") => Call::Members,
        ("GET", "/admin/records") => Call::Records,
        ("POST", "/admin/records/found") => Call::Found,
        ("POST", "/admin/records/recover") => match query_value("group").map(|g| g.parse()) {
            Some(Ok(group)) => Call::Recover(group),
            _ => return Err(MessageError::Malformed("group: which one, a number")),
        },
        (_, "/admin/health" | "/admin/stats" | "/admin/members" | "/admin/records") => Call::NotAllowed,
        (_, "/admin/records/found" | "/admin/records/recover") => Call::NotAllowed,
        _ => Call::NotFound,
    }))
}

/// Encodes a response, which is the last one on its connection.
pub fn response(status: u16, text: &str) -> Vec<u8> {
    let allow = if status == 405 { "Allow: GET\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{allow}Connection: close\r\n\r\n{text}",
        http::reason(status),
        text.len()
    )
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_parsed() {
        let of = |line: &str| parse_call(format!("{line} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
        assert_eq!(of("GET /admin/health"), Ok(Some(Call::Health)));
        assert_eq!(of("GET /admin/stats?all=1"), Ok(Some(Call::Stats)));
        assert_eq!(of("POST /admin/stats"), Ok(Some(Call::NotAllowed)));
        assert_eq!(of("GET /admin"), Ok(Some(Call::NotFound)));
        assert_eq!(of("POST /admin/records/found"), Ok(Some(Call::Found)));
        assert_eq!(of("GET /admin/records/found"), Ok(Some(Call::NotAllowed)));
        assert_eq!(of("POST /admin/records/recover?group=2"), Ok(Some(Call::Recover(2))));
        assert!(of("POST /admin/records/recover").is_err());
        assert_eq!(of("DELETE /admin/drains/s-1"), Ok(Some(Call::Drain("s-1".into(), false))));
        let put = Call::Put { name: "a".into(), expect: Some(3), value: "x".into() };
        assert_eq!(of("POST /admin/documents/a?expect=3&value=x"), Ok(Some(put)));
        let wait = Call::Document { name: "a".into(), above: Some(3), wait_ms: 900 };
        assert_eq!(of("GET /admin/documents/a?above=3&wait_ms=900"), Ok(Some(wait)));
        assert!(of("GET /admin/documents/a?above=x").is_err());
        assert_eq!(of("GET /api"), Ok(Some(Call::NotFound)));
    }

    #[test]
    fn a_call_may_be_incomplete_but_not_too_large() {
        let text = b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n";
        for cut in 0..text.len() {
            assert_eq!(parse_call(&text[..cut]), Ok(None), "cut at {cut}");
        }
        assert!(matches!(parse_call(b"what?\0\r\n\r\n"), Err(MessageError::Malformed(_))));
        let long = format!("GET /admin/health HTTP/1.1\r\nX: {}", "a".repeat(MAX_CALL_BYTES));
        assert_eq!(parse_call(long.as_bytes()), Err(MessageError::HeadTooLarge));
    }

    #[test]
    fn a_response_is_the_last_on_its_connection() {
        let text = String::from_utf8(response(405, "no\n")).expect("text");
        assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\n"), "{text}");
        assert!(text.contains("Allow: GET\r\n") && text.contains("Connection: close\r\n"), "{text}");
        assert!(text.ends_with("Content-Length: 3\r\nAllow: GET\r\nConnection: close\r\n\r\nno\n"), "{text}");
    }
}
