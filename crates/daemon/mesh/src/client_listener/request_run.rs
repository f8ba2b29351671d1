//! Runs one request: carries out the decision module's steps and reports the outcomes of attempts to the module.
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

/// A request that fails within this time of its timeout counts as timed out.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

/// A request that is being served.
pub(super) struct RequestRun {
    /// The state of the process.
    pub(super) node_state: Rc<NodeState>,
    /// The balancer of the service that the request is sent to.
    pub(super) service_balancer: Rc<ServiceBalancer>,
    /// The head of the request.
    pub(super) head: Rc<RequestHead>,
    /// The body of the request.
    pub(super) body: Rc<BodyBuffer>,
    /// The name of the service.
    pub(super) service: String,
    /// The route of the request.
    pub(super) route: Route,
    /// The start of the request's time budget.
    pub(super) started: Instant,
    /// The time budget: a response is due this long after `started`.
    pub(super) timeout: Duration,
    /// The part of the budget that was spent before the request is sent.
    pub(super) spent_before: Duration,
    /// Whether the client has disconnected, and the effect of that.
    pub(super) departure: Rc<ClientDeparture>,
}

/// An attempt that the module has requested.
struct PlannedAttempt {
    number: u32,
    gate: SocketAddr,
    upstream: String,
}

/// Attempts that have not ended, by number. They are aborted when the request ends.
#[derive(Default)]
struct RunningAttempts(BTreeMap<u32, AbortHandle>);

impl Drop for RunningAttempts {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

/// The state of the attempts of a request.
#[derive(Default)]
struct Progress {
    /// Attempts that have ended, by number.
    results: BTreeMap<u32, AttemptResult>,
    /// Attempts that wait for another to end, since a streamed body can be sent only to one upstream at a time.
    postponed: Vec<PlannedAttempt>,
    /// Attempts that have not ended.
    running: RunningAttempts,
}

/// What to do after an event of a request.
enum Next {
    /// Continue with the request.
    Continue,
    /// Send this response to the client.
    Respond(ClientResponse),
    /// Send this attempt's response to the client while it is being received.
    Forward(ClientResponse, Attempt),
}

impl RequestRun {
    /// Carries out the module's steps until there is a response.
    pub(super) async fn serve(self) -> ClientResponse {
        let (sender, mut events) = unbounded_channel();
        let time_left = self.timeout - self.spent_before;
        let Ok(request) = self.service_balancer.submit(&self.route.name, time_left, sender.clone()) else {
            return ClientResponse::not_run(503, "too much is open here", None);
        };
        let mut progress = Progress::default();
        loop {
            // This function holds a sender as well, so the channel never closes.
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
        if self.departure.has_disconnected() && report != Report::Served {
            // Not reported to the module: an attempt that a gate dropped because the client had disconnected is no
            // failure of the upstream.
            progress.results.insert(attempt.number, result);
            return match progress.running.0.is_empty() {
                true => Next::Respond(self.give_up(progress, None)),
                false => Next::Continue,
            };
        }
        let has_remainder = result.response.as_ref().is_some_and(|received| received.remainder.is_some());
        if report == Report::Served && has_remainder {
            // The response is too large to be buffered, so it can't be replaced by another one and is forwarded while
            // it is being received.
            self.service_balancer.stream_started(attempt);
            let mut response = forwarded_or_lost(result);
            if let Some(remainder) = &mut response.remainder {
                remainder.deadline = Some(self.started + self.timeout.to_std());
            }
            return Next::Forward(response, attempt);
        }
        progress.results.insert(attempt.number, result);
        self.service_balancer.report(attempt, report);
        if self.body.is_streamed() && progress.running.0.is_empty() && events.is_empty() {
            // The module expects the outcome of an attempt that was postponed.
            match progress.postponed.pop().filter(|_| !self.body.is_consumed()) {
                Some(planned) => self.start_attempt(progress, planned, sender),
                None => return Next::Respond(self.give_up(progress, None)),
            }
        }
        Next::Continue
    }

    /// Carries out a step of the module.
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
                if self.departure.has_disconnected() {
                    // No further attempt is started once the client has disconnected.
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

    /// Returns the final response to a request that failed: an upstream's own response if there is one, else a
    /// guarantee that the request has not run if that is certain. An attempt that has not ended may still run.
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

    /// Sends an attempt in a task of its own, which returns the outcome as an event.
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

/// Returns the client's response for an attempt.
fn forwarded_or_lost(result: AttemptResult) -> ClientResponse {
    result.response.map_or_else(|| ClientResponse::own(502, "lost"), ClientResponse::forwarded)
}
