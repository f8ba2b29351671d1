//! Where the machine's clients, and its upstream, bring their requests: one connection a task, one request at a time on it.
//! Finds the route; where the request goes, whether again and when not is the module's to say (`desk`).
use crate::desk::{Desk, Mail, CONNECT};
use crate::gate;
use crate::hop::{self, Came};
use crate::post::Post;
use crate::waybill::{self, Waybill, Word};
use crate::wire::{self, Answer, Asked, Line, Wrong};
use silvercross_facade::{Attempt, Report, Step};
use silvercross_net::http::Bad;
use silvercross_sorting::{Kind, Route};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// Behind a last answer, what still comes is read away for so long.
const AFTER: Duration = Duration::from_millis(500);
/// Where nothing better is known, a client turned away comes back after this, in microseconds.
const RETURN: i64 = 250_000;
/// Without a configuration a request waits for this part of its deadline, and so long at most, in microseconds.
const WAIT_DEADLINE: i64 = 25;
const WAIT_MOST: i64 = 200_000;
/// Without an upstream it waits for this part of its aim.
const WAIT_AIM: i64 = 4;
/// Connections open at a time, as a share of the descriptors: the rest is for hops and the upstream.
pub const CONNECTIONS: u64 = 2;

/// What a client is answered.
pub struct Reply {
    status: u16,
    lines: Vec<u8>,
    body: Vec<u8>,
    close: bool,
}

impl Reply {
    fn own(status: u16, text: &str) -> Self {
        let lines = b"Content-Type: text/plain\r\n".to_vec();
        Reply { status, lines, body: format!("{text}\n").into_bytes(), close: false }
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
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if post.counts.clients.get() >= post.boot.descriptors / CONNECTIONS {
            post.counts.shut_out.set(post.counts.shut_out.get() + 1);
            continue;
        }
        let post = post.clone();
        post.counts.clients.set(post.counts.clients.get() + 1);
        tokio::task::spawn_local(async move {
            let mut line = Line::new(stream);
            while one(&post, &mut line).await {}
            post.counts.clients.set(post.counts.clients.get() - 1);
        });
    }
}

/// One request of a connection; whether another may come.
async fn one(post: &Rc<Post>, line: &mut Line) -> bool {
    let limits = post.table().limits();
    let span = |us: i64| Duration::from_micros(us.max(1) as u64);
    let request = tokio::select! {
        request = line.request(span(limits.idle_us), span(limits.envelope_us), limits.envelope_bytes) => request,
        // Between two requests a process that stops closes at once; clients open new ones.
        _ = post.idle_ends() => return false,
    };
    let (asked, body) = match request {
        Ok(mut asked) => {
            if asked.waits && line.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return false;
            }
            let most = limits.content_bytes.min(usize::MAX as u64) as usize;
            let patience = span(asked.deadline.unwrap_or(60_000_000));
            let body = timeout(patience, line.body(asked.framing, most)).await.unwrap_or(Err(Wrong::Late));
            asked.waybill = None;
            asked.expects = None;
            asked.sender = Some(post.boot.destination.clone());
            match body {
                Ok(body) => (asked, body),
                Err(wrong) => return refuse(line, wrong).await,
            }
        }
        Err(wrong) => return refuse(line, wrong).await,
    };
    post.counts.requests.set(post.counts.requests.get() + 1);
    post.open.set(post.open.get() + 1);
    let reply = serve(post, &asked, &body).await;
    post.open.set(post.open.get() - 1);
    let close = reply.close || !asked.keep_alive || asked.old || post.stopping();
    let mut lines = reply.lines;
    if let Some(id) = asked.id.as_ref().filter(|_| !has_id(&lines)) {
        lines.extend_from_slice(format!("Attempt-Id: {id}\r\n").as_bytes());
    }
    let bytes = wire::whole(reply.status, &lines, &reply.body, close, asked.method == "HEAD");
    if line.write(&bytes).await.is_err() {
        return false;
    }
    if close {
        line.finish().await;
        line.drain(AFTER).await;
    }
    !close
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
        Wrong::Bad(bad) => match bad {
            Bad::Malformed(what) => (400, what),
            other => (wire::status_of(&other), "larger than the limits allow"),
        },
    };
    let reply = Reply::own(status, text);
    let bytes = wire::whole(status, &reply.lines, &reply.body, true, false);
    if line.write(&bytes).await.is_ok() {
        line.finish().await;
        line.drain(AFTER).await;
    }
    false
}

/// Find the route and the service, and have the request served.
async fn serve(post: &Rc<Post>, asked: &Asked, body: &[u8]) -> Reply {
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
    let service = post.draw(&route.split);
    post.until(route.target_us / WAIT_AIM, || post.desk(&service).is_some_and(|d| d.ready())).await;
    let Some(desk) = post.desk(&service) else {
        return Reply::promise(503, "no upstream of this service is known", None);
    };
    let budget = asked.deadline.map_or(route.deadline_us, |d| d.min(route.deadline_us));
    if budget <= 0 {
        return Reply::promise(503, "its time is up", None);
    }
    let run = Run {
        post: post.clone(),
        desk,
        asked: Rc::new(asked.clone()),
        body: Rc::new(body.to_vec()),
        service,
        id,
        route: route.clone(),
        started: Instant::now(),
        budget,
    };
    run.serve().await
}

/// One request on its way.
struct Run {
    post: Rc<Post>,
    desk: Rc<Desk>,
    asked: Rc<Asked>,
    body: Rc<Vec<u8>>,
    service: String,
    id: String,
    route: Route,
    started: Instant,
    budget: i64,
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
        let Some(ticket) = self.desk.take(&self.route.name, self.budget, (mail.clone(), &mut inbox)) else {
            return Reply::promise(503, "too much is open here", None);
        };
        let mut out = Out::default();
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
                    brought.insert(number, what);
                    self.desk.report(Attempt { request: ticket.handle, number }, report);
                }
                Mail::Step(step) => match step {
                    Step::Send { attempt, upstream, to, .. } => {
                        let further = brought.values().any(|b| b.met) || !out.0.is_empty();
                        let name = self.desk.name_of(upstream);
                        let task = self.attempt(attempt.number, to, name, further, mail.clone());
                        out.0.insert(attempt.number, task);
                    }
                    Step::Cancel { attempt } => {
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
                    Step::Refuse { retry_after, .. } => return self.given_up(brought, retry_after),
                    Step::Fail { .. } => return self.given_up(brought, None),
                    _ => {}
                },
            }
        }
    }

    /// The last word on a request that was given up: an upstream's own where there is one, a promise where nothing ran.
    fn given_up(&self, mut brought: BTreeMap<u32, Brought>, retry_after: Option<i64>) -> Reply {
        let counts = &self.post.counts;
        slog::debug!(self.post.log, "given up"; "route" => &self.route.name, "service" => &self.service,
            "after" => self.started.elapsed().as_millis() as u64, "budget" => self.budget / 1000,
            "attempts" => brought.values().map(|b| b.how).collect::<Vec<_>>().join(" "));
        let last = brought.values_mut().rev().find(|b| b.answer.is_some());
        if let Some(answer) = last.and_then(|b| b.answer.take()) {
            return passed(answer);
        }
        if !brought.values().any(|b| b.arrived) {
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
        let (post, asked, body) = (self.post.clone(), self.asked.clone(), self.body.clone());
        let (id, spent) = (self.id.clone(), self.started.elapsed().as_micros() as i64);
        let bill = Waybill {
            version: waybill::VERSION,
            service: self.service.clone(),
            further,
            priority: self.route.priority,
            repeatable: self.route.kind == Kind::Safe,
            aim: self.route.target_us - spent,
        };
        let left = self.budget - spent;
        let task = tokio::task::spawn_local(async move {
            let came = go(&post, &asked, &body, &id, &bill, left, to, &name).await;
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
    body: &[u8],
    id: &str,
    bill: &Waybill,
    left: i64,
    to: SocketAddr,
    name: &str,
) -> Came {
    if Some(to) == post.boot.inbound {
        let mut mine = asked.clone();
        (mine.deadline, mine.expects) = (Some(left), Some(name.to_string()));
        return Came::Answer(Box::new(gate::serve(post, &mine, bill, body).await));
    }
    let started = Instant::now();
    let limit = Duration::from_micros(CONNECT as u64);
    let Some((line, _)) = post.pool.line(Some(post.boot.ip.into()), to, limit).await else {
        return Came::NotConnected;
    };
    let mut hop = asked.clone();
    hop.waybill = Some(waybill::write(bill));
    let left = left - started.elapsed().as_micros() as i64;
    let bytes = gate::request(&hop, id, left, Some(name), body);
    hop::exchange(&post.pool, to, line, &bytes, id, asked.method == "HEAD", wire::HELD * 64).await
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
            Some(Word::Begun) | None => (Report::Broken, true, None, "begun, no answer"),
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
    Reply { status: answer.status, lines: answer.lines, body: answer.body, close: false }
}
