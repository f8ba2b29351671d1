//! The controller against a slow plain checker that recounts everything that it admitted.
mod support;
use bolero::generator::*;
use silvercross_admission::*;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;
use support::{at, ms, secs, SERVICE};

/// What a rejected request may be asked to stay away for.
const RETRY_AFTER: std::ops::RangeInclusive<Duration> = ms(50)..=secs(1);
/// The part of the rule for the warm-up rate that is used.
const SAFE_PART: f64 = 0.8;

/// A request as the checker remembers it.
#[derive(Clone, Debug)]
struct Asked {
    attempt_id: String,
    incarnation: u32,
    priority: u32,
    is_idempotent: bool,
    /// It is admitted before this.
    latest: Instant,
    is_begun: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    incarnation: u32,
}

/// Until when the upstream warms up, by each source.
#[derive(Clone, Copy, Debug)]
struct WarmupEnds {
    by_heartbeat: Instant,
    by_health: Instant,
    by_evacuation: Instant,
}

impl WarmupEnds {
    const NONE: WarmupEnds =
        WarmupEnds { by_heartbeat: Instant::ZERO, by_health: Instant::ZERO, by_evacuation: Instant::ZERO };

    fn latest(&self) -> Instant {
        self.by_heartbeat.max(self.by_health).max(self.by_evacuation)
    }
}

/// One step, drawn: what happens, after how long, and two numbers that say to what.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step {
    kind: u8,
    pause: u8,
    x: u8,
    y: u8,
}

/// What the checker knows: plain facts, recounted at each step.
struct Checker {
    admission: AdmissionController,
    settings: AdmissionSettings,
    limits: UpstreamLimits,
    now: Instant,
    incarnation: u32,
    slots: u32,
    is_there: bool,
    is_signed_off: bool,
    draining_since: Option<Instant>,
    is_evacuated: bool,
    warmup_ends: WarmupEnds,
    pending: Vec<(u64, Asked)>,
    in_flight: BTreeMap<u64, Asked>,
    sent: Vec<Sent>,
    /// When each id that may not run again ended.
    ran: BTreeMap<String, Instant>,
    next_number: u64,
    answered: u64,
}

impl Checker {
    fn new(a: u8, b: u8) -> Self {
        let settings = AdmissionSettings {
            drain_timeout: secs(i64::from(a % 5)),
            warmup_overrun: 1.0 + f64::from(a % 3) * 0.5,
            warmup_slack: f64::from(b % 4),
        };
        let limits = UpstreamLimits {
            max_connections: [0, 1, 4, 130][usize::from(a / 64)],
            warmup_rate: [0.0, 0.4, 3.0, 21.0, 90.0][usize::from(b % 5)],
            warmup_span: secs(i64::from(b % 4)),
        };
        let mut admission = AdmissionController::new(settings);
        admission.set_limits(at(0), limits);
        Checker {
            admission,
            settings,
            limits,
            now: at(0),
            incarnation: 0,
            slots: 1,
            is_there: false,
            is_signed_off: false,
            draining_since: None,
            is_evacuated: false,
            warmup_ends: WarmupEnds::NONE,
            pending: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: Vec::new(),
            ran: BTreeMap::new(),
            next_number: 0,
            answered: 0,
        }
    }

    fn upstream_id(&self) -> String {
        format!("incarnation-{}", self.incarnation)
    }

    fn is_warming_up(&self) -> bool {
        self.now < self.warmup_ends.latest()
    }

    fn in_flight_here(&self) -> usize {
        self.in_flight.values().filter(|asked| asked.incarnation == self.incarnation).count()
    }

    fn concurrency_limit(&self) -> usize {
        let limit = self.slots + UPSTREAM_QUEUE_SLOTS;
        let limit = match self.limits.max_connections {
            0 => limit,
            max_connections => limit.min(max_connections - 1).max(1),
        };
        (if self.is_warming_up() { limit.min((self.slots / 2).max(1)) } else { limit }) as usize
    }

    /// A request is admitted now: every rule is counted anew.
    fn check_admitted(&mut self, number: u64, asked: Asked) {
        assert!(self.is_there && !self.is_signed_off && !self.is_evacuated, "nothing is admitted while shut");
        let may_send = |since: Instant| self.now < since + self.settings.drain_timeout;
        assert!(self.draining_since.is_none_or(may_send), "nothing after the drain time-out");
        assert_eq!(asked.incarnation, self.incarnation, "what was meant for one does not reach another");
        assert!(self.in_flight_here() < self.concurrency_limit(), "more at a time than the limit");
        if !asked.is_idempotent {
            let is_other = |other: &Asked| other.attempt_id != asked.attempt_id;
            assert!(self.in_flight.values().all(is_other), "in flight twice");
            let is_forgotten = |ended_at: &Instant| *ended_at + ID_RETENTION <= self.now;
            assert!(self.ran.get(&asked.attempt_id).is_none_or(is_forgotten), "run twice");
        }
        self.sent.push(Sent { at: self.now, incarnation: self.incarnation });
        self.check_warmup_rate();
        self.answered += 1;
        assert!(self.in_flight.insert(number, asked).is_none(), "admitted twice");
    }

    fn check_warmup_rate(&self) {
        let rate = self.limits.warmup_rate;
        if !self.is_warming_up() || rate <= 0.0 {
            return;
        }
        let is_recent = |sent: &&Sent| sent.incarnation == self.incarnation && sent.at >= self.now - secs(1);
        let sent = self.sent.iter().filter(is_recent).count() as f64;
        let rule = rate * self.settings.warmup_overrun + self.settings.warmup_slack;
        let is_kept = sent <= (rule * SAFE_PART).max(1.0) && sent <= rule;
        assert!(is_kept, "{sent} in a second, {rule} allowed");
        assert!(sent <= (rate * 1.2).max(1.0));
    }

    /// Takes the effects in order.
    fn settle(&mut self) {
        for effect in self.admission.take_effects() {
            let (Effect::Admitted(number) | Effect::Rejected { number, .. }) = effect;
            let position = self.pending.iter().position(|(pending, _)| *pending == number);
            let (_, asked) = self.pending.remove(position.expect("it was pending, and was not answered"));
            match effect {
                Effect::Admitted(_) => {
                    let order = self.pending.iter().map(|(number, other)| (other.priority, *number));
                    let is_first = order.min().is_none_or(|best| (asked.priority, number) < best);
                    assert!(is_first, "out of turn");
                    assert!(self.now < asked.latest);
                    self.check_admitted(number, asked);
                }
                Effect::Rejected { reason, retry_after, .. } => {
                    assert_ne!(reason, Rejection::Duplicate);
                    assert!(retry_after.is_none_or(|span| RETRY_AFTER.contains(&span)));
                    self.answered += 1;
                }
            }
        }
        self.check_pending();
    }

    fn check_pending(&self) {
        assert!(self.pending.len() <= 16.max(self.slots as usize * 4));
        let may_wait = |asked: &Asked| asked.latest > self.now && asked.incarnation == self.incarnation;
        assert!(self.pending.iter().all(|(_, asked)| may_wait(asked)), "pending too long");
        let load = Load { in_flight: self.in_flight_here(), pending: self.pending.len() };
        assert_eq!(self.admission.load(), load);
        assert_eq!(self.admission.next_deadline().is_some(), !self.pending.is_empty());
        if let Some(deadline) = self.admission.next_deadline() {
            assert!(deadline > self.now, "asks to be ticked at once, for ever");
            let is_in_time = |since: Instant| deadline <= since + self.settings.drain_timeout;
            assert!(self.draining_since.is_none_or(is_in_time), "rejected too late");
            let is_warm_in_time = !self.is_warming_up() || deadline <= self.warmup_ends.latest();
            assert!(is_warm_in_time, "warming up for too long");
        }
    }

    fn arrive(&mut self, x: u8, y: u8) {
        let number = self.next_number;
        self.next_number += 1;
        let max_pending = [Duration::ZERO, ms(20), ms(300), secs(4)][usize::from(y >> 3 & 3)];
        let asked = Asked {
            attempt_id: format!("attempt-{}", x % 23),
            incarnation: self.incarnation,
            priority: u32::from(y % 3),
            is_idempotent: x & 64 != 0,
            latest: self.now + max_pending,
            is_begun: false,
        };
        let is_late = y == 99;
        let request = AdmissionRequest {
            number,
            attempt_id: asked.attempt_id.clone(),
            expected_upstream: [None, Some(self.upstream_id()), Some("other".into())]
                [usize::from(y >> 5).min(2)]
            .clone(),
            service: if x == 77 { "other" } else { SERVICE }.into(),
            priority: asked.priority,
            is_idempotent: asked.is_idempotent,
            is_retry: x & 32 != 0,
            latency_target: ms(600),
            max_pending,
            timeout: if is_late { Duration::ZERO } else { max_pending + secs(1) },
        };
        let mut present = self.in_flight.values().chain(self.pending.iter().map(|(_, asked)| asked));
        let is_known =
            self.ran.get(&asked.attempt_id).is_some_and(|ended_at| *ended_at + ID_RETENTION > self.now)
                || present.any(|other| {
                    other.attempt_id == asked.attempt_id && !(other.is_idempotent && asked.is_idempotent)
                });
        let is_meant = request.service == SERVICE && request.expected_upstream.as_deref() != Some("other");
        let decision = self.admission.admit(self.now, &request);
        // No promise is given for one that may have run, whatever else is wrong.
        let is_duplicate = matches!(decision, Decision::Rejected { reason: Rejection::Duplicate, .. });
        assert_eq!(is_known, is_duplicate);
        match decision {
            Decision::Admitted => {
                assert!(is_meant && !is_late && self.pending.is_empty());
                self.check_admitted(number, asked);
            }
            Decision::Pending => {
                assert!(is_meant && !is_late && max_pending > Duration::ZERO);
                // One of lower priority that had to leave for it is among the effects.
                self.pending.push((number, asked));
            }
            Decision::Rejected { retry_after, .. } => {
                assert!(retry_after.is_none_or(|span| RETRY_AFTER.contains(&span)));
                self.answered += 1;
            }
        }
    }

    fn end_evacuation(&mut self) {
        self.is_evacuated = false;
        let ends = &mut self.warmup_ends;
        ends.by_heartbeat = ends.by_heartbeat.max(self.now + self.limits.warmup_span);
        ends.by_evacuation = ends.by_evacuation.max(self.now + secs(1));
        self.admission.set_evacuated(self.now, false);
    }

    fn heartbeat(&mut self, warmup: u8) {
        let left = ms(500) * i64::from(warmup % 4);
        if self.incarnation > 0 && !self.is_signed_off {
            self.is_there = true;
            self.draining_since = None;
            self.warmup_ends.by_heartbeat = self.now + left;
        }
        if self.incarnation > 0 {
            let report = support::report(&self.upstream_id(), self.slots);
            self.admission.heartbeat(self.now, report, left);
        }
    }

    fn begin_incarnation(&mut self, slots: u8, warmup: u8) {
        self.incarnation += 1;
        self.slots = 1 + u32::from(slots % 6);
        (self.is_signed_off, self.draining_since) = (false, None);
        self.warmup_ends = WarmupEnds::NONE;
        self.heartbeat(warmup);
    }

    fn drain(&mut self) {
        if self.incarnation > 0 && !self.is_signed_off {
            // A heartbeat too, if one that says that it drains.
            (self.is_there, self.draining_since) = (true, self.draining_since.or(Some(self.now)));
        }
        self.admission.begin_drain(self.now, &self.upstream_id());
    }

    fn evacuate(&mut self, is_short: bool) {
        self.is_evacuated = true;
        self.admission.set_evacuated(self.now, true);
        self.settle();
        if is_short {
            self.end_evacuation();
        }
    }

    /// A request in flight ends as the upstream answers it.
    fn finish(&mut self, number: u64) {
        let asked = self.in_flight.remove(&number).expect("chosen");
        if asked.is_begun && !asked.is_idempotent {
            self.ran.insert(asked.attempt_id, self.now);
        }
        self.admission.finish(self.now, number);
    }

    fn step(&mut self, Step { kind, pause, x, y }: Step) {
        let pauses =
            [ms(0), ms(0), ms(1), ms(7), ms(40), ms(250), secs(1), secs(1) + Duration::from_micros(1)];
        self.now += pauses[usize::from(pause % 8)];
        self.admission.tick(self.now);
        self.settle();
        let now = self.now;
        let chosen = self.in_flight.keys().copied().nth(usize::from(x) % self.in_flight.len().max(1));
        match (kind % 32, chosen) {
            (0, _) => self.begin_incarnation(x, y),
            (1..=3, _) => {
                if self.is_evacuated && x < 128 {
                    self.end_evacuation();
                }
                self.heartbeat(x);
            }
            (4, _) => self.drain(),
            (5, _) if x < 64 => {
                self.is_signed_off |= self.incarnation > 0;
                self.admission.signed_off(now, &self.upstream_id());
            }
            (6, _) if x < 128 => {
                self.is_there = false;
                self.admission.set_silent(now);
            }
            (7, _) => self.evacuate(x < 192),
            (8, _) => {
                let left = secs(i64::from(x % 4));
                self.warmup_ends.by_health = now + left;
                self.admission.set_warmup_left(now, left);
            }
            (9, _) => {
                if let Some((number, _)) = self.pending.pop() {
                    self.answered += 1;
                    self.admission.abandon(now, number);
                }
            }
            (10..=14, Some(number)) => {
                self.in_flight.get_mut(&number).expect("chosen").is_begun = true;
                self.admission.begin(now, number);
            }
            (15 | 16, Some(number)) => {
                self.in_flight.remove(&number);
                self.admission.finish_rejected_by_upstream(now, number);
            }
            (17..=21, Some(number)) => self.finish(number),
            (10..=21, None) => {}
            _ => self.arrive(x, y),
        }
        self.settle();
    }
}

#[test]
fn every_rule_holds_by_recount() {
    let steps = produce::<Vec<Step>>().with().len(0usize..400);
    bolero::check!()
        .with_iterations(3000)
        .with_max_len(4096)
        .with_generator((produce::<u8>(), produce::<u8>(), steps))
        .for_each(|(a, b, steps)| {
            let mut checker = Checker::new(*a, *b);
            checker.step(Step { kind: 0, pause: 0, x: *a, y: *b });
            for step in steps {
                checker.step(*step);
            }
            // Ticked only when it asks, every pending request is answered in the end.
            for _ in 0..10_000 {
                let Some(next) = checker.admission.next_deadline() else { break };
                checker.now = next;
                checker.admission.tick(next);
                checker.settle();
            }
            assert_eq!(checker.answered, checker.next_number, "each is answered once");
        });
}
