//! One request on its way: what the module says is done, and how its attempts end is reported to the module.
use super::attempt;
use super::attempt_result::{evaluate, AttemptResult, EvaluatedAttempt};
use super::client_departure::ClientDeparture;
use super::client_response::{ClientResponse, ForwardedAttempt};
use super::outgoing_attempt::OutgoingAttempt;
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::{ForwardingHeaders, ENCODING_VERSION};
use crate::node_state::NodeState;
use crate::peer_connection::ExchangeOutcome;
use crate::service_balancer::{RequestEvent, ServiceBalancer};
use crate::wire::RequestHead;
use silvercross_facade::{Attempt, Report, Step};
use silvercross_mesh_config::{Route, RouteKind};
use silvercross_time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A request that fails this close to its timeout counts as timed out.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

/// One request on its way.
pub(super) struct RequestRun {
    /// The process.
    pub(super) node_state: Rc<NodeState>,
    /// The service that it is sent to.
    pub(super) service_balancer: Rc<ServiceBalancer>,
    /// Its head.
    pub(super) head: Rc<RequestHead>,
    /// Its body.
    pub(super) body: Rc<BodyBuffer>,
    /// The service's name.
    pub(super) service: String,
    /// Its route.
    pub(super) route: Route,
    /// When it was taken up.
    pub(super) started: Instant,
    /// It is answered within this from `started` on.
    pub(super) timeout: Duration,
    /// What of that has passed before it is sent.
    pub(super) spent_before: Duration,
    /// Whether its client has left.
    pub(super) departure: Rc<ClientDeparture>,
}

/// An attempt that the module wants sent.
struct PlannedAttempt {
    number: u32,
    gate: SocketAddr,
    upstream: String,
}

/// Attempts that have not ended, by their numbers; cancelled with their request.
#[derive(Default)]
struct RunningAttempts(BTreeMap<u32, AbortHandle>);

impl Drop for RunningAttempts {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

/// How far a request has come.
#[derive(Default)]
struct Progress {
    /// Attempts that have ended, by their numbers.
    results: BTreeMap<u32, AttemptResult>,
    /// Attempts that have to wait, as a streamed body goes one way at a time.
    postponed: Vec<PlannedAttempt>,
    /// Attempts that have not ended.
    running: RunningAttempts,
}

/// What follows from one event of a request.
enum Next {
    /// It goes on.
    Continue,
    /// Its client gets this response.
    Respond(ClientResponse),
    /// Its client gets this attempt's response as it comes.
    Forward(ClientResponse, Attempt),
}

impl RequestRun {
    /// Send the request as the module says, until there is a response.
    pub(super) async fn serve(self) -> ClientResponse {
        let (sender, mut events) = unbounded_channel();
        let time_left = self.timeout - self.spent_before;
        let Ok(request) = self.service_balancer.submit(&self.route.name, time_left, sender.clone()) else {
            return ClientResponse::not_run(503, "too much is open here", None);
        };
        let mut progress = Progress::default();
        loop {
            // The sender is held here too, so the channel never closes.
            let Some(event) = events.recv().await else { return ClientResponse::own(502, "lost") };
            let next = match event {
                RequestEvent::AttemptEnded { number, outcome } => {
                    let attempt = Attempt { request: request.handle, number };
                    self.attempt_ended(&mut progress, attempt, outcome, &sender, &events)
                }
                RequestEvent::Step(step) => self.take_step(&mut progress, step, &sender),
            };
            match next {
                Next::Continue => {}
                Next::Respond(response) => return response,
                Next::Forward(mut response, attempt) => {
                    response.forwarded_attempt = Some(ForwardedAttempt { request, attempt });
                    return response;
                }
            }
        }
    }

    fn attempt_ended(
        &self,
        progress: &mut Progress,
        attempt: Attempt,
        outcome: ExchangeOutcome,
        sender: &UnboundedSender<RequestEvent>,
        events: &UnboundedReceiver<RequestEvent>,
    ) -> Next {
        if progress.running.0.remove(&attempt.number).is_none() {
            return Next::Continue;
        }
        let EvaluatedAttempt { report, result } = evaluate(outcome);
        if self.departure.has_left() && report != Report::Served {
            // The module is not told: what a gate dropped as its client has left is nobody's failure.
            progress.results.insert(attempt.number, result);
            return match progress.running.0.is_empty() {
                true => Next::Respond(self.give_up(progress, None)),
                false => Next::Continue,
            };
        }
        let has_remainder = result.response.as_ref().is_some_and(|received| received.remainder.is_some());
        if report == Report::Served && has_remainder {
            // So much has come that no other response can be had: it is forwarded as it comes.
            self.service_balancer.begun(attempt);
            let mut response = forwarded_or_lost(result);
            if let Some(remainder) = &mut response.remainder {
                remainder.deadline = Some(self.started + self.timeout.to_std());
            }
            return Next::Forward(response, attempt);
        }
        progress.results.insert(attempt.number, result);
        self.service_balancer.report(attempt, report);
        if self.body.is_streamed() && progress.running.0.is_empty() && events.is_empty() {
            // The module waits for an attempt that could not be sent so far.
            match progress.postponed.pop().filter(|_| !self.body.is_consumed()) {
                Some(planned) => self.start_attempt(progress, planned, sender),
                None => return Next::Respond(self.give_up(progress, None)),
            }
        }
        Next::Continue
    }

    /// Do what the module says.
    fn take_step(
        &self,
        progress: &mut Progress,
        step: Step<()>,
        sender: &UnboundedSender<RequestEvent>,
    ) -> Next {
        let response = match step {
            Step::Send { attempt, upstream, to, .. } => {
                let upstream = self.service_balancer.name_of(upstream);
                let planned = PlannedAttempt { number: attempt.number, gate: to, upstream };
                if self.departure.has_left() {
                    // Nothing more is begun.
                    return match progress.running.0.is_empty() {
                        true => Next::Respond(self.give_up(progress, None)),
                        false => Next::Continue,
                    };
                }
                if self.body.is_streamed() && !progress.running.0.is_empty() {
                    progress.postponed.push(planned);
                    return Next::Continue;
                }
                if !self.body.is_consumed() {
                    self.start_attempt(progress, planned, sender);
                    return Next::Continue;
                }
                self.give_up(progress, None)
            }
            Step::Cancel { attempt } => {
                progress.postponed.retain(|planned| planned.number != attempt.number);
                if let Some(task) = progress.running.0.remove(&attempt.number) {
                    task.abort();
                    let result = AttemptResult::without_response(true, "cancelled");
                    progress.results.insert(attempt.number, result);
                }
                return Next::Continue;
            }
            Step::Serve { attempt } => match progress.results.remove(&attempt.number) {
                Some(result) => forwarded_or_lost(result),
                None => ClientResponse::own(502, "lost"),
            },
            Step::Refuse { retry_after, .. } => {
                self.give_up(progress, retry_after.map(Duration::from_micros))
            }
            Step::Fail { .. } => self.give_up(progress, None),
            _ => return Next::Continue,
        };
        Next::Respond(response)
    }

    /// The last response to a request that was given up: an upstream's own where there is one, else a promise that it has
    /// not run where that is certain. An attempt that has not ended may still run.
    fn give_up(&self, progress: &mut Progress, retry_after: Option<Duration>) -> ClientResponse {
        let counters = &self.node_state.counters;
        let mut results = std::mem::take(&mut progress.results);
        slog::debug!(self.node_state.log, "request given up"; "route" => &self.route.name,
            "service" => &self.service, "elapsed_ms" => self.started.elapsed().as_millis() as u64,
            "timeout_ms" => self.timeout.as_micros() / 1000,
            "attempts" => results.values().map(|result| result.description).collect::<Vec<_>>().join(" "));
        if let Some(received) = results.values_mut().rev().find_map(|result| result.response.take()) {
            return ClientResponse::forwarded(received);
        }
        if progress.running.0.is_empty() && !results.values().any(|result| result.may_have_run) {
            counters.refused_requests.set(counters.refused_requests.get() + 1);
            let stated = results.values().filter_map(|result| result.retry_after).min();
            return ClientResponse::not_run(503, "no upstream can take it now", stated.or(retry_after));
        }
        counters.failed_requests.set(counters.failed_requests.get() + 1);
        if Duration::from(self.started.elapsed()) + TIMEOUT_MARGIN >= self.timeout {
            return ClientResponse::own(504, "no answer in time");
        }
        ClientResponse::own(502, "the upstream's answer was lost")
    }

    /// Send an attempt in a task of its own, which sends its outcome back.
    fn start_attempt(
        &self,
        progress: &mut Progress,
        planned: PlannedAttempt,
        sender: &UnboundedSender<RequestEvent>,
    ) {
        let is_retry =
            progress.results.values().any(|result| result.reached_upstream) || !progress.running.0.is_empty();
        self.departure.attempt_started(self.route.kind == RouteKind::Safe);
        let number = planned.number;
        let outgoing = self.outgoing_attempt(planned, is_retry);
        let (node_state, sender) = (self.node_state.clone(), sender.clone());
        let task = tokio::task::spawn_local(async move {
            let outcome = attempt::send(&node_state, &outgoing).await;
            let _ = sender.send(RequestEvent::AttemptEnded { number, outcome });
        });
        progress.running.0.insert(number, task.abort_handle());
    }

    fn outgoing_attempt(&self, planned: PlannedAttempt, is_retry: bool) -> OutgoingAttempt {
        let elapsed = Duration::from(self.started.elapsed());
        let is_idempotent = self.route.kind == RouteKind::Safe;
        let forwarding = ForwardingHeaders {
            version: ENCODING_VERSION,
            service: self.service.clone(),
            is_retry,
            priority: self.route.priority,
            is_idempotent,
            latency_target: self.route.latency_target - elapsed,
            replay_key: if is_idempotent { 0 } else { self.node_state.next_attempt_number() },
            is_query: false,
        };
        OutgoingAttempt {
            head: self.head.clone(),
            body: self.body.clone(),
            forwarding,
            time_left: self.timeout - elapsed,
            gate: planned.gate,
            upstream: planned.upstream,
            cancellation: (!is_idempotent).then(|| self.departure.token().clone()),
        }
    }
}

/// An attempt's response for the client.
fn forwarded_or_lost(result: AttemptResult) -> ClientResponse {
    result.response.map_or_else(|| ClientResponse::own(502, "lost"), ClientResponse::forwarded)
}
