//! One request on its way: what the module says is done, and what its attempts bring is told to the module.
use super::attempt::go;
use super::reply::{passed, Flow, Reply};
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus};
use crate::node_state::NodeState;
use crate::peer_connection::ExchangeOutcome;
use crate::service_balancer::{RequestEvent, ServiceBalancer};
use crate::wire::{RequestHead, Response};
use silvercross_facade::{Attempt, Report, Step};
use silvercross_mesh_config::{Route, RouteKind};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// One request on its way.
pub(super) struct Run {
    pub(super) node_state: Rc<NodeState>,
    pub(super) service_balancer: Rc<ServiceBalancer>,
    pub(super) asked: Rc<RequestHead>,
    pub(super) body_buffer: Rc<BodyBuffer>,
    pub(super) service: String,
    pub(super) id: String,
    pub(super) route: Route,
    pub(super) started: Instant,
    pub(super) budget: i64,
    pub(super) waited: i64,
}

/// What an attempt brought.
struct Brought {
    answer: Option<Response>,
    /// It may have run.
    arrived: bool,
    /// It reached, or may have reached, its upstream.
    met: bool,
    /// When the gate said to come back.
    after: Option<i64>,
    /// For the log.
    how: &'static str,
}

impl Brought {
    /// No answer came.
    fn nothing(arrived: bool, how: &'static str) -> Self {
        Brought { answer: None, arrived, met: arrived, after: None, how }
    }
}

/// Attempts are called off with their request.
#[derive(Default)]
struct Out(BTreeMap<u32, AbortHandle>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

/// How far a request has come.
#[derive(Default)]
struct Progress {
    /// What its attempts brought, by their numbers.
    brought: BTreeMap<u32, Brought>,
    /// Copies that had to wait, as a body that is still coming goes one way at a time.
    behind: Vec<(u32, SocketAddr, String)>,
    /// Attempts that have not ended.
    out: Out,
}

/// What comes after one thing that happened to a request.
enum Next {
    /// It goes on.
    More,
    /// Its client is answered.
    Response(Reply),
    /// Its client gets this attempt's answer as it comes.
    Pass(Reply, Attempt),
}

impl Run {
    /// Send it as the module says, until there is an answer.
    pub(super) async fn serve(self) -> Reply {
        let (request_event, mut inbox) = unbounded_channel();
        let Some(ticket) = self.service_balancer.take(
            &self.route.name,
            self.budget - self.waited,
            (request_event.clone(), &mut inbox),
        ) else {
            return Reply::promise(503, "too much is open here", None);
        };
        let mut progress = Progress::default();
        loop {
            // The sender is ours too, so the box never ends.
            let Some(mail_in) = inbox.recv().await else { return Reply::own(502, "lost") };
            let next = match mail_in {
                RequestEvent::Ended(number, came) => {
                    let attempt = Attempt { request: ticket.handle, number };
                    self.ended(&mut progress, attempt, came, &request_event, &inbox)
                }
                RequestEvent::Step(step) => self.step(&mut progress, step, &request_event),
            };
            match next {
                Next::More => {}
                Next::Response(reply) => return reply,
                Next::Pass(mut reply, attempt) => {
                    reply.flow = Some(Flow { ticket, attempt });
                    return reply;
                }
            }
        }
    }

    /// An attempt has ended.
    fn ended(
        &self,
        progress: &mut Progress,
        attempt: Attempt,
        came: ExchangeOutcome,
        request_event: &UnboundedSender<RequestEvent>,
        inbox: &UnboundedReceiver<RequestEvent>,
    ) -> Next {
        let Progress { brought, behind, out } = progress;
        let number = attempt.number;
        if out.0.remove(&number).is_none() {
            return Next::More;
        }
        let (report, what) = judge(came);
        if report == Report::Served && what.answer.as_ref().is_some_and(|a| a.tail.is_some()) {
            // So much has come that no other answer can be had: it goes on as it comes.
            self.service_balancer.begun(attempt);
            let mut reply = what.answer.map_or_else(|| Reply::own(502, "lost"), passed);
            let left = Duration::from_micros(self.budget.max(0) as u64);
            reply.tail.iter_mut().for_each(|t| t.until = Some(self.started + left));
            return Next::Pass(reply, attempt);
        }
        brought.insert(number, what);
        self.service_balancer.report(attempt, report);
        if self.body_buffer.rest.is_some() && out.0.is_empty() && inbox.is_empty() {
            // The module awaits a copy that could not go out so far.
            match behind.pop().filter(|_| !self.body_buffer.spent()) {
                Some((number, to, name)) => {
                    let further = brought.values().any(|b| b.met);
                    let task = self.attempt(number, to, name, further, request_event.clone());
                    out.0.insert(number, task);
                }
                None => return Next::Response(self.given_up(std::mem::take(brought), None, false)),
            }
        }
        Next::More
    }

    /// Do what the module says.
    fn step(
        &self,
        progress: &mut Progress,
        step: Step<()>,
        request_event: &UnboundedSender<RequestEvent>,
    ) -> Next {
        let Progress { brought, behind, out } = progress;
        let open = !out.0.is_empty();
        let reply = match step {
            Step::Send { attempt, upstream, to, .. } => {
                let further = brought.values().any(|b| b.met) || open;
                let name = self.service_balancer.name_of(upstream);
                if self.body_buffer.rest.is_some() && open {
                    behind.push((attempt.number, to, name));
                    return Next::More;
                }
                if !self.body_buffer.spent() {
                    let task = self.attempt(attempt.number, to, name, further, request_event.clone());
                    out.0.insert(attempt.number, task);
                    return Next::More;
                }
                self.given_up(std::mem::take(brought), None, open)
            }
            Step::Cancel { attempt } => {
                behind.retain(|b| b.0 != attempt.number);
                if let Some(task) = out.0.remove(&attempt.number) {
                    task.abort();
                    brought.insert(attempt.number, Brought::nothing(true, "called off"));
                }
                return Next::More;
            }
            Step::Serve { attempt } => {
                let answer = brought.remove(&attempt.number).and_then(|b| b.answer);
                answer.map_or_else(|| Reply::own(502, "lost"), passed)
            }
            Step::Refuse { retry_after, .. } => self.given_up(std::mem::take(brought), retry_after, open),
            Step::Fail { .. } => self.given_up(std::mem::take(brought), None, open),
            _ => return Next::More,
        };
        Next::Response(reply)
    }

    /// The last word on a request that was given up: an upstream's own where there is one, a promise where nothing ran. `out`: an
    /// attempt has not ended, so it may still run.
    fn given_up(&self, mut brought: BTreeMap<u32, Brought>, retry_after: Option<i64>, out: bool) -> Reply {
        let counters = &self.node_state.counters;
        slog::debug!(self.node_state.log, "given up"; "route" => &self.route.name, "service" => &self.service,
            "after" => self.started.elapsed().as_millis() as u64, "budget" => self.budget / 1000,
            "attempts" => brought.values().map(|b| b.how).collect::<Vec<_>>().join(" "));
        let last = brought.values_mut().rev().find(|b| b.answer.is_some());
        if let Some(answer) = last.and_then(|b| b.answer.take()) {
            return passed(answer);
        }
        if !out && !brought.values().any(|b| b.arrived) {
            counters.refused_requests.set(counters.refused_requests.get() + 1);
            let told = brought.values().filter_map(|b| b.after).min();
            return Reply::promise(503, "no upstream can take it now", told.or(retry_after));
        }
        counters.failed_requests.set(counters.failed_requests.get() + 1);
        if self.started.elapsed().as_micros() as i64 + 50_000 >= self.budget {
            return Reply::own(504, "no answer in time");
        }
        Reply::own(502, "the upstream's answer was lost")
    }

    fn attempt(
        &self,
        number: u32,
        to: SocketAddr,
        name: String,
        further: bool,
        request_event: UnboundedSender<RequestEvent>,
    ) -> AbortHandle {
        let (node_state, asked, body_buffer) =
            (self.node_state.clone(), self.asked.clone(), self.body_buffer.clone());
        let (id, spent) = (self.id.clone(), self.started.elapsed().as_micros() as i64);
        let bill = ForwardingHeaders {
            version: forwarding_headers::VERSION,
            service: self.service.clone(),
            further,
            priority: self.route.priority,
            repeatable: self.route.kind == RouteKind::Safe,
            aim: self.route.latency_target - spent,
            ticket: if self.route.kind == RouteKind::Safe {
                0
            } else {
                self.node_state.next_attempt_number()
            },
            asks: false,
        };
        let left = self.budget - spent;
        let task = tokio::task::spawn_local(async move {
            let came = go(&node_state, &asked, &body_buffer, &id, &bill, left, to, &name).await;
            let _ = request_event.send(RequestEvent::Ended(number, came));
        });
        task.abort_handle()
    }
}

/// An exchange's end, as the module hears it, and what is kept of it.
fn judge(came: ExchangeOutcome) -> (Report, Brought) {
    let answer = match came {
        ExchangeOutcome::NotConnected => {
            return (Report::NotConnected, Brought::nothing(false, "no connection"))
        }
        ExchangeOutcome::Broken => return (Report::Broken, Brought::nothing(true, "broken")),
        ExchangeOutcome::Response(answer) => answer,
    };
    if let Some(text) = &answer.word {
        let (report, arrived, after, how) = match forwarding_headers::read::<GateStatus>(text) {
            Some(GateStatus::Absent) => (Report::NotConnected, false, None, "absent"),
            Some(GateStatus::Full(after)) => {
                (Report::TurnedAway, false, Some(after).filter(|a| *a > 0), "full")
            }
            Some(GateStatus::Shut) => (Report::TurnedAway, false, None, "shut"),
            Some(GateStatus::Begun | GateStatus::Unseen) | None => {
                (Report::Broken, true, None, "begun, no answer")
            }
        };
        return (report, Brought { answer: None, arrived, met: arrived, after, how });
    }
    if answer.not_delivered || answer.status == 421 {
        // It did not run, and yet it arrived: what is sent after it is a further try.
        let how = "not delivered";
        return (Report::TurnedAway, Brought { answer: None, arrived: false, met: true, after: None, how });
    }
    let report = if answer.status >= 500 { Report::Error } else { Report::Served };
    let how = if report == Report::Error { "error" } else { "answer" };
    (report, Brought { answer: Some(*answer), arrived: true, met: true, after: None, how })
}
