//! A sidecar is told to stop while it passes on answers that are still being sent by their upstream.
use crate::harness::*;
use std::thread;

/// A long answer: more than the sidecars hold, sent by the upstream over some seconds.
const ANSWER_BYTES: usize = 3_000_000;
const SEND_S: f64 = 3.6;
/// Work before the answer begins.
const WORK_S: f64 = 0.1;
/// The requests are this far under way when the signal comes.
const BEFORE_SIGNAL_S: f64 = 0.6;
const CLIENTS: usize = 4;
const DEADLINE_MS: u64 = 10_000;

pub fn run(record: &Record) -> Result<bool, Failure> {
    let mut mesh = Mesh::new(&[(0, "boards"), (1, "attachments")], record)?;
    mesh.start_all()?;
    let operator = Operator::new(&mesh, record);
    let routes = [
        RouteItem {
            name: "r-read",
            lane: "/read/",
            kind: "safe",
            service: "attachments",
            deadline_s: 10.0,
            attempts: 2,
        },
        RouteItem {
            name: "r-post",
            lane: "/post/",
            kind: "unsafe",
            service: "attachments",
            deadline_s: 10.0,
            attempts: 2,
        },
    ];
    operator.order(0, "/-/Config.Patch", &configuration(&["boards", "attachments"], &routes, 1))?;
    let work = Work { work_s: WORK_S, body_bytes: ANSWER_BYTES, send_s: SEND_S };
    let mut beside = Upstream::start(&mesh, 3, work, record)?;
    let upstream = Upstream::start(&mesh, 4, work, record)?;
    mesh.wait_until_ready(20.0)?;
    let platform = Platform::start(&mesh);
    // Calm for longer than contactS, and a first request that shows that the way is there.
    wait(1.0);
    for (method, path, id) in [("GET", "/read/1", "first-1"), ("POST", "/post/1", "first-2")] {
        let answer = request(record, mesh.outbound(3), method, path, id, b"", DEADLINE_MS);
        if answer.status != Some(200) || !answer.is_complete || !answer.is_right {
            return Err(format!("no good answer before the disruption: {answer:?}").into());
        }
    }
    // The machine of the clients is to be stopped: its upstream leaves in order first.
    beside.drain();
    wait(DRAIN_S + 0.3);
    beside.sign_off();
    beside.end();
    let running: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            let (record, to) = (record.clone(), mesh.outbound(3));
            thread::spawn(move || {
                let (method, path) = if number < CLIENTS { ("GET", "/read/2") } else { ("POST", "/post/2") };
                request(&record, to, method, path, &format!("open-{number}"), b"", DEADLINE_MS)
            })
        })
        .collect();
    wait(BEFORE_SIGNAL_S);
    let signalled_at = record.now();
    if with_trouble() {
        mesh.signal(3, "TERM")?;
        if !mesh.wait_for_end(3, GRACE_S) {
            mesh.signal(3, "KILL")?;
        }
        record.tell(&format!(
            "it ran for {:.2} s after SIGTERM, of the {GRACE_S} s that it has",
            record.now() - signalled_at
        ));
    }
    let answers: Vec<Answered> = running.into_iter().filter_map(|task| task.join().ok()).collect();
    let due = WORK_S + SEND_S - BEFORE_SIGNAL_S;
    record.tell(&format!(
        "the upstream needs {due:.1} s from the signal on for its answers; the last sixth of graceS begins {:.1} s after it",
        GRACE_S * 5.0 / 6.0
    ));
    wait(SEND_S);
    drop(platform);
    let arrivals = upstream.arrivals();
    let mut cut = 0;
    for answer in &answers {
        let run = arrivals.iter().find(|arrival| arrival.attempt_id == answer.attempt_id);
        let was_run = run.is_some();
        let whole = answer.is_complete && answer.is_right && answer.body_bytes == ANSWER_BYTES;
        // The rule's excuses: the upstream still at work in the last sixth of `graceS`, the deadline (the route's timeout is
        // the same). The upstream never breaks off by itself here.
        let is_excused = answer.ended_at - signalled_at >= GRACE_S * 5.0 / 6.0
            || answer.ended_at - answer.sent_at >= DEADLINE_MS as f64 / 1000.0;
        let bad = was_run && !(answer.status == Some(200) && whole) && !is_excused;
        cut += usize::from(bad);
        record.tell(&format!(
            "{}: run by the upstream: {was_run}; the client got status {:?} and {} of {ANSWER_BYTES} bytes, the connection ended {:+.2} s from the signal{}",
            answer.attempt_id, answer.status, answer.body_bytes, answer.ended_at - signalled_at,
            if bad { ": LOST" } else { "" }
        ));
    }
    record.tell(&format!(
        "{cut} of {} requests that were passed on to an upstream have no complete answer",
        answers.len()
    ));
    mesh.record_log(3, &["\"stopping\"", "\"ended\""]);
    Ok(cut == 0)
}
