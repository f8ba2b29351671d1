//! Serves readers of events: one response with the current events, or a stream for readers that follow.
use super::query::EventQuery;
use super::state::EventStream;
use crate::node_state::{GaugeGuard, NodeState};
use crate::wire::{self, Connection, RequestHead};
use serde_json::{json, Value};
use silvercross_event_feed::{key_kind, Cursor, FeedEntry, Position, Reader};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Most concurrent followers; further readers are told to retry later.
const MAX_FOLLOWERS: usize = 1_100;
/// Most lines per write to a follower.
const LINES_PER_WRITE: usize = 64;
/// Delay before a write, in which events are batched.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// A reader that a write is blocked on for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long input after a response is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of empty lines while there are no events, so that both sides detect a lost connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// A cursor is sent to a follower after this many events,
const CURSOR_AFTER_LINES: usize = 64;
/// or this long after the last cursor, if there were events since.
const CURSOR_INTERVAL: Duration = Duration::from_secs(10);
/// `Retry-After` for a reader beyond the limit, in seconds.
const RETRY_AFTER_S: u32 = 5;

/// Counts one follower until it is dropped.
struct Follower<'e>(&'e Cell<usize>);

impl<'e> Follower<'e> {
    fn new(count: &'e Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Follower(count)
    }
}

impl Drop for Follower<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn error_response(status: u16, reason: &str, lines: &str) -> Vec<u8> {
    let body = json!({ "error": reason }).to_string();
    let lines = format!("Content-Type: application/json\r\n{lines}");
    wire::encode_response(status, lines.as_bytes(), body.as_bytes(), true, false)
}

/// Answers a call for events, and closes the connection afterwards. `open_call` counts the call as open.
pub(crate) async fn serve(
    node_state: Rc<NodeState>,
    mut connection: Connection,
    request: RequestHead,
    body: Vec<u8>,
    open_call: GaugeGuard,
) {
    let bytes = match (node_state.event_stream.get(), EventQuery::read(&request.target, &body)) {
        (None, _) => {
            error_response(404, "no feed here (start the role with --feed, or ask another node)", "")
        }
        (_, Err(error)) => error_response(400, &error.to_string(), ""),
        (Some(stream), Ok(query)) if query.follow => {
            if stream.followers.get() < MAX_FOLLOWERS {
                let _follower = Follower::new(&stream.followers);
                // A stream has no end, so a stopping process does not wait for it.
                drop(open_call);
                return follow(&node_state, stream, &mut connection, query).await;
            }
            let retry_after = format!("Retry-After: {RETRY_AFTER_S}\r\n");
            error_response(503, "enough readers follow here (ask another node)", &retry_after)
        }
        (Some(stream), Ok(query)) => current_events(&node_state, stream, query),
    };
    // A failed write means that the reader is gone.
    if let Ok(Ok(())) = timeout(WRITE_TIMEOUT, connection.write(&bytes)).await {
        connection.close_gracefully(DISCARD_TIMEOUT).await;
    }
}

fn current_events(node_state: &NodeState, stream: &EventStream, query: EventQuery) -> Vec<u8> {
    let mut reader = stream.feed.borrow().open(query.cursor, query.filter);
    let entries = stream.feed.borrow().read(&mut reader, query.limit);
    let mut output = Vec::new();
    entries.iter().for_each(|entry| append_entry(node_state, entry, &mut output));
    append_cursor(stream, &reader, &mut output);
    wire::encode_response(200, b"Content-Type: application/x-ndjson\r\n", &output, true, false)
}

/// Decides when a follower is sent a cursor.
struct CursorSchedule {
    lines_since: usize,
    last: Instant,
    is_first: bool,
}

impl CursorSchedule {
    /// Records that `lines` were written and returns whether a cursor is due; `is_all`: no further events are available.
    fn is_due(&mut self, lines: usize, is_all: bool) -> bool {
        self.lines_since += lines;
        let is_overdue = self.lines_since > 0 && self.last.elapsed() >= CURSOR_INTERVAL;
        let is_due = self.is_first && is_all || self.lines_since >= CURSOR_AFTER_LINES || is_overdue;
        if is_due {
            *self = CursorSchedule { lines_since: 0, last: Instant::now(), is_first: false };
        }
        is_due
    }
}

async fn follow(
    node_state: &Rc<NodeState>,
    stream: &EventStream,
    connection: &mut Connection,
    query: EventQuery,
) {
    let mut reader = stream.feed.borrow().open(query.cursor, query.filter);
    let mut output =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n".to_vec();
    let mut cursors = CursorSchedule { lines_since: 0, last: Instant::now(), is_first: true };
    loop {
        let entries = stream.feed.borrow().read(&mut reader, LINES_PER_WRITE);
        entries.iter().for_each(|entry| append_entry(node_state, entry, &mut output));
        let is_all = entries.len() < LINES_PER_WRITE;
        if cursors.is_due(entries.len(), is_all) {
            append_cursor(stream, &reader, &mut output);
        }
        if !output.is_empty() {
            let written = timeout(WRITE_TIMEOUT, connection.write(&output)).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
        }
        // Many followers wait for long: frees the buffer meanwhile.
        output = Vec::new();
        if !is_all {
            continue;
        }
        let appended = stream.appended.notified();
        if !stream.feed.borrow().has_more(&reader) {
            tokio::select! {
                _ = appended => tokio::time::sleep(BATCH_DELAY).await,
                // A follower sends nothing: data or a closed connection ends the stream.
                _ = connection.wait_for_event() => return,
                _ = node_state.idle_connections_closing() => return,
                _ = tokio::time::sleep(KEEPALIVE_INTERVAL) => output.push(b'\n'),
            }
        }
    }
}

fn position_text(position: &Position) -> String {
    format!(
        "{}.{}.{}{}",
        position.epoch,
        position.owner,
        position.version,
        if position.is_amended { "!" } else { "" }
    )
}

fn append_entry(node_state: &NodeState, entry: &FeedEntry, output: &mut Vec<u8>) {
    let value = match entry {
        FeedEntry::Gap { kind, count, has_more, reason } => {
            let address = node_state.settings.control_address;
            let snapshot = address.map(|address| format!("http://{address}/-/Post.State"));
            json!({ "gap": kind, "count": count, "more": has_more, "why": reason.as_str(), "snapshot": snapshot })
        }
        FeedEntry::Event { event, after, missed, watermark } => {
            let content = &event.content;
            let state: Value = serde_json::from_str(&content.state).unwrap_or(Value::Null);
            let at = Cursor::for_key(&content.key, *watermark).to_text();
            json!({ "kind": key_kind(&content.key), "key": content.key, "place": position_text(&content.position),
                "after": after.as_ref().map(position_text), "missed": missed, "zone": content.zone,
                "service": content.service, "state": state, "at": at })
        }
    };
    output.extend_from_slice(value.to_string().as_bytes());
    output.push(b'\n');
}

fn append_cursor(stream: &EventStream, reader: &Reader, output: &mut Vec<u8>) {
    let cursor = stream.feed.borrow().cursor(reader).to_text();
    output.extend_from_slice(json!({ "cursor": cursor }).to_string().as_bytes());
    output.push(b'\n');
}
