//! Encoding and arithmetic of instants and durations.
use silvercross_time::{Duration, Instant};

#[test]
fn instants_and_durations_are_encoded_as_the_integers_they_hold() {
    for micros in [0, 1, -1, 750_000, i64::MAX, i64::MIN] {
        let encoded_integer = bitcode::encode(&micros);
        assert_eq!(bitcode::encode(&Instant::from_micros(micros)), encoded_integer);
        assert_eq!(bitcode::encode(&Duration::from_micros(micros)), encoded_integer);
    }
    let encoded_integer = bitcode::encode(&(7i64, vec![Some(1i64), None]));
    let typed = (Instant::from_micros(7), vec![Some(Duration::from_micros(1)), None]);
    assert_eq!(bitcode::encode(&typed), encoded_integer);
}

#[test]
fn a_negative_difference_becomes_zero_for_timers() {
    let early = Instant::from_micros(10);
    let late = early + Duration::from_millis(2);
    assert_eq!(late - early, Duration::from_micros(2_000));
    assert!((early - late).is_negative());
    assert_eq!((early - late).to_std(), std::time::Duration::ZERO);
    assert_eq!(Duration::from(std::time::Duration::from_micros(5)), Duration::from_micros(5));
}

#[test]
fn arithmetic_saturates_at_the_maximum() {
    assert_eq!(Instant::MAX.saturating_add(Duration::from_secs(1)), Instant::MAX);
    assert_eq!(Duration::MAX.saturating_mul(2), Duration::MAX);
}
