//! The rules on final answers, repeatability, drains and cold upstreams, checked from the actions alone over arbitrary legal
//! event sequences. No upstream is modelled.
mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silvercross_core::interface::*;
use silvercross_core::policy::Balancer;
use std::collections::BTreeMap;

#[derive(Clone, Copy)]
struct Attempt {
    upstream: u32,
    sent: Micros,
    limit: Micros,
    ended: Option<Outcome>,
}

struct Request {
    class: usize,
    deadline: Micros,
    attempts: Vec<Attempt>,
    finished: bool,
    streaming: bool,
}

/// Generates events and checks the actions against the rules, without access to the module's state.
struct Checker {
    rng: Pcg64Mcg,
    settings: Settings,
    now: Micros,
    balancer: Balancer,
    requests: BTreeMap<u64, Request>,
    timers: Vec<(Micros, u64)>,
    entries: BTreeMap<u32, Entry>,
    /// When an upstream was listed as draining or gone, or was left out of a snapshot.
    closed_at: BTreeMap<u32, Micros>,
    violations: Vec<String>,
    next_id: u64,
}

fn not_executed(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

impl Checker {
    fn new(seed: u64, settings: Settings, upstreams: u32) -> Checker {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = (rng.next_u64() % 1_000_000_000) as Micros;
        let balancer = Balancer::new(settings.clone(), seed, now);
        let entries: BTreeMap<_, _> = (0..upstreams).map(|i| (i, entry(i, i % settings.zones))).collect();
        let (requests, closed_at) = (BTreeMap::new(), BTreeMap::new());
        let (timers, violations) = (Vec::new(), Vec::new());
        let mut checker = Checker {
            rng,
            settings,
            now,
            balancer,
            requests,
            timers,
            entries,
            closed_at,
            violations,
            next_id: 1,
        };
        let all: Vec<_> = checker.entries.values().copied().collect();
        checker.event(Event::List { kind: ListKind::StaleCopy, entries: &all });
        checker
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn event(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn fail(&mut self, what: &str, id: u64) {
        self.violations.push(format!("{what} (request {id} at {})", self.now));
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { request: RequestId(id), upstream, limit } => self.check_send(id, upstream, limit),
            Action::Refuse { request: RequestId(id), retry_after } => {
                if retry_after > self.settings.max_retry_after {
                    self.fail("a retry-after that the settings do not allow", id);
                }
                self.check_final(id);
                let r = &self.requests[&id];
                let may_have_run = r.attempts.iter().any(|t| !not_executed(t.ended));
                let harmless = match self.settings.classes[r.class].repeatability {
                    Repeatability::Repeatable | Repeatability::Keyed { group: DedupGroup::All, .. } => true,
                    Repeatability::Keyed { .. } | Repeatability::Once => !may_have_run,
                };
                if !harmless {
                    self.fail("refused though it may have been executed", id);
                }
            }
            Action::Fail { request: RequestId(id) } => self.check_final(id),
            Action::Cancel { request: RequestId(id), attempt }
                if !self.settings.may_cancel || self.requests[&id].attempts.len() <= attempt as usize =>
            {
                self.fail("a cancel that is not allowed", id)
            }
            Action::Timer { after, token } => self.timers.push((self.now + after.max(1), token)),
            Action::Probe(_) if !self.settings.probes => self.fail("a probe", 0),
            _ => {}
        }
    }

    fn check_final(&mut self, id: u64) {
        let grace = 20 * MS;
        let Some(r) = self.requests.get_mut(&id) else { return self.fail("an unrequested answer", id) };
        let (again, late) = (r.finished, self.now > r.deadline + grace);
        r.finished = true;
        if again {
            self.fail("a second final answer", id);
        }
        if late {
            self.fail("a late final answer", id);
        }
    }

    fn check_send(&mut self, id: u64, upstream: UpstreamId, limit: Option<Micros>) {
        let Some(r) = self.requests.get(&id) else { return self.fail("send for an unknown request", id) };
        let to = self.entries[&upstream.0];
        let mut wrong = Vec::new();
        if r.finished {
            wrong.push("a send after the final answer");
        }
        if r.attempts.len() >= self.settings.max_attempts as usize {
            wrong.push("a send beyond the maximum number of attempts");
        }
        if !self.settings.may_hedge && r.attempts.iter().any(|t| t.ended.is_none()) {
            wrong.push("two attempts in flight together");
        }
        for t in r.attempts.iter().filter(|t| !not_executed(t.ended)) {
            match self.settings.classes[r.class].repeatability {
                Repeatability::Repeatable => {}
                Repeatability::Once => wrong.push("sent again though it may have been executed"),
                Repeatability::Keyed { group, window } => {
                    let first = self.entries[&t.upstream];
                    let same = match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => first.zone == to.zone,
                        DedupGroup::Cell => first.cell == to.cell,
                    };
                    if !same || self.now > t.sent + window {
                        wrong.push("sent again outside the deduplication group or window");
                    }
                }
            }
        }
        if self.closed_at.get(&upstream.0).is_some_and(|at| self.now > at + self.settings.drain_grace) {
            wrong.push("sent to a drained upstream");
        }
        let (now, left) = (self.now, r.deadline - self.now);
        let limit = limit.filter(|l| *l != 0).map_or(left, |l| l.min(left));
        let r = self.requests.get_mut(&id).expect("a tracked request");
        r.attempts.push(Attempt { upstream: upstream.0, sent: now, limit, ended: None });
        wrong.into_iter().for_each(|w| self.fail(w, id));
    }

    fn end(&mut self, id: u64, k: usize, outcome: Outcome) {
        let r = self.requests.get_mut(&id).expect("a tracked request");
        r.attempts[k].ended = Some(outcome);
        r.finished |= outcome == Outcome::Served || r.streaming;
        let elapsed = self.now - r.attempts[k].sent;
        let (request_over, attempt, request) = (r.finished, k as u32, RequestId(id));
        self.event(Event::AttemptEnded(Ended { request, attempt, outcome, elapsed, request_over }));
    }

    /// Advances the time; timers and time limits on the way expire in order.
    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let timer = self.timers.iter().map(|t| t.0).min();
            let first_limit =
                |r: &Request| r.attempts.iter().filter(|t| t.ended.is_none()).map(|t| t.sent + t.limit).min();
            let due = self.requests.values().filter(|r| !r.streaming).filter_map(first_limit).min();
            let Some(at) = timer.into_iter().chain(due).min().filter(|t| *t <= until) else { break };
            self.now = self.now.max(at);
            if timer == Some(at) {
                let k = self.timers.iter().position(|t| t.0 == at).expect("due");
                let token = self.timers.remove(k).1;
                self.event(Event::Timer { token });
            } else {
                let late =
                    |r: &Request| r.attempts.iter().position(|t| t.ended.is_none() && t.sent + t.limit <= at);
                let found = self.requests.iter().filter(|(_, r)| !r.streaming);
                let (id, k) = found.filter_map(|(i, r)| Some((*i, late(r)?))).next().expect("due");
                self.end(id, k, Outcome::TimedOut);
            }
            self.check_unanswered();
        }
        self.now = until;
        self.check_unanswered();
    }

    fn check_unanswered(&mut self) {
        let grace = 20 * MS;
        let lost = |r: &Request| !r.finished && !r.streaming && self.now > r.deadline + grace;
        let ids: Vec<_> = self.requests.iter().filter(|(_, r)| lost(r)).map(|(i, _)| *i).collect();
        for id in ids {
            self.fail("no final answer", id);
            self.requests.get_mut(&id).expect("a tracked request").finished = true;
        }
    }

    fn some_in_flight(&mut self) -> Option<(u64, usize)> {
        let mut all = Vec::new();
        for (id, r) in &self.requests {
            all.extend(r.attempts.iter().enumerate().filter(|t| t.1.ended.is_none()).map(|t| (*id, t.0)));
        }
        match all.len() {
            0 => None,
            n => Some(all[self.random_below(n as u64) as usize]),
        }
    }

    fn step(&mut self) {
        let outcomes = [
            Outcome::Served,
            Outcome::Served,
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
        ];
        match self.random_below(20) {
            0..=6 => {
                let id = self.next_id;
                self.next_id += 1;
                let class = self.random_below(self.settings.classes.len() as u64) as u32;
                let budget =
                    1 + self.random_below(self.settings.classes[class as usize].deadline as u64) as Micros;
                let hint = (self.random_below(2) == 0).then(|| self.random_below(300_000) as Micros);
                let client_retry = self.random_below(4) == 0;
                let deadline = self.now + budget;
                let (attempts, finished, streaming) = (Vec::new(), false, false);
                self.requests
                    .insert(id, Request { class: class as usize, deadline, attempts, finished, streaming });
                let new = NewRequest { budget, cost_hint: hint, client_retry, ..request(id, class) };
                self.event(Event::Request(new));
            }
            7..=13 => {
                if let Some((id, k)) = self.some_in_flight() {
                    let outcome = outcomes[self.random_below(outcomes.len() as u64) as usize];
                    self.end(id, k, outcome);
                }
            }
            14 if self.settings.classes[0].stream => {
                if let Some((id, k)) = self.some_in_flight() {
                    let r = &self.requests[&id];
                    if self.settings.classes[r.class].stream && !r.finished && !r.streaming {
                        self.requests.get_mut(&id).expect("a tracked request").streaming = true;
                        let (request, attempt) = (RequestId(id), k as u32);
                        self.event(Event::StreamStarted { request, attempt });
                    }
                }
            }
            15 => {
                let ids: Vec<_> = self.requests.iter().filter(|r| !r.1.finished).map(|r| *r.0).collect();
                if !ids.is_empty() {
                    let id = ids[self.random_below(ids.len() as u64) as usize];
                    self.requests.get_mut(&id).expect("a tracked request").finished = true;
                    self.event(Event::RequestGone { request: RequestId(id) });
                }
            }
            16 => {
                let n = self.entries.len() as u64;
                let id = self.random_below(n) as u32;
                let lifecycle =
                    [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone][self.random_below(3) as usize];
                let mut e = self.entries[&id];
                e.lifecycle = lifecycle;
                if self.random_below(2) == 0 && lifecycle == Lifecycle::Running {
                    e.last_start = Some(self.now - self.random_below(5_000_000) as Micros);
                }
                self.entries.insert(id, e);
                match lifecycle {
                    Lifecycle::Running => drop(self.closed_at.remove(&id)),
                    _ => drop(self.closed_at.entry(id).or_insert(self.now)),
                }
                self.event(Event::List { kind: ListKind::Patch, entries: &[e] });
            }
            17 => match self.random_below(4) {
                0 => self.event(Event::List { kind: ListKind::Broken, entries: &[] }),
                1 => {
                    // An upstream that a snapshot leaves out is gone.
                    let kept: Vec<_> = self.entries.values().filter(|e| e.upstream.0 != 0).copied().collect();
                    self.closed_at.entry(0).or_insert(self.now);
                    for e in &kept {
                        match e.lifecycle {
                            Lifecycle::Running => drop(self.closed_at.remove(&e.upstream.0)),
                            _ => drop(self.closed_at.entry(e.upstream.0).or_insert(self.now)),
                        }
                    }
                    self.event(Event::List { kind: ListKind::Snapshot, entries: &kept });
                }
                _ => self.event(Event::Timer { token: 999_999_999 }),
            },
            18 => {
                let unknown = RequestId(1 << 40);
                self.event(Event::RequestGone { request: unknown });
                let outcome = Outcome::Served;
                let ended = Ended { request: unknown, attempt: 3, outcome, elapsed: 5, request_over: true };
                self.event(Event::AttemptEnded(ended));
            }
            _ => {
                let span = [MS, 20 * MS, 300 * MS, 3 * S][self.random_below(4) as usize];
                self.advance(span);
            }
        }
    }
}

fn edge_settings() -> impl Strategy<Value = (Settings, u32)> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1u32..5, 1u32..4, 1u32..8).prop_map(|(flags, cap, zones, upstreams)| {
        let (may_hedge, may_cancel, advice, pushed, stream) = flags;
        let mut settings = settings();
        settings.classes.iter_mut().for_each(|c| c.stream = stream);
        let max_retry_after = advice.then_some(2 * S);
        let list_on_request = !pushed;
        let settings = Settings {
            may_hedge,
            may_cancel,
            max_retry_after,
            list_on_request,
            max_attempts: cap,
            zones,
            ..settings
        };
        (settings, upstreams)
    })
}

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn answers_effects_and_drains_hold_over_any_legal_sequence() {
    let cases = (any::<u64>(), edge_settings(), 50usize..600);
    let result = runner(400).run(&cases, |(seed, (settings, upstreams), steps)| {
        let mut checker = Checker::new(seed, settings, upstreams);
        for _ in 0..steps {
            checker.step();
            prop_assert!(checker.violations.is_empty(), "{:?}", checker.violations);
        }
        checker.advance(20 * S);
        prop_assert!(checker.violations.is_empty(), "{:?}", checker.violations);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn sends_to_a_cold_upstream_stay_within_this_instances_share() {
    // Steady traffic of equal requests over warm upstreams and one just started. Over any window the cold one may be
    // sent the multiple of its cold share of what a warm one is sent, but always one request.
    let cases = (any::<u64>(), 2u32..6, 20u64..200, 0.1f64..0.6, 1.5f64..4.0);
    let result = runner(60).run(&cases, |(seed, warm, per_s, initial_capacity, multiple)| {
        let settings = Settings { initial_capacity, overload_multiple: multiple, zones: 1, ..settings() };
        let span = settings.overload_window;
        let (warm_up_time, gap) = (settings.warm_up_time, S / per_s as Micros);
        let mut balancer = Balancer::new(settings, seed, 100 * S);
        let mut now = 100 * S;
        let mut entries: Vec<_> = (0..=warm).map(|i| entry(i, 0)).collect();
        let mut out = Vec::new();
        let list = Event::List { kind: ListKind::StaleCopy, entries: &entries[..warm as usize] };
        balancer.handle(now, list, &mut out);
        let mut sends: Vec<(Micros, u32)> = Vec::new();
        let started = now + 8 * S;
        let mut listed = false;
        for id in 1..(20 * per_s) {
            now += gap;
            if !listed && now >= started {
                listed = true;
                entries[warm as usize].last_start = Some(started);
                let list = Event::List { kind: ListKind::Snapshot, entries: &entries };
                balancer.handle(now, list, &mut out);
            }
            out.clear();
            balancer.handle(now, Event::Request(request(id, 0)), &mut out);
            let Some(to) = first_send(&out) else { continue };
            sends.push((now, to));
            let (attempt, outcome, elapsed, request_over) = (0, Outcome::Served, 60 * MS, true);
            let ended = Ended { request: RequestId(id), attempt, outcome, elapsed, request_over };
            balancer.handle(now, Event::AttemptEnded(ended), &mut out);
        }
        let cold: Vec<_> = sends.iter().filter(|s| s.1 == warm).map(|s| s.0).collect();
        for at in &cold {
            let age = (at - started) as f64 / warm_up_time as f64;
            if age >= 1.0 {
                break;
            }
            let share = initial_capacity + (1.0 - initial_capacity) * age;
            let got = cold.iter().filter(|t| **t > at - span && **t <= *at).count() as f64;
            let usual = per_s as f64 * span as f64 / 1e6 / f64::from(warm);
            let most = (multiple * share * usual).max(1.0);
            prop_assert!(got <= most, "{got} sends in a window, {most} allowed, at age {age}");
        }
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}
