//! What happens in the mesh as events, for other tools: JSON lines at `control`, as pages or followed. Off unless the role is
//! started with `--event_stream`; `silvercross-event-event_stream` decides what is told.
use crate::control_value::{ControlValue, CONFIGURATION, EVACUATION};
use crate::node_state::NodeState;
use crate::peers::RecordBody;
use crate::wire::{self, Connection, RequestHead};
use serde_json::{json, Value};
use silvercross_event_feed::{kind, Bounds, Cursor, EventFeed, Filter, Line, Place, Reader, Told};
use silvercross_mesh_config::Configuration;
use silvercross_mesh_membership::NodeRecord;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// The path of the feed.
pub const PATH: &str = "/-/Post.Events";
/// Readers that follow at a time; those beyond are told to come back.
const FOLLOWERS: usize = 1_100;
/// Lines of a page, at most.
const PAGE: usize = 1_000;
/// Lines that are written to a follower at a time.
const AT_A_TIME: usize = 64;
/// What gathers in this time goes in one write.
const GATHER: Duration = Duration::from_millis(50);
/// A follower that takes nothing for so long is let go.
const UNTAKEN: Duration = Duration::from_secs(20);
/// Without events an empty line goes so often, so that an end is noticed at both sides.
const STILL: Duration = Duration::from_secs(15);
/// After so many events, or so long since the last one that was followed by events, a cursor goes to a follower.
const CURSOR_AFTER: usize = 64;
const CURSOR_EVERY: Duration = Duration::from_secs(10);
/// Longer texts of items are cut in events, in characters.
const TEXT: usize = 200;
/// No more destinations of a route are named in an event.
const NAMED: usize = 8;

/// The events of this process.
pub struct EventStream {
    event_feed: RefCell<EventFeed>,
    news: Notify,
    followers: Cell<usize>,
    refused: Cell<u64>,
}

fn cut(text: &str) -> String {
    text.chars().take(TEXT).collect()
}

fn ip(bits: u32) -> String {
    Ipv4Addr::from_bits(bits).to_string()
}

impl EventStream {
    /// Nothing has happened yet.
    pub fn new() -> Self {
        EventStream {
            event_feed: RefCell::new(EventFeed::new(Bounds::default())),
            news: Notify::new(),
            followers: Cell::new(0),
            refused: Cell::new(0),
        }
    }

    /// Counters.
    pub fn figures(&self) -> Value {
        let f = self.event_feed.borrow().figures();
        json!({ "followers": self.followers.get(), "keys": f.keys, "events": f.events, "dropped": f.dropped,
            "forgotten": f.forgotten })
    }

    fn tell(&self, told: Told) {
        if self.event_feed.borrow_mut().tell(told) {
            self.news.notify_waiters();
        }
    }

    /// What is known of a node, as its record says.
    pub fn record(&self, r: &NodeRecord<RecordBody>) {
        let place = Place { epoch: r.incarnation, owner: 0, version: r.sequence, mark: r.gone };
        let (name, zone) = (ip(r.node.0), r.zone.clone());
        let is = match () {
            () if r.gone => "gone",
            () if r.body.leaving => "leaving",
            () => "there",
        };
        let key = format!("node/{name}");
        let state = json!({ "is": is, "core": r.is_control, "control": r.body.control }).to_string();
        self.tell(Told { key, place, zone: zone.clone(), state, ended: r.gone, ..Told::default() });
        if r.is_control {
            return;
        }
        let key = format!("upstream/{name}");
        let told = match r.body.station.as_ref().filter(|_| !r.gone) {
            Some(s) => {
                let is = match () {
                    () if s.silent => "silent",
                    () if s.draining => "draining",
                    () => "there",
                };
                let state = json!({ "is": is, "id": cut(&s.id), "slots": s.slots, "colds": s.colds, "life": r.incarnation });
                Told { service: s.service.clone(), state: state.to_string(), ..Told::default() }
            }
            None => Told { state: json!({ "is": "none" }).to_string(), ended: true, ..Told::default() },
        };
        self.tell(Told { key, place, zone, ..told });
    }

    /// A page of the control state is in force here.
    pub fn page(&self, key: &str, revision: (u64, u64, u64), control_value: &ControlValue) {
        let (round, owner, change) = revision;
        let place = Place { epoch: round, owner, ..Place::default() };
        let state = json!({ "owner": ip(owner as u32), "round": round }).to_string();
        self.tell(Told { key: format!("owner/{key}"), place, state, rises: true, ..Told::default() });
        match control_value {
            ControlValue::Configuration(c) if key == CONFIGURATION => self.items(c),
            ControlValue::Evacuation(on) => {
                let zone = key.strip_prefix(EVACUATION).unwrap_or(key).to_string();
                let place = Place { version: change.saturating_add(1), ..place };
                let state = json!({ "on": on }).to_string();
                self.tell(Told { key: key.to_string(), place, zone, state, ..Told::default() });
            }
            _ => {}
        }
    }

    fn items(&self, c: &Configuration) {
        let item =
            |of: &str, name: &str, edition: u64, service: &dyn Fn() -> String, state: &dyn Fn() -> Value| {
                let key = format!("item/{of}/{name}");
                let place = Place { version: edition.saturating_add(1), ..Place::default() };
                // Most stand as they stood: nothing is made of them.
                if self.event_feed.borrow().seen(&key).is_some_and(|seen| seen >= place) {
                    return;
                }
                let mut state = state();
                let ended = state.is_null();
                if ended {
                    state = json!({});
                }
                state["set"] = json!(!ended);
                state["edition"] = json!(edition);
                let (state, service) = (state.to_string(), service());
                self.tell(Told { key, place, service, state, ended, rises: true, ..Told::default() });
            };
        for d in c.destinations() {
            item(
                "destination",
                &d.name,
                d.version,
                &|| d.name.clone(),
                &|| json!({ "coldS": d.slow_start as f64 / 1e6 }),
            );
        }
        for r in c.routes() {
            let to = || {
                r.split.iter().take(NAMED).map(|(name, share)| json!([cut(name), share])).collect::<Vec<_>>()
            };
            let service = || match r.split.as_slice() {
                [(one, _)] => one.clone(),
                _ => String::new(),
            };
            let state = || json!({ "depot": cut(&r.virtual_host), "lane": cut(&r.path_prefix), "kind": r.kind.as_str(), "to": to() });
            item("route", &r.name, r.version, &service, &state);
        }
        if let Some(l) = c.limits() {
            item(
                "limits",
                "sizeLimits",
                l.version,
                &String::new,
                &|| json!({ "contentBytes": l.max_body_bytes }),
            );
        }
        for (of, name, edition) in c.tombstones() {
            item(of, name, edition, &String::new, &|| Value::Null);
        }
    }

    /// A call was refused here. Only this node tells of it.
    pub fn refused(&self, node_state: &NodeState, key: &str, why: &str) {
        let n = self.refused.get() + 1;
        self.refused.set(n);
        let life = node_state.peers.membership(|r| r.incarnation());
        let place = Place { epoch: life, owner: 0, version: n, mark: false };
        let state = json!({ "number": n, "key": key, "why": cut(why) }).to_string();
        self.tell(Told {
            key: format!("refused/{}", node_state.settings.ip),
            place,
            state,
            ..Told::default()
        });
    }
}

fn place(p: &Place) -> String {
    format!("{}.{}.{}{}", p.epoch, p.owner, p.version, if p.mark { "!" } else { "" })
}

fn rendered(node_state: &NodeState, line: &Line, out: &mut Vec<u8>) {
    let value = match line {
        Line::Gap { kind, count, more, why } => {
            let at = node_state.settings.control.map(|at| format!("http://{at}/-/Post.State"));
            json!({ "gap": kind, "count": count, "more": more, "why": why.word(), "snapshot": at })
        }
        Line::Event { event, after, missed, mark } => {
            let t = &event.told;
            let state: Value = serde_json::from_str(&t.state).unwrap_or(Value::Null);
            let at = Cursor::of(&t.key, *mark).write();
            json!({ "kind": kind(&t.key), "key": t.key, "place": place(&t.place), "after": after.as_ref().map(place),
                "missed": missed, "zone": t.zone, "service": t.service, "state": state, "at": at })
        }
    };
    out.extend_from_slice(value.to_string().as_bytes());
    out.push(b'\n');
}

fn cursor_line(event_stream: &EventStream, reader: &Reader, out: &mut Vec<u8>) {
    let cursor = event_stream.event_feed.borrow().cursor(reader).write();
    out.extend_from_slice(json!({ "cursor": cursor }).to_string().as_bytes());
    out.push(b'\n');
}

fn decoded(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        let hex =
            bytes.get(i + 1..i + 3).filter(|_| bytes[i] == b'%').and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What is asked of the feed.
pub struct Wish {
    cursor: Cursor,
    filter: Filter,
    follow: bool,
    limit: usize,
}

/// Whether this is a call of the feed's.
pub fn meant(asked: &RequestHead) -> bool {
    matches!(asked.method.as_str(), "GET" | "POST") && asked.target.split('?').next() == Some(PATH)
}

/// Read a call: the query, and cursors in the body, one a line.
fn wish(target: &str, body: &[u8]) -> Result<Wish, String> {
    let mut wish = Wish { cursor: Cursor::default(), filter: Filter::default(), follow: false, limit: PAGE };
    let query = target.split_once('?').map_or("", |(_, q)| q);
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let list = || value.split(',').filter(|v| !v.is_empty()).map(decoded);
        match name {
            "after" => wish.cursor.merge(Cursor::read(value).map_err(|e| e.to_string())?),
            "kind" => wish.filter.kinds.extend(list()),
            "service" => wish.filter.services.extend(list()),
            "zone" => wish.filter.zones.extend(list()),
            "follow" => wish.follow = value != "0",
            "limit" => {
                let n = value.parse().ok().filter(|n| (1..=PAGE).contains(n));
                wish.limit = n.ok_or(format!("limit {value:?}: not between 1 and {PAGE}"))?;
            }
            _ => return Err(format!("{name:?}: not known (after, kind, service, zone, follow, limit)")),
        }
    }
    let text = std::str::from_utf8(body).map_err(|_| "the body is no text (send cursors, one a line)")?;
    for line in text.lines().filter(|l| !l.trim().is_empty()) {
        wish.cursor.merge(Cursor::read(line.trim()).map_err(|e| e.to_string())?);
    }
    Ok(wish)
}

fn fault(status: u16, why: &str, lines: &str) -> Vec<u8> {
    let body = json!({ "error": why }).to_string();
    let lines = format!("Content-Type: application/json\r\n{lines}");
    wire::encode_response(status, lines.as_bytes(), body.as_bytes(), true, false)
}

/// Answer a call of the feed's; the connection ends with it.
pub async fn serve(node_state: Rc<NodeState>, mut line: Connection, asked: RequestHead, body: Vec<u8>) {
    let bytes = match (node_state.event_stream.get(), wish(&asked.target, &body)) {
        (None, _) => fault(404, "no feed here (start the role with --feed, or ask another node)", ""),
        (_, Err(why)) => fault(400, &why, ""),
        (Some(event_stream), Ok(wish)) if wish.follow => {
            if event_stream.followers.get() < FOLLOWERS {
                event_stream.followers.set(event_stream.followers.get() + 1);
                follow(&node_state, event_stream, &mut line, wish).await;
                event_stream.followers.set(event_stream.followers.get() - 1);
                return;
            }
            fault(503, "enough readers follow here (ask another node)", "Retry-After: 5\r\n")
        }
        (Some(event_stream), Ok(wish)) => page(&node_state, event_stream, wish),
    };
    let _ = timeout(UNTAKEN, line.write(&bytes)).await;
}

fn page(node_state: &NodeState, event_stream: &EventStream, wish: Wish) -> Vec<u8> {
    let mut reader = event_stream.event_feed.borrow().open(wish.cursor, wish.filter);
    let lines = event_stream.event_feed.borrow().read(&mut reader, wish.limit);
    let mut out = Vec::new();
    lines.iter().for_each(|l| rendered(node_state, l, &mut out));
    cursor_line(event_stream, &reader, &mut out);
    wire::encode_response(200, b"Content-Type: application/x-ndjson\r\n", &out, true, false)
}

async fn follow(node_state: &Rc<NodeState>, event_stream: &EventStream, line: &mut Connection, wish: Wish) {
    let mut reader = event_stream.event_feed.borrow().open(wish.cursor, wish.filter);
    let mut out =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n".to_vec();
    let (mut since, mut told, mut first) = (0, Instant::now(), true);
    loop {
        let lines = event_stream.event_feed.borrow().read(&mut reader, AT_A_TIME);
        lines.iter().for_each(|l| rendered(node_state, l, &mut out));
        since += lines.len();
        let all = lines.len() < AT_A_TIME;
        if first && all || since >= CURSOR_AFTER || since > 0 && told.elapsed() >= CURSOR_EVERY {
            cursor_line(event_stream, &reader, &mut out);
            (since, told, first) = (0, Instant::now(), false);
        }
        if !out.is_empty() && !matches!(timeout(UNTAKEN, line.write(&out)).await, Ok(Ok(()))) {
            return;
        }
        // Many wait for long: none keeps room meanwhile.
        out = Vec::new();
        if !all {
            continue;
        }
        let news = event_stream.news.notified();
        if !event_stream.event_feed.borrow().has_more(&reader) {
            tokio::select! {
                _ = news => tokio::time::sleep(GATHER).await,
                // A follower says nothing; if it does, or ends, it is over.
                _ = line.wait_for_event() => return,
                _ = node_state.idle_connections_closing() => return,
                _ = tokio::time::sleep(STILL) => out.push(b'\n'),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wish_is_read_or_told_what_is_wrong() {
        let wish =
            wish("/-/Post.Events?kind=node,item&zone=a%2Db&follow=1&limit=9", b"").expect("well-formed");
        assert!(wish.follow && wish.limit == 9);
        assert_eq!(
            (wish.filter.kinds, wish.filter.zones),
            (vec!["node".into(), "item".into()], vec!["a-b".to_string()])
        );
        for (target, body, word) in [
            ("?limit=0", &b""[..], "limit"),
            ("?limit=99999", b"", "limit"),
            ("?x=1", b"", "not known"),
            ("?after=AAAA", b"", "cursor"),
            ("", b"\xff", "no text"),
            ("?zone=%zz", b"zz", "cursor"),
        ] {
            let why = super::wish(&format!("{PATH}{target}"), body).err().expect(target);
            assert!(why.contains(word), "{target}: {why}");
        }
    }
}
