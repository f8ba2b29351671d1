//! The calls of the door: one to a connection.
use silvercross_net::http::{self, Bad};

/// A call takes no more bytes than this.
pub const CALL_MOST: usize = 4096;

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Stats,
    /// Who is in the fleet.
    Members,
    /// Something that is not here.
    NotFound,
    /// Something that is here, by another method.
    NotAllowed,
}

/// The call at the front of `bytes`; `None` while its head is not whole. Its body, if it has one, says nothing.
pub fn call(bytes: &[u8]) -> Result<Option<Call>, Bad> {
    let mut room = http::lines();
    let Some(head) = http::request_head(bytes, &mut room)? else {
        return if bytes.len() >= CALL_MOST { Err(Bad::HeadTooLarge) } else { Ok(None) };
    };
    let path = head.target.split('?').next().unwrap_or("");
    Ok(Some(match (head.method, path) {
        ("GET", "/admin/health") => Call::Health,
        ("GET", "/admin/stats") => Call::Stats,
        ("GET", "/admin/members") => Call::Members,
        (_, "/admin/health" | "/admin/stats" | "/admin/members") => Call::NotAllowed,
        _ => Call::NotFound,
    }))
}

/// An answer's bytes; it is the last on its connection.
pub fn answer(status: u16, text: &str) -> Vec<u8> {
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
    fn each_call_is_told_from_the_others() {
        let of = |line: &str| call(format!("{line} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
        assert_eq!(of("GET /admin/health"), Ok(Some(Call::Health)));
        assert_eq!(of("GET /admin/stats?all=1"), Ok(Some(Call::Stats)));
        assert_eq!(of("POST /admin/stats"), Ok(Some(Call::NotAllowed)));
        assert_eq!(of("GET /admin"), Ok(Some(Call::NotFound)));
        assert_eq!(of("GET /api"), Ok(Some(Call::NotFound)));
    }

    #[test]
    fn a_call_may_come_in_any_pieces_but_not_without_end() {
        let text = b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n";
        for cut in 0..text.len() {
            assert_eq!(call(&text[..cut]), Ok(None), "cut at {cut}");
        }
        assert!(matches!(call(b"what?\0\r\n\r\n"), Err(Bad::Malformed(_))));
        let long = format!("GET /admin/health HTTP/1.1\r\nX: {}", "a".repeat(CALL_MOST));
        assert_eq!(call(long.as_bytes()), Err(Bad::HeadTooLarge));
    }

    #[test]
    fn an_answer_is_the_last_on_its_connection() {
        let text = String::from_utf8(answer(405, "no\n")).expect("text");
        assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\n"), "{text}");
        assert!(text.contains("Allow: GET\r\n") && text.contains("Connection: close\r\n"), "{text}");
        assert!(text.ends_with("Content-Length: 3\r\nAllow: GET\r\nConnection: close\r\n\r\nno\n"), "{text}");
    }
}
