//! Requests from other sidecars whose bodies are passed on as they come: few at a time, and none before it is wanted.
use super::delivery::serve;
use super::hops::COMES;
use super::replies::{back, keep, says};
use super::PATIENCE;
use crate::body_buffer::{BodyBuffer, BodyStreamWriter};
use crate::forwarding_headers::{ForwardingHeaders, GateStatus};
use crate::node_state::NodeState;
use crate::response_replay_cache::ReplayEntry;
use crate::wire::{Connection, ConnectionEvent, ReadError, RequestHead, Response};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Mutex, OwnedSemaphorePermit};
use tokio::time::timeout;

/// A request whose body is passed on as it comes. The origin holds it back until it is asked for: before the request has its place,
/// and a connection to the upstream is up, none of it is taken.
pub(super) async fn pass(
    node_state: &Rc<NodeState>,
    line: &mut Connection,
    asked: &RequestHead,
    bill: Option<ForwardingHeaders>,
    replay_entry: Option<ReplayEntry>,
    life: Option<u64>,
    stated: Option<usize>,
) -> bool {
    let mut decoder = Decoder::new(asked.framing, usize::MAX);
    let patience = bill.as_ref().map_or(0, |b| (b.aim / PATIENCE).max(0));
    let turn = match turn_of(node_state, line, asked, patience, life).await {
        Ok(turn) => turn,
        Err(goes_on) => return goes_on,
    };
    let (body_buffer, bringer) =
        BodyBuffer::coming(Vec::new(), stated.map(|n| n as u64), node_state.stores.share());
    let Some(write) = line.split() else { return false };
    let write = Mutex::new(write);
    let answered = Cell::new(false);
    let work = async {
        let answer = match &bill {
            Some(bill) => serve(node_state, asked, bill, &body_buffer, replay_entry.as_ref()).await,
            None => says(GateStatus::Absent),
        };
        answered.set(true);
        reply(node_state, &write, asked, answer, replay_entry, life).await
    };
    let once = bill.as_ref().is_some_and(|b| !b.repeatable);
    let took = async {
        let brought = bring(line, &bringer, &mut decoder, &write, &answered, asked.waits).await;
        drop(turn);
        match brought {
            // An origin that breaks off, or hangs up behind its body, has called the attempt off.
            Ok(()) => {
                if line.stirs().await == ConnectionEvent::Broke && once {
                    // It is here whole: its origin will ask for it.
                    node_state
                        .counters
                        .orphaned_requests
                        .set(node_state.counters.orphaned_requests.get() + 1);
                    std::future::pending().await
                }
            }
            Err(_) if answered.get() => std::future::pending().await,
            Err(_) => {}
        }
    };
    let done = tokio::select! {
        done = work => done,
        () = took => false,
    };
    line.join(write.into_inner());
    if done && !decoder.is_done() && asked.framing != Framing::Length(0) {
        // The answer was there before the body: what comes of that is read away, else it would cost the answer.
        line.finish().await;
        line.drain(COMES / 10).await;
        return false;
    }
    done
}

/// Wait until this body may cross the link: many together would hold up all that is small behind them. Else whether the
/// connection may carry another request.
async fn turn_of(
    node_state: &Rc<NodeState>,
    line: &mut Connection,
    asked: &RequestHead,
    patience: i64,
    life: Option<u64>,
) -> Result<Option<OwnedSemaphorePermit>, bool> {
    if !asked.waits {
        return Ok(None);
    }
    let lane = node_state.gate.lane.clone().acquire_owned();
    tokio::select! {
        turn = timeout(Duration::from_micros(patience as u64), lane) => {
            if let Ok(Ok(turn)) = turn {
                return Ok(Some(turn));
            }
            node_state.counters.rejected_by_gate.set(node_state.counters.rejected_by_gate.get() + 1);
            let (bytes, _) = back(asked, &mut says(GateStatus::Full(patience)), life, false);
            Err(line.write(&bytes).await.is_ok())
        }
        _ = line.stirs() => Err(false),
    }
}

/// Pass an answer on to the origin; whether it went whole.
async fn reply(
    node_state: &Rc<NodeState>,
    write: &Mutex<OwnedWriteHalf>,
    asked: &RequestHead,
    mut answer: Response,
    replay_entry: Option<ReplayEntry>,
    life: Option<u64>,
) -> bool {
    let mut write = write.lock().await;
    let (bytes, size) = back(asked, &mut answer, life, false);
    let bytes = keep(replay_entry, &answer, bytes, life.is_some());
    if write.write_all(&bytes).await.is_err() {
        return false;
    }
    match answer.tail.take() {
        Some(tail) => tail.pass(&node_state.pool, &mut *write, size).await,
        None => true,
    }
}

/// Ask for the body once somebody wants it, and bring it.
async fn bring(
    line: &mut Connection,
    bringer: &BodyStreamWriter,
    decoder: &mut Decoder,
    write: &Mutex<OwnedWriteHalf>,
    answered: &Cell<bool>,
    waits: bool,
) -> Result<(), ReadError> {
    tokio::select! {
        () = bringer.wanted() => {}
        stir = line.stirs() => match stir {
            ConnectionEvent::More => bringer.wanted().await,
            ConnectionEvent::Closed | ConnectionEvent::Broke => return Err(ReadError::Broken),
        },
    }
    if waits {
        let mut write = write.lock().await;
        if !answered.get() && write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Err(ReadError::Broken);
        }
    }
    bringer.bring(line, decoder).await
}
