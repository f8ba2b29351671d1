//! Interrupts requests at every point: an origin, two gates and their upstreams run in one process, on loopback sockets and
//! in paused time, with a relay on each link. Each case injects one fault at a given byte offset of one request, and checks
//! what the client and the upstreams observed against the delivery rules. The cases are deterministic.
mod case;
mod checker;
mod client;
mod message_reader;
mod relay;
mod run;
mod upstream;

use case::{Direction, Fault, Interruption, Link, RequestKind, UpstreamBehaviour};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};

pub(crate) use case::Case;
pub(crate) use run::run_case;

/// In bodies larger than this, only boundaries are tested, not each byte.
const SMALL_BODY_BYTES: usize = 64;
/// A stride longer than any message, which selects the boundaries only.
const BOUNDARIES_ONLY: usize = usize::MAX;

/// The offsets at which to interrupt a message: each `stride`th byte of its head and of a small body, and all boundaries.
fn offsets(bytes: &[u8], stride: usize) -> Vec<usize> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    let dense = if bytes.len() - head <= SMALL_BODY_BYTES { bytes.len() } else { head };
    let mut offsets: Vec<usize> = (0..=dense).step_by(stride).collect();
    let middle = (head + bytes.len()) / 2;
    offsets.extend([1, head - 1, head, head + 1, middle, bytes.len() - 1, bytes.len()]);
    offsets.retain(|offset| *offset <= bytes.len());
    offsets.sort_unstable();
    offsets.dedup();
    offsets
}

/// All interruptions of one request; a run without interruption gives the bytes on each link.
fn cases_of(plain: Case, stride: usize) -> Vec<Case> {
    let observed = run_case(plain, 0);
    assert!(observed.violations.is_empty(), "{plain:?}: {:?}", observed.violations);
    let mut cases = Vec::new();
    for (traffic, bytes) in &observed.carried {
        let (link, direction) = (traffic.link, traffic.direction);
        let mut add = |fault, offset| {
            let interruption = Some(Interruption { link, direction, offset, fault });
            cases.push(Case { interruption, ..plain });
        };
        let stride = if plain.request == RequestKind::LargeUpload { BOUNDARIES_ONLY } else { stride };
        for offset in offsets(bytes, stride) {
            for fault in [Fault::Silence, Fault::Reset, Fault::Close, Fault::Freeze] {
                add(fault, offset);
            }
            if link == Link::Sidecars {
                add(Fault::Restart, offset);
            }
            if direction == Direction::Request {
                add(Fault::DelayedRequest, offset);
            }
            if direction == Direction::Request || offset == 0 {
                add(Fault::ForeignResponse, offset);
            }
        }
        if direction == Direction::Response {
            for fault in
                [Fault::SurplusByte, Fault::DoubleResponse, Fault::LateSurplusByte, Fault::LateDoubleResponse]
            {
                add(fault, 0);
            }
        }
    }
    cases
}

/// Every combination of request, upstream behaviour and path, without interruption.
fn uninterrupted_cases() -> impl Iterator<Item = Case> {
    const REQUESTS: [RequestKind; 4] =
        [RequestKind::Safe, RequestKind::Once, RequestKind::HeldBackUpload, RequestKind::LargeUpload];
    const UPSTREAMS: [UpstreamBehaviour; 4] = [
        UpstreamBehaviour::Serves,
        UpstreamBehaviour::Fails,
        UpstreamBehaviour::Rejects,
        UpstreamBehaviour::ServesLong,
    ];
    let pairs = REQUESTS
        .into_iter()
        .flat_map(|request| UPSTREAMS.into_iter().map(move |upstream| (request, upstream)));
    pairs.flat_map(|(request, upstream)| {
        let paths = [(true, false), (false, false), (true, true)];
        paths.into_iter().map(move |(is_warm, is_local)| Case {
            request,
            upstream,
            is_warm,
            is_local,
            interruption: None,
        })
    })
}

/// A few hundred cases: all boundaries of a request that may run once, on reused connections, and each `STEP`th boundary
/// case of all selected combinations.
pub(crate) fn selected_cases() -> Vec<Case> {
    const STEP: usize = 11;
    let once = Case {
        request: RequestKind::Once,
        upstream: UpstreamBehaviour::Serves,
        is_warm: true,
        is_local: false,
        interruption: None,
    };
    let mut cases = cases_of(once, BOUNDARIES_ONLY);
    // Large bodies are slow to test, and are forwarded the same way whatever the response.
    let is_large_request = |case: &Case| case.request == RequestKind::LargeUpload;
    let is_large_response = |case: &Case| case.upstream == UpstreamBehaviour::ServesLong;
    let selected =
        uninterrupted_cases().filter(|case| match (is_large_request(case), is_large_response(case)) {
            (false, false) => true,
            (true, true) => false,
            _ => !case.is_warm,
        });
    let others: Vec<Case> = selected.flat_map(|plain| cases_of(plain, BOUNDARIES_ONLY)).collect();
    cases.extend(others.into_iter().step_by(STEP));
    cases
}

/// Each byte where the upstream serves the request, all boundaries where it fails or rejects it.
fn all_cases() -> Vec<Case> {
    let stride = |case: &Case| match case.upstream {
        UpstreamBehaviour::Serves => 1,
        _ => BOUNDARIES_ONLY,
    };
    uninterrupted_cases().flat_map(|plain| cases_of(plain, stride(&plain))).collect()
}

/// The combined results of many cases.
#[derive(Default)]
struct Summary {
    violations: Vec<String>,
    /// The number of cases by fault and response status.
    statuses: BTreeMap<(String, String), usize>,
}

impl Summary {
    fn add(&mut self, other: Summary) {
        self.violations.extend(other.violations);
        for (key, count) in other.statuses {
            *self.statuses.entry(key).or_insert(0) += count;
        }
    }
}

/// Runs cases until none is left.
fn run_next_cases(cases: &[Case], next: &AtomicUsize) -> Summary {
    let mut summary = Summary::default();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let Some(case) = cases.get(number) else { return summary };
        let observed = run_case(*case, number);
        let violations = observed.violations.into_iter();
        summary.violations.extend(violations.map(|violation| format!("{case:?}: {violation}")));
        let fault = case.interruption.map(|interruption| format!("{:?}", interruption.fault));
        *summary.statuses.entry((fault.unwrap_or_default(), observed.status)).or_insert(0) += 1;
    }
}

/// Runs all cases on this many threads.
fn run_all(cases: &[Case], threads: usize) -> Summary {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(|| run_next_cases(cases, &next))).collect();
        let mut summary = Summary::default();
        running.into_iter().for_each(|thread| summary.add(thread.join().expect("completed without panic")));
        summary
    })
}

fn check_all(cases: &[Case], threads: usize) {
    let Summary { violations, statuses } = run_all(cases, threads);
    println!("{} cases, by fault and status: {statuses:?}", cases.len());
    let shown: Vec<_> = violations.iter().take(20).collect();
    assert!(violations.is_empty(), "{} violations: {shown:#?}", violations.len());
    for status in ["200", "500", "502", "503", "504"] {
        assert!(statuses.keys().any(|key| key.1 == status), "no case ended with {status}: {statuses:?}");
    }
}

#[test]
fn a_request_interrupted_at_any_boundary_runs_at_most_once_and_is_answered_truly() {
    check_all(&selected_cases(), 2);
}

/// `cargo test --profile mesh -p silvercross-mesh -- --ignored --nocapture at_each_byte`
#[test]
#[ignore = "minutes; each byte of each head"]
fn a_request_interrupted_at_each_byte_runs_at_most_once_and_is_answered_truly() {
    check_all(&all_cases(), 3);
}
