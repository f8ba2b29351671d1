//! The checker sees what is wrong: run twice, a promise broken, an answer that is not the one.
use silvercross_testbed::checker::{check_attempts, Attempt};
use silvercross_testbed::client::{Outcome, RequestKind};
use silvercross_testbed::execution_log::ExecutionLog;
use silvercross_testbed::http_connection::{Request, Response};
use silvercross_testbed::upstream::{response_body, stamp};

fn attempt(kind: RequestKind, status: u16, is_stamped: bool) -> Attempt {
    let request = Request {
        attempt_id: Some("1".into()),
        sender: Some("s".into()),
        target: "/t".into(),
        ..Request::default()
    };
    let body = response_body("i-1", &request).into_bytes();
    let stamp = is_stamped.then(|| stamp("i-1", "1", &body));
    let outcome = Outcome::Answer(Box::new(Response { status, stamp, body, ..Response::default() }));
    Attempt { id: "1".into(), kind, target: "/t".into(), sender: "s".into(), body: Vec::new(), outcome }
}

#[test]
fn what_is_wrong_is_seen() {
    let (none, once, twice) = (ExecutionLog::default(), ExecutionLog::default(), ExecutionLog::default());
    once.record("1", "i-1");
    twice.record("1", "i-1");
    twice.record("1", "i-2");
    for (kind, status, is_stamped, executions, faults) in [
        (RequestKind::Safe, 200, true, &once, 0),
        (RequestKind::Safe, 200, true, &twice, 0),
        (RequestKind::Safe, 200, false, &once, 1),
        (RequestKind::Safe, 200, true, &none, 1),
        (RequestKind::Unsafe, 200, true, &twice, 1),
        (RequestKind::Upload, 503, false, &once, 1),
        (RequestKind::Unsafe, 503, false, &none, 0),
        (RequestKind::Unsafe, 502, false, &once, 0),
    ] {
        let verdict = check_attempts(&[attempt(kind, status, is_stamped)], executions);
        assert_eq!(verdict.faults.len(), faults, "{kind:?} {status} {is_stamped} {verdict:?}");
    }
}
