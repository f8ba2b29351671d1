//! The checker of departures sees what is sent too late, and excuses what it should.
use super::*;

const MACHINE: usize = 4;
const OTHER_MACHINE: usize = 3;
const CONTROL_MACHINE: usize = 2;

#[test]
fn what_is_sent_to_a_departed_upstream_by_a_machine_in_touch_is_seen() {
    let drain = Duration::from_secs_f64(DRAIN_S);
    let now = Instant::now();
    let (early, late) = (drain - Duration::from_millis(1), drain + Duration::from_millis(1));
    for (sent_after, is_acknowledged, disturbed, faults) in [
        (late, true, None, 1),
        (early, true, None, 0),
        (late, false, None, 0),
        (late, true, Some(MACHINE), 0),
        (late, true, Some(CONTROL_MACHINE), 0),
        (late, true, Some(OTHER_MACHINE), 1),
    ] {
        let disturbances = Disturbances::new(MACHINE + 1, 3);
        if let Some(machine) = disturbed {
            disturbances.disturb(machine, now + sent_after);
        }
        let (log, executions) = (DepartureLog::default(), ExecutionLog::default());
        log.begin("i-1", MACHINE);
        if is_acknowledged {
            log.update("i-1", |upstream| upstream.acknowledged_at = Some(now));
        }
        let request = SentRequest { id: "r".to_string(), machine: MACHINE, sent_at: now + sent_after };
        executions.record_run_at("r", "i-1", now + sent_after + Duration::from_millis(1));
        executions.record_run_at("r", "i-1", now);
        let found = check_departures(&log, [request].into_iter(), &executions, &disturbances);
        assert_eq!(found.len(), faults, "{sent_after:?} {is_acknowledged} {disturbed:?}: {found:?}");
    }
}
