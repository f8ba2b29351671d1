//! Members' requests on the data path: whose a request is, and how long it waits before it is sent.
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

/// What becomes of a request before it is sent.
pub(crate) enum ThrottleDecision {
    /// It goes on.
    Proceed {
        /// The step that holds for it to its end, if it is a member's on trial.
        step: Option<ThrottleStep>,
        /// How long it has waited.
        delayed: Duration,
    },
    /// It has too little time left.
    Reject {
        /// The step in force.
        step: ThrottleStep,
        /// When to come back.
        retry_after: Duration,
    },
    /// It names no member, and such are rejected.
    UnknownMember,
}

impl ThrottleDecision {
    fn proceed_at_once(step: Option<ThrottleStep>) -> Self {
        ThrottleDecision::Proceed { step, delayed: Duration::ZERO }
    }
}

/// Takes a request out of those that wait, however its waiting ends.
struct DelayedRequest<'m> {
    members: &'m MemberThrottle,
    ticket: DelayTicket,
}

impl Drop for DelayedRequest<'_> {
    fn drop(&mut self) {
        self.members.delayed.borrow_mut().cancel(self.ticket);
    }
}

/// Find out whose a request is, and have it wait. Its body of `bytes` was taken, but it was sent nowhere; `budget` is the time
/// that its client allows.
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
    // It goes on when its time is up, or earlier when the process stops.
    let _ = tokio::time::timeout(wait.to_std(), released).await;
    drop(delayed_request);
    let delayed = (node_state.now() - from).max(Duration::ZERO);
    ThrottleDecision::Proceed { step: Some(step), delayed }
}
