//! The checker of long requests sees what it stands for, and excuses what the rule excuses.
use super::*;
use crate::execution_log::ExecutionLog;
use crate::soak::departures::DepartureLog;
use crate::soak::watch::Disturbances;

const UPSTREAM: &str = "i-1";
const UPSTREAM_MACHINE: usize = 4;
const CLIENT_MACHINE: usize = 3;
const ID: &str = "long-1";

/// One long request: moments in milliseconds after the SIGTERM of its client's machine.
struct Story {
    sent_ms: u64,
    ended_ms: u64,
    /// When its upstream had sent all; `None`: it still sends.
    upstream_done_ms: Option<u64>,
    is_slow_reader: bool,
    outcome: LongOutcome,
    /// Whether the client's machine was struck meanwhile.
    is_disturbed: bool,
    /// Whether its body is still coming in at its upstream.
    is_coming_in: bool,
}

impl Default for Story {
    fn default() -> Self {
        Story {
            sent_ms: 100,
            ended_ms: 2_500,
            upstream_done_ms: Some(2_800),
            is_slow_reader: false,
            outcome: LongOutcome::Cut { received: 9 },
            is_disturbed: false,
            is_coming_in: false,
        }
    }
}

impl Story {
    /// Its fault, if one is found.
    fn fault(self) -> Option<String> {
        let (executions, unplanned) = (ExecutionLog::default(), Disturbances::new(5, 3));
        let machine_of = BTreeMap::from([(UPSTREAM.to_string(), UPSTREAM_MACHINE)]);
        let stops = Stops::default();
        stops.record(CLIENT_MACHINE);
        let signal = Instant::now();
        if self.is_disturbed {
            unplanned.disturb(CLIENT_MACHINE, signal + Duration::from_millis(200));
        }
        let at = |ms: u64| signal + Duration::from_millis(ms);
        let run = Run {
            attempt: ID.into(),
            upstream: UPSTREAM.into(),
            began: at(self.sent_ms),
            ended: self.upstream_done_ms.map(at),
        };
        let attempt = LongAttempt {
            machine: CLIENT_MACHINE,
            id: ID.into(),
            kind: RequestKind::Unsafe,
            is_slow_reader: self.is_slow_reader,
            sent_at: at(self.sent_ms),
            ended_at: at(self.ended_ms),
            outcome: self.outcome,
        };
        let departures = DepartureLog::default();
        let mesh = CheckedMesh {
            executions: &executions,
            machine_of: &machine_of,
            unplanned: &unplanned,
            departures: &departures,
        };
        let runs: Vec<&Run> = vec![&run];
        let reached = vec![UPSTREAM.to_string()];
        let runs = if self.is_coming_in { &[] } else { runs.as_slice() };
        Judged { attempt: &attempt, runs, reached, mesh: &mesh, stops: &stops }.fault()
    }
}

#[test]
fn a_response_that_is_cut_off_is_found_unless_the_rule_excuses_it() {
    let is_cut = |story: Story| story.fault().is_some_and(|fault| fault.contains("ended its connection"));
    assert!(is_cut(Story::default()), "an upstream that would have been done in time");
    assert!(
        is_cut(Story { is_coming_in: true, ..Story::default() }),
        "an upload that had reached its upstream"
    );
    assert!(is_cut(Story { upstream_done_ms: None, ..Story::default() }), "cut before the last sixth");
    assert!(
        is_cut(Story { is_slow_reader: true, ..Story::default() }),
        "a slow reader, before the last sixth"
    );
    let late = || Story { ended_ms: 3_500, ..Story::default() };
    assert!(is_cut(late()), "in the last sixth, with the upstream done");
    assert!(
        !is_cut(Story { upstream_done_ms: Some(3_500), ..late() }),
        "the upstream at work in the last sixth"
    );
    assert!(!is_cut(Story { is_slow_reader: true, ..late() }), "a slow reader in the last sixth");
    let sent_late = || Story { sent_ms: 3_100, upstream_done_ms: None, ..late() };
    assert!(is_cut(sent_late()), "sent over 3 s after the signal");
    assert!(!is_cut(Story { ended_ms: 9_200, ..Story::default() }), "its deadline had passed");
    assert!(!is_cut(Story { is_disturbed: true, ..Story::default() }), "its machine was struck");
    assert!(!is_cut(Story { outcome: LongOutcome::Served, ..Story::default() }));
}

#[test]
fn a_response_that_is_not_the_upstreams_or_breaks_a_promise_is_found() {
    let wrong = LongOutcome::Wrong("stamp".into());
    assert!(Story { outcome: wrong, ..Story::default() }.fault().is_some());
    assert!(Story { outcome: LongOutcome::Status(503), ..Story::default() }.fault().is_some());
    assert!(Story { outcome: LongOutcome::Status(502), ..Story::default() }.fault().is_none());
}

#[test]
fn every_byte_of_a_long_response_is_compared() {
    let plan = LongResponsePlan { body_bytes: 1_001, span: Duration::ZERO, is_chunked: false };
    let body = long_body(ID, plan.body_bytes);
    let response = |body: &[u8]| {
        let given = stamp(UPSTREAM, ID, &long_body(ID, plan.body_bytes));
        let response =
            Response { status: 200, stamp: Some(given), body: body.to_vec(), ..Response::default() };
        outcome(Ok(Ok(response)), &plan, ID, 7)
    };
    assert_eq!(response(&body), LongOutcome::Served);
    assert_eq!(response(&body[..1_000]), LongOutcome::Cut { received: 7 });
    let mut changed = body.clone();
    changed[500] ^= 1;
    assert!(matches!(response(&changed), LongOutcome::Wrong(_)));
}
