//! Responses to calls.
use super::order_condition::OrderCondition;
use super::query::query_parameter;
use serde_json::json;

/// Longest reason, in bytes: it may quote the request, and upstreams read no response of over 4 KiB.
const MAX_REASON_BYTES: usize = 512;
/// Value of `Retry-After`, in seconds.
const RETRY_AFTER_S: f64 = 0.2;
/// Most redirections of one call, as many as callers follow; then the call is answered with 503 and `Retry-After`.
const MAX_REDIRECTIONS: u32 = 2;
/// Query parameter of a redirect's address: the number of redirections so far. Part of the protocol.
const REDIRECTIONS_PARAMETER: &str = "via";

/// The response to a call.
pub(super) struct CallResponse {
    /// The HTTP status.
    pub(super) status: u16,
    /// Header lines except those for framing, each with its line end.
    pub(super) lines: String,
    /// The body.
    pub(super) body: String,
    /// Where to call instead.
    redirect_to: Option<RedirectTarget>,
}

/// Where a redirected call goes.
struct RedirectTarget {
    /// The address, without a query.
    address: String,
    /// What has to hold still when the call is carried out there.
    condition: Option<OrderCondition>,
}

impl CallResponse {
    /// A response with a JSON body.
    pub(super) fn json(status: u16, body: String) -> Self {
        let lines = "Content-Type: application/json\r\n".to_string();
        CallResponse { status, lines, body, redirect_to: None }
    }

    /// An error response, with the reason and how to fix it.
    pub(super) fn error(status: u16, reason: &str) -> Self {
        let reason = &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)];
        CallResponse::json(status, json!({ "error": reason }).to_string())
    }

    /// An empty success response.
    pub(super) fn ok() -> Self {
        CallResponse::json(200, "{}".to_string())
    }

    /// The outcome is not known here: the caller has to retry.
    pub(super) fn retry_later() -> Self {
        let mut response = CallResponse::error(503, "not settled here now (send it again, anywhere)");
        response.lines.push_str(&format!("Retry-After: {RETRY_AFTER_S}\r\n"));
        response
    }

    /// A redirect to the address of another node that serves this call.
    pub(super) fn redirect(address: String) -> Self {
        CallResponse::redirect_to(RedirectTarget { address, condition: None })
    }

    /// A redirect to this address, for an order that is carried out there under this condition only.
    pub(super) fn redirect_under(address: String, condition: OrderCondition) -> Self {
        CallResponse::redirect_to(RedirectTarget { address, condition: Some(condition) })
    }

    fn redirect_to(target: RedirectTarget) -> Self {
        let (lines, body) = (String::new(), String::new());
        CallResponse { status: 307, lines, body, redirect_to: Some(target) }
    }

    /// The response to a call with this target. The number of redirections is limited: nodes with outdated views may each
    /// take the other for a replica and redirect in a loop.
    pub(super) fn with_bounded_redirections(mut self, target: &str) -> Self {
        let Some(RedirectTarget { address, condition }) = self.redirect_to.take() else { return self };
        let redirections = redirections_before(target);
        if redirections >= MAX_REDIRECTIONS {
            return CallResponse::retry_later();
        }
        let count = redirections + 1;
        let suffix = condition.map(OrderCondition::query_suffix).unwrap_or_default();
        self.lines.push_str(&format!("Location: {address}?{REDIRECTIONS_PARAMETER}={count}{suffix}\r\n"));
        self
    }
}

/// How often a call with this target was redirected before.
fn redirections_before(target: &str) -> u32 {
    let count = query_parameter(target, REDIRECTIONS_PARAMETER);
    count.map_or(0, |count| count.parse().unwrap_or(MAX_REDIRECTIONS))
}
