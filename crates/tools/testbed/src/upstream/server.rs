//! How an upstream answers requests, and in which order it rejects them.
use super::long_response::{LongResponse, LongResponsePlan};
use super::stamp::{response_body, stamp, STAMP_HEADER};
use super::state::State;
use crate::execution_log::RunGuard;
use crate::http_connection::{HttpConnection, Request};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// The header that names the upstream. A name of the wire.
const UPSTREAM_HEADER: &str = "Station";
/// What the path of a request that takes long ends with.
pub(crate) const SLOW_SUFFIX: &str = "/slow";
/// How long a request without a deadline waits, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

fn answer(status: u16, attempt_id: Option<&str>, header_lines: &str, body: &[u8]) -> Vec<u8> {
    let id_line = attempt_id.map(|id| format!("Attempt-Id: {id}\r\n")).unwrap_or_default();
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{header_lines}Content-Length: {length}\r\n{id_line}\r\n");
    [head.as_bytes(), body].concat()
}

/// An answer that promises that the request did not run.
fn not_delivered(status: u16, attempt_id: Option<&str>) -> Vec<u8> {
    answer(status, attempt_id, "Not-Delivered: 1\r\n", b"")
}

/// Counts one for as long as it lives.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Serve a connection until it ends.
pub(crate) async fn serve(state: Arc<State>, mut connection: HttpConnection) {
    loop {
        connection.set_pace(state.behaviour.read_pace);
        let arrived = |request: &Request| {
            if let Some(attempt_id) = request.attempt_id.as_deref().filter(|_| state.behaviour.is_recorded) {
                state.executions.record_arrival(attempt_id, &state.id);
            }
        };
        let Ok(Some(request)) = connection.read_request_noting(arrived).await else { return };
        let reply = tokio::select! {
            reply = handle(&state, &request) => reply,
            // A request is dropped once its connection closes.
            () = connection.closed() => return,
        };
        let sent = match reply {
            Reply::Whole(bytes) => connection.write(&bytes).await,
            Reply::Long { response, _run } => response.send(&mut connection).await,
            Reply::Cut => return,
        };
        if sent.is_err() || !request.keep_alive {
            return;
        }
    }
}

fn health(state: &State, attempt_id: Option<&str>) -> Vec<u8> {
    let status = if state.says_healthy() { 200 } else { 503 };
    let header_lines =
        format!("{UPSTREAM_HEADER}: {}\r\nCold-Ms: {}\r\n", state.id, state.warm_up_left().as_millis());
    answer(status, attempt_id, &header_lines, b"")
}

/// What a request gets.
enum Reply<'a> {
    /// These bytes.
    Whole(Vec<u8>),
    /// A response that is sent over some time. The request is at work until then.
    Long { response: LongResponse, _run: Running<'a> },
    /// The end of its connection.
    Cut,
}

/// A request at work.
struct Running<'a> {
    _in_flight: CountGuard<'a>,
    _run: Option<RunGuard<'a>>,
}

/// Run a request that was admitted.
async fn execute<'a>(state: &'a State, request: &Request) -> Reply<'a> {
    let attempt_id = request.attempt_id.as_deref();
    let name = attempt_id.unwrap_or_default();
    let running = Running {
        _in_flight: CountGuard::new(state.executions.in_flight_counter()),
        _run: state.behaviour.is_recorded.then(|| state.executions.begin(name, &state.id)),
    };
    if !state.behaviour.is_recorded {
        state.executions.count_unrecorded();
    }
    let work = match request.target.ends_with(SLOW_SUFFIX) {
        true => state.behaviour.slow_work,
        false => state.behaviour.work,
    };
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    let number = state.executed.fetch_add(1, Relaxed) + 1;
    let cut_every = state.behaviour.cut_every;
    if cut_every > 0 && number.is_multiple_of(cut_every) {
        return Reply::Cut;
    }
    if let Some(plan) = LongResponsePlan::of_target(&request.target) {
        return Reply::Long { response: LongResponse::new(plan, &state.id, name), _run: running };
    }
    let body = response_body(&state.id, request);
    let stamp = stamp(&state.id, name, body.as_bytes());
    let header_lines = format!("{STAMP_HEADER}: {stamp}\r\nContent-Type: text/plain\r\n");
    Reply::Whole(answer(200, attempt_id, &header_lines, body.as_bytes()))
}

/// The reply to one request.
async fn handle<'a>(state: &'a State, request: &Request) -> Reply<'a> {
    let attempt_id = request.attempt_id.as_deref();
    let is_health_check = request.method == "GET" && request.target == "/health";
    if request.expected_upstream.as_ref().is_some_and(|expected| *expected != state.id) {
        return Reply::Whole(not_delivered(421, attempt_id));
    }
    if attempt_id.is_none() && !is_health_check {
        return Reply::Whole(not_delivered(400, attempt_id));
    }
    if state.admitted.load(Relaxed) >= state.behaviour.slots + state.behaviour.queue {
        return Reply::Whole(not_delivered(503, attempt_id));
    }
    let _admitted = CountGuard::new(&state.admitted);
    let limit = Duration::from_millis(request.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS));
    let Ok(Ok(_slot)) = tokio::time::timeout(limit, state.slots.acquire()).await else {
        return Reply::Whole(not_delivered(503, attempt_id));
    };
    if is_health_check {
        return Reply::Whole(health(state, attempt_id));
    }
    execute(state, request).await
}
