//! A request's way through the gate to the upstream on this machine: its place, the exchange, and what its answer is worth.
use super::replies::says;
use super::{word, PATIENCE};
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::{ForwardingHeaders, GateStatus};
use crate::node_state::NodeState;
use crate::peer_connection::{self, ExchangeOutcome, Order};
use crate::response_replay_cache::ReplayEntry;
use crate::wire::{self, PeerKind, RequestHead, Response, Size};
use silvercross_admission::{Arrival, Verdict};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Connecting to the upstream on this machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Past a request's deadline an upstream's own word on it is waited for so long.
const LAST_WORD: i64 = 40_000;

/// A place that is given back, however its request ends.
struct Place {
    node_state: Rc<NodeState>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        let (now, number) = (self.node_state.now().as_micros(), self.number);
        self.node_state.gate.with_admission(|w| w.done(now, number));
    }
}

/// One that waits; gone unless it got its place.
struct Waits<'p> {
    node_state: &'p NodeState,
    number: u64,
    waits: bool,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if self.waits {
            let (now, number) = (self.node_state.now().as_micros(), self.number);
            self.node_state.gate.waiting.borrow_mut().remove(&number);
            self.node_state.gate.with_admission(|w| w.gone(now, number));
        }
    }
}

/// Take a request to the upstream on this machine, if it may pass.
pub async fn serve(
    node_state: &Rc<NodeState>,
    asked: &RequestHead,
    bill: &ForwardingHeaders,
    body_buffer: &Rc<BodyBuffer>,
    replay_entry: Option<&ReplayEntry>,
) -> Response {
    let (Some(station), Some(id)) = (node_state.settings.station, asked.id.clone()) else {
        return says(GateStatus::Absent);
    };
    let started = Instant::now();
    let deadline = asked.deadline.unwrap_or(60_000_000);
    let place = match admit(node_state, asked, &id, bill, deadline).await {
        Ok(place) => place,
        Err(word) => return says(word),
    };
    let number = place.number;
    let Some(line) = node_state.pool.acquire(None, station, CONNECT, PeerKind::External(wire::HEAD)).await
    else {
        // A refused connection is a sign that it is gone; its next beat says otherwise.
        let now = node_state.now().as_micros();
        node_state.gate.with_admission(|w| w.silent(now));
        node_state.mark_upstream_silent();
        return says(GateStatus::Absent);
    };
    let left = deadline - started.elapsed().as_micros() as i64;
    if left <= 0 {
        return says(GateStatus::Full(0));
    }
    // While it connected the station may have been shut, or another life begun.
    let now = node_state.now().as_micros();
    if !node_state.gate.with_admission(|w| w.may_begin(now, number)) {
        return says(GateStatus::Shut);
    }
    let request = request(asked, left, asked.expects.as_deref(), body_buffer, false);
    let now = node_state.now().as_micros();
    node_state.gate.with_admission(|w| w.begun(now, number));
    replay_entry.iter().for_each(|r| r.begun());
    node_state.counters.delivered_requests.set(node_state.counters.delivered_requests.get() + 1);
    let coming = body_buffer.rest.as_ref().map(|_| body_buffer);
    let bodiless = asked.method == "HEAD";
    let order = Order { to: station, bytes: &request, coming, awaits: false, id: &id, bodiless };
    let went = peer_connection::exchange(&node_state.pool, line, order, node_state.stores.share());
    let until = Instant::now() + Duration::from_micros((left + LAST_WORD) as u64);
    let came = timeout_at(until, went).await;
    match came {
        Ok(ExchangeOutcome::Response(answer)) => judged(node_state, *answer, bill, place, until),
        // Bytes may have gone out before the connection broke: not certain, so it may have run.
        Ok(ExchangeOutcome::NotConnected | ExchangeOutcome::Broken) | Err(_) => says(GateStatus::Begun),
    }
}

/// Ask the decider for a place, and wait for it where that is to be; or the word for the origin.
async fn admit(
    node_state: &Rc<NodeState>,
    asked: &RequestHead,
    id: &str,
    bill: &ForwardingHeaders,
    deadline: i64,
) -> Result<Place, GateStatus> {
    let number = node_state.gate.next.get();
    node_state.gate.next.set(number + 1);
    let arrival = Arrival {
        number,
        id: id.to_string(),
        expects: asked.expects.clone(),
        service: bill.service.clone(),
        priority: bill.priority,
        repeatable: bill.repeatable,
        further: bill.further,
        aim: bill.aim,
        patience: (bill.aim / PATIENCE).clamp(0, deadline.max(0)),
        deadline,
    };
    let now = node_state.now().as_micros();
    // The place in the list of those that wait is there before the decider may call it.
    let (to, mut at) = oneshot::channel();
    node_state.gate.waiting.borrow_mut().insert(number, to);
    match node_state.gate.with_admission(|w| w.arrive(now, arrival)) {
        Verdict::Go => {
            node_state.gate.waiting.borrow_mut().remove(&number);
        }
        Verdict::Turn { why, retry_after } => {
            node_state.gate.waiting.borrow_mut().remove(&number);
            node_state.counters.rejected_by_gate.set(node_state.counters.rejected_by_gate.get() + 1);
            return Err(word(why, retry_after));
        }
        Verdict::Wait => {
            let mut waits = Waits { node_state, number, waits: true };
            let said = (&mut at).await;
            waits.waits = false;
            match said {
                Ok(Ok(())) => {}
                Ok(Err(word)) => {
                    node_state.counters.rejected_by_gate.set(node_state.counters.rejected_by_gate.get() + 1);
                    return Err(word);
                }
                Err(_) => return Err(GateStatus::Absent),
            }
        }
    }
    Ok(Place { node_state: node_state.clone(), number })
}

/// The upstream's answer, as it is passed on; the decider hears what it says of the upstream and of the request.
fn judged(
    node_state: &Rc<NodeState>,
    mut answer: Response,
    bill: &ForwardingHeaders,
    place: Place,
    until: Instant,
) -> Response {
    let (now, number) = (node_state.now().as_micros(), place.number);
    if let Some(left) = answer.cold {
        node_state.gate.with_admission(|w| w.cold(now, left));
    }
    if spoilt(&answer, bill.repeatable) {
        return says(GateStatus::Begun);
    }
    // Its own word that it did not run: its id is free again. This has to be told before the place is given back.
    match answer.status {
        503 if answer.not_delivered => node_state.gate.with_admission(|w| w.turned_by_station(now, number)),
        421 => node_state.gate.with_admission(|w| w.not_run(now, number)),
        _ if answer.not_delivered => node_state.gate.with_admission(|w| w.not_run(now, number)),
        _ => {}
    }
    // While its answer is passed on, a request keeps its place.
    if let Some(tail) = &mut answer.tail {
        tail.until = Some(until);
        tail.holds.push(Box::new(place));
    }
    answer
}

/// An answer that is not passed on, as it would say something that is not so: a success that is not the upstream's own, or that says
/// that nothing ran; a promise of that where the upstream has not said so, and a new try would be a second run.
fn spoilt(answer: &Response, repeatable: bool) -> bool {
    let promise = matches!(answer.status, 408 | 429 | 503);
    answer.coded
        || answer.status < 300 && !answer.stamped
        || answer.status < 400 && answer.not_delivered
        || promise && !answer.not_delivered && !repeatable
}

/// A request's bytes, to an upstream or to a gate: its head, and its body if that is here whole. `awaits`: the body is sent once
/// it is asked for.
pub fn request(
    asked: &RequestHead,
    left: i64,
    expects: Option<&str>,
    body_buffer: &BodyBuffer,
    awaits: bool,
) -> Vec<u8> {
    let held = body_buffer.held();
    let body: &[u8] = if body_buffer.rest.is_some() || awaits { &[] } else { &held };
    let mut out = Vec::with_capacity(asked.lines.len() + body.len() + 512);
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", asked.method, asked.target).as_bytes());
    out.extend_from_slice(format!("Host: {}\r\n", asked.host).as_bytes());
    out.extend_from_slice(&asked.lines);
    out.extend_from_slice(format!("Deadline-Ms: {}\r\n", (left / 1000).max(1)).as_bytes());
    if let Some(sender) = &asked.sender {
        out.extend_from_slice(format!("Sender: {sender}\r\n").as_bytes());
    }
    if let Some(expects) = expects {
        out.extend_from_slice(format!("Expect-Station: {expects}\r\n").as_bytes());
    }
    if let Some(bill) = &asked.forwarding_headers {
        out.extend_from_slice(format!("Waybill: {bill}\r\n").as_bytes());
    }
    match body_buffer.size() {
        Size::Length(0) if matches!(asked.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS") => {}
        Size::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
        Size::Chunks | Size::Close => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
    if awaits {
        out.extend_from_slice(b"Expect: 100-continue\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}
