//! The data path cut at each place in turn: an origin, two gates and their upstreams in one process, on sockets of loopback and in
//! paused time, a relay on each link between them. One request is struck on its way, at a stated byte, in a stated manner; what
//! its client and the upstreams saw is then held against the rules. Nothing is drawn by lot.
mod relay;
mod world;

use relay::{Cut, Link, Way};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
pub use world::{play, Case, Saw};
use world::{Ask, Says};

/// Behind a head, and behind so many bytes of a body, not each byte is a place of its own.
const BODY: usize = 64;
/// A stride beyond all heads: the borders alone.
const BORDERS: usize = usize::MAX;

/// The places to cut a message of these bytes: each `stride`th byte of its head and of a small body, and all borders.
fn places(bytes: &[u8], stride: usize) -> Vec<usize> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    let dense = if bytes.len() - head <= BODY { bytes.len() } else { head };
    let mut all: Vec<usize> = (0..=dense).step_by(stride).collect();
    let middle = (head + bytes.len()) / 2;
    all.extend([1, head - 1, head, head + 1, middle, bytes.len() - 1, bytes.len()]);
    all.retain(|at| *at <= bytes.len());
    all.sort_unstable();
    all.dedup();
    all
}

/// All cases of one request, whose bytes on each link are known from a run that nothing was done to.
fn cases_of(plain: Case, stride: usize) -> Vec<Case> {
    let (saw, _) = play(plain, 0);
    assert!(saw.broken.is_empty(), "{plain:?}: {:?}", saw.broken);
    let mut all = Vec::new();
    for ((link, way), bytes) in &saw.carried {
        let mut add = |cut, at| all.push(Case { strike: Some((*link, *way, at, cut)), ..plain });
        for at in places(bytes, if plain.ask == Ask::Big { BORDERS } else { stride }) {
            [Cut::Silence, Cut::Reset, Cut::Close, Cut::Frozen].into_iter().for_each(|cut| add(cut, at));
            if *link == Link::Hop {
                add(Cut::Restart, at);
            }
            if *way == Way::Request {
                add(Cut::Torn, at);
            }
            if *way == Way::Request || at == 0 {
                add(Cut::Other, at);
            }
        }
        if *way == Way::Answer {
            for cut in [Cut::Byte, Cut::Double, Cut::LateByte, Cut::LateDouble] {
                add(cut, 0);
            }
        }
    }
    all
}

const ASKS: [Ask; 4] = [Ask::Safe, Ask::Once, Ask::Up, Ask::Big];

/// All that a request may be like, on each link that it has to pass.
fn kinds() -> impl Iterator<Item = Case> {
    let says = [Says::Served, Says::Failed, Says::Away, Says::Long];
    let ways = [(true, false), (false, false), (true, true)];
    let kinds = ASKS.into_iter().flat_map(move |ask| says.into_iter().map(move |says| (ask, says)));
    kinds.flat_map(move |(ask, says)| {
        ways.into_iter().map(move |(warm, own)| Case { ask, says, warm, own, strike: None })
    })
}

/// A few hundred: all borders of one that may run once, on connections that are used again, and each `STEP`th of all.
pub fn few_cases() -> Vec<Case> {
    const STEP: usize = 11;
    let mut all =
        cases_of(Case { ask: Ask::Once, says: Says::Served, warm: true, own: false, strike: None }, BORDERS);
    // A large body costs most, and is carried alike whatever is said to it.
    let large = |k: &Case| k.ask == Ask::Big || k.says == Says::Long;
    let few = kinds().filter(|k| !large(k) || (k.ask == Ask::Big) != (k.says == Says::Long) && !k.warm);
    let others: Vec<Case> = few.flat_map(|kind| cases_of(kind, BORDERS)).collect();
    all.extend(others.into_iter().step_by(STEP));
    all
}

/// Each byte where the upstream serves, all borders where it fails or sends away.
fn all_cases() -> Vec<Case> {
    kinds().flat_map(|kind| cases_of(kind, if kind.says == Says::Served { 1 } else { BORDERS })).collect()
}

/// How often each cut ended in each status.
type ExchangeOutcome = BTreeMap<(String, String), usize>;

/// Play them all, on so many threads; what broke, and what came of them.
fn play_all(cases: &[Case], threads: usize) -> (Vec<String>, ExchangeOutcome) {
    let next = AtomicUsize::new(0);
    let work = || {
        let (mut broken, mut came) = (Vec::new(), ExchangeOutcome::new());
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(number) else { return (broken, came) };
            let (Saw { broken: faults, .. }, status) = play(*case, number);
            broken.extend(faults.into_iter().map(|fault| format!("{case:?}: {fault}")));
            *came
                .entry((case.strike.map(|s| format!("{:?}", s.3)).unwrap_or_default(), status))
                .or_insert(0) += 1;
        }
    };
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let (mut broken, mut came) = (Vec::new(), ExchangeOutcome::new());
        for one in all {
            let (b, c) = one.join().expect("it ends");
            broken.extend(b);
            c.into_iter().for_each(|(status, n)| *came.entry(status).or_insert(0) += n);
        }
        (broken, came)
    })
}

fn judged(cases: &[Case], threads: usize) {
    let (broken, came) = play_all(cases, threads);
    println!("{} cases, answered {came:?}", cases.len());
    let shown: Vec<_> = broken.iter().take(20).collect();
    assert!(broken.is_empty(), "{} broken: {shown:#?}", broken.len());
    for status in ["200", "500", "502", "503", "504"] {
        assert!(came.keys().any(|k| k.1 == status), "no case ended with {status}: {came:?}");
    }
}

#[test]
fn a_request_interrupted_at_any_boundary_runs_at_most_once_and_is_answered_truly() {
    judged(&few_cases(), 2);
}

/// `cargo test --profile mesh -p silvercross-mesh -- --ignored --nocapture at_each_byte`
#[test]
#[ignore = "minutes; each byte of each head"]
fn a_request_interrupted_at_each_byte_runs_at_most_once_and_is_answered_truly() {
    judged(&all_cases(), 3);
}
