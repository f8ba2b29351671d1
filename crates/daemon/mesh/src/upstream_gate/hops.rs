//! Connections of other sidecars: taken or told to go elsewhere, and one request after the other on them.
use super::delivery::serve;
use super::replies::{back, keep, says, told};
use super::{large, NO_ROOM};
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus};
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::peer_connection;
use crate::response_replay_cache::ReplayEntry;
use crate::wire::{self, Connection, ConnectionEvent, PeerKind, ReadError, RequestHead};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A connection on which no request comes is closed after this.
const IDLE: Duration = Duration::from_secs(30);
/// The rest of a head, and of a body, comes within this: the origin holds them whole.
pub(super) const COMES: Duration = Duration::from_secs(5);
/// Hops' connections open at a time, as a share of the descriptors.
pub(crate) const CONNECTIONS: u64 = 4;
/// So many beyond that are told so at a time; the rest is closed without a word.
const TURNING: u64 = 32;

/// Take hops from other sidecars, for as long as the process lives.
pub async fn listen(node_state: Rc<NodeState>, listener: TcpListener) {
    let turning = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        peer_connection::set_liveness_options(&stream);
        let open = node_state.counters.hop_connections.get();
        let leaving = node_state.gate.leaving.get();
        let full = open - leaving.min(open) >= (node_state.settings.descriptors / CONNECTIONS).max(1);
        if full && node_state.counters.idle_hop_connections.get() > leaving {
            // The one that has been idle for longest makes place.
            node_state.gate.leaving.set(leaving + 1);
            node_state.gate.room.notify_one();
        } else if full {
            node_state.reject_connection(ConnectionKind::Inbound);
            if turning.get() < TURNING {
                turning.set(turning.get() + 1);
                let turning = turning.clone();
                tokio::task::spawn_local(async move {
                    turn(stream).await;
                    turning.set(turning.get() - 1);
                });
            }
            continue;
        }
        let node_state = node_state.clone();
        let counted = GaugeGuard::new(&node_state, |c| &c.hop_connections);
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let mut line = Connection::new(stream, PeerKind::Sidecar);
            let mut before = Before::default();
            while one(&node_state, &mut line, &mut before).await {}
        });
    }
}

/// A hop for which there is no room: nothing of it is read before it is told to go elsewhere.
async fn turn(stream: tokio::net::TcpStream) {
    let mut line = Connection::new(stream, PeerKind::Sidecar);
    let word = forwarding_headers::write(&GateStatus::Full(NO_ROOM));
    let bytes =
        wire::encode_response(503, format!("Waybill-Return: {word}\r\n").as_bytes(), b"", true, false);
    if line.write(&bytes).await.is_ok() {
        line.finish().await;
        line.drain(COMES / 10).await;
    }
}

/// What went on a hop's connection before.
#[derive(Default)]
struct Before {
    /// It has heard this process's life.
    told: bool,
    /// The last request that may run once: with another one the origin shows that it has the answer.
    last: Option<u64>,
}

/// One request of a hop's connection; whether another may come.
async fn one(node_state: &Rc<NodeState>, line: &mut Connection, before: &mut Before) -> bool {
    if !requested(node_state, line).await {
        return false;
    }
    let Ok(mut asked) = line.request(IDLE, COMES, usize::MAX).await else { return false };
    let bill =
        asked.forwarding_headers.take().and_then(|t| forwarding_headers::read::<ForwardingHeaders>(&t));
    let bill = bill.filter(|b| b.version == forwarding_headers::VERSION);
    if let Some(ticket) = before.last.take() {
        node_state.response_replay_cache.taken(ticket);
    }
    if let Some(bill) = bill.as_ref().filter(|b| b.asks) {
        return told(node_state, line, &asked, bill.ticket).await;
    }
    let life = (!std::mem::replace(&mut before.told, true)).then_some(node_state.response_replay_cache.life);
    let replay_entry = match &bill {
        Some(bill) if !bill.repeatable && bill.ticket != 0 => {
            match node_state.response_replay_cache.enter(bill.ticket) {
                Ok(replay_entry) => Some(replay_entry),
                // It was asked for before it came, and its origin has gone elsewhere.
                Err(()) => return false,
            }
        }
        _ => None,
    };
    before.last = replay_entry.as_ref().map(|r| r.ticket);
    let stated = match asked.framing {
        Framing::Length(n) => Some(n),
        _ => None,
    };
    if asked.waits || stated.is_none_or(|n| n > wire::MAX_BUFFERED_BODY_BYTES) {
        return large::pass(node_state, line, &asked, bill, replay_entry, life, stated).await;
    }
    // How large a body may be was for the origin to say.
    let (mut decoder, mut share) =
        (Decoder::new(asked.framing, wire::MAX_BUFFERED_BODY_BYTES), node_state.stores.share());
    let body = match timeout(COMES, line.held(&mut decoder, stated, &mut share, false)).await {
        Ok(Ok((body, true))) => body,
        Ok(Err(ReadError::NoRoom)) => {
            let (bytes, _) = back(&asked, &mut says(GateStatus::Full(NO_ROOM)), life, true);
            let _ = line.write(&bytes).await;
            line.finish().await;
            line.drain(COMES / 10).await;
            return false;
        }
        _ => return false,
    };
    let Some(bill) = bill else {
        // A question that can't be read is no request that was turned away: what it asks for may have run.
        let word =
            if asked.host == forwarding_headers::ASKED { GateStatus::Begun } else { GateStatus::Absent };
        let (bytes, _) = back(&asked, &mut says(word), life, false);
        return line.write(&bytes).await.is_ok();
    };
    whole(node_state, line, &asked, &bill, &BodyBuffer::whole(body, share), replay_entry, life).await
}

/// Whether a request has come; an idle connection may have to make place for another.
async fn requested(node_state: &Rc<NodeState>, line: &mut Connection) -> bool {
    let _idle = GaugeGuard::new(node_state, |c| &c.idle_hop_connections);
    tokio::select! {
        came = line.awaits(IDLE) => came,
        () = node_state.gate.room.notified() => {
            node_state.gate.leaving.set(node_state.gate.leaving.get().saturating_sub(1));
            false
        }
    }
}

/// A request that is here whole; whether the connection may carry another one.
async fn whole(
    node_state: &Rc<NodeState>,
    line: &mut Connection,
    asked: &RequestHead,
    bill: &ForwardingHeaders,
    body_buffer: &Rc<BodyBuffer>,
    replay_entry: Option<ReplayEntry>,
    life: Option<u64>,
) -> bool {
    let mut broke = false;
    let mut answer = {
        let serving = serve(node_state, asked, bill, body_buffer, replay_entry.as_ref());
        tokio::pin!(serving);
        loop {
            tokio::select! {
                answer = &mut serving => break answer,
                stir = line.stirs(), if !broke => match stir {
                    // Its origin will ask for it.
                    ConnectionEvent::Broke if replay_entry.is_some() => {
                        broke = true;
                        node_state.counters.orphaned_requests.set(node_state.counters.orphaned_requests.get() + 1);
                    }
                    // An origin that hangs up has called the attempt off.
                    ConnectionEvent::Broke | ConnectionEvent::Closed | ConnectionEvent::More => return false,
                }
            }
        }
    };
    let (bytes, size) = back(asked, &mut answer, life, false);
    let bytes = keep(replay_entry, &answer, bytes, life.is_some());
    if broke || line.write(&bytes).await.is_err() {
        return false;
    }
    let Some(tail) = answer.tail.take() else { return true };
    drop(answer);
    let Some(mut write) = line.split() else { return false };
    let passed = tail.pass(&node_state.pool, &mut write, size).await;
    line.join(write);
    passed
}
