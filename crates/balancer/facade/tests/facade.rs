//! The facade with a manual clock and without sockets: tests pass in requests and reports and check the steps.
use silvercross_core::interface::Micros;
use silvercross_facade::{
    Attempt, Balancer, Clock, DiscoveryEvent, Health, Host, Output, Report, Request, Step, Upstream,
};
use silvercross_net::table::{Handle, Table};
use std::cell::Cell;
use std::rc::Rc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const REPEATABLE: u32 = 0;
const ONCE: u32 = 1;

type Steps = Vec<Step<&'static str>>;

struct Fixture {
    clock: Rc<Cell<Micros>>,
    balancer: Balancer<&'static str>,
    handles: Table<()>,
}

fn host(n: u32) -> Host {
    Host {
        name: format!("s-{n}"),
        address: Some(([127, 0, 0, 1], 3000 + n as u16).into()),
        zone: "a".into(),
        kind: "k".into(),
        cell: 0,
        health: Health::Ready,
        size: 1.0,
        started_ms: 0,
    }
}

impl Fixture {
    fn new(hosts: &[Host]) -> Self {
        Self::with("on_request", hosts)
    }

    fn with(discovery: &str, hosts: &[Host]) -> Self {
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_s":0.5,"deadline_s":2.0,"effect":"{effect}","importance":1.0}}"#
            )
        };
        let text = format!(
            r#"{{"areas":["a","b"],"shapes":["k"],"balancers":2,"classes":[{},{}],"discovery":"{discovery}","clients":{{"marks_retry":true}},
                "limits":{{"attempts_cap":4,"connect_timeout_s":0.25,"may_cancel":true,"retry_after":true,
                "max_retry_after_s":2.0,"second_copies":true}},"rules":{{"drain_grace_s":2.0}}}}"#,
            class("read", "repeatable"),
            class("commit", "once")
        );
        let value = serde_json::from_str(&text).expect("JSON");
        let (settings, front) = silvercross_settings::read_value(value).expect("settings");
        let clock = Rc::new(Cell::new(1_000 * S));
        let balancer = Balancer::new(settings, front, 7, hosts, Clock::manual(clock.clone()));
        Fixture { clock, balancer, handles: Table::default() }
    }

    fn new_request(&mut self, class: u32, budget: Micros) -> Request {
        let handle = self.handles.insert_with(|_| Ok::<_, ()>(())).expect("made").expect("room");
        let (key, cost_hint, budget) = (None, None, Some(budget));
        let (client_retry, write) = (false, false);
        Request { handle, class, tenant: 0, key, budget, cost_hint, client_retry, write }
    }

    fn pick(&mut self, class: u32, budget: Micros) -> (Handle, Steps) {
        let request = self.new_request(class, budget);
        (request.handle, self.balancer.pick(request).steps)
    }

    /// Submits a request whose body is still being received.
    fn pick_incomplete(&mut self, class: u32, budget: Micros) -> (Handle, Steps) {
        let request = self.new_request(class, budget);
        (request.handle, self.balancer.pick_incomplete(request).steps)
    }

    /// Advances the clock, calling `tick` whenever the facade asks for it.
    fn advance(&mut self, span: Micros) -> Steps {
        let end = self.clock.get() + span;
        let mut steps = Vec::new();
        loop {
            let Output { steps: more, wake } = self.balancer.tick(self.clock.get());
            steps.extend(more);
            match wake {
                Some(at) if at <= end => self.clock.set(at.max(self.clock.get())),
                _ => break,
            }
        }
        self.clock.set(end);
        steps.extend(self.balancer.tick(end).steps);
        steps
    }

    /// Submits requests one after another, each served within 5 ms.
    fn serve_quickly(&mut self, times: u32, class: u32) {
        for _ in 0..times {
            let (_, steps) = self.pick(class, 2 * S);
            self.advance(5 * MS);
            self.report(sends(&steps)[0].0, Report::Served);
        }
    }

    fn report(&mut self, attempt: Attempt, report: Report) -> Steps {
        self.balancer.report(attempt, report).steps
    }
}

fn sends(steps: &Steps) -> Vec<(Attempt, Upstream, u16, Micros)> {
    let send = |s: &Step<_>| match s {
        Step::Send { attempt, upstream, to, limit } => Some((*attempt, *upstream, to.port(), *limit)),
        _ => None,
    };
    steps.iter().filter_map(send).collect()
}

fn answers(steps: &Steps) -> usize {
    steps.iter().filter(|s| matches!(s, Step::Serve { .. } | Step::Refuse { .. } | Step::Fail { .. })).count()
}

#[test]
fn a_request_is_sent_and_its_first_response_served() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    let (request, steps) = b.pick(REPEATABLE, S);
    let sent = sends(&steps);
    assert_eq!((sent.len(), sent[0].0, steps.len()), (1, Attempt { request, number: 0 }, 1));
    let steps = b.report(sent[0].0, Report::Served);
    assert_eq!(steps, [Step::Serve { attempt: sent[0].0 }]);
    assert_eq!(b.balancer.unanswered(), 0);
    assert_eq!(b.report(sent[0].0, Report::Reset), [], "an attempt ends once");
    assert_eq!(answers(&b.advance(5 * S)), 0, "one final answer");
}

#[test]
fn what_may_have_run_once_is_never_sent_again() {
    // A connection that breaks before the response does not show that the request was not executed.
    for (report, sent_again) in [
        (Report::Reset, false),
        (Report::Error, false),
        (Report::Rejected, true),
        (Report::NotDelivered, true),
    ] {
        let mut b = Fixture::new(&[host(0), host(1)]);
        let (request, steps) = b.pick(ONCE, 2 * S);
        let first = sends(&steps)[0];
        let steps = b.report(first.0, report);
        let again = sends(&steps);
        assert_eq!(again.len(), usize::from(sent_again), "{report:?}");
        match again.first() {
            Some(next) => assert_ne!(next.1, first.1, "elsewhere"),
            None => assert!(steps.contains(&Step::Fail { request }), "{report:?}: {steps:?}"),
        }
    }
}

#[test]
fn a_request_that_every_upstream_rejected_is_refused() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    let (request, mut steps) = b.pick(ONCE, 2 * S);
    for _ in 0..2 {
        let sent = sends(&steps);
        steps = b.report(sent[0].0, Report::Rejected);
    }
    assert!(steps.iter().any(|s| matches!(s, Step::Refuse { request: r, .. } if *r == request)), "{steps:?}");
}

#[test]
fn records_of_removed_upstreams_are_reused() {
    let mut b = Fixture::new(&[host(0)]);
    let whole = |hosts: Vec<Host>| DiscoveryEvent::List { whole: true, hosts };
    let mut last = None;
    for n in 1..200 {
        // Some are removed by a changed entry, others by a complete list without them; all have the same address.
        let new = Host { address: host(0).address, ..host(n) };
        b.balancer.discovery_event(&whole(vec![new.clone()]));
        let (_, steps) = b.pick(ONCE, S);
        let sent = sends(&steps)[0];
        assert_ne!(Some(sent.1), last, "connections are kept by id, so a new upstream has another id");
        last = Some(sent.1);
        b.report(sent.0, Report::Served);
        if n % 2 == 0 {
            let gone = Host { health: Health::Gone, ..new };
            b.balancer.discovery_event(&DiscoveryEvent::List {
                whole: false,
                hosts: vec![gone.clone(), Host { name: "x".into(), ..gone }],
            });
        }
        b.advance(2 * S);
    }
    assert!(b.balancer.upstreams() < 20, "{} records after 200 upstreams", b.balancer.upstreams());
}

#[test]
fn the_id_of_an_upstream_is_not_reused_while_an_attempt_is_in_flight_there() {
    let mut b = Fixture::new(&[host(0)]);
    let (_, steps) = b.pick(ONCE, 50 * S);
    let old = sends(&steps)[0];
    let list = |h: Host| DiscoveryEvent::List { whole: true, hosts: vec![h] };
    b.balancer.discovery_event(&list(host(1)));
    b.advance(30 * S);
    b.balancer.discovery_event(&list(host(2)));
    let (_, steps) = b.pick(ONCE, S);
    assert_ne!(sends(&steps)[0].1, old.1);
    // The late report belongs to the old upstream.
    b.report(sends(&steps)[0].0, Report::Served);
    let steps = b.report(old.0, Report::Served);
    assert!(steps.contains(&Step::Serve { attempt: old.0 }), "{steps:?}");
}

#[test]
fn an_attempt_that_was_not_sent_does_not_count_against_the_upstream() {
    for (report, excluded) in [(Report::NotSent, false), (Report::NotDelivered, true)] {
        let mut b = Fixture::new(&[host(0), host(1)]);
        b.serve_quickly(4, ONCE);
        // Long enough after its last response that a single failure excludes the upstream.
        b.advance(600 * MS);
        let (_, steps) = b.pick(ONCE, S);
        let first = sends(&steps)[0];
        let again = b.report(first.0, report);
        b.report(sends(&again)[0].0, Report::Served);
        let mut sent_there = 0;
        for _ in 0..10 {
            let (_, steps) = b.pick(ONCE, S);
            sent_there += usize::from(sends(&steps)[0].1 == first.1);
            b.report(sends(&steps)[0].0, Report::Served);
        }
        assert_eq!(sent_there == 0, excluded, "{report:?}: {sent_there} of 10");
    }
}

#[test]
fn a_silent_upstream_costs_no_more_than_the_clients_time() {
    let mut b = Fixture::new(&[host(0)]);
    let (request, steps) = b.pick(ONCE, 800 * MS);
    let sent = sends(&steps);
    assert_eq!(sent[0].3, 790 * MS, "the limit is just before the client gives up");
    assert_eq!(answers(&b.advance(789 * MS)), 0);
    let steps = b.advance(2 * MS);
    assert_eq!(steps, [Step::Cancel { attempt: sent[0].0 }, Step::Fail { request }]);
    assert_eq!(b.report(sent[0].0, Report::Served), [], "too late to be served");
    assert_eq!(
        b.advance(10 * S).iter().filter(|s| matches!(s, Step::Send { .. })).count(),
        0,
        "no attempt after the answer"
    );
}

#[test]
fn a_client_in_a_hurry_still_gets_most_of_its_time() {
    let mut b = Fixture::new(&[host(0)]);
    b.serve_quickly(100, ONCE);
    let (_, steps) = b.pick(ONCE, 40 * MS);
    assert_eq!(sends(&steps).iter().map(|s| s.3).collect::<Vec<_>>(), [36 * MS]);
    let (_, steps) = b.pick(ONCE, 0);
    assert_eq!((sends(&steps).len(), answers(&steps)), (0, 1), "no time left: answered at once");
}

#[test]
fn a_late_response_causes_a_hedged_attempt_and_the_first_served_cancels_the_other() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    // With short usual latencies, a late response is noticed while a second attempt can still be in time.
    b.serve_quickly(20, REPEATABLE);
    let (_, steps) = b.pick(REPEATABLE, 2 * S);
    let first = sends(&steps)[0];
    let second = sends(&b.advance(450 * MS));
    assert_eq!(second.len(), 1, "a hedged attempt");
    assert_ne!(second[0].1, first.1);
    let steps = b.report(second[0].0, Report::Served);
    assert_eq!(steps, [Step::Serve { attempt: second[0].0 }, Step::Cancel { attempt: first.0 }]);
}

#[test]
fn a_client_that_disconnects_ends_its_attempts_unanswered() {
    let mut b = Fixture::new(&[host(0)]);
    let (request, steps) = b.pick(ONCE, 2 * S);
    let attempt = sends(&steps)[0].0;
    assert_eq!(b.balancer.client_disconnected(request).steps, [Step::Cancel { attempt }]);
    assert_eq!(answers(&b.advance(5 * S)), 0);
    assert_eq!(b.balancer.client_disconnected(request).steps, []);
}

#[test]
fn a_shutdown_answers_every_request_before_its_end() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    let (old, steps) = b.pick(ONCE, 60 * S);
    assert_eq!(sends(&steps).len(), 1);
    let at = b.clock.get() + 700 * MS;
    b.balancer.answer_by(at);
    // A request that arrives during the shutdown is still sent, within the time that is left.
    b.advance(200 * MS);
    let (new, steps) = b.pick(REPEATABLE, 60 * S);
    assert!(sends(&steps).iter().all(|s| s.3 <= 500 * MS) && !sends(&steps).is_empty(), "{steps:?}");
    let steps = b.advance(520 * MS);
    assert!(steps.contains(&Step::Fail { request: old }), "{steps:?}");
    assert_eq!((answers(&steps), b.balancer.is_unanswered(new), b.balancer.unanswered()), (2, false, 0));
}

#[test]
fn drains_and_moved_addresses_are_followed() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    let draining = Host { health: Health::Draining, ..host(0) };
    let moved = Host { address: Some(([127, 0, 0, 1], 4000).into()), ..host(1) };
    let steps = b
        .balancer
        .discovery_event(&DiscoveryEvent::List { whole: false, hosts: vec![draining, moved] })
        .steps;
    assert_eq!(steps, [Step::CloseIdle(Upstream(0)), Step::CloseIdle(Upstream(1))]);
    for _ in 0..6 {
        let (_, steps) = b.pick(REPEATABLE, S);
        let sent = sends(&steps);
        assert_eq!((sent.len(), sent[0].1, sent[0].2), (1, Upstream(1), 4000));
        b.report(sent[0].0, Report::Served);
    }
    // Upstreams missing from a complete list are gone; none is left.
    assert!(b.balancer.ready());
    b.balancer.discovery_event(&DiscoveryEvent::List { whole: true, hosts: vec![] });
    assert!(!b.balancer.ready());
    let (_, steps) = b.pick(REPEATABLE, S);
    assert_eq!((sends(&steps).len(), answers(&steps)), (0, 1));
}

#[test]
fn a_broken_subscription_is_renewed_and_the_list_stays_in_use() {
    let mut b = Fixture::new(&[host(0)]);
    let subscribe = Step::Subscribe(true);
    assert!(b.advance(S).contains(&subscribe));
    assert_eq!(b.advance(30 * S).len(), 0, "subscribed once");
    b.balancer.discovery_event(&DiscoveryEvent::Broken);
    assert!(b.advance(20 * S).contains(&subscribe));
    let (_, steps) = b.pick(REPEATABLE, S);
    assert_eq!(sends(&steps).len(), 1);
}

#[test]
fn a_pushed_list_is_subscribed_to_from_the_start() {
    let mut b = Fixture::with("pushed", &[host(0)]);
    let subscribe = Step::Subscribe(true);
    assert_eq!(b.advance(30 * S), std::slice::from_ref(&subscribe));
    b.balancer.discovery_event(&DiscoveryEvent::Broken);
    assert_eq!(b.advance(30 * S), [subscribe]);
}

#[test]
fn timers_of_the_caller_expire_in_order() {
    let mut b = Fixture::new(&[host(0)]);
    b.advance(S);
    let now = b.clock.get();
    for (at, what) in [(30, "c"), (10, "a"), (30, "d"), (20, "b")] {
        b.balancer.set_timer(now + at * MS, what);
    }
    assert_eq!(b.advance(25 * MS), [Step::Timer("a"), Step::Timer("b")]);
    assert_eq!(b.advance(25 * MS), [Step::Timer("c"), Step::Timer("d")]);
}

#[test]
fn equal_events_give_equal_steps() {
    let run = || {
        let hosts: Vec<_> = (0..5).map(host).collect();
        let mut b = Fixture::new(&hosts);
        let mut all = Vec::new();
        for n in 0..200u32 {
            let (_, steps) = b.pick(n % 2, S);
            let reports =
                [Report::Served, Report::Error, Report::Reset, Report::NotDelivered, Report::Rejected];
            for sent in sends(&steps) {
                if n % 7 != 0 {
                    all.extend(b.report(sent.0, reports[n as usize % 5]));
                }
            }
            all.extend(steps);
            all.extend(b.advance(37 * MS));
        }
        b.balancer.answer_by(b.clock.get() + 10 * MS);
        all.extend(b.advance(S));
        all
    };
    assert_eq!(run(), run());
}

/// Settings with these classes: name, effect, deadline.
fn settings_of(
    classes: &[(&str, &str, f64)],
    attempts: u32,
) -> (silvercross_core::interface::Settings, silvercross_settings::ProxySettings) {
    let class = |(name, effect, deadline): &(&str, &str, f64)| {
        format!(r#"{{"name":"{name}","aim_s":0.5,"deadline_s":{deadline},"effect":"{effect}"}}"#)
    };
    let classes: Vec<_> = classes.iter().map(class).collect();
    let text = format!(
        r#"{{"areas":["a","b"],"classes":[{}],"limits":{{"attempts_cap":{attempts},"may_cancel":true}},"rules":{{}}}}"#,
        classes.join(",")
    );
    silvercross_settings::read_value(serde_json::from_str(&text).expect("JSON")).expect("settings")
}

#[test]
fn an_open_request_ends_under_the_class_it_was_accepted_with() {
    let mut b = Fixture::new(&[host(1), host(2)]);
    let (_, steps) = b.pick(ONCE, 2 * S);
    let open = sends(&steps)[0].0;
    // The class becomes repeatable; the open request was accepted when it was not.
    let (settings, front) = settings_of(&[("commit", "repeatable", 2.0), ("new", "once", 1.0)], 4);
    b.balancer.reconfigure(settings, front);
    let commit = b.balancer.class_named("commit").expect("named");
    assert_ne!(commit, ONCE, "its slot is in use");
    assert_eq!(b.balancer.class_named("read"), None, "dropped");
    assert!(b.balancer.class_named("new").is_some());
    let steps = b.report(open, Report::Error);
    assert!(sends(&steps).is_empty() && steps.iter().any(|s| matches!(s, Step::Fail { .. })), "{steps:?}");
    // A new request is accepted under the new class and is sent again after an error.
    b.serve_quickly(200, commit);
    let (_, steps) = b.pick(commit, 2 * S);
    let steps = b.report(sends(&steps)[0].0, Report::Error);
    assert_eq!(sends(&steps).len(), 1, "{steps:?}");
}

#[test]
fn the_maximum_of_attempts_of_an_open_request_does_not_change() {
    let mut b = Fixture::new(&[host(1), host(2), host(3)]);
    b.serve_quickly(200, REPEATABLE);
    let (_, steps) = b.pick(REPEATABLE, 2 * S);
    let (settings, front) = settings_of(&[("read", "repeatable", 2.0)], 1);
    b.balancer.reconfigure(settings, front);
    let steps = b.report(sends(&steps)[0].0, Report::NotDelivered);
    assert_eq!(sends(&steps).len(), 1, "accepted with a maximum of four: {steps:?}");
    let read = b.balancer.class_named("read").expect("named");
    let (_, steps) = b.pick(read, 2 * S);
    let steps = b.report(sends(&steps)[0].0, Report::NotDelivered);
    assert!(sends(&steps).is_empty(), "accepted with a maximum of one: {steps:?}");
}

#[test]
fn a_thousand_changes_of_the_settings_reuse_class_slots() {
    let mut b = Fixture::new(&[host(1)]);
    let (_, steps) = b.pick(ONCE, 2 * S);
    let open = sends(&steps)[0].0;
    let mut most = 0;
    for n in 0..1_000 {
        let name = format!("c{n}");
        let (settings, front) = settings_of(&[(&name, "once", 1.0 + f64::from(n)), ("read", "once", 1.0)], 3);
        b.balancer.reconfigure(settings, front);
        most = most.max(b.balancer.class_named(&name).expect("named"));
        assert_eq!(b.balancer.class_named(""), None);
    }
    assert!(most < 8, "{most}");
    assert_eq!(b.balancer.longest_deadline(), 1_000 * S);
    b.report(open, Report::Served);
    let (settings, front) = settings_of(&[("read", "once", 1.0)], 3);
    b.balancer.reconfigure(settings, front);
    assert_eq!(b.balancer.longest_deadline(), S, "unused classes are not counted");
}

#[test]
fn the_time_of_a_request_counts_from_its_last_byte() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    let (request, steps) = b.pick_incomplete(REPEATABLE, S);
    assert_eq!(sends(&steps).len(), 1);
    assert_eq!(sends(&steps)[0].3, S, "the upstream is told the client's budget");
    let waited = b.advance(20 * S);
    assert!(
        answers(&waited) == 0 && sends(&waited).is_empty(),
        "the body is still being received: {waited:?}"
    );
    b.balancer.body_complete(request);
    assert_eq!(answers(&b.advance(900 * MS)), 0);
    assert_eq!(answers(&b.advance(200 * MS)), 1, "its budget has run out");
    assert_eq!(b.balancer.unanswered(), 0);
}

#[test]
fn a_response_that_has_begun_is_neither_cut_off_nor_replaced() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    b.serve_quickly(200, REPEATABLE);
    let (_, steps) = b.pick(REPEATABLE, 2 * S);
    let first = sends(&steps)[0].0;
    // A hedged attempt is in flight when the first response begins; it is cancelled.
    let second = sends(&b.advance(300 * MS))[0].0;
    let steps = b.balancer.stream_started(first).steps;
    assert!(steps.contains(&Step::Cancel { attempt: second }), "{steps:?}");
    let passed = b.advance(60 * S);
    assert!(answers(&passed) == 0 && sends(&passed).is_empty(), "{passed:?}");
    assert_eq!(b.balancer.unanswered(), 1);
    // The response breaks off: no other answer can be given.
    let steps = b.report(first, Report::Reset);
    assert!(answers(&steps) == 0 && sends(&steps).is_empty(), "{steps:?}");
    assert_eq!((b.balancer.unanswered(), answers(&b.advance(10 * S))), (0, 0));
}

#[test]
fn a_shutdown_ends_incomplete_requests_but_not_streamed_responses() {
    let mut b = Fixture::new(&[host(0), host(1)]);
    let (_, steps) = b.pick(REPEATABLE, S);
    let streaming = sends(&steps)[0].0;
    b.balancer.stream_started(streaming);
    b.pick_incomplete(ONCE, S);
    let at = b.clock.get() + 2 * S;
    b.balancer.answer_by(at);
    assert_eq!(answers(&b.advance(3 * S)), 1, "the request with an incomplete body");
    assert_eq!(b.report(streaming, Report::Served), [Step::Serve { attempt: streaming }]);
}
