//! One attempt of a request: over a hop or through this machine's own gate, and the question what became of it.
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus};
use crate::mutation::{self, Mutation};
use crate::node_state::NodeState;
use crate::peer_connection::{self, ExchangeOutcome, Order, Told};
use crate::response_replay_cache;
use crate::service_balancer::CONNECT;
use crate::upstream_gate;
use crate::wire::{PeerKind, RequestHead, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A gate is asked what became of a request for no longer than this after the request was written: half of the gate's memory.
const ASKS: Duration = Duration::from_micros(response_replay_cache::SPAN as u64 / 2);
/// It is asked at once, then with a pause that grows.
const PAUSE: Duration = Duration::from_millis(25);
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// A body from this size on is offered to a gate before it is sent.
const OFFERED: usize = 16 * 1024;

/// Take it over a hop, or through this machine's own gate.
#[allow(clippy::too_many_arguments)]
pub(super) async fn go(
    node_state: &Rc<NodeState>,
    asked: &RequestHead,
    body_buffer: &Rc<BodyBuffer>,
    id: &str,
    bill: &ForwardingHeaders,
    left: i64,
    to: SocketAddr,
    name: &str,
) -> ExchangeOutcome {
    if Some(to) == node_state.settings.inbound {
        let mut mine = asked.clone();
        (mine.deadline, mine.expects) = (Some(left), Some(name.to_string()));
        return ExchangeOutcome::Response(Box::new(
            upstream_gate::serve(node_state, &mine, bill, body_buffer, None).await,
        ));
    }
    let started = Instant::now();
    let limit = Duration::from_micros(CONNECT as u64);
    let from = Some(node_state.settings.ip.into());
    let Some(line) = node_state.pool.acquire(from, to, limit, PeerKind::Sidecar).await else {
        return ExchangeOutcome::NotConnected;
    };
    let mut hop = asked.clone();
    hop.forwarding_headers = Some(forwarding_headers::write(bill));
    let left = left - started.elapsed().as_micros() as i64;
    // A body of some size is offered first: one that its gate would turn away crosses no link.
    let coming = Some(body_buffer).filter(|f| f.rest.is_some() || f.held().len() >= OFFERED);
    let bytes = upstream_gate::request(&hop, left, Some(name), body_buffer, coming.is_some());
    let bodiless = asked.method == "HEAD";
    let order = Order { to, bytes: &bytes, coming, awaits: coming.is_some(), id, bodiless };
    // Heard before the first byte is written: whoever gets it is of this life or a later one.
    let life = node_state.pool.life(to);
    let written = Instant::now();
    let came = peer_connection::exchange(&node_state.pool, line, order, node_state.stores.share()).await;
    if !matches!(came, ExchangeOutcome::Broken) || bill.repeatable {
        return came;
    }
    if mutation::is_active(Mutation::NonIdempotentRetried) {
        return ExchangeOutcome::NotConnected;
    }
    let until = started + Duration::from_micros(left.max(0) as u64);
    node_state.counters.outcome_queries.set(node_state.counters.outcome_queries.get() + 1);
    let told = timeout_at(until.min(written + ASKS), ask(node_state, asked, id, bill, to, until)).await;
    // Past its memory a gate that knows nothing proves nothing.
    let known = written.elapsed() < ASKS;
    let same = |of: Option<u64>| of == life || mutation::is_active(Mutation::AnyIncarnation);
    let came = match told.ok().flatten() {
        None => ExchangeOutcome::Broken,
        Some(answer) => match answer.word.as_deref().map(forwarding_headers::read::<GateStatus>) {
            None => ExchangeOutcome::Response(answer),
            Some(Some(GateStatus::Unseen)) if known && same(answer.life) => ExchangeOutcome::NotConnected,
            Some(Some(GateStatus::Absent | GateStatus::Full(_) | GateStatus::Shut)) => {
                ExchangeOutcome::Response(answer)
            }
            Some(_) => ExchangeOutcome::Broken,
        },
    };
    if !matches!(came, ExchangeOutcome::Broken) {
        node_state.counters.recovered_requests.set(node_state.counters.recovered_requests.get() + 1);
    }
    came
}

/// The hop broke after the request was written: its gate knows what became of it. `None`: nobody there knows.
async fn ask(
    node_state: &Rc<NodeState>,
    asked: &RequestHead,
    id: &str,
    bill: &ForwardingHeaders,
    to: SocketAddr,
    until: Instant,
) -> Option<Box<Response>> {
    let bill = forwarding_headers::write(&ForwardingHeaders { asks: true, ..bill.clone() });
    let (own, limit) = (node_state.settings.ip.into(), Duration::from_micros(CONNECT as u64));
    let host = forwarding_headers::ASKED;
    let bytes = format!("GET / HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nWaybill: {bill}\r\n\r\n");
    let mut pause = PAUSE;
    while Instant::now() < until {
        let bodiless = asked.method == "HEAD";
        let order = Order { to, bytes: bytes.as_bytes(), coming: None, awaits: false, id, bodiless };
        match peer_connection::query_attempt(own, to, limit, order, node_state.stores.share()).await {
            // A gate that turns hops away at its door knows nothing of the attempt yet.
            Told::Response(answer) if answer.word.is_some() && answer.life.is_none() => {}
            Told::Response(answer) => return Some(answer),
            Told::Gone => return None,
            Told::Nothing => {}
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
    None
}
