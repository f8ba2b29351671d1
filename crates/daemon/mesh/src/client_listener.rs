//! Where the machine's clients, and its upstream, bring their requests: one connection a task, one request at a time on it.
//! Where the request goes, whether again and when not is the module's to say (`service_balancer`).
mod attempt;
mod reply;
mod route;
mod run;

use crate::body_buffer::{BodyBuffer, BodyStreamWriter};
use crate::idle_timeout;
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::wire::{self, Connection, PeerKind, ReadError, RequestHead, Size};
use reply::{begin, Reply};
use route::serve;
use silvercross_net::http::{Bad, Framing};
use silvercross_net::stream::Decoder;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{timeout_at, Instant};

/// Behind a last answer, what still comes is read away for so long.
const AFTER: Duration = Duration::from_millis(500);
/// Connections open at a time, as a share of the descriptors: the rest is for hops and the upstream.
pub const CONNECTIONS: u64 = 2;

/// Take clients, for as long as the process lives.
pub async fn listen(node_state: Rc<NodeState>, listener: TcpListener) {
    loop {
        let next = tokio::select! {
            next = listener.accept() => next,
            // Connections that nobody has taken by now end with the listener, and their requests unread.
            _ = node_state.listeners_closing() => return,
        };
        let Ok((stream, _)) = next else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if node_state.counters.client_connections.get() >= node_state.settings.descriptors / CONNECTIONS {
            node_state.reject_connection(ConnectionKind::Outbound);
            continue;
        }
        let node_state = node_state.clone();
        let counted = GaugeGuard::new(&node_state, |c| &c.client_connections);
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let mut line = Connection::new(stream, PeerKind::External(0));
            while one(&node_state, &mut line).await {}
        });
    }
}

/// One request of a connection; whether another may come.
async fn one(node_state: &Rc<NodeState>, line: &mut Connection) -> bool {
    if !idle_timeout::taken_up(node_state, line).await {
        return false;
    }
    // Those in force as the request comes.
    let limits = node_state.routing_table().limits();
    let span = |us: i64| Duration::from_micros(us.max(1) as u64);
    let most = limits.max_body_bytes.min(usize::MAX as u64) as usize;
    line.end = PeerKind::External(limits.max_head_bytes);
    let whole = span(limits.head_timeout);
    let request = line.request(whole, whole, most).await;
    let mut asked = match request {
        Ok(asked) => asked,
        Err(wrong) => return refuse(line, wrong).await,
    };
    if asked.waits && line.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return false;
    }
    let stated = match asked.framing {
        Framing::Length(n) => Some(n),
        _ => None,
    };
    let until = Instant::now() + span(asked.deadline.unwrap_or(60_000_000));
    let (mut decoder, mut share) = (Decoder::new(asked.framing, most), node_state.stores.share());
    let held = timeout_at(until, line.held(&mut decoder, stated, &mut share, false)).await;
    asked.forwarding_headers = None;
    asked.expects = None;
    asked.sender = Some(node_state.settings.destination.clone());
    let (held, whole) = match held.unwrap_or(Err(ReadError::Late)) {
        Ok(held) => held,
        Err(wrong) => {
            if matches!(wrong, ReadError::NoRoom) {
                node_state
                    .counters
                    .rejected_for_memory
                    .set(node_state.counters.rejected_for_memory.get() + 1);
            }
            return refuse(line, wrong).await;
        }
    };
    if !whole {
        let (body_buffer, bringer) = BodyBuffer::coming(held, stated.map(|n| n as u64), share);
        return large(node_state, line, &asked, body_buffer, bringer, &mut decoder, until).await;
    }
    answer_whole(node_state, line, &asked, BodyBuffer::whole(held, share)).await
}

/// A request that is here whole; whether another may come.
async fn answer_whole(
    node_state: &Rc<NodeState>,
    line: &mut Connection,
    asked: &RequestHead,
    body_buffer: Rc<BodyBuffer>,
) -> bool {
    let open = Open::new(node_state);
    let mut reply = serve(node_state, asked, &body_buffer).await;
    drop(body_buffer);
    drop(open);
    let close = !asked.keep_alive || asked.old || node_state.stopping();
    let (bytes, size) = begin(node_state, &mut reply, asked, close);
    let close = close || size == Size::Close && reply.tail.is_some();
    if line.write(&bytes).await.is_err() {
        return false;
    }
    if reply.tail.is_some() {
        let Some(mut write) = line.split() else { return false };
        let passed = reply.pass(node_state, &mut write, size).await;
        line.join(write);
        if !passed {
            line.abort();
            return false;
        }
    }
    if close {
        line.finish().await;
        line.drain(AFTER).await;
    }
    !close
}

/// One request whose body is still coming: it is read on while the request is served, no faster than it is passed on.
async fn large(
    node_state: &Rc<NodeState>,
    line: &mut Connection,
    asked: &RequestHead,
    body_buffer: Rc<BodyBuffer>,
    bringer: BodyStreamWriter,
    decoder: &mut Decoder,
    until: Instant,
) -> bool {
    let Some(mut write) = line.split() else { return false };
    let _open = Open::new(node_state);
    let replies = Cell::new(false);
    let ended = {
        let work = async {
            let mut reply = serve(node_state, asked, &body_buffer).await;
            replies.set(true);
            // Where part of the body was not read, the connection carries nothing more.
            let close = !asked.keep_alive || asked.old || node_state.stopping() || !body_buffer.at_end();
            let (bytes, size) = begin(node_state, &mut reply, asked, close);
            let close = close || size == Size::Close && reply.tail.is_some();
            let passed =
                write.write_all(&bytes).await.is_ok() && reply.pass(node_state, &mut write, size).await;
            (passed, close)
        };
        let read = async {
            bringer.wanted().await;
            match timeout_at(until, bringer.bring(line, decoder)).await.unwrap_or(Err(ReadError::Late)) {
                Err(wrong) if !replies.get() && !matches!(wrong, ReadError::Closed) => wrong,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            done = work => Ok(done),
            wrong = read => Err(wrong),
        }
    };
    line.join(write);
    match ended {
        Ok((true, false)) => true,
        Ok((true, true)) => {
            line.finish().await;
            line.drain(AFTER).await;
            false
        }
        Ok((false, _)) => {
            line.abort();
            false
        }
        // Part of it may be at an upstream: that it never ran is not for certain, so no promise (408).
        Err(ReadError::Late) => false,
        Err(wrong) => refuse(line, wrong).await,
    }
}

/// A request that could not be read: say why, if its sender may still listen.
async fn refuse(line: &mut Connection, wrong: ReadError) -> bool {
    let (status, text) = match wrong {
        ReadError::Closed | ReadError::Broken => return false,
        ReadError::Late => (408, "the request did not come whole in time"),
        ReadError::NoRoom => (503, "too many bodies are held here"),
        ReadError::Bad(bad) => match bad {
            Bad::Malformed(what) => (400, what),
            other => (wire::error_status(&other), "larger than the limits allow"),
        },
    };
    let reply = match status {
        503 => Reply::promise(status, text, None),
        _ => Reply::own(status, text),
    };
    let bytes = wire::encode_response(status, &reply.lines, &reply.body, true, false);
    if line.write(&bytes).await.is_ok() {
        line.finish().await;
        line.drain(AFTER).await;
    }
    false
}

/// A request counts as open for as long as this lives.
struct Open<'p>(&'p NodeState);

impl<'p> Open<'p> {
    fn new(node_state: &'p NodeState) -> Self {
        node_state.counters.requests.set(node_state.counters.requests.get() + 1);
        node_state.open_requests.set(node_state.open_requests.get() + 1);
        Open(node_state)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
