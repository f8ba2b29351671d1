//! What a client is answered: this program's own words, an upstream's answer passed on, and both as bytes.
use crate::body_buffer::BodyReservation;
use crate::idle_timeout;
use crate::node_state::NodeState;
use crate::peer_connection::StreamedBody;
use crate::service_balancer::Ticket;
use crate::wire::{self, RequestHead, Response, Size};
use silvercross_facade::{Attempt, Report};
use std::rc::Rc;
use tokio::net::tcp::OwnedWriteHalf;

/// Where nothing better is known, a client turned away comes back after this, in microseconds.
const RETURN: i64 = 250_000;

/// What a client is answered.
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) lines: Vec<u8>,
    pub(super) body: Vec<u8>,
    /// What comes behind that, and the length of both where it is known.
    pub(super) tail: Option<Box<StreamedBody>>,
    length: Option<u64>,
    /// Told how that ended.
    pub(super) flow: Option<Flow>,
    /// The body's place among those held here.
    _share: Option<BodyReservation>,
}

/// A request whose answer is being passed on.
pub(super) struct Flow {
    pub(super) ticket: Ticket,
    pub(super) attempt: Attempt,
}

impl Reply {
    /// This program's own word.
    pub(super) fn own(status: u16, text: &str) -> Self {
        let lines = b"Content-Type: text/plain\r\n".to_vec();
        Reply {
            status,
            lines,
            body: format!("{text}\n").into_bytes(),
            tail: None,
            length: None,
            flow: None,
            _share: None,
        }
    }

    /// Pass on what comes behind the first part; `false` if it broke off.
    pub(super) async fn pass(self, node_state: &Rc<NodeState>, to: &mut OwnedWriteHalf, size: Size) -> bool {
        let Some(tail) = self.tail else { return true };
        let passed = tail.pass(&node_state.pool, to, size).await;
        if let Some(flow) = self.flow {
            flow.ticket
                .service_balancer
                .report(flow.attempt, if passed { Report::Served } else { Report::Broken });
        }
        passed
    }

    /// It has not run and never will: come back then.
    pub(super) fn promise(status: u16, text: &str, after: Option<i64>) -> Self {
        let mut reply = Reply::own(status, text);
        let seconds = after.unwrap_or(RETURN).max(1000) as f64 / 1e6;
        reply.lines.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
        reply
    }
}

/// An answer's first bytes, or all of them.
pub(super) fn begin(
    node_state: &NodeState,
    reply: &mut Reply,
    asked: &RequestHead,
    close: bool,
) -> (Vec<u8>, Size) {
    let mut lines = std::mem::take(&mut reply.lines);
    if let Some(id) = asked.id.as_ref().filter(|_| !has_id(&lines)) {
        lines.extend_from_slice(format!("Attempt-Id: {id}\r\n").as_bytes());
    }
    if let Some(idle_timeout) =
        idle_timeout::line(node_state.idle_timeout.borrow().stated()).filter(|_| !close)
    {
        lines.extend_from_slice(idle_timeout.as_bytes());
    }
    let bodiless = asked.method == "HEAD";
    if reply.tail.is_none() {
        return (wire::encode_response(reply.status, &lines, &reply.body, close, bodiless), Size::Close);
    }
    wire::encode_response_start(reply.status, &lines, &reply.body, reply.length, close, asked.old)
}

fn has_id(lines: &[u8]) -> bool {
    const NAME: &[u8] = b"attempt-id:";
    lines.split(|b| *b == b'\n').any(|l| l.len() >= NAME.len() && l[..NAME.len()].eq_ignore_ascii_case(NAME))
}

/// An upstream's answer, as the client gets it.
pub(super) fn passed(answer: Response) -> Reply {
    let Response { status, lines, body, tail, length, share, .. } = answer;
    Reply { status, lines, body, tail, length, flow: None, _share: share }
}
