//! An origin, gates and upstreams, one request that is struck, others before and behind it, and the judge of what was seen.
use super::relay::{Cut, Link, Plan, Relay, Way};
use crate::tests::support::{self, value, Sidecar, SidecarOptions};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The request that is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Safe,
    Once,
    /// An upload that is offered to a gate before it is sent.
    Up,
    /// One that is passed on as it comes.
    Big,
}

/// What the first upstream says that it reaches; later ones serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    Served,
    Failed,
    Away,
    /// Served, by an answer that is passed on as it comes.
    Long,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub ask: Ask,
    pub says: Says,
    /// Other requests went before it, so that connections are used again and lives known.
    pub warm: bool,
    /// The upstream is beside the origin itself.
    pub own: bool,
    pub strike: Option<(Link, Way, usize, Cut)>,
}

/// What an upstream did with one request.
struct Ran {
    id: String,
    status: u16,
    stamp: String,
    body: Vec<u8>,
}

type Book = Rc<RefCell<Vec<Ran>>>;

/// What came of a case.
#[derive(Default)]
pub struct Saw {
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Bytes of the request that is struck, by link.
    pub carried: BTreeMap<(Link, Way), Vec<u8>>,
}

/// What a client got: status, `Attempt-Id`, `Postmark`, body.
struct Got {
    status: String,
    id: String,
    stamp: Option<String>,
    body: Vec<u8>,
}

/// No client waits longer, in paused time.
const PATIENCE: Duration = Duration::from_secs(120);
/// Whatever still lies anywhere has come by then, and all tickets are forgotten.
const LATER: Duration = Duration::from_secs(90);

fn body_of(ask: Ask) -> Vec<u8> {
    match ask {
        Ask::Safe => Vec::new(),
        Ask::Once => b"0123456789".to_vec(),
        Ask::Up => support::bytes(20_000),
        Ask::Big => support::bytes(MAX_BUFFERED_BODY_BYTES + 70_000),
    }
}

fn request(ask: Ask, id: &str) -> Vec<u8> {
    let (method, route) = match ask {
        Ask::Safe => ("GET", "safe"),
        Ask::Once => ("POST", "once"),
        Ask::Up | Ask::Big => ("POST", "up"),
    };
    let body = body_of(ask);
    let length = if ask == Ask::Safe { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n{length}\r\n"
    );
    [head.into_bytes(), body].concat()
}

/// A connection that reads messages.
struct Reader {
    stream: TcpStream,
    come: Vec<u8>,
}

impl Reader {
    async fn more(&mut self) -> Option<()> {
        let mut room = vec![0; 64 * 1024];
        let n = self.stream.read(&mut room).await.ok().filter(|n| *n > 0)?;
        self.come.extend_from_slice(&room[..n]);
        Some(())
    }

    /// A head and its body, whole.
    async fn message(&mut self) -> Option<(String, Vec<u8>)> {
        let end = loop {
            match self.come.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(at) => break at + 4,
                None => self.more().await?,
            }
        };
        let head = String::from_utf8(self.come.drain(..end).collect()).ok()?;
        let body = match value(&head, "transfer-encoding") {
            Some(_) => self.chunks().await?,
            None => {
                let length = value(&head, "content-length").map_or(Some(0), |n| n.parse().ok())?;
                self.bytes(length).await?
            }
        };
        Some((head, body))
    }

    async fn bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.come.len() < length {
            self.more().await?;
        }
        Some(self.come.drain(..length).collect())
    }

    async fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut all = Vec::new();
        loop {
            let end = loop {
                match self.come.windows(2).position(|w| w == b"\r\n") {
                    Some(at) => break at + 2,
                    None => self.more().await?,
                }
            };
            let line: Vec<u8> = self.come.drain(..end).collect();
            let size = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
            all.extend(self.bytes(size).await?);
            self.bytes(2).await?;
            if size == 0 {
                return Some(all);
            }
        }
    }
}

/// An upstream: runs all that comes whole, writes it down, and answers by `says` the first time that `x` comes to any.
async fn upstream(ip: Ipv4Addr, says: Says, book: Book) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).await.expect("a port");
    let at = listener.local_addr().expect("bound");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let book = book.clone();
            tokio::task::spawn_local(async move {
                let mut line = Reader { stream, come: Vec::new() };
                while let Some((head, body)) = line.message().await {
                    let bytes = answer(&head, body, says, &book);
                    if line.stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// The body of an answer with this stamp.
fn text(stamp: &str, long: bool) -> String {
    let fill = if long { MAX_BUFFERED_BODY_BYTES + 70_000 } else { 0 };
    format!("{stamp}{}#END", ".".repeat(fill))
}

fn answer(head: &str, body: Vec<u8>, says: Says, book: &Book) -> Vec<u8> {
    let id = value(head, "attempt-id").unwrap_or_default();
    let mut book = book.borrow_mut();
    let first = id == "x" && !book.iter().any(|r| r.id == id);
    let status = match says {
        Says::Failed if first => 500,
        Says::Away if first => 503,
        _ => 200,
    };
    let stamp = format!("{id}.{}", book.len());
    book.push(Ran { id: id.clone(), status, stamp: stamp.clone(), body });
    let text = text(&stamp, says == Says::Long && id == "x");
    let lines = match status {
        503 => "Not-Delivered: full\r\n".to_string(),
        _ => format!("Postmark: {stamp}\r\n"),
    };
    let framed = match head.starts_with("GET") {
        true => format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n0\r\n\r\n", text.len()),
        false => format!("Content-Length: {}\r\n\r\n{text}", text.len()),
    };
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{lines}{framed}").into_bytes()
}

/// Where the sidecars of case `number` stand: ports of loopback are soon used up at one address.
fn ip(number: usize, last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 1 + (number / 250 % 250) as u8, (number % 250) as u8, last)
}

async fn gate(number: usize, last: u8, case: Case, book: &Book, plan: &Rc<Plan>) -> (Sidecar, Relay) {
    let at = upstream(ip(number, last), case.says, book.clone()).await;
    let station = Relay::before(ip(number, last), at, Link::Station, plan).await;
    let gate = support::sidecar_at(ip(number, last), station.at, SidecarOptions::default()).await.0;
    gate.beat();
    (gate, station)
}

/// Play one case from its start; what was seen, and the status that the struck request ended with.
pub fn play(case: Case, number: usize) -> (Saw, String) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let plan = Rc::new(Plan { strike: case.strike, ..Plan::default() });
        let book = Book::default();
        let (first, station) = gate(number, 2, case, &book, &plan).await;
        let origin = match case.own {
            true => first,
            false => {
                let origin =
                    support::sidecar_at(ip(number, 1), station.at, SidecarOptions::default()).await.0;
                for (last, one) in [(2, Some(first)), (3, None)] {
                    let one = match one {
                        Some(one) => one,
                        None => gate(number, last, case, &book, &plan).await.0,
                    };
                    let relay = Relay::before(one.ip, one.inbound, Link::Hop, &plan).await;
                    if matches!(case.strike, Some((.., Cut::Restart))) {
                        let next = support::sidecar_at(
                            one.ip,
                            one.node_state.settings.upstream_address.expect("one"),
                            SidecarOptions::default(),
                        );
                        let next = next.await.0;
                        next.beat();
                        relay.next.set(Some(next.inbound));
                    }
                    origin.hears_of(&Sidecar { inbound: relay.at, ..one });
                }
                origin
            }
        };
        let (mut got, surplus) = converse(case, &origin, &plan).await;
        let mut saw = Saw { carried: plan.carried.borrow().clone(), ..Saw::default() };
        judge(case, &mut saw, &got, surplus, &book.borrow());
        let came = got.remove("x").flatten().map_or("none".to_string(), |g| g.status);
        (saw, if plan.struck.get() { came } else { format!("{came}, not struck") })
    })
}

type Gots = BTreeMap<&'static str, Option<Got>>;

/// The client's side: all on one connection as long as it lasts. Also whether more came than was asked for.
async fn converse(case: Case, origin: &Sidecar, plan: &Plan) -> (Gots, bool) {
    let mut line = None;
    let mut got = Gots::new();
    let warm: &[&str] = if case.warm { &["v", "w"] } else { &[] };
    for id in warm {
        got.insert(id, exchange(&mut line, origin, Ask::Once, id).await);
    }
    plan.armed.set(true);
    got.insert("x", exchange(&mut line, origin, case.ask, "x").await);
    plan.awake.set(true);
    plan.wake.notify_waiters();
    for id in ["y", "z"] {
        got.insert(id, exchange(&mut line, origin, Ask::Once, id).await);
    }
    tokio::time::sleep(LATER).await;
    let surplus =
        line.is_some_and(|l| !l.come.is_empty() || matches!(l.stream.try_read(&mut [0; 1]), Ok(n) if n > 0));
    (got, surplus)
}

async fn exchange(line: &mut Option<Reader>, origin: &Sidecar, ask: Ask, id: &str) -> Option<Got> {
    if line.is_none() {
        let stream = TcpStream::connect(origin.at).await.expect("a connection");
        *line = Some(Reader { stream, come: Vec::new() });
    }
    let open = line.as_mut()?;
    let answer = timeout(PATIENCE, async {
        open.stream.write_all(&request(ask, id)).await.ok()?;
        open.message().await
    });
    let Some((head, body)) = answer.await.ok().flatten() else {
        *line = None;
        return None;
    };
    if value(&head, "connection").is_some() {
        *line = None;
    }
    let (id, stamp) = (value(&head, "attempt-id").unwrap_or_default(), value(&head, "postmark"));
    Some(Got { status: support::status(&head).to_string(), id, stamp, body })
}

/// The rules, by what client and upstreams saw.
fn judge(case: Case, saw: &mut Saw, got: &Gots, surplus: bool, book: &[Ran]) {
    let broken = &mut saw.broken;
    if surplus {
        broken.push("MIXED: bytes that nobody asked for".to_string());
    }
    let surplus_seen = matches!(case.strike, Some((.., Cut::Byte | Cut::Double)));
    if surplus_seen && got.get("y").is_some_and(|y| y.as_ref().is_none_or(|y| y.status != "200")) {
        let statuses: Vec<_> = got.iter().map(|(id, g)| (id, g.as_ref().map(|g| &g.status))).collect();
        broken.push(format!("a connection was used again after a surplus byte: {statuses:?}"));
    }
    for ran in book {
        let ask = if ran.id == "x" { case.ask } else { Ask::Once };
        if !got.contains_key(ran.id.as_str()) || ran.body != body_of(ask) {
            broken.push(format!("UNASKED: {} with {} bytes", ran.id, ran.body.len()));
        }
    }
    for (id, got) in got {
        let Some(got) = got else {
            // What has begun to go on can only be broken off.
            let may_break = *id == "x" && case.says == Says::Long && case.strike.is_some();
            if may_break {
                continue;
            }
            broken.push(format!("{id}: no answer"));
            continue;
        };
        let safe = *id == "x" && case.ask == Ask::Safe;
        let ran: Vec<&Ran> = book.iter().filter(|r| r.id == *id && r.status != 503).collect();
        let arrived = book.iter().filter(|r| r.id == *id).count();
        if ran.len() > if safe { 2 } else { 1 } || arrived > 2 {
            broken.push(format!("TWICE: {id} ran {} times and came {arrived} times", ran.len()));
        }
        if matches!(got.status.as_str(), "408" | "421" | "429" | "503") && !safe && !ran.is_empty() {
            broken.push(format!("REFUSED: {id} with {}, and ran", got.status));
        }
        if got.id != *id {
            broken.push(format!("MIXED: {id} got the answer of {:?}", got.id));
        }
        let own = got.stamp.as_ref().and_then(|stamp| ran.iter().find(|r| r.stamp == *stamp));
        let own = own.is_some_and(|r| {
            let long = *id == "x" && case.says == Says::Long;
            r.status.to_string() == got.status && got.body == text(&r.stamp, long).into_bytes()
        });
        let ours = got.stamp.is_none() && matches!(got.status.as_str(), "502" | "503" | "504");
        if !own && !ours {
            broken.push(format!(
                "MIXED: {id} with {} {:?} {:?}",
                got.status,
                got.stamp,
                String::from_utf8_lossy(&got.body)
            ));
        }
    }
}
