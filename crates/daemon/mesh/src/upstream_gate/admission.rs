//! Admission of requests: asks the controller, waits for its decision and reports the end of the request.
use super::counting::count_rejection;
use super::delivery_request::Delivery;
use super::limits::PENDING_TIME_DIVISOR;
use super::responses::gate_status;
use crate::forwarding_headers::GateStatus;
use crate::node_state::NodeState;
use silvercross_admission::{AdmissionRequest, Decision, Rejection};
use silvercross_time::Duration;
use std::rc::Rc;

/// An admitted request. Dropping it reports the end of the request to the controller, however the request ends.
pub(super) struct AdmittedRequest {
    node_state: Rc<NodeState>,
    /// The number under which the controller knows the request.
    pub(super) number: u64,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let (now, number) = (self.node_state.now(), self.number);
        self.node_state.gate.with_admission(|admission| admission.finish(now, number));
    }
}

/// A pending request. If it is dropped before its decision, its origin has abandoned it.
struct PendingRequest<'p> {
    node_state: &'p NodeState,
    number: u64,
    is_pending: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.is_pending {
            let (now, number) = (self.node_state.now(), self.number);
            self.node_state.gate.remove_pending(number);
            self.node_state.gate.with_admission(|admission| admission.abandon(now, number));
        }
    }
}

/// Returns how long a request may be pending at the gate.
pub(super) fn max_pending_time(latency_target: Duration) -> Duration {
    latency_target / PENDING_TIME_DIVISOR
}

/// Asks for a request's admission, and waits for the decision if the request is pending.
///
/// # Errors
/// The status to return to the origin.
pub(super) async fn admit(
    node_state: &Rc<NodeState>,
    delivery: &Delivery<'_>,
    attempt_id: &str,
) -> Result<AdmittedRequest, GateStatus> {
    let number = node_state.gate.take_number();
    let (forwarding, timeout) = (delivery.forwarding, delivery.timeout);
    let max_pending =
        max_pending_time(forwarding.latency_target).clamp(Duration::ZERO, timeout.max(Duration::ZERO));
    let request = AdmissionRequest {
        number,
        attempt_id: attempt_id.to_string(),
        expected_upstream: delivery.expected_upstream.map(str::to_string),
        service: forwarding.service.clone(),
        priority: forwarding.priority,
        is_idempotent: forwarding.is_idempotent,
        is_retry: forwarding.is_retry,
        latency_target: forwarding.latency_target,
        max_pending,
        timeout,
    };
    let now = node_state.now();
    let mut reply = node_state.gate.add_pending(number);
    match node_state.gate.with_admission(|admission| admission.admit(now, &request)) {
        Decision::Admitted => node_state.gate.remove_pending(number),
        Decision::Rejected { reason, retry_after } => {
            node_state.gate.remove_pending(number);
            count_rejection(node_state);
            if reason == Rejection::Evacuated {
                node_state.note_refused_by_evacuation(&forwarding.service);
            }
            return Err(gate_status(reason, retry_after));
        }
        Decision::Pending => {
            let mut pending = PendingRequest { node_state, number, is_pending: true };
            let decision = (&mut reply).await;
            pending.is_pending = false;
            match decision {
                Ok(Ok(())) => {}
                Ok(Err(status)) => {
                    count_rejection(node_state);
                    return Err(status);
                }
                Err(_) => return Err(GateStatus::Unavailable),
            }
        }
    }
    Ok(AdmittedRequest { node_state: node_state.clone(), number })
}
