//! The four rules, checked from the action stream alone over arbitrary legal event sequences. Events only: no
//! upstream is modelled and no performance measured.
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
struct Try {
    upstream: u32,
    sent: Micros,
    limit: Micros,
    ended: Option<Outcome>,
}

struct Req {
    class: usize,
    deadline: Micros,
    tries: Vec<Try>,
    over: bool,
    streaming: bool,
}

/// The environment and the checker: knows the rules, nothing of the module's insides.
struct World {
    rng: Pcg64Mcg,
    set: Settings,
    now: Micros,
    balancer: Balancer,
    reqs: BTreeMap<u64, Req>,
    timers: Vec<(Micros, u64)>,
    entries: BTreeMap<u32, Entry>,
    /// When this instance was told that an upstream takes nothing new.
    closed: BTreeMap<u32, Micros>,
    faults: Vec<String>,
    next: u64,
}

fn never_ran(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

impl World {
    fn new(seed: u64, set: Settings, upstreams: u32) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = (rng.next_u64() % 1_000_000_000) as Micros;
        let balancer = Balancer::new(set.clone(), seed, now);
        let entries: BTreeMap<_, _> = (0..upstreams).map(|i| (i, entry(i, i % set.zones))).collect();
        let (reqs, closed) = (BTreeMap::new(), BTreeMap::new());
        let (timers, faults) = (Vec::new(), Vec::new());
        let mut world = World { rng, set, now, balancer, reqs, timers, entries, closed, faults, next: 1 };
        let all: Vec<_> = world.entries.values().copied().collect();
        world.event(Event::List { kind: ListKind::StaleCopy, entries: &all });
        world
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn event(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn fault(&mut self, what: &str, id: u64) {
        self.faults.push(format!("{what} (request {id} at {})", self.now));
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { request: RequestId(id), upstream, limit } => self.check_send(id, upstream, limit),
            Action::Refuse { request: RequestId(id), retry_after } => {
                if retry_after > self.set.max_retry_after {
                    self.fault("advice the settings do not allow", id);
                }
                self.check_final(id);
                let r = &self.reqs[&id];
                let may_have_run = r.tries.iter().any(|t| !never_ran(t.ended));
                let harmless = match self.set.classes[r.class].effect {
                    Effect::Repeatable | Effect::Keyed { group: DedupGroup::All, .. } => true,
                    Effect::Keyed { .. } | Effect::Once => !may_have_run,
                };
                if !harmless {
                    self.fault("refused after it may have run", id);
                }
            }
            Action::Fail { request: RequestId(id) } => self.check_final(id),
            Action::Cancel { request: RequestId(id), attempt }
                if !self.set.may_cancel || self.reqs[&id].tries.len() <= attempt as usize =>
            {
                self.fault("a cancel that is not allowed", id)
            }
            Action::Timer { after, token } => self.timers.push((self.now + after.max(1), token)),
            Action::Probe(_) if !self.set.probes => self.fault("a probe", 0),
            _ => {}
        }
    }

    fn check_final(&mut self, id: u64) {
        let grace = 20 * MS;
        let Some(r) = self.reqs.get_mut(&id) else { return self.fault("an answer to nobody", id) };
        let (again, late) = (r.over, self.now > r.deadline + grace);
        r.over = true;
        if again {
            self.fault("a second final answer", id);
        }
        if late {
            self.fault("a final answer too late", id);
        }
    }

    fn check_send(&mut self, id: u64, upstream: UpstreamId, limit: Option<Micros>) {
        let Some(r) = self.reqs.get(&id) else { return self.fault("a send for nobody", id) };
        let to = self.entries[&upstream.0];
        let mut wrong = Vec::new();
        if r.over {
            wrong.push("a send after the final answer");
        }
        if r.tries.len() >= self.set.max_attempts as usize {
            wrong.push("a send beyond the cap");
        }
        if !self.set.may_hedge && r.tries.iter().any(|t| t.ended.is_none()) {
            wrong.push("two attempts out together");
        }
        for t in r.tries.iter().filter(|t| !never_ran(t.ended)) {
            match self.set.classes[r.class].effect {
                Effect::Repeatable => {}
                Effect::Once => wrong.push("sent again though it may have run"),
                Effect::Keyed { group, window } => {
                    let first = self.entries[&t.upstream];
                    let same = match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => first.zone == to.zone,
                        DedupGroup::Cell => first.cell == to.cell,
                    };
                    if !same || self.now > t.sent + window {
                        wrong.push("sent outside the group or the window");
                    }
                }
            }
        }
        if self.closed.get(&upstream.0).is_some_and(|at| self.now > at + self.set.drain_grace) {
            wrong.push("sent to a drained upstream");
        }
        let (now, left) = (self.now, r.deadline - self.now);
        let limit = limit.filter(|l| *l != 0).map_or(left, |l| l.min(left));
        let r = self.reqs.get_mut(&id).expect("held");
        r.tries.push(Try { upstream: upstream.0, sent: now, limit, ended: None });
        wrong.into_iter().for_each(|w| self.fault(w, id));
    }

    fn end(&mut self, id: u64, k: usize, outcome: Outcome) {
        let r = self.reqs.get_mut(&id).expect("held");
        r.tries[k].ended = Some(outcome);
        r.over |= outcome == Outcome::Served || r.streaming;
        let elapsed = self.now - r.tries[k].sent;
        let (request_over, attempt, request) = (r.over, k as u32, RequestId(id));
        self.event(Event::AttemptEnded(Ended { request, attempt, outcome, elapsed, request_over }));
    }

    /// Let time pass, with all that falls due on the way, in order.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let timer = self.timers.iter().map(|t| t.0).min();
            let out = |r: &Req| r.tries.iter().filter(|t| t.ended.is_none()).map(|t| t.sent + t.limit).min();
            let due = self.reqs.values().filter(|r| !r.streaming).filter_map(out).min();
            let Some(at) = timer.into_iter().chain(due).min().filter(|t| *t <= until) else { break };
            self.now = self.now.max(at);
            if timer == Some(at) {
                let k = self.timers.iter().position(|t| t.0 == at).expect("due");
                let token = self.timers.remove(k).1;
                self.event(Event::Timer { token });
            } else {
                let late = |r: &Req| r.tries.iter().position(|t| t.ended.is_none() && t.sent + t.limit <= at);
                let found = self.reqs.iter().filter(|(_, r)| !r.streaming);
                let (id, k) = found.filter_map(|(i, r)| Some((*i, late(r)?))).next().expect("due");
                self.end(id, k, Outcome::TimedOut);
            }
            self.unanswered();
        }
        self.now = until;
        self.unanswered();
    }

    fn unanswered(&mut self) {
        let grace = 20 * MS;
        let lost = |r: &Req| !r.over && !r.streaming && self.now > r.deadline + grace;
        let ids: Vec<_> = self.reqs.iter().filter(|(_, r)| lost(r)).map(|(i, _)| *i).collect();
        for id in ids {
            self.fault("no final answer", id);
            self.reqs.get_mut(&id).expect("held").over = true;
        }
    }

    fn some_out(&mut self) -> Option<(u64, usize)> {
        let mut all = Vec::new();
        for (id, r) in &self.reqs {
            all.extend(r.tries.iter().enumerate().filter(|t| t.1.ended.is_none()).map(|t| (*id, t.0)));
        }
        match all.len() {
            0 => None,
            n => Some(all[self.below(n as u64) as usize]),
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
        match self.below(20) {
            0..=6 => {
                let id = self.next;
                self.next += 1;
                let class = self.below(self.set.classes.len() as u64) as u32;
                let budget = 1 + self.below(self.set.classes[class as usize].deadline as u64) as Micros;
                let hint = (self.below(2) == 0).then(|| self.below(300_000) as Micros);
                let client_retry = self.below(4) == 0;
                let deadline = self.now + budget;
                let (tries, over, streaming) = (Vec::new(), false, false);
                self.reqs.insert(id, Req { class: class as usize, deadline, tries, over, streaming });
                let new = NewRequest { budget, cost_hint: hint, client_retry, ..request(id, class) };
                self.event(Event::Request(new));
            }
            7..=13 => {
                if let Some((id, k)) = self.some_out() {
                    let outcome = outcomes[self.below(outcomes.len() as u64) as usize];
                    self.end(id, k, outcome);
                }
            }
            14 if self.set.classes[0].stream => {
                if let Some((id, k)) = self.some_out() {
                    let r = &self.reqs[&id];
                    if self.set.classes[r.class].stream && !r.over && !r.streaming {
                        self.reqs.get_mut(&id).expect("held").streaming = true;
                        let (request, attempt) = (RequestId(id), k as u32);
                        self.event(Event::StreamStarted { request, attempt });
                    }
                }
            }
            15 => {
                let ids: Vec<_> = self.reqs.iter().filter(|r| !r.1.over).map(|r| *r.0).collect();
                if !ids.is_empty() {
                    let id = ids[self.below(ids.len() as u64) as usize];
                    self.reqs.get_mut(&id).expect("held").over = true;
                    self.event(Event::RequestGone { request: RequestId(id) });
                }
            }
            16 => {
                let n = self.entries.len() as u64;
                let id = self.below(n) as u32;
                let lifecycle =
                    [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone][self.below(3) as usize];
                let mut e = self.entries[&id];
                e.lifecycle = lifecycle;
                if self.below(2) == 0 && lifecycle == Lifecycle::Running {
                    e.last_start = Some(self.now - self.below(5_000_000) as Micros);
                }
                self.entries.insert(id, e);
                match lifecycle {
                    Lifecycle::Running => drop(self.closed.remove(&id)),
                    _ => drop(self.closed.entry(id).or_insert(self.now)),
                }
                self.event(Event::List { kind: ListKind::Patch, entries: &[e] });
            }
            17 => match self.below(4) {
                0 => self.event(Event::List { kind: ListKind::Broken, entries: &[] }),
                1 => {
                    // Not on the whole list: gone.
                    let kept: Vec<_> = self.entries.values().filter(|e| e.upstream.0 != 0).copied().collect();
                    self.closed.entry(0).or_insert(self.now);
                    for e in &kept {
                        match e.lifecycle {
                            Lifecycle::Running => drop(self.closed.remove(&e.upstream.0)),
                            _ => drop(self.closed.entry(e.upstream.0).or_insert(self.now)),
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
                let span = [MS, 20 * MS, 300 * MS, 3 * S][self.below(4) as usize];
                self.pass(span);
            }
        }
    }
}

fn edge_settings() -> impl Strategy<Value = (Settings, u32)> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1u32..5, 1u32..4, 1u32..8).prop_map(|(flags, cap, zones, upstreams)| {
        let (may_hedge, may_cancel, advice, pushed, stream) = flags;
        let mut set = settings();
        set.classes.iter_mut().for_each(|c| c.stream = stream);
        let max_retry_after = advice.then_some(2 * S);
        let list_on_request = !pushed;
        let set = Settings {
            may_hedge,
            may_cancel,
            max_retry_after,
            list_on_request,
            max_attempts: cap,
            zones,
            ..set
        };
        (set, upstreams)
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
    let held = runner(400).run(&cases, |(seed, (set, upstreams), steps)| {
        let mut world = World::new(seed, set, upstreams);
        for _ in 0..steps {
            world.step();
            prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        }
        world.pass(20 * S);
        prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        Ok(())
    });
    held.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn sends_to_a_cold_upstream_stay_within_this_sidecars_share() {
    // Steady traffic of equal requests over warm upstreams and one just started. What this sidecar sends a warm
    // one is its share of what such a one can do; over any span the cold one may get the multiple of the cold
    // part of that, and one request where that is less than one.
    let cases = (any::<u64>(), 2u32..6, 20u64..200, 0.1f64..0.6, 1.5f64..4.0);
    let held = runner(60).run(&cases, |(seed, warm, per_s, initial_capacity, multiple)| {
        let set = Settings { initial_capacity, overload_multiple: multiple, zones: 1, ..settings() };
        let span = set.overload_window;
        let (warm_up_time, gap) = (set.warm_up_time, S / per_s as Micros);
        let mut balancer = Balancer::new(set, seed, 100 * S);
        let mut now = 100 * S;
        let mut entries: Vec<_> = (0..=warm).map(|i| entry(i, 0)).collect();
        let mut out = Vec::new();
        let list = Event::List { kind: ListKind::StaleCopy, entries: &entries[..warm as usize] };
        balancer.handle(now, list, &mut out);
        let mut sends: Vec<(Micros, u32)> = Vec::new();
        let started = now + 8 * S;
        let mut told = false;
        for id in 1..(20 * per_s) {
            now += gap;
            if !told && now >= started {
                told = true;
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
            prop_assert!(got <= most, "{got} sends in a span, {most} at most, at age {age}");
        }
        Ok(())
    });
    held.unwrap_or_else(|e| panic!("{e}"));
}
