//! The checker of clients sees what it stands for. Time is counted from a moment at which no machine has been disturbed for long.
use super::*;

const UPSTREAM: &str = "i-1";
const MACHINE: usize = 3;

fn calm_moment() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

/// A checker over one machine; `disturbed_at`: when that was killed, paused or cut off.
fn with_checker<R>(disturbed_at: Option<Instant>, look: impl FnOnce(&CheckedMesh<'_>) -> R) -> R {
    let (executions, unplanned) = (ExecutionLog::default(), Disturbances::new(4, 3));
    disturbed_at.into_iter().for_each(|at| unplanned.disturb(MACHINE, at));
    drop(executions.begin("ran", UPSTREAM));
    let machine_of = BTreeMap::from([(UPSTREAM.to_string(), MACHINE)]);
    let departures = DepartureLog::default();
    look(&CheckedMesh {
        executions: &executions,
        machine_of: &machine_of,
        unplanned: &unplanned,
        departures: &departures,
    })
}

#[test]
fn work_that_outlives_its_client_is_found() {
    let left_at = calm_moment();
    let left = LeftRequest { id: "ran".into(), machine: MACHINE, sent_at: left_at, left_at };
    let ms = |count: u64| left_at + Duration::from_millis(count);
    let found = |began: Instant, ended: Option<Instant>| {
        let run = Run { attempt: "ran".into(), upstream: UPSTREAM.into(), began, ended };
        with_checker(None, |mesh| mesh.outlived(&left, &run))
    };
    assert_eq!(found(ms(0), Some(ms(300))), None);
    assert!(found(ms(0), Some(ms(1_100))).is_some_and(|fault| fault.contains("was at work")));
    assert!(found(ms(0), None).is_some_and(|fault| fault.contains("was at work")));
    assert!(found(ms(1_100), Some(ms(1_200))).is_some_and(|fault| fault.contains("reached")));
}

#[test]
fn a_request_that_ran_and_is_cut_off_is_found() {
    let ended_at = calm_moment();
    for (id, outcome, disturbed_at, expected) in [
        ("ran", Outcome::Lost, None, true),
        ("never ran", Outcome::Lost, None, false),
        ("ran", Outcome::NotSent, None, false),
        ("ran", Outcome::Lost, Some(ended_at), false),
    ] {
        let attempt = Attempt {
            id: id.into(),
            kind: RequestKind::Safe,
            target: "/".into(),
            sender: "s".into(),
            body: Vec::new(),
            outcome,
        };
        let stayed = StayersAttempt { machine: MACHINE, sent_at: ended_at, ended_at, attempt };
        let found = with_checker(disturbed_at, |mesh| mesh.is_cut_off(&stayed));
        assert_eq!(found, expected, "{id} {disturbed_at:?}");
    }
}
