//! Determines the service of a request: finds its route, applies the throttling of its member and draws a service
//! from the route's split.
use super::client_departure::ClientDeparture;
use super::client_response::ClientResponse;
use super::request_run::RequestRun;
use crate::body_buffer::BodyBuffer;
use crate::member_throttle::{self, ThrottleDecision};
use crate::node_state::NodeState;
use crate::wire::RequestHead;
use silvercross_mesh_config::Route;
use silvercross_time::Duration;
use std::rc::Rc;
use tokio::time::Instant;

/// A request that arrives before the first configuration waits for this share of its timeout, as a divisor, but at
/// most for [`MAX_CONFIGURATION_WAIT`].
const CONFIGURATION_WAIT_DIVISOR: i64 = 25;
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(200);
/// A request whose service has no upstream waits for this share of its latency target, as a divisor.
const UPSTREAM_WAIT_DIVISOR: i64 = 4;

/// How long a request may take, and the part of that spent before it is sent.
#[derive(Clone, Copy)]
struct TimeBudget {
    total: Duration,
    /// The delay imposed by throttling.
    spent: Duration,
}

/// Finds the route and the service of a request and has it served.
pub(super) async fn serve(
    node_state: &Rc<NodeState>,
    head: &RequestHead,
    body: &Rc<BodyBuffer>,
    departure: &Rc<ClientDeparture>,
) -> ClientResponse {
    // A process that has just started receives the configuration and the upstreams within moments. Waiting for them
    // is cheaper than a client's retry, as long as it takes only a small part of the client's timeout or the latency
    // target.
    let max_wait = head.timeout.map_or(Duration::ZERO, |timeout| timeout / CONFIGURATION_WAIT_DIVISOR);
    let max_wait = max_wait.min(MAX_CONFIGURATION_WAIT);
    node_state.wait_until(max_wait, || node_state.configured()).await;
    let table = node_state.routing_table();
    if !node_state.configured() {
        return ClientResponse::not_run(503, "no configuration has come yet", None);
    }
    let Some(route) = table.find(&head.host, &head.target) else {
        node_state.note_unrouted(&head.host, &head.target);
        return ClientResponse::own(404, "no route");
    };
    let Some(attempt_id) = &head.attempt_id else {
        return ClientResponse::own(400, "a request needs an Attempt-Id");
    };
    let route_timeout = route.deadline;
    let mut budget = TimeBudget {
        total: head.timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout)),
        spent: Duration::ZERO,
    };
    if !node_state.accepts_request(budget.total) {
        return ClientResponse::not_run(503, "this sidecar stops before the request could be answered", None);
    }
    let mut step = None;
    if node_state.member_throttle.is_enabled() {
        let (total, body_bytes) = (budget.total, body.prefix().len());
        match member_throttle::throttle_request(node_state, head, route, attempt_id, total, body_bytes).await
        {
            ThrottleDecision::Proceed { step: member_step, delayed } => {
                (step, budget.spent) = (member_step, delayed);
            }
            ThrottleDecision::Reject { step, retry_after } => {
                let message = "a lapsed trial's request has too little time";
                let mut response = ClientResponse::not_run(429, message, Some(retry_after));
                member_throttle::set_step_header(&mut response.lines, Some(step));
                return response;
            }
            ThrottleDecision::UnknownMember => {
                return ClientResponse::own(403, "the request names no member")
            }
        }
    }
    let mut response = send(node_state, head, body, route, budget, departure).await;
    if node_state.member_throttle.is_enabled() {
        member_throttle::set_step_header(&mut response.lines, step);
    }
    response
}

/// Draws the service and has the request served.
async fn send(
    node_state: &Rc<NodeState>,
    head: &RequestHead,
    body: &Rc<BodyBuffer>,
    route: &Route,
    budget: TimeBudget,
    departure: &Rc<ClientDeparture>,
) -> ClientResponse {
    let service = node_state.pick_by_weight(&route.split);
    let has_upstreams =
        || node_state.service_balancer(&service).is_some_and(|balancer| balancer.has_upstreams());
    let max_wait = route.latency_target / UPSTREAM_WAIT_DIVISOR;
    node_state.wait_until(max_wait, has_upstreams).await;
    let Some(service_balancer) = node_state.service_balancer(&service) else {
        return ClientResponse::not_run(503, "no upstream of this service is known", None);
    };
    if budget.total <= budget.spent {
        return ClientResponse::not_run(503, "its time is up", None);
    }
    let run = RequestRun {
        node_state: node_state.clone(),
        service_balancer,
        head: Rc::new(head.clone()),
        body: body.clone(),
        service,
        route: route.clone(),
        started: before_now(budget.spent),
        timeout: budget.total,
        spent_before: budget.spent,
        departure: departure.clone(),
    };
    run.serve().await
}

/// Returns the instant `span` before now.
fn before_now(span: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(span.to_std()).unwrap_or(now)
}
