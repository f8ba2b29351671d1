//! Settings by which an operator overrides the module's defaults.
mod common;
use common::*;
use silvercross_core::interface::*;

/// Requests that a cold upstream gets from all instances in five seconds, light and heavy ones alternating.
fn sent_to_cold(set: &Settings) -> usize {
    let mut sent = 0;
    for seed in 0..u64::from(set.instances) {
        let mut rig = TestRig::seeded(set.clone(), &[0; 4], seed);
        let submit = |rig: &mut TestRig| {
            let (id, hint) = (rig.next_id, if rig.next_id.is_multiple_of(2) { 2 * MS } else { 20 * MS });
            rig.next_id += 1;
            let out = rig.event(Event::Request(NewRequest { cost_hint: Some(hint), ..request(id, 0) }));
            rig.end(id, 0, Outcome::Served, hint);
            rig.now += 20 * MS;
            first_send(&out).expect("every request is sent")
        };
        (0..100).for_each(|_| assert!(submit(&mut rig) < 4));
        rig.list(ListKind::Patch, &[Entry { last_start: Some(rig.now), ..entry(4, 0) }]);
        sent += (0..250).filter(|_| submit(&mut rig) == 4).count();
    }
    sent
}

#[test]
fn a_configured_cold_rate_holds_for_all_instances_together() {
    let configured = Settings { instances: 10, cold_rate: Some(20.0), overload_window: 0, ..settings() };
    let sent = sent_to_cold(&configured);
    assert!((70..=110).contains(&sent), "{sent} in 5 s at 20 per second");
    // With fewer senders each has a larger share.
    let fewer = sent_to_cold(&Settings { cold_senders: 5, ..configured.clone() });
    assert!((140..=220).contains(&fewer), "{fewer} in 5 s at 20 per second with half as many senders");
    assert!(
        sent_to_cold(&Settings { cold_rate: None, overload_window: 3 * S, ..configured }) > 220,
        "without a rate the overload multiple applies"
    );
}

/// Retries among `requests` requests, each of whose first attempts fails.
fn retried(set: Settings, requests: usize) -> usize {
    let mut rig = TestRig::new(set, &[0; 8]);
    let mut retries = 0;
    for _ in 0..requests {
        let id = rig.send(0).0;
        rig.now += 20 * MS;
        if first_send(&rig.end(id, 0, Outcome::Reset, 20 * MS)).is_some() {
            retries += 1;
            rig.end(id, 1, Outcome::Served, 20 * MS);
        }
        rig.serve_many(0, 3);
    }
    retries
}

#[test]
fn configured_retry_limits_override_the_defaults() {
    let configured = |share, cap| Settings { retry_ratio: share, max_saved_retries: cap, ..settings() };
    // 100 requests: half of the maximum at the start, plus the ratio for each.
    assert_eq!(retried(configured(None, None), 25), 4);
    assert_eq!(retried(configured(Some(0.25), None), 25), 25);
    assert_eq!(retried(configured(Some(0.0), Some(20.0)), 25), 10);
    assert_eq!(retried(configured(Some(0.25), Some(0.5)), 25), 0, "less than one retry can be saved up");
}

#[test]
fn no_more_upstreams_receive_a_request_than_its_class_allows() {
    let configured = |max_receivers, may_hedge| {
        let mut set = Settings { may_hedge, max_saved_retries: Some(20.0), ..settings() };
        set.classes[0].max_receivers = max_receivers;
        let mut rig = TestRig::new(set, &[0; 8]);
        rig.serve_many(0, 20);
        rig
    };
    // Attempts that ended unprocessed don't count; the maximum number of attempts still applies.
    for unprocessed in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut rig = configured(Some(1), true);
        let id = rig.send(0).0;
        for attempt in 0..3 {
            assert!(
                first_send(&rig.end(id, attempt, unprocessed, MS)).is_some(),
                "{unprocessed:?} {attempt}"
            );
        }
        assert!(first_send(&rig.end(id, 3, unprocessed, MS)).is_none());
    }
    for (sends, more) in [(None, true), (Some(2), true), (Some(1), false)] {
        // Received and failed, or still in flight at the first-answer limit.
        let mut rig = configured(sends, true);
        let id = rig.send(0).0;
        assert_eq!(first_send(&rig.end(id, 0, Outcome::Error, MS)).is_some(), more, "{sends:?}");
        let mut rig = configured(sends, true);
        let id = rig.send(0).0;
        rig.now += 450 * MS;
        assert_eq!(first_send(&rig.event(Event::Timer { token: id })).is_some(), more, "{sends:?}");
        // Without a further receiver the attempt is not given up at that limit.
        let cut = |a: &Action| matches!(a, Action::Send { limit: Some(_), .. });
        assert_eq!(configured(sends, false).submit(0).1.iter().any(cut), more, "{sends:?}");
    }
}

#[test]
fn a_cross_zone_cost_keeps_a_class_in_its_zone() {
    let crossed = |cost: f64| {
        let mut set = settings();
        set.classes[0].cross_zone_cost = cost;
        let mut rig = TestRig::new(set, &[0, 1]);
        let mut crossed = 0;
        for _ in 0..300 {
            let (id, to) = rig.send(0);
            // Responses of the own zone take ten times as long.
            let took = if to == 0 { 200 * MS } else { 20 * MS };
            crossed += usize::from(to == 1);
            rig.now += took;
            rig.end(id, 0, Outcome::Served, took);
        }
        crossed
    };
    assert!(crossed(0.0) > 20, "without a cost some cross");
    assert!(crossed(50.0) <= 2, "at this cost none cross after the first samples");
}
