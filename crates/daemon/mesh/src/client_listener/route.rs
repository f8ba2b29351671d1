//! The way to a request's service: its route, what its member's standing says, and the service drawn from the split.
use super::reply::Reply;
use super::run::Run;
use crate::body_buffer::BodyBuffer;
use crate::member_throttle::{self, ThrottleDecision};
use crate::node_state::NodeState;
use crate::wire::RequestHead;
use silvercross_mesh_config::Route;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Without a configuration a request waits for this part of its deadline, and so long at most, in microseconds.
const WAIT_DEADLINE: i64 = 25;
const WAIT_MOST: i64 = 200_000;
/// Without an upstream it waits for this part of its aim.
const WAIT_AIM: i64 = 4;

/// Find the route and the service, and have the request served.
pub(super) async fn serve(
    node_state: &Rc<NodeState>,
    asked: &RequestHead,
    body_buffer: &Rc<BodyBuffer>,
) -> Reply {
    // A process that has just started knows the configuration and the upstreams within a moment: that is cheaper to wait for
    // than a client's second try. No longer than a part of what the client, or the aim, allows.
    let patience = asked.deadline.map_or(0, |d| d / WAIT_DEADLINE).min(WAIT_MOST);
    node_state.wait_until(patience, || node_state.configured()).await;
    let table = node_state.routing_table();
    if !node_state.configured() {
        return Reply::promise(503, "no configuration has come yet", None);
    }
    let Some(route) = table.find(&asked.host, &asked.target) else {
        return Reply::own(404, "no route");
    };
    let Some(id) = asked.id.clone() else { return Reply::own(400, "a request needs an Attempt-Id") };
    let budget = asked.deadline.map_or(route.deadline, |d| d.min(route.deadline));
    let (mut step, mut waited) = (None, 0);
    if node_state.member_throttle.is_enabled() {
        match member_throttle::throttle_request(
            node_state,
            asked,
            route,
            &id,
            budget,
            body_buffer.held().len(),
        )
        .await
        {
            ThrottleDecision::Proceed { standing, delayed } => (step, waited) = (standing, delayed),
            ThrottleDecision::Reject { standing, retry_after } => {
                let mut reply =
                    Reply::promise(429, "a lapsed trial's request has too little time", Some(retry_after));
                member_throttle::set_step_header(&mut reply.lines, Some(standing));
                return reply;
            }
            ThrottleDecision::UnknownMember => return Reply::own(403, "the request names no member"),
        }
    }
    let mut reply = send(node_state, asked, body_buffer, route, id, budget, waited).await;
    if node_state.member_throttle.is_enabled() {
        member_throttle::set_step_header(&mut reply.lines, step);
    }
    reply
}

/// Find the service and have the request served; it waited for so long already.
async fn send(
    node_state: &Rc<NodeState>,
    asked: &RequestHead,
    body_buffer: &Rc<BodyBuffer>,
    route: &Route,
    id: String,
    budget: i64,
    waited: i64,
) -> Reply {
    let service = node_state.draw_by_share(&route.split);
    node_state
        .wait_until(route.latency_target / WAIT_AIM, || {
            node_state.service_balancer(&service).is_some_and(|d| d.has_upstreams())
        })
        .await;
    let Some(service_balancer) = node_state.service_balancer(&service) else {
        return Reply::promise(503, "no upstream of this service is known", None);
    };
    if budget <= waited {
        return Reply::promise(503, "its time is up", None);
    }
    let run = Run {
        node_state: node_state.clone(),
        service_balancer,
        asked: Rc::new(asked.clone()),
        body_buffer: body_buffer.clone(),
        service,
        id,
        route: route.clone(),
        started: before(waited),
        budget,
        waited,
    };
    run.serve().await
}

/// The moment so many microseconds ago.
fn before(waited: i64) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_micros(waited.max(0) as u64)).unwrap_or(now)
}
