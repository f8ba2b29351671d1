//! What an attempt's end means: for the module that decides on, and for the client's response.
use crate::forwarding_headers::{self, GateStatus};
use crate::peer_connection::{ExchangeOutcome, ReceivedResponse};
use silvercross_facade::Report;
use silvercross_time::Duration;

/// What is kept of an attempt that has ended.
pub(super) struct AttemptResult {
    /// The upstream's response.
    pub(super) response: Option<ReceivedResponse>,
    /// It may have run.
    pub(super) may_have_run: bool,
    /// It reached, or may have reached, its upstream.
    pub(super) reached_upstream: bool,
    /// When its gate said to retry.
    pub(super) retry_after: Option<Duration>,
    /// For the log.
    pub(super) description: &'static str,
}

impl AttemptResult {
    /// There is no response.
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

/// An attempt's end, as it is reported to the module, and what is kept of it.
pub(super) struct EvaluatedAttempt {
    /// For the module.
    pub(super) report: Report,
    /// For the client's response.
    pub(super) result: AttemptResult,
}

/// What an attempt's end means.
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
        // It did not run, and yet it reached its upstream: what is sent after it is a retry.
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

/// What a gate's own status means; `None`: it can't be decoded.
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
