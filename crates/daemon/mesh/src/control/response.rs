//! What a caller is answered.
use serde_json::json;

/// The longest reason, in bytes: it may quote what was sent, and an upstream reads no answer of over 4 KiB.
const MAX_REASON_BYTES: usize = 512;
/// When a caller that could not be served here now comes back, in seconds.
const RETRY_AFTER_S: f64 = 0.2;
/// A caller follows so many redirections, and is sent no further.
const MAX_REDIRECTIONS: u32 = 2;
/// In the address that a caller is redirected to: how often it was before. A name of the wire.
const REDIRECTIONS_PARAMETER: &str = "via";

/// What a caller is answered.
pub(super) struct CallResponse {
    /// The HTTP status.
    pub(super) status: u16,
    /// Header lines besides the framing, each with its line end.
    pub(super) lines: String,
    /// The body.
    pub(super) body: String,
    /// The address to call instead.
    redirect_to: Option<String>,
}

impl CallResponse {
    /// A JSON body.
    pub(super) fn json(status: u16, body: String) -> Self {
        let lines = "Content-Type: application/json\r\n".to_string();
        CallResponse { status, lines, body, redirect_to: None }
    }

    /// An error, with its reason and the mend.
    pub(super) fn error(status: u16, reason: &str) -> Self {
        let reason = &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)];
        CallResponse::json(status, json!({ "error": reason }).to_string())
    }

    /// Done.
    pub(super) fn ok() -> Self {
        CallResponse::json(200, "{}".to_string())
    }

    /// What became of it is not known here now: the caller sends it again.
    pub(super) fn retry_later() -> Self {
        let mut response = CallResponse::error(503, "not settled here now (send it again, anywhere)");
        response.lines.push_str(&format!("Retry-After: {RETRY_AFTER_S}\r\n"));
        response
    }

    /// Another node serves this call, at this address.
    pub(super) fn redirect(address: String) -> Self {
        let (lines, body) = (String::new(), String::new());
        CallResponse { status: 307, lines, body, redirect_to: Some(address) }
    }

    /// The answer to a call of this target. A caller is redirected no oftener than it follows: nodes may each take the other for
    /// a replica, while what they know of each other is old.
    pub(super) fn with_bounded_redirections(mut self, target: &str) -> Self {
        let Some(address) = self.redirect_to.take() else { return self };
        let redirections = redirections_before(target);
        if redirections >= MAX_REDIRECTIONS {
            return CallResponse::retry_later();
        }
        let count = redirections + 1;
        self.lines.push_str(&format!("Location: {address}?{REDIRECTIONS_PARAMETER}={count}\r\n"));
        self
    }
}

/// How often this call was redirected before.
fn redirections_before(target: &str) -> u32 {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let count =
        query.split('&').find_map(|pair| pair.strip_prefix(REDIRECTIONS_PARAMETER)?.strip_prefix('='));
    count.map_or(0, |count| count.parse().unwrap_or(MAX_REDIRECTIONS))
}
