//! Clients on each side, and a look at each node's step.
use super::model::{HEADER, KEY, MEMBER};
use super::observation::{LapseStep, Order, OrderEnd, Requester, Sample, StepSample, Watch};
use crate::checker::{is_rejection, Attempt};
use crate::client::{Client, Outcome, RequestKind};
use crate::identifiers::attempt_id;
use crate::testbed::{get_json, Testbed};
use crate::traffic::{probe_readiness, request_body};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Nodes are asked for their steps so often.
const STEP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts of an order.
const MAX_ORDER_ATTEMPTS: usize = 12;
/// Every n-th order is an upload.
const UPLOAD_EVERY: usize = 8;
/// The pause after an attempt for which there was no connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// The pause after a rejection that gives none, in seconds.
const DEFAULT_RETRY_AFTER_S: f64 = 0.05;
/// The shortest and the longest pause after a rejection, in seconds.
const RETRY_AFTER_RANGE_S: (f64, f64) = (0.02, 0.5);
/// The clients of each side.
const REQUESTERS: [Requester; 5] = [
    Requester::MemberRead,
    Requester::MemberRead,
    Requester::MemberRead,
    Requester::OtherRead,
    Requester::MemberOrder,
];

/// The path of the members' list; a name of the wire.
const MEMBERS_PATH: &str = "/-/Members.List";

/// Tasks that end with it.
pub(crate) struct Tasks(pub(crate) Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// What clients know of the mesh.
#[derive(Clone)]
struct Sides {
    outbound: Vec<SocketAddr>,
    senders: Vec<String>,
    services: Vec<String>,
}

/// What a client does after an attempt.
enum Next {
    Served,
    /// Again elsewhere, after a pause: it did not run.
    Retry(Duration),
    /// Again elsewhere if it may run twice.
    RetryIfSafe,
}

fn next(outcome: &Outcome) -> Next {
    match outcome {
        Outcome::Answer(response) if (200..300).contains(&response.status) => Next::Served,
        Outcome::Answer(response) if is_rejection(response.status) => {
            let (least, most) = RETRY_AFTER_RANGE_S;
            let pause_s = response.retry_after_s.unwrap_or(DEFAULT_RETRY_AFTER_S).clamp(least, most);
            Next::Retry(Duration::from_secs_f64(pause_s))
        }
        Outcome::NotSent => Next::Retry(RECONNECT_PAUSE),
        Outcome::Answer(_) | Outcome::Lost => Next::RetryIfSafe,
    }
}

fn is_slowed(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(response) => response.step.as_ref().is_some_and(|step| !step.starts_with("0/")),
        _ => false,
    }
}

/// A client that begins at its home side and goes elsewhere with what did not run there.
struct RoamingClient {
    watch: Arc<Watch>,
    sides: Sides,
    connections: Vec<Client>,
    home: usize,
    requester: Requester,
}

impl RoamingClient {
    fn new(watch: &Arc<Watch>, sides: &Sides, home: usize, requester: Requester) -> Self {
        let connect = |to: &SocketAddr| match requester {
            Requester::OtherRead => Client::new(*to),
            Requester::MemberRead | Requester::MemberOrder => Client::new(*to).with_header(HEADER, KEY),
        };
        let connections = sides.outbound.iter().map(connect).collect();
        RoamingClient { watch: watch.clone(), sides: sides.clone(), connections, home, requester }
    }

    async fn run(mut self) {
        for number in 0.. {
            if self.watch.stop.load(Relaxed) {
                return;
            }
            let kind = match self.requester {
                Requester::MemberOrder if number % UPLOAD_EVERY == UPLOAD_EVERY - 1 => RequestKind::Upload,
                Requester::MemberOrder => RequestKind::Unsafe,
                Requester::MemberRead | Requester::OtherRead => RequestKind::Safe,
            };
            self.order(kind).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// One attempt at a side, timed and written down.
    async fn attempt(&mut self, side: usize, kind: RequestKind, target: &str, body: &[u8]) -> (String, Next) {
        let id = attempt_id();
        let (at_s, began) = (self.watch.now_s(), Instant::now());
        let outcome = self.connections[side].send(target, &id, body).await;
        let took_ms = began.elapsed().as_secs_f64() * 1e3;
        let next = next(&outcome);
        let (is_served, is_slowed) = (matches!(next, Next::Served), is_slowed(&outcome));
        let sample = Sample { at_s, side, took_ms, requester: self.requester, is_served, is_slowed };
        let (target, body, sender) = (target.to_string(), body.to_vec(), self.sides.senders[side].clone());
        let attempt = Attempt { id: id.clone(), kind, target, sender, body, outcome };
        self.watch.with(|seen| {
            seen.samples.push(sample);
            seen.attempts.push(attempt);
        });
        (id, next)
    }

    /// Follow one order through its attempts, at one side after another where one was promised not to have run.
    async fn order(&mut self, kind: RequestKind) {
        let number = attempt_id();
        let services = &self.sides.services;
        let service = &services[usize::from(number.as_bytes()[0]) % services.len()];
        let target = format!("{}order", kind.path_prefix(service));
        let body = request_body(kind, &number);
        let (mut attempt_ids, mut end) = (Vec::new(), OrderEnd::NotPlaced);
        for try_number in 0..MAX_ORDER_ATTEMPTS {
            let side = (self.home + try_number) % self.connections.len();
            if self.watch.shut_sides[side].load(Relaxed) {
                continue;
            }
            let (id, next) = self.attempt(side, kind, &target, &body).await;
            attempt_ids.push(id);
            match next {
                Next::Served => end = OrderEnd::Served,
                Next::Retry(pause) => {
                    tokio::time::sleep(pause).await;
                    continue;
                }
                Next::RetryIfSafe if kind == RequestKind::Safe => continue,
                Next::RetryIfSafe => end = OrderEnd::Unknown,
            }
            break;
        }
        self.watch.with(|seen| seen.orders.push(Order { kind, attempt_ids, end }));
    }
}

/// The member's row in a node's list of members.
pub(crate) async fn member_row(control: SocketAddr) -> Option<Value> {
    let answer = get_json(control, MEMBERS_PATH).await;
    answer["members"].as_array().into_iter().flatten().find(|row| row["name"] == MEMBER).cloned()
}

/// Whether a node's list has any member.
pub(crate) async fn has_members(control: SocketAddr) -> bool {
    let answer = get_json(control, MEMBERS_PATH).await;
    answer["members"].as_array().is_some_and(|members| !members.is_empty())
}

async fn watch_steps(watch: Arc<Watch>, node: usize, control: SocketAddr) {
    loop {
        let row = member_row(control).await;
        let at_s = watch.now_s();
        if let Some(row) = row {
            let version = row["edition"].as_u64().unwrap_or(0);
            let step = row["step"].as_u64().and_then(|step| u32::try_from(step).ok()).unwrap_or(0);
            let sample = StepSample { at_s, node, step: LapseStep { version, step } };
            watch.with(|seen| seen.steps.push(sample));
        }
        tokio::time::sleep(STEP_POLL_INTERVAL).await;
    }
}

/// Start the clients of all sides.
pub(crate) fn start_clients(testbed: &Testbed, watch: &Arc<Watch>) -> Tasks {
    let mesh = &testbed.mesh;
    let sides = Sides {
        outbound: mesh.side_machines().map(|machine| mesh.outbound(machine)).collect(),
        senders: mesh.side_machines().map(|machine| mesh.machines[machine].service.clone()).collect(),
        services: testbed.services().to_vec(),
    };
    let mut tasks = Vec::new();
    for home in 0..sides.outbound.len() {
        for requester in REQUESTERS {
            tasks.push(tokio::spawn(RoamingClient::new(watch, &sides, home, requester).run()));
        }
    }
    Tasks(tasks)
}

/// Start looking at each side's readiness, as the platform does, and at each node's step.
pub(crate) fn start_looks(testbed: &Testbed, watch: &Arc<Watch>) -> Tasks {
    let mesh = &testbed.mesh;
    let mut tasks = Vec::new();
    for (side, machine) in mesh.side_machines().enumerate() {
        let (ready, watch) = (mesh.ready(machine), watch.clone());
        // Readiness is looked at for as long as the play is looked at, also while the clients end.
        let never = AtomicBool::new(false);
        tasks.push(tokio::spawn(async move {
            probe_readiness(ready, &watch.shut_sides[side], &never).await;
        }));
    }
    for node in 0..mesh.machines.len() {
        tasks.push(tokio::spawn(watch_steps(watch.clone(), node, mesh.control(node))));
    }
    Tasks(tasks)
}
