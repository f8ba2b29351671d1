//! The gate: the one way to the upstream on this machine. What passes is `silvercross-wicket`'s to say; here it is done on
//! sockets, and it is known for certain whether a byte was written.
use crate::freight::{Bringer, Freight};
use crate::hop::{self, Came, Order};
use crate::post::{Counted, Door, Post};
use crate::receipts::{Kept, Known, Receipt};
use crate::waybill::{self, Waybill, Word};
use crate::wire::{self, Answer, Asked, End, Line, Size, Stir, Wrong};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use silvercross_wicket::{Arrival, Effect, Turned, Verdict, Wicket};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify, Semaphore};
use tokio::time::{timeout, timeout_at, Instant};

/// A connection on which no request comes is closed after this.
const IDLE: Duration = Duration::from_secs(30);
/// The rest of a head, and of a body, comes within this: the origin holds them whole.
const COMES: Duration = Duration::from_secs(5);
/// Connecting to the upstream on this machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Past a request's deadline an upstream's own word on it is waited for so long.
const LAST_WORD: i64 = 40_000;
/// Where there is no room for a body, the origin comes back after this at the earliest, in microseconds.
const NO_ROOM: i64 = 100_000;
/// So many bodies that were offered come at a time.
const LANE: usize = 2;
/// Hops' connections open at a time, as a share of the descriptors.
const CONNECTIONS: u64 = 4;
/// So many beyond that are told so at a time; the rest is closed without a word.
const TURNING: u64 = 32;
/// How much of its aim a request may wait here before it is told to try elsewhere.
const PATIENCE: i64 = 4;

/// The gate's state.
pub struct Gate {
    wicket: RefCell<Wicket>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Result<(), Word>>>>,
    next: Cell<u64>,
    changed: Notify,
    /// Tells idle hops' connections to make place, one for each call, the longest idle first.
    room: Notify,
    /// Those told so that are still there.
    leaving: Cell<u64>,
    /// Bodies that may cross the link at a time.
    lane: std::sync::Arc<Semaphore>,
}

/// A place that is given back, however its request ends.
struct Place {
    post: Rc<Post>,
    number: u64,
}

impl Drop for Place {
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
            room: Notify::new(),
            leaving: Cell::new(0),
            lane: std::sync::Arc::new(Semaphore::new(LANE)),
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
    let status = if matches!(word, Word::Begun | Word::Unseen) { 502 } else { 503 };
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
        life: None,
        keep_alive: true,
        idle: None,
        length: None,
        body: Vec::new(),
        tail: None,
        share: None,
    }
}

/// Take a request to the upstream on this machine, if it may pass.
pub async fn serve(
    post: &Rc<Post>,
    asked: &Asked,
    bill: &Waybill,
    freight: &Rc<Freight>,
    receipt: Option<&Receipt>,
) -> Answer {
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
    let place = Place { post: post.clone(), number };
    let Some(line) = post.pool.line(None, station, CONNECT, End::Outer(wire::HEAD)).await else {
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
    let request = request(asked, left, asked.expects.as_deref(), freight, false);
    let now = post.now();
    post.gate.with(|w| w.begun(now, number));
    receipt.iter().for_each(|r| r.begun());
    post.counts.delivered.set(post.counts.delivered.get() + 1);
    let coming = freight.rest.as_ref().map(|_| freight);
    let bodiless = asked.method == "HEAD";
    let order = Order { to: station, bytes: &request, coming, awaits: false, id: &id, bodiless };
    let went = hop::exchange(&post.pool, line, order, post.stores.share());
    let until = Instant::now() + Duration::from_micros((left + LAST_WORD) as u64);
    let came = timeout_at(until, went).await;
    match came {
        Ok(Came::Answer(mut answer)) => {
            let now = post.now();
            if let Some(left) = answer.cold {
                post.gate.with(|w| w.cold(now, left));
            }
            if spoilt(&answer, bill.repeatable) {
                return says(Word::Begun);
            }
            // Its own word that it did not run: its id is free again. This has to be told before the place is given back.
            match answer.status {
                503 if answer.not_delivered => post.gate.with(|w| w.turned_by_station(now, number)),
                421 => post.gate.with(|w| w.not_run(now, number)),
                _ if answer.not_delivered => post.gate.with(|w| w.not_run(now, number)),
                _ => {}
            }
            // While its answer is passed on, a request keeps its place.
            if let Some(tail) = &mut answer.tail {
                tail.until = Some(until);
                tail.holds.push(Box::new(place));
            }
            *answer
        }
        // Bytes may have gone out before the connection broke: not certain, so it may have run.
        Ok(Came::NotConnected | Came::Broken) | Err(_) => says(Word::Begun),
    }
}

/// An answer that is not passed on, as it would say something that is not so: a success that is not the upstream's own, or that says
/// that nothing ran; a promise of that where the upstream has not said so, and a new try would be a second run.
fn spoilt(answer: &Answer, repeatable: bool) -> bool {
    let promise = matches!(answer.status, 408 | 429 | 503);
    answer.coded
        || answer.status < 300 && !answer.stamped
        || answer.status < 400 && answer.not_delivered
        || promise && !answer.not_delivered && !repeatable
}

/// A request's bytes, to an upstream or to a gate: its head, and its body if that is here whole. `awaits`: the body is sent once
/// it is asked for.
pub fn request(asked: &Asked, left: i64, expects: Option<&str>, freight: &Freight, awaits: bool) -> Vec<u8> {
    let held = freight.held();
    let body: &[u8] = if freight.rest.is_some() || awaits { &[] } else { &held };
    let mut out = Vec::with_capacity(asked.lines.len() + body.len() + 512);
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", asked.method, asked.target).as_bytes());
    out.extend_from_slice(format!("Host: {}\r\n", asked.host).as_bytes());
    out.extend_from_slice(&asked.lines);
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
    match freight.size() {
        Size::Length(0) if matches!(asked.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS") => {}
        Size::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
        Size::Chunks | Size::Close => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
    if awaits {
        out.extend_from_slice(b"Expect: 100-continue\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Take hops from other sidecars, for as long as the process lives.
pub async fn listen(post: Rc<Post>, listener: TcpListener) {
    let turning = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        hop::guard(&stream);
        let open = post.counts.hops.get();
        let leaving = post.gate.leaving.get();
        let full = open - leaving.min(open) >= (post.boot.descriptors / CONNECTIONS).max(1);
        if full && post.counts.hops_idle.get() > leaving {
            // The one that has been idle for longest makes place.
            post.gate.leaving.set(leaving + 1);
            post.gate.room.notify_one();
        } else if full {
            post.shut_out(Door::Inbound);
            if turning.get() < TURNING {
                turning.set(turning.get() + 1);
                let turning = turning.clone();
                tokio::task::spawn_local(async move {
                    turn(stream).await;
                    turning.set(turning.get() - 1);
                });
            }
            continue;
        }
        let post = post.clone();
        let counted = Counted::new(&post, |c| &c.hops);
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let mut line = Line::new(stream, End::Hop);
            let mut before = Before::default();
            while one(&post, &mut line, &mut before).await {}
        });
    }
}

/// A hop for which there is no room: nothing of it is read before it is told to go elsewhere.
async fn turn(stream: tokio::net::TcpStream) {
    let mut line = Line::new(stream, End::Hop);
    let word = waybill::write(&Word::Full(NO_ROOM));
    let bytes = wire::whole(503, format!("Waybill-Return: {word}\r\n").as_bytes(), b"", true, false);
    if line.write(&bytes).await.is_ok() {
        line.finish().await;
        line.drain(COMES / 10).await;
    }
}

/// What went on a hop's connection before.
#[derive(Default)]
struct Before {
    /// It has heard this process's life.
    told: bool,
    /// The last request that may run once: with another one the origin shows that it has the answer.
    last: Option<u64>,
}

async fn one(post: &Rc<Post>, line: &mut Line, before: &mut Before) -> bool {
    {
        let _idle = Counted::new(post, |c| &c.hops_idle);
        tokio::select! {
            came = line.awaits(IDLE) => if !came {
                return false;
            },
            () = post.gate.room.notified() => {
                post.gate.leaving.set(post.gate.leaving.get().saturating_sub(1));
                return false;
            }
        }
    }
    let Ok(mut asked) = line.request(IDLE, COMES, usize::MAX).await else { return false };
    let bill = asked.waybill.take().and_then(|t| waybill::read::<Waybill>(&t));
    let bill = bill.filter(|b| b.version == waybill::VERSION);
    if let Some(ticket) = before.last.take() {
        post.receipts.taken(ticket);
    }
    if let Some(bill) = bill.as_ref().filter(|b| b.asks) {
        return told(post, line, &asked, bill.ticket).await;
    }
    let life = (!std::mem::replace(&mut before.told, true)).then_some(post.receipts.life);
    let receipt = match &bill {
        Some(bill) if !bill.repeatable && bill.ticket != 0 => match post.receipts.enter(bill.ticket) {
            Ok(receipt) => Some(receipt),
            // It was asked for before it came, and its origin has gone elsewhere.
            Err(()) => return false,
        },
        _ => None,
    };
    before.last = receipt.as_ref().map(|r| r.ticket);
    let stated = match asked.framing {
        Framing::Length(n) => Some(n),
        _ => None,
    };
    if asked.waits || stated.is_none_or(|n| n > wire::HELD) {
        return large(post, line, &asked, bill, receipt, life, stated).await;
    }
    // How large a body may be was for the origin to say.
    let (mut decoder, mut share) = (Decoder::new(asked.framing, wire::HELD), post.stores.share());
    let body = match timeout(COMES, line.held(&mut decoder, stated, &mut share, false)).await {
        Ok(Ok((body, true))) => body,
        Ok(Err(Wrong::NoRoom)) => {
            let (bytes, _) = back(&asked, &mut says(Word::Full(NO_ROOM)), life, true);
            let _ = line.write(&bytes).await;
            line.finish().await;
            line.drain(COMES / 10).await;
            return false;
        }
        _ => return false,
    };
    let Some(bill) = bill else {
        // A question that can't be read is no request that was turned away: what it asks for may have run.
        let word = if asked.host == waybill::ASKED { Word::Begun } else { Word::Absent };
        let (bytes, _) = back(&asked, &mut says(word), life, false);
        return line.write(&bytes).await.is_ok();
    };
    let freight = Freight::whole(body, share);
    let mut broke = false;
    let mut answer = {
        let serving = serve(post, &asked, &bill, &freight, receipt.as_ref());
        tokio::pin!(serving);
        loop {
            tokio::select! {
                answer = &mut serving => break answer,
                stir = line.stirs(), if !broke => match stir {
                    // Its origin will ask for it.
                    Stir::Broke if receipt.is_some() => {
                        broke = true;
                        post.counts.orphans.set(post.counts.orphans.get() + 1);
                    }
                    // An origin that hangs up has called the attempt off.
                    Stir::Broke | Stir::Closed | Stir::More => return false,
                }
            }
        }
    };
    let (bytes, size) = back(&asked, &mut answer, life, false);
    let bytes = keep(receipt, &answer, bytes, life.is_some());
    if broke || line.write(&bytes).await.is_err() {
        return false;
    }
    let Some(tail) = answer.tail.take() else { return true };
    drop(answer);
    let Some(mut write) = line.split() else { return false };
    let passed = tail.pass(&post.pool, &mut write, size).await;
    line.join(write);
    passed
}

/// Keep an answer for an origin that may have to ask for it, if it is whole.
fn keep(receipt: Option<Receipt>, answer: &Answer, bytes: Vec<u8>, lived: bool) -> Rc<Vec<u8>> {
    let bytes = Rc::new(bytes);
    if let Some(receipt) = receipt.filter(|_| answer.tail.is_none()) {
        receipt.answered(Kept { bytes: bytes.clone(), lived });
    }
    bytes
}

/// Tell an origin what became of its attempt.
async fn told(post: &Rc<Post>, line: &mut Line, asked: &Asked, ticket: u64) -> bool {
    let known = tokio::select! {
        known = post.receipts.ask(ticket) => known,
        _ = line.stirs() => return false,
    };
    let life = Some(post.receipts.life);
    let bytes = match known {
        Known::Answered(kept) if kept.lived => kept.bytes.to_vec(),
        Known::Answered(kept) => {
            // Behind the status line.
            let at = kept.bytes.windows(2).position(|w| w == b"\r\n").map_or(0, |at| at + 2);
            let mut bytes = kept.bytes[..at].to_vec();
            bytes.extend_from_slice(format!("Waybill-Life: {:x}\r\n", post.receipts.life).as_bytes());
            bytes.extend_from_slice(&kept.bytes[at..]);
            bytes
        }
        Known::Begun => back(asked, &mut says(Word::Begun), life, false).0,
        Known::Off => back(asked, &mut says(Word::Absent), life, false).0,
        Known::Unseen => back(asked, &mut says(Word::Unseen), life, false).0,
    };
    let _ = line.write(&bytes).await;
    line.finish().await;
    false
}

/// A request whose body is passed on as it comes. The origin holds it back until it is asked for: before the request has its place,
/// and a connection to the upstream is up, none of it is taken.
async fn large(
    post: &Rc<Post>,
    line: &mut Line,
    asked: &Asked,
    bill: Option<Waybill>,
    receipt: Option<Receipt>,
    life: Option<u64>,
    stated: Option<usize>,
) -> bool {
    let mut decoder = Decoder::new(asked.framing, usize::MAX);
    // Few bodies cross the link at a time: many together would hold up all that is small behind them.
    let patience = bill.as_ref().map_or(0, |b| (b.aim / PATIENCE).max(0));
    let turn = match asked.waits {
        false => None,
        true => tokio::select! {
            turn = timeout(Duration::from_micros(patience as u64), post.gate.lane.clone().acquire_owned()) => {
                let Ok(Ok(turn)) = turn else {
                    post.counts.turned.set(post.counts.turned.get() + 1);
                    let (bytes, _) = back(asked, &mut says(Word::Full(patience)), life, false);
                    return line.write(&bytes).await.is_ok();
                };
                Some(turn)
            }
            _ = line.stirs() => return false,
        },
    };
    let (freight, bringer) = Freight::coming(Vec::new(), stated.map(|n| n as u64), post.stores.share());
    let Some(write) = line.split() else { return false };
    let write = tokio::sync::Mutex::new(write);
    let answered = Cell::new(false);
    let work = async {
        let mut answer = match &bill {
            Some(bill) => serve(post, asked, bill, &freight, receipt.as_ref()).await,
            None => says(Word::Absent),
        };
        answered.set(true);
        let mut write = write.lock().await;
        let (bytes, size) = back(asked, &mut answer, life, false);
        let bytes = keep(receipt, &answer, bytes, life.is_some());
        if write.write_all(&bytes).await.is_err() {
            return false;
        }
        match answer.tail.take() {
            Some(tail) => tail.pass(&post.pool, &mut *write, size).await,
            None => true,
        }
    };
    let once = bill.as_ref().is_some_and(|b| !b.repeatable);
    let took = async {
        let brought = bring(line, &bringer, &mut decoder, &write, &answered, asked.waits).await;
        drop(turn);
        match brought {
            // An origin that breaks off, or hangs up behind its body, has called the attempt off.
            Ok(()) => {
                if line.stirs().await == Stir::Broke && once {
                    // It is here whole: its origin will ask for it.
                    post.counts.orphans.set(post.counts.orphans.get() + 1);
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

/// Ask for the body once somebody wants it, and bring it.
async fn bring(
    line: &mut Line,
    bringer: &Bringer,
    decoder: &mut Decoder,
    write: &tokio::sync::Mutex<tokio::net::tcp::OwnedWriteHalf>,
    answered: &Cell<bool>,
    waits: bool,
) -> Result<(), Wrong> {
    tokio::select! {
        () = bringer.wanted() => {}
        stir = line.stirs() => match stir {
            Stir::More => bringer.wanted().await,
            Stir::Closed | Stir::Broke => return Err(Wrong::Broken),
        },
    }
    if waits {
        let mut write = write.lock().await;
        if !answered.get() && write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Err(Wrong::Broken);
        }
    }
    bringer.bring(line, decoder).await
}

/// An answer's bytes as they go to the origin, and how its end is told.
fn back(asked: &Asked, answer: &mut Answer, life: Option<u64>, close: bool) -> (Vec<u8>, Size) {
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
        return (wire::whole(answer.status, &lines, &answer.body, close, bodiless), Size::Close);
    }
    wire::begun(answer.status, &lines, &answer.body, answer.length, close, false)
}

#[cfg(test)]
mod tests {
    use crate::trial::{self, stamped, status, Talk, Terms};

    /// What a sidecar adds to a head must not make it too large for the next one.
    #[test]
    fn the_largest_head_that_a_client_may_send_passes_the_hop() {
        trial::run(async {
            let ((listener, at), (_, nobody)) = (trial::station().await, trial::station().await);
            let origin = trial::sidecar(1, nobody, Terms::default()).await;
            let gate = trial::sidecar(2, at, Terms::default()).await;
            gate.beat();
            origin.hears_of(&gate);
            tokio::task::spawn_local(async move {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut talk = Talk::over(stream);
                loop {
                    let head = talk.head().await;
                    if head.is_empty() {
                        return;
                    }
                    talk.say(stamped(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
                }
            });
            let ask = |lines: usize, fill: usize| {
                let more = "X-More: 1\r\n".repeat(lines - 3);
                format!(
                    "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {lines}-{fill}\r\n{more}X: {}\r\n\r\n",
                    "a".repeat(fill)
                )
            };
            let room = 16_384 - ask(64, 0).len() - 4;
            for (lines, fill, want) in [(64, room, "200"), (64, room + 20, "431"), (65, 0, "431")] {
                let mut client = Talk::to(origin.at).await;
                client.say(ask(lines, fill).as_bytes()).await;
                assert_eq!(status(&client.head().await), want, "{lines} lines, {fill}");
            }
        });
    }

    #[test]
    fn hops_beyond_the_bound_are_told_that_nothing_was_begun() {
        trial::run(async {
            let (_, at) = trial::station().await;
            let terms = Terms { descriptors: 2 * super::CONNECTIONS, ..Terms::default() };
            let gate = trial::sidecar(2, at, terms).await;
            let counts = &gate.post.counts;
            let (mut one, mut two) = (Talk::to(gate.inbound).await, Talk::to(gate.inbound).await);
            // Neither is idle.
            one.say(b"GET").await;
            two.say(b"GET").await;
            while counts.hops.get() < 2 || counts.hops_idle.get() > 0 {
                tokio::task::yield_now().await;
            }
            let mut three = Talk::to(gate.inbound).await;
            let head = three.head().await;
            let word = trial::value(&head, "waybill-return").and_then(|t| crate::waybill::read(&t));
            assert_eq!(word, Some(crate::waybill::Word::Full(super::NO_ROOM)));
            assert_eq!((counts.hops.get(), counts.hops_shut_out.get()), (2, 1));
            drop(one);
            while counts.hops.get() > 1 {
                tokio::task::yield_now().await;
            }
            let mut four = Talk::to(gate.inbound).await;
            four.say(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
            assert!(trial::value(&four.head().await, "waybill-life").is_some());
            // An idle one makes place.
            let mut five = Talk::to(gate.inbound).await;
            assert_eq!(four.more().await, 0);
            five.say(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
            assert!(trial::value(&five.head().await, "waybill-life").is_some());
            assert_eq!((counts.hops.get(), counts.hops_shut_out.get()), (2, 1));
        });
    }
}
