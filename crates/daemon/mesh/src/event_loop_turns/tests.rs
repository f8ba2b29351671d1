//! Inside the crate, since a binary can't be imported.
use super::*;
use silvercross_time::Duration;

fn at(millis: i64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

/// Guards against a process that has just woken up and takes what lay in its sockets for new.
#[test]
fn what_is_taken_after_a_standstill_may_have_come_before_it() {
    let mut turns = EventLoopTurns::new(at(0));
    assert_eq!(turns.arrived_after(), at(0));
    for turn in 1..=10 {
        turns.record(at(50 * turn));
    }
    assert_eq!(turns.arrived_after(), at(350));
    // It stands still for three seconds, runs for a turn and stands still once more.
    turns.record(at(3_500));
    assert!(turns.arrived_after() < at(500));
    turns.record(at(6_500));
    assert!(turns.arrived_after() < at(500));
    for turn in 1..=3 {
        turns.record(at(6_500 + 50 * turn));
    }
    assert_eq!(turns.arrived_after(), at(6_500));
}
