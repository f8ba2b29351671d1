//! Where the machine's clients, and its upstream, bring their requests: one connection a task, one request at a time on it.
//! Finds the route; where the request goes, whether again and when not is the module's to say (`desk`).
use crate::broken::{self, Broken};
use crate::desk::{Desk, Mail, Ticket, CONNECT};
use crate::freight::{Bringer, Freight, Share};
use crate::gate;
use crate::hop::{self, Came, Order, Tail, Told};
use crate::members::{self, Head};
use crate::post::{Counted, Door, Post};
use crate::receipts;
use crate::rests;
use crate::waybill::{self, Waybill, Word};
use crate::wire::{self, Answer, Asked, End, Line, Size, Wrong};
use silvercross_facade::{Attempt, Report, Step};
use silvercross_net::http::{Bad, Framing};
use silvercross_net::stream::Decoder;
use silvercross_sorting::{Kind, Route};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

/// Behind a last answer, what still comes is read away for so long.
const AFTER: Duration = Duration::from_millis(500);
/// Where nothing better is known, a client turned away comes back after this, in microseconds.
const RETURN: i64 = 250_000;
/// Without a configuration a request waits for this part of its deadline, and so long at most, in microseconds.
const WAIT_DEADLINE: i64 = 25;
const WAIT_MOST: i64 = 200_000;
/// Without an upstream it waits for this part of its aim.
const WAIT_AIM: i64 = 4;
/// A gate is asked what became of a request for no longer than this after the request was written: half of the gate's memory.
const ASKS: Duration = Duration::from_micros(receipts::SPAN as u64 / 2);
/// It is asked at once, then with a pause that grows.
const PAUSE: Duration = Duration::from_millis(25);
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// A body from this size on is offered to a gate before it is sent.
const OFFERED: usize = 16 * 1024;
/// Connections open at a time, as a share of the descriptors: the rest is for hops and the upstream.
pub const CONNECTIONS: u64 = 2;

/// What a client is answered.
pub struct Reply {
    status: u16,
    lines: Vec<u8>,
    body: Vec<u8>,
    /// What comes behind that, and the length of both where it is known.
    tail: Option<Box<Tail>>,
    length: Option<u64>,
    /// Told how that ended.
    flow: Option<Flow>,
    /// The body's place among those held here.
    _share: Option<Share>,
}

/// A request whose answer is being passed on.
struct Flow {
    ticket: Ticket,
    attempt: Attempt,
}

impl Reply {
    fn own(status: u16, text: &str) -> Self {
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
    async fn pass(self, post: &Rc<Post>, to: &mut OwnedWriteHalf, size: Size) -> bool {
        let Some(tail) = self.tail else { return true };
        let passed = tail.pass(&post.pool, to, size).await;
        if let Some(flow) = self.flow {
            flow.ticket.desk.report(flow.attempt, if passed { Report::Served } else { Report::Broken });
        }
        passed
    }

    /// It has not run and never will: come back then.
    fn promise(status: u16, text: &str, after: Option<i64>) -> Self {
        let mut reply = Reply::own(status, text);
        let seconds = after.unwrap_or(RETURN).max(1000) as f64 / 1e6;
        reply.lines.extend_from_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
        reply
    }
}

/// Take clients, for as long as the process lives.
pub async fn listen(post: Rc<Post>, listener: TcpListener) {
    loop {
        let next = tokio::select! {
            next = listener.accept() => next,
            // Connections that nobody has taken by now end with the listener, and their requests unread.
            _ = post.is_shut() => return,
        };
        let Ok((stream, _)) = next else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if post.counts.clients.get() >= post.boot.descriptors / CONNECTIONS {
            post.shut_out(Door::Outbound);
            continue;
        }
        let post = post.clone();
        let counted = Counted::new(&post, |c| &c.clients);
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let mut line = Line::new(stream, End::Outer(0));
            while one(&post, &mut line).await {}
        });
    }
}

/// One request of a connection; whether another may come.
async fn one(post: &Rc<Post>, line: &mut Line) -> bool {
    if !rests::taken_up(post, line).await {
        return false;
    }
    // Those in force as the request comes.
    let limits = post.table().limits();
    let span = |us: i64| Duration::from_micros(us.max(1) as u64);
    let most = limits.content_bytes.min(usize::MAX as u64) as usize;
    line.end = End::Outer(limits.envelope_bytes);
    let whole = span(limits.envelope_us);
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
    let (mut decoder, mut share) = (Decoder::new(asked.framing, most), post.stores.share());
    let held = timeout_at(until, line.held(&mut decoder, stated, &mut share, false)).await;
    asked.waybill = None;
    asked.expects = None;
    asked.sender = Some(post.boot.destination.clone());
    let (held, whole) = match held.unwrap_or(Err(Wrong::Late)) {
        Ok(held) => held,
        Err(wrong) => {
            if matches!(wrong, Wrong::NoRoom) {
                post.counts.no_room.set(post.counts.no_room.get() + 1);
            }
            return refuse(line, wrong).await;
        }
    };
    if !whole {
        let (freight, bringer) = Freight::coming(held, stated.map(|n| n as u64), share);
        return large(post, line, &asked, freight, bringer, &mut decoder, until).await;
    }
    let open = Open::new(post);
    let mut reply = serve(post, &asked, &Freight::whole(held, share)).await;
    drop(open);
    let close = !asked.keep_alive || asked.old || post.stopping();
    let (bytes, size) = begin(post, &mut reply, &asked, close);
    let close = close || size == Size::Close && reply.tail.is_some();
    if line.write(&bytes).await.is_err() {
        return false;
    }
    if reply.tail.is_some() {
        let Some(mut write) = line.split() else { return false };
        let passed = reply.pass(post, &mut write, size).await;
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

/// A request counts as open for as long as this lives.
struct Open<'p>(&'p Post);

impl<'p> Open<'p> {
    fn new(post: &'p Post) -> Self {
        post.counts.requests.set(post.counts.requests.get() + 1);
        post.open.set(post.open.get() + 1);
        Open(post)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// One request whose body is still coming: it is read on while the request is served, no faster than it is passed on.
async fn large(
    post: &Rc<Post>,
    line: &mut Line,
    asked: &Asked,
    freight: Rc<Freight>,
    bringer: Bringer,
    decoder: &mut Decoder,
    until: Instant,
) -> bool {
    let Some(mut write) = line.split() else { return false };
    let _open = Open::new(post);
    let replies = Cell::new(false);
    let ended = {
        let work = async {
            let mut reply = serve(post, asked, &freight).await;
            replies.set(true);
            // Where part of the body was not read, the connection carries nothing more.
            let close = !asked.keep_alive || asked.old || post.stopping() || !freight.at_end();
            let (bytes, size) = begin(post, &mut reply, asked, close);
            let close = close || size == Size::Close && reply.tail.is_some();
            let passed = write.write_all(&bytes).await.is_ok() && reply.pass(post, &mut write, size).await;
            (passed, close)
        };
        let read = async {
            bringer.wanted().await;
            match timeout_at(until, bringer.bring(line, decoder)).await.unwrap_or(Err(Wrong::Late)) {
                Err(wrong) if !replies.get() && !matches!(wrong, Wrong::Closed) => wrong,
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
        Err(Wrong::Late) => false,
        Err(wrong) => refuse(line, wrong).await,
    }
}

/// An answer's first bytes, or all of them.
fn begin(post: &Post, reply: &mut Reply, asked: &Asked, close: bool) -> (Vec<u8>, Size) {
    let mut lines = std::mem::take(&mut reply.lines);
    if let Some(id) = asked.id.as_ref().filter(|_| !has_id(&lines)) {
        lines.extend_from_slice(format!("Attempt-Id: {id}\r\n").as_bytes());
    }
    if let Some(rests) = rests::line(post.rests.borrow().stated()).filter(|_| !close) {
        lines.extend_from_slice(rests.as_bytes());
    }
    let bodiless = asked.method == "HEAD";
    if reply.tail.is_none() {
        return (wire::whole(reply.status, &lines, &reply.body, close, bodiless), Size::Close);
    }
    wire::begun(reply.status, &lines, &reply.body, reply.length, close, asked.old)
}

fn has_id(lines: &[u8]) -> bool {
    const NAME: &[u8] = b"attempt-id:";
    lines.split(|b| *b == b'\n').any(|l| l.len() >= NAME.len() && l[..NAME.len()].eq_ignore_ascii_case(NAME))
}

/// A request that could not be read: say why, if its sender may still listen.
async fn refuse(line: &mut Line, wrong: Wrong) -> bool {
    let (status, text) = match wrong {
        Wrong::Closed | Wrong::Broken => return false,
        Wrong::Late => (408, "the request did not come whole in time"),
        Wrong::NoRoom => (503, "too many bodies are held here"),
        Wrong::Bad(bad) => match bad {
            Bad::Malformed(what) => (400, what),
            other => (wire::status_of(&other), "larger than the limits allow"),
        },
    };
    let reply = match status {
        503 => Reply::promise(status, text, None),
        _ => Reply::own(status, text),
    };
    let bytes = wire::whole(status, &reply.lines, &reply.body, true, false);
    if line.write(&bytes).await.is_ok() {
        line.finish().await;
        line.drain(AFTER).await;
    }
    false
}

/// Find the route and the service, and have the request served.
async fn serve(post: &Rc<Post>, asked: &Asked, freight: &Rc<Freight>) -> Reply {
    // A process that has just started knows the configuration and the upstreams within a moment: that is cheaper to wait for
    // than a client's second try. No longer than a part of what the client, or the aim, allows.
    let patience = asked.deadline.map_or(0, |d| d / WAIT_DEADLINE).min(WAIT_MOST);
    post.until(patience, || post.configured()).await;
    let table = post.table();
    if !post.configured() {
        return Reply::promise(503, "no configuration has come yet", None);
    }
    let Some(route) = table.find(&asked.host, &asked.target) else {
        return Reply::own(404, "no route");
    };
    let Some(id) = asked.id.clone() else { return Reply::own(400, "a request needs an Attempt-Id") };
    let budget = asked.deadline.map_or(route.deadline_us, |d| d.min(route.deadline_us));
    let (mut step, mut waited) = (None, 0);
    if post.members.looks() {
        match members::at_head(post, asked, route, &id, budget, freight.held().len()).await {
            Head::Goes { standing, after } => (step, waited) = (standing, after),
            Head::Turned { standing, after } => {
                let mut reply =
                    Reply::promise(429, "a lapsed trial's request has too little time", Some(after));
                members::mark(&mut reply.lines, Some(standing));
                return reply;
            }
            Head::Unknown => return Reply::own(403, "the request names no member"),
        }
    }
    let mut reply = send(post, asked, freight, route, id, budget, waited).await;
    if post.members.looks() {
        members::mark(&mut reply.lines, step);
    }
    reply
}

/// Find the service and have the request served; it waited for so long already.
async fn send(
    post: &Rc<Post>,
    asked: &Asked,
    freight: &Rc<Freight>,
    route: &Route,
    id: String,
    budget: i64,
    waited: i64,
) -> Reply {
    let service = post.draw(&route.split);
    post.until(route.target_us / WAIT_AIM, || post.desk(&service).is_some_and(|d| d.ready())).await;
    let Some(desk) = post.desk(&service) else {
        return Reply::promise(503, "no upstream of this service is known", None);
    };
    if budget <= waited {
        return Reply::promise(503, "its time is up", None);
    }
    let run = Run {
        post: post.clone(),
        desk,
        asked: Rc::new(asked.clone()),
        freight: freight.clone(),
        service,
        id,
        route: route.clone(),
        started: before(waited),
        budget,
        waited,
    };
    run.serve().await
}

/// The moment so many microseconds ago.
fn before(waited: i64) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_micros(waited.max(0) as u64)).unwrap_or(now)
}

/// One request on its way.
struct Run {
    post: Rc<Post>,
    desk: Rc<Desk>,
    asked: Rc<Asked>,
    freight: Rc<Freight>,
    service: String,
    id: String,
    route: Route,
    started: Instant,
    budget: i64,
    waited: i64,
}

/// What an attempt brought.
struct Brought {
    answer: Option<Answer>,
    /// It may have run.
    arrived: bool,
    /// It reached, or may have reached, its upstream.
    met: bool,
    /// When the gate said to come back.
    after: Option<i64>,
    /// For the log.
    how: &'static str,
}

/// Attempts are called off with their request.
#[derive(Default)]
struct Out(BTreeMap<u32, AbortHandle>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

impl Run {
    async fn serve(self) -> Reply {
        let (mail, mut inbox) = unbounded_channel();
        let Some(ticket) =
            self.desk.take(&self.route.name, self.budget - self.waited, (mail.clone(), &mut inbox))
        else {
            return Reply::promise(503, "too much is open here", None);
        };
        let mut out = Out::default();
        // Copies that had to wait, as a body that is still coming goes one way at a time.
        let mut behind: Vec<(u32, SocketAddr, String)> = Vec::new();
        let mut brought: BTreeMap<u32, Brought> = BTreeMap::new();
        loop {
            // The sender is ours too, so the box never ends.
            let Some(mail_in) = inbox.recv().await else { return Reply::own(502, "lost") };
            match mail_in {
                Mail::Ended(number, came) => {
                    if out.0.remove(&number).is_none() {
                        continue;
                    }
                    let (report, what) = judge(came);
                    let attempt = Attempt { request: ticket.handle, number };
                    if report == Report::Served && what.answer.as_ref().is_some_and(|a| a.tail.is_some()) {
                        // So much has come that no other answer can be had: it goes on as it comes.
                        self.desk.begun(attempt);
                        let mut reply = what.answer.map_or_else(|| Reply::own(502, "lost"), passed);
                        let left = Duration::from_micros(self.budget.max(0) as u64);
                        reply.tail.iter_mut().for_each(|t| t.until = Some(self.started + left));
                        reply.flow = Some(Flow { ticket, attempt });
                        return reply;
                    }
                    brought.insert(number, what);
                    self.desk.report(attempt, report);
                    if self.freight.rest.is_some() && out.0.is_empty() && inbox.is_empty() {
                        // The module awaits a copy that could not go out so far.
                        match behind.pop().filter(|_| !self.freight.spent()) {
                            Some((number, to, name)) => {
                                let further = brought.values().any(|b| b.met);
                                let task = self.attempt(number, to, name, further, mail.clone());
                                out.0.insert(number, task);
                            }
                            None => return self.given_up(brought, None, false),
                        }
                    }
                }
                Mail::Step(step) => match step {
                    Step::Send { attempt, upstream, to, .. } => {
                        let further = brought.values().any(|b| b.met) || !out.0.is_empty();
                        let name = self.desk.name_of(upstream);
                        if self.freight.rest.is_some() && !out.0.is_empty() {
                            behind.push((attempt.number, to, name));
                            continue;
                        }
                        if self.freight.spent() {
                            return self.given_up(brought, None, !out.0.is_empty());
                        }
                        let task = self.attempt(attempt.number, to, name, further, mail.clone());
                        out.0.insert(attempt.number, task);
                    }
                    Step::Cancel { attempt } => {
                        behind.retain(|b| b.0 != attempt.number);
                        if let Some(task) = out.0.remove(&attempt.number) {
                            task.abort();
                            brought.insert(
                                attempt.number,
                                Brought {
                                    answer: None,
                                    arrived: true,
                                    met: true,
                                    after: None,
                                    how: "called off",
                                },
                            );
                        }
                    }
                    Step::Serve { attempt } => {
                        let answer = brought.remove(&attempt.number).and_then(|b| b.answer);
                        return answer.map_or_else(|| Reply::own(502, "lost"), passed);
                    }
                    Step::Refuse { retry_after, .. } => {
                        return self.given_up(brought, retry_after, !out.0.is_empty())
                    }
                    Step::Fail { .. } => return self.given_up(brought, None, !out.0.is_empty()),
                    _ => {}
                },
            }
        }
    }

    /// The last word on a request that was given up: an upstream's own where there is one, a promise where nothing ran. `out`: an
    /// attempt has not ended, so it may still run.
    fn given_up(&self, mut brought: BTreeMap<u32, Brought>, retry_after: Option<i64>, out: bool) -> Reply {
        let counts = &self.post.counts;
        slog::debug!(self.post.log, "given up"; "route" => &self.route.name, "service" => &self.service,
            "after" => self.started.elapsed().as_millis() as u64, "budget" => self.budget / 1000,
            "attempts" => brought.values().map(|b| b.how).collect::<Vec<_>>().join(" "));
        let last = brought.values_mut().rev().find(|b| b.answer.is_some());
        if let Some(answer) = last.and_then(|b| b.answer.take()) {
            return passed(answer);
        }
        if !out && !brought.values().any(|b| b.arrived) {
            counts.refused.set(counts.refused.get() + 1);
            let told = brought.values().filter_map(|b| b.after).min();
            return Reply::promise(503, "no upstream can take it now", told.or(retry_after));
        }
        counts.failed.set(counts.failed.get() + 1);
        if self.started.elapsed().as_micros() as i64 + 50_000 >= self.budget {
            return Reply::own(504, "no answer in time");
        }
        Reply::own(502, "the upstream's answer was lost")
    }

    fn attempt(
        &self,
        number: u32,
        to: SocketAddr,
        name: String,
        further: bool,
        mail: UnboundedSender<Mail>,
    ) -> AbortHandle {
        let (post, asked, freight) = (self.post.clone(), self.asked.clone(), self.freight.clone());
        let (id, spent) = (self.id.clone(), self.started.elapsed().as_micros() as i64);
        let bill = Waybill {
            version: waybill::VERSION,
            service: self.service.clone(),
            further,
            priority: self.route.priority,
            repeatable: self.route.kind == Kind::Safe,
            aim: self.route.target_us - spent,
            ticket: if self.route.kind == Kind::Safe { 0 } else { self.post.ticket() },
            asks: false,
        };
        let left = self.budget - spent;
        let task = tokio::task::spawn_local(async move {
            let came = go(&post, &asked, &freight, &id, &bill, left, to, &name).await;
            let _ = mail.send(Mail::Ended(number, came));
        });
        task.abort_handle()
    }
}

/// Take it over a hop, or through this machine's own gate.
#[allow(clippy::too_many_arguments)]
async fn go(
    post: &Rc<Post>,
    asked: &Asked,
    freight: &Rc<Freight>,
    id: &str,
    bill: &Waybill,
    left: i64,
    to: SocketAddr,
    name: &str,
) -> Came {
    if Some(to) == post.boot.inbound {
        let mut mine = asked.clone();
        (mine.deadline, mine.expects) = (Some(left), Some(name.to_string()));
        return Came::Answer(Box::new(gate::serve(post, &mine, bill, freight, None).await));
    }
    let started = Instant::now();
    let limit = Duration::from_micros(CONNECT as u64);
    let from = Some(post.boot.ip.into());
    let Some(line) = post.pool.line(from, to, limit, End::Hop).await else {
        return Came::NotConnected;
    };
    let mut hop = asked.clone();
    hop.waybill = Some(waybill::write(bill));
    let left = left - started.elapsed().as_micros() as i64;
    // A body of some size is offered first: one that its gate would turn away crosses no link.
    let coming = Some(freight).filter(|f| f.rest.is_some() || f.held().len() >= OFFERED);
    let bytes = gate::request(&hop, left, Some(name), freight, coming.is_some());
    let bodiless = asked.method == "HEAD";
    let order = Order { to, bytes: &bytes, coming, awaits: coming.is_some(), id, bodiless };
    // Heard before the first byte is written: whoever gets it is of this life or a later one.
    let life = post.pool.life(to);
    let written = Instant::now();
    let came = hop::exchange(&post.pool, line, order, post.stores.share()).await;
    if !matches!(came, Came::Broken) || bill.repeatable {
        return came;
    }
    if broken::is(Broken::SentAgain) {
        return Came::NotConnected;
    }
    let until = started + Duration::from_micros(left.max(0) as u64);
    post.counts.asked.set(post.counts.asked.get() + 1);
    let told = timeout_at(until.min(written + ASKS), ask(post, asked, id, bill, to, until)).await;
    // Past its memory a gate that knows nothing proves nothing.
    let known = written.elapsed() < ASKS;
    let same = |of: Option<u64>| of == life || broken::is(Broken::AnyLife);
    let came = match told.ok().flatten() {
        None => Came::Broken,
        Some(answer) => match answer.word.as_deref().map(waybill::read::<Word>) {
            None => Came::Answer(answer),
            Some(Some(Word::Unseen)) if known && same(answer.life) => Came::NotConnected,
            Some(Some(Word::Absent | Word::Full(_) | Word::Shut)) => Came::Answer(answer),
            Some(_) => Came::Broken,
        },
    };
    if !matches!(came, Came::Broken) {
        post.counts.recovered.set(post.counts.recovered.get() + 1);
    }
    came
}

/// The hop broke after the request was written: its gate knows what became of it. `None`: nobody there knows.
async fn ask(
    post: &Rc<Post>,
    asked: &Asked,
    id: &str,
    bill: &Waybill,
    to: SocketAddr,
    until: Instant,
) -> Option<Box<Answer>> {
    let bill = waybill::write(&Waybill { asks: true, ..bill.clone() });
    let (own, limit) = (post.boot.ip.into(), Duration::from_micros(CONNECT as u64));
    let host = waybill::ASKED;
    let bytes = format!("GET / HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nWaybill: {bill}\r\n\r\n");
    let mut pause = PAUSE;
    while Instant::now() < until {
        let bodiless = asked.method == "HEAD";
        let order = Order { to, bytes: bytes.as_bytes(), coming: None, awaits: false, id, bodiless };
        match hop::ask(own, to, limit, order, post.stores.share()).await {
            // A gate that turns hops away at its door knows nothing of the attempt yet.
            Told::Answer(answer) if answer.word.is_some() && answer.life.is_none() => {}
            Told::Answer(answer) => return Some(answer),
            Told::Gone => return None,
            Told::Nothing => {}
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
    None
}

/// An exchange's end, as the module hears it, and what is kept of it.
fn judge(came: Came) -> (Report, Brought) {
    let answer = match came {
        Came::NotConnected => {
            return (
                Report::NotConnected,
                Brought { answer: None, arrived: false, met: false, after: None, how: "no connection" },
            )
        }
        Came::Broken => {
            return (
                Report::Broken,
                Brought { answer: None, arrived: true, met: true, after: None, how: "broken" },
            )
        }
        Came::Answer(answer) => answer,
    };
    if let Some(text) = &answer.word {
        let (report, arrived, after, how) = match waybill::read::<Word>(text) {
            Some(Word::Absent) => (Report::NotConnected, false, None, "absent"),
            Some(Word::Full(after)) => (Report::TurnedAway, false, Some(after).filter(|a| *a > 0), "full"),
            Some(Word::Shut) => (Report::TurnedAway, false, None, "shut"),
            Some(Word::Begun | Word::Unseen) | None => (Report::Broken, true, None, "begun, no answer"),
        };
        return (report, Brought { answer: None, arrived, met: arrived, after, how });
    }
    if answer.not_delivered || answer.status == 421 {
        // It did not run, and yet it arrived: what is sent after it is a further try.
        let how = "not delivered";
        return (Report::TurnedAway, Brought { answer: None, arrived: false, met: true, after: None, how });
    }
    let report = if answer.status >= 500 { Report::Error } else { Report::Served };
    let how = if report == Report::Error { "error" } else { "answer" };
    (report, Brought { answer: Some(*answer), arrived: true, met: true, after: None, how })
}

fn passed(answer: Answer) -> Reply {
    let Answer { status, lines, body, tail, length, share, .. } = answer;
    Reply { status, lines, body, tail, length, flow: None, _share: share }
}
