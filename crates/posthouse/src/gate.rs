//! The gate: the one way to the upstream on this machine. What passes is `silvercross-wicket`'s to say; here it is done on
//! sockets, and it is known for certain whether a byte was written.
use crate::hop::{self, Came};
use crate::post::Post;
use crate::waybill::{self, Waybill, Word};
use crate::wire::{self, Answer, Asked, Line};
use silvercross_wicket::{Arrival, Effect, Turned, Verdict, Wicket};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify};
use tokio::time::{timeout, Instant};

/// A connection on which no request comes is closed after this.
const IDLE: Duration = Duration::from_secs(30);
/// The rest of a head, and of a body, comes within this: the origin holds them whole.
const COMES: Duration = Duration::from_secs(5);
/// Connecting to the upstream on this machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Past a request's deadline an upstream's own word on it is waited for so long.
const LAST_WORD: i64 = 40_000;
/// How much of its aim a request may wait here before it is told to try elsewhere.
const PATIENCE: i64 = 4;

/// The gate's state.
pub struct Gate {
    wicket: RefCell<Wicket>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Result<(), Word>>>>,
    next: Cell<u64>,
    changed: Notify,
}

/// A place that is given back, however its request ends.
struct Place<'p> {
    post: &'p Post,
    number: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let (now, number) = (self.post.now(), self.number);
        self.post.gate.with(|w| w.done(now, number));
    }
}

/// One that waits; gone unless it got its place.
struct Waits<'p> {
    post: &'p Post,
    number: u64,
    waits: bool,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if self.waits {
            let (now, number) = (self.post.now(), self.number);
            self.post.gate.waiting.borrow_mut().remove(&number);
            self.post.gate.with(|w| w.gone(now, number));
        }
    }
}

fn word(why: Turned, retry_after: Option<i64>) -> Word {
    match why {
        Turned::NoStation | Turned::Another => Word::Absent,
        Turned::Draining | Turned::Evacuated => Word::Shut,
        Turned::Cold | Turned::Full | Turned::Late => Word::Full(retry_after.unwrap_or(0)),
        Turned::Twice => Word::Begun,
    }
}

impl Gate {
    /// With nothing behind it yet.
    pub fn new(wicket: Wicket) -> Self {
        Gate {
            wicket: RefCell::new(wicket),
            waiting: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Tell the decider something, and those that waited what came of it.
    pub fn with<R>(&self, act: impl FnOnce(&mut Wicket) -> R) -> R {
        let (out, effects) = {
            let mut wicket = self.wicket.borrow_mut();
            (act(&mut wicket), wicket.effects())
        };
        for effect in effects {
            let (number, said) = match effect {
                Effect::Go(number) => (number, Ok(())),
                Effect::Turn { number, why, retry_after } => (number, Err(word(why, retry_after))),
            };
            if let Some(to) = self.waiting.borrow_mut().remove(&number) {
                let _ = to.send(said);
            }
        }
        self.changed.notify_one();
        out
    }

    /// Let its time pass, for as long as the process lives.
    pub async fn tick(post: Rc<Post>) {
        loop {
            let wake = post.gate.wicket.borrow().wake();
            let now = post.now();
            let span = wake.map_or(5_000_000, |w| (w - now).clamp(0, 5_000_000));
            tokio::select! {
                _ = tokio::time::sleep(Duration::from_micros(span as u64)) => {
                    let now = post.now();
                    post.gate.with(|w| w.tick(now));
                }
                _ = post.gate.changed.notified() => {}
            }
        }
    }
}

/// What the gate answers for itself.
fn says(word: Word) -> Answer {
    let status = if word == Word::Begun { 502 } else { 503 };
    Answer {
        status,
        lines: Vec::new(),
        id: None,
        station: None,
        stamped: false,
        not_delivered: false,
        coded: false,
        cold: None,
        word: Some(waybill::write(&word)),
        keep_alive: true,
        idle: None,
        body: Vec::new(),
    }
}

/// Take a request to the upstream on this machine, if it may pass.
pub async fn serve(post: &Post, asked: &Asked, bill: &Waybill, body: &[u8]) -> Answer {
    let (Some(station), Some(id)) = (post.boot.station, asked.id.clone()) else {
        return says(Word::Absent);
    };
    let started = Instant::now();
    let deadline = asked.deadline.unwrap_or(60_000_000);
    let number = post.gate.next.get();
    post.gate.next.set(number + 1);
    let arrival = Arrival {
        number,
        id: id.clone(),
        expects: asked.expects.clone(),
        service: bill.service.clone(),
        priority: bill.priority,
        repeatable: bill.repeatable,
        further: bill.further,
        aim: bill.aim,
        patience: (bill.aim / PATIENCE).clamp(0, deadline.max(0)),
        deadline,
    };
    let now = post.now();
    // The place in the list of those that wait is there before the decider may call it.
    let (to, mut at) = oneshot::channel();
    post.gate.waiting.borrow_mut().insert(number, to);
    match post.gate.with(|w| w.arrive(now, arrival)) {
        Verdict::Go => {
            post.gate.waiting.borrow_mut().remove(&number);
        }
        Verdict::Turn { why, retry_after } => {
            post.gate.waiting.borrow_mut().remove(&number);
            post.counts.turned.set(post.counts.turned.get() + 1);
            return says(word(why, retry_after));
        }
        Verdict::Wait => {
            let mut waits = Waits { post, number, waits: true };
            let said = (&mut at).await;
            waits.waits = false;
            match said {
                Ok(Ok(())) => {}
                Ok(Err(word)) => {
                    post.counts.turned.set(post.counts.turned.get() + 1);
                    return says(word);
                }
                Err(_) => return says(Word::Absent),
            }
        }
    }
    let place = Place { post, number };
    let Some((line, _)) = post.pool.line(None, station, CONNECT).await else {
        // A refused connection is a sign that it is gone; its next beat says otherwise.
        let now = post.now();
        post.gate.with(|w| w.silent(now));
        post.station_silent();
        return says(Word::Absent);
    };
    let left = deadline - started.elapsed().as_micros() as i64;
    if left <= 0 {
        return says(Word::Full(0));
    }
    // While it connected the station may have been shut, or another life begun.
    let now = post.now();
    if !post.gate.with(|w| w.may_begin(now, number)) {
        return says(Word::Shut);
    }
    let request = request(asked, &id, left, asked.expects.as_deref(), body);
    let now = post.now();
    post.gate.with(|w| w.begun(now, number));
    post.counts.delivered.set(post.counts.delivered.get() + 1);
    let bodiless = asked.method == "HEAD";
    let most = wire::HELD * 64;
    let went = hop::exchange(&post.pool, station, line, &request, &id, bodiless, most);
    let came = timeout(Duration::from_micros((left + LAST_WORD) as u64), went).await;
    match came {
        Ok(Came::Answer(answer)) => {
            let now = post.now();
            if let Some(left) = answer.cold {
                post.gate.with(|w| w.cold(now, left));
            }
            // Its own word that it did not run: its id is free again. This has to be told before the place is given back.
            match answer.status {
                503 if answer.not_delivered => post.gate.with(|w| w.turned_by_station(now, number)),
                421 => post.gate.with(|w| w.not_run(now, number)),
                _ if answer.not_delivered => post.gate.with(|w| w.not_run(now, number)),
                _ => {}
            }
            drop(place);
            let spoilt = answer.coded || (answer.status < 300 && (!answer.stamped || answer.id.is_none()));
            if spoilt {
                return says(Word::Begun);
            }
            *answer
        }
        // Bytes may have gone out before the connection broke: not certain, so it may have run.
        Ok(Came::NotConnected | Came::Broken) | Err(_) => says(Word::Begun),
    }
}

/// A request's bytes, to an upstream or to a gate.
pub fn request(asked: &Asked, id: &str, left: i64, expects: Option<&str>, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(asked.lines.len() + body.len() + 512);
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", asked.method, asked.target).as_bytes());
    out.extend_from_slice(format!("Host: {}\r\n", asked.host).as_bytes());
    out.extend_from_slice(&asked.lines);
    let _ = id;
    out.extend_from_slice(format!("Deadline-Ms: {}\r\n", (left / 1000).max(1)).as_bytes());
    if let Some(sender) = &asked.sender {
        out.extend_from_slice(format!("Sender: {sender}\r\n").as_bytes());
    }
    if let Some(expects) = expects {
        out.extend_from_slice(format!("Expect-Station: {expects}\r\n").as_bytes());
    }
    if let Some(bill) = &asked.waybill {
        out.extend_from_slice(format!("Waybill: {bill}\r\n").as_bytes());
    }
    if !body.is_empty() || !matches!(asked.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Take hops from other sidecars, for as long as the process lives.
pub async fn listen(post: Rc<Post>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        hop::guard(&stream);
        let post = post.clone();
        tokio::task::spawn_local(async move {
            let mut line = Line::new(stream);
            while one(&post, &mut line).await {}
        });
    }
}

async fn one(post: &Rc<Post>, line: &mut Line) -> bool {
    let Ok(mut asked) = line.request(IDLE, COMES, wire::HEAD).await else { return false };
    let bill = asked.waybill.take().and_then(|t| waybill::read::<Waybill>(&t));
    let most = post.table().limits().content_bytes.min(usize::MAX as u64) as usize;
    let Ok(Ok(body)) = timeout(COMES, line.body(asked.framing, most)).await else { return false };
    let Some(bill) = bill.filter(|b| b.version == waybill::VERSION) else {
        let answer = says(Word::Absent);
        return line.write(&back(&asked, answer)).await.is_ok();
    };
    // An origin that hangs up has called the attempt off.
    let answer = {
        let serving = serve(post, &asked, &bill, &body);
        tokio::select! {
            answer = serving => answer,
            more = line.stirs() => {
                let _ = more;
                return false;
            }
        }
    };
    line.write(&back(&asked, answer)).await.is_ok()
}

fn back(asked: &Asked, answer: Answer) -> Vec<u8> {
    let mut lines = answer.lines;
    if let Some(word) = &answer.word {
        lines.extend_from_slice(format!("Waybill-Return: {word}\r\n").as_bytes());
        if let Some(id) = &asked.id {
            lines.extend_from_slice(format!("Attempt-Id: {id}\r\n").as_bytes());
        }
    }
    wire::whole(answer.status, &lines, &answer.body, false, asked.method == "HEAD")
}
