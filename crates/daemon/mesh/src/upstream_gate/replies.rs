//! What the gate says to origins: its own word, answers as bytes, and what became of an attempt.
use crate::forwarding_headers::{self, GateStatus};
use crate::node_state::NodeState;
use crate::response_replay_cache::{Kept, Known, ReplayEntry};
use crate::wire::{self, Connection, RequestHead, Response, Size};
use std::rc::Rc;

/// What the gate answers for itself.
pub(super) fn says(word: GateStatus) -> Response {
    let status = if matches!(word, GateStatus::Begun | GateStatus::Unseen) { 502 } else { 503 };
    Response {
        status,
        lines: Vec::new(),
        id: None,
        station: None,
        stamped: false,
        not_delivered: false,
        coded: false,
        cold: None,
        word: Some(forwarding_headers::write(&word)),
        life: None,
        keep_alive: true,
        idle: None,
        length: None,
        body: Vec::new(),
        tail: None,
        share: None,
    }
}

/// Keep an answer for an origin that may have to ask for it, if it is whole.
pub(super) fn keep(
    replay_entry: Option<ReplayEntry>,
    answer: &Response,
    bytes: Vec<u8>,
    lived: bool,
) -> Rc<Vec<u8>> {
    let bytes = Rc::new(bytes);
    if let Some(replay_entry) = replay_entry.filter(|_| answer.tail.is_none()) {
        replay_entry.answered(Kept { bytes: bytes.clone(), lived });
    }
    bytes
}

/// Tell an origin what became of its attempt.
pub(super) async fn told(
    node_state: &Rc<NodeState>,
    line: &mut Connection,
    asked: &RequestHead,
    ticket: u64,
) -> bool {
    let known = tokio::select! {
        known = node_state.response_replay_cache.ask(ticket) => known,
        _ = line.stirs() => return false,
    };
    let life = Some(node_state.response_replay_cache.life);
    let bytes = match known {
        Known::Answered(kept) if kept.lived => kept.bytes.to_vec(),
        Known::Answered(kept) => {
            // Behind the status line.
            let at = kept.bytes.windows(2).position(|w| w == b"\r\n").map_or(0, |at| at + 2);
            let mut bytes = kept.bytes[..at].to_vec();
            bytes.extend_from_slice(
                format!("Waybill-Life: {:x}\r\n", node_state.response_replay_cache.life).as_bytes(),
            );
            bytes.extend_from_slice(&kept.bytes[at..]);
            bytes
        }
        Known::Begun => back(asked, &mut says(GateStatus::Begun), life, false).0,
        Known::Off => back(asked, &mut says(GateStatus::Absent), life, false).0,
        Known::Unseen => back(asked, &mut says(GateStatus::Unseen), life, false).0,
    };
    let _ = line.write(&bytes).await;
    line.finish().await;
    false
}

/// An answer's bytes as they go to the origin, and how its end is told.
pub(super) fn back(
    asked: &RequestHead,
    answer: &mut Response,
    life: Option<u64>,
    close: bool,
) -> (Vec<u8>, Size) {
    let mut lines = std::mem::take(&mut answer.lines);
    if let Some(word) = &answer.word {
        lines.extend_from_slice(format!("Waybill-Return: {word}\r\n").as_bytes());
        if let Some(id) = &asked.id {
            lines.extend_from_slice(format!("Attempt-Id: {id}\r\n").as_bytes());
        }
    }
    if let Some(life) = life {
        lines.extend_from_slice(format!("Waybill-Life: {life:x}\r\n").as_bytes());
    }
    if answer.tail.is_none() {
        let bodiless = asked.method == "HEAD";
        return (wire::encode_response(answer.status, &lines, &answer.body, close, bodiless), Size::Close);
    }
    wire::encode_response_start(answer.status, &lines, &answer.body, answer.length, close, false)
}
