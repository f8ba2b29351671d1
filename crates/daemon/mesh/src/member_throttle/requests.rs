//! Throttles members' requests on the data path: identifies the member, and delays the request before it is sent.
use super::state::MemberThrottle;
use super::step_header::header_values;
use crate::node_state::NodeState;
use crate::wire::RequestHead;
use silvercross_mesh_config::Route;
use silvercross_throttle::{
    DelayDecision, DelayTicket, Plan, RequestIdentity, RequestThrottle, ThrottleStep,
};
use silvercross_time::Duration;
use tokio::sync::oneshot;

/// The outcome of throttling a request.
pub(crate) enum ThrottleDecision {
    /// The request proceeds.
    Proceed {
        /// The step that applies to the whole request, if its member is not on the full plan.
        step: Option<ThrottleStep>,
        /// How long the request was delayed.
        delayed: Duration,
    },
    /// The request has too little time left for its delay.
    Reject {
        /// The step in force.
        step: ThrottleStep,
        /// When to retry.
        retry_after: Duration,
    },
    /// The request identifies no member, and such requests are rejected.
    UnknownMember,
}

impl ThrottleDecision {
    fn proceed_at_once(step: Option<ThrottleStep>) -> Self {
        ThrottleDecision::Proceed { step, delayed: Duration::ZERO }
    }
}

/// Removes a request from the delay queue when it is dropped, however its delay ends.
struct DelayedRequest<'m> {
    members: &'m MemberThrottle,
    ticket: DelayTicket,
}

impl Drop for DelayedRequest<'_> {
    fn drop(&mut self) {
        self.members.delayed.borrow_mut().cancel(self.ticket);
    }
}

/// Identifies the member of a request and delays it. Its body of `bytes` was read, but no attempt was sent; `budget` is the
/// client's timeout.
pub(crate) async fn throttle_request(
    node_state: &NodeState,
    request: &RequestHead,
    route: &Route,
    id: &str,
    budget: Duration,
    bytes: usize,
) -> ThrottleDecision {
    let members = &node_state.member_throttle;
    let index = members.index();
    let Some(header) = index.header() else { return ThrottleDecision::proceed_at_once(None) };
    let member = match index.identify(header_values(&request.forwarded_lines, header)) {
        RequestIdentity::Member(member) if member.plan != Plan::Full => member,
        RequestIdentity::Member(_) | RequestIdentity::Anonymous => {
            return ThrottleDecision::proceed_at_once(None)
        }
        RequestIdentity::Reject => return ThrottleDecision::UnknownMember,
    };
    let from = node_state.now();
    let member_step = members.lapses.borrow().status(from, member).throttle_step;
    let (kind, target) = (route.kind, route.latency_target);
    let throttle = RequestThrottle::at_head(member, member_step, kind, id.as_bytes(), target, budget);
    let step = throttle.throttle_step();
    let wait = match throttle.decision() {
        DelayDecision::Forward => return ThrottleDecision::proceed_at_once(Some(step)),
        DelayDecision::Reject { retry_after } => {
            members.rejected.set(members.rejected.get() + 1);
            return ThrottleDecision::Reject { step, retry_after };
        }
        DelayDecision::Delay(wait) => wait,
    };
    let (release, released) = oneshot::channel();
    let queued = members.delayed.borrow_mut().push(from, wait, bytes, release);
    let Ok(ticket) = queued else { return ThrottleDecision::proceed_at_once(Some(step)) };
    let delayed_request = DelayedRequest { members, ticket };
    let tenth = (step.step * 10).div_ceil(step.total_steps.max(1)).min(10) as usize;
    let count = &members.delays_by_tenth[tenth];
    count.set(count.get() + 1);
    // The request proceeds when its delay has passed, or earlier when the process stops.
    let _ = tokio::time::timeout(wait.to_std(), released).await;
    drop(delayed_request);
    let delayed = (node_state.now() - from).max(Duration::ZERO);
    ThrottleDecision::Proceed { step: Some(step), delayed }
}
