//! One attempt of a request: over a hop or through this machine's own gate, and the question what became of it.
use crate::broken::{self, Broken};
use crate::desk::CONNECT;
use crate::freight::Freight;
use crate::gate;
use crate::hop::{self, Came, Order, Told};
use crate::post::Post;
use crate::receipts;
use crate::waybill::{self, Waybill, Word};
use crate::wire::{Answer, Asked, End};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A gate is asked what became of a request for no longer than this after the request was written: half of the gate's memory.
const ASKS: Duration = Duration::from_micros(receipts::SPAN as u64 / 2);
/// It is asked at once, then with a pause that grows.
const PAUSE: Duration = Duration::from_millis(25);
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// A body from this size on is offered to a gate before it is sent.
const OFFERED: usize = 16 * 1024;

/// Take it over a hop, or through this machine's own gate.
#[allow(clippy::too_many_arguments)]
pub(super) async fn go(
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
