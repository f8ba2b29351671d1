//! In the package, because a binary has no library to import.
use super::{GracefulStop, Phase};
use silvercross_time::{Duration, Instant};

/// Check intervals of `runtime.rs` while stopping and of `periodic.rs` before, in microseconds.
const STOP_CHECK_INTERVAL: i64 = 50_000;
const PERIODIC_CHECK_INTERVAL: i64 = 300_000;

const fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

/// When suspended; when probed; busy until; earliest and latest shutdown.
type Case<'c> = ((i64, i64), &'c [i64], i64, i64, i64);

/// Signals a process at 0 with a grace of 6 s: it is suspended during `suspended`, probed at `probes`, and has open requests
/// until `busy_until`. Returns when it shuts.
fn shuts(suspended: (i64, i64), probes: &[i64], busy_until: i64) -> i64 {
    let awake_at = |t: i64| if t >= suspended.0 && t < suspended.1 { suspended.1 } else { t };
    let last_awake =
        (1..).map(|n| -n * PERIODIC_CHECK_INTERVAL).find(|t| awake_at(*t) == *t).expect("once awake");
    let notified_at = awake_at(0);
    let mut graceful_stop = GracefulStop::new(at(last_awake), at(notified_at), Duration::from_secs(6));
    let (mut now, mut probes) =
        (notified_at, probes.iter().copied().filter(|a| *a >= notified_at).peekable());
    loop {
        now = awake_at(now + STOP_CHECK_INTERVAL);
        while probes.next_if(|a| *a <= now).is_some() {
            graceful_stop.not_ready_reply(at(now));
        }
        if graceful_stop.phase(at(now), now < busy_until) == Phase::Shut {
            return now;
        }
    }
}

#[test]
fn it_is_gone_within_the_grace_that_the_platform_counts() {
    const S: i64 = 1_000_000;
    let never = (S * 60, S * 60);
    let cases: [Case; 11] = [
        (never, &[], 0, 2 * S, 5 * S / 2),
        // Two probes: it shuts as soon as the platform is informed.
        (never, &[S / 10, S + S / 10], 0, S + S / 2, 8 * S / 5),
        // One probe, or several at once, do not count as two.
        (never, &[S / 10], 0, 2 * S, 5 * S / 2),
        (never, &[S / 10, S / 5, 2 * S / 5], 0, 2 * S, 5 * S / 2),
        // Waits for open requests until the deadline.
        (never, &[], 4 * S, 4 * S, 9 * S / 2),
        (never, &[], 60 * S, 5 * S, 6 * S),
        // Suspended when signalled, busy or idle afterwards.
        ((-S, 4 * S), &[], 60 * S, 4 * S, 6 * S),
        ((-S, 4 * S), &[], 0, 4 * S, 9 * S / 2),
        ((-S / 2, 5 * S), &[], 60 * S, 5 * S, 6 * S),
        // Suspended during the stop.
        ((S, 5 * S), &[], 60 * S, 5 * S, 6 * S),
        ((S, 5 * S), &[S / 2], 0, 5 * S, 6 * S),
    ];
    for (n, (suspended, probes, busy_until, from, to)) in cases.into_iter().enumerate() {
        let shut_at = shuts(suspended, probes, busy_until);
        assert!((from..to).contains(&shut_at), "case {n}: shut at {shut_at}");
    }
}

#[test]
fn late_in_its_grace_it_accepts_only_requests_that_are_certain_to_be_answered() {
    let stop = GracefulStop::new(at(0), at(0), Duration::from_secs(6));
    for (now_ms, timeout_ms, accepted) in [
        (0, 60_000, true),
        (2_500, 60_000, true),
        (3_000, 60_000, false),
        (3_000, 3_000, false),
        (3_000, 2_000, true),
        (4_500, 1_000, false),
        (4_500, 500, true),
        (5_000, 100, false),
    ] {
        let got = stop.accepts_request(at(now_ms * 1_000), Duration::from_millis(timeout_ms));
        assert_eq!(got, accepted, "at {now_ms} ms, timeout {timeout_ms} ms");
    }
    let short = GracefulStop::new(at(0), at(0), Duration::from_secs(1));
    assert!(
        !short.accepts_request(at(500_000), Duration::from_secs(60)),
        "the limit also applies in the second half of a short grace period"
    );
}

#[test]
fn a_short_grace_is_kept_too() {
    for grace in [0, 400_000, 600_000, 1_500_000] {
        let mut graceful_stop = GracefulStop::new(at(0), at(0), Duration::from_micros(grace));
        assert!(graceful_stop.answer_by() <= graceful_stop.end_by());
        assert!(graceful_stop.end_by() <= at(grace));
        assert_eq!(graceful_stop.phase(at(grace), true), Phase::Shut);
    }
}
