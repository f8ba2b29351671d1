//! Evaluates the outcome of an attempt, for the decision module and for the client's response.
use crate::forwarding_headers::{self, GateStatus};
use crate::peer_connection::{ExchangeOutcome, ReceivedResponse};
use silvercross_facade::Report;
use silvercross_time::Duration;

/// The result of an attempt that has ended.
pub(super) struct AttemptResult {
    /// The upstream's response, if there is one to forward.
    pub(super) response: Option<ReceivedResponse>,
    /// Whether the attempt may have run.
    pub(super) may_have_run: bool,
    /// Whether the attempt reached, or may have reached, its upstream.
    pub(super) reached_upstream: bool,
    /// The time after which its gate allows a retry.
    pub(super) retry_after: Option<Duration>,
    /// A description for the log.
    pub(super) description: &'static str,
}

impl AttemptResult {
    /// Creates a result without a response.
    pub(super) fn without_response(may_have_run: bool, description: &'static str) -> Self {
        AttemptResult {
            response: None,
            may_have_run,
            reached_upstream: may_have_run,
            retry_after: None,
            description,
        }
    }
}

/// The outcome of an attempt, as reported to the module and as kept for the request.
pub(super) struct EvaluatedAttempt {
    /// The report to the module.
    pub(super) report: Report,
    /// The result for the client's response.
    pub(super) result: AttemptResult,
}

/// Evaluates the outcome of an attempt.
pub(super) fn evaluate(outcome: ExchangeOutcome) -> EvaluatedAttempt {
    let received = match outcome {
        ExchangeOutcome::NotSent => {
            let result = AttemptResult::without_response(false, "no connection");
            return EvaluatedAttempt { report: Report::NotDelivered, result };
        }
        ExchangeOutcome::ResponseLost => {
            let result = AttemptResult::without_response(true, "broken");
            return EvaluatedAttempt { report: Report::Reset, result };
        }
        ExchangeOutcome::Response(received) => received,
    };
    let response = &received.response;
    if let Some(encoded) = &response.gate_status {
        return evaluate_gate_status(forwarding_headers::decode(encoded));
    }
    if response.is_not_delivered || response.status == 421 {
        // The attempt did not run but reached its upstream, so any later attempt counts as a retry.
        let result = AttemptResult {
            reached_upstream: true,
            ..AttemptResult::without_response(false, "not delivered")
        };
        return EvaluatedAttempt { report: Report::Rejected, result };
    }
    let (report, description) = match response.status {
        500.. => (Report::Error, "error"),
        _ => (Report::Served, "response"),
    };
    let result =
        AttemptResult { response: Some(*received), ..AttemptResult::without_response(true, description) };
    EvaluatedAttempt { report, result }
}

/// Evaluates a gate's own status; `None` if it can't be decoded.
fn evaluate_gate_status(status: Option<GateStatus>) -> EvaluatedAttempt {
    let (report, may_have_run, description) = match status {
        Some(GateStatus::Unavailable) => (Report::NotDelivered, false, "unavailable"),
        Some(GateStatus::Overloaded(_)) => (Report::Rejected, false, "overloaded"),
        Some(GateStatus::Draining) => (Report::Rejected, false, "draining"),
        Some(GateStatus::MayHaveRun | GateStatus::NeverReceived) | None => {
            (Report::Reset, true, "begun, no response")
        }
    };
    let mut result = AttemptResult::without_response(may_have_run, description);
    if let Some(GateStatus::Overloaded(retry_after)) = status {
        result.retry_after = Some(retry_after).filter(|after| *after > Duration::ZERO);
    }
    EvaluatedAttempt { report, result }
}
