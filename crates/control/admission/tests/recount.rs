//! Compares the controller with a slow reference model that recounts everything that was admitted.
mod support;
use bolero::generator::*;
use silvercross_admission::*;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;
use support::{at, ms, secs, SERVICE};

/// The range of `retry_after`.
const RETRY_AFTER: std::ops::RangeInclusive<Duration> = ms(50)..=secs(1);
/// The part of the allowed warm-up rate that is used.
const SAFETY_FACTOR: f64 = 0.8;

/// A request that is pending or in flight.
#[derive(Clone, Debug)]
struct TrackedRequest {
    attempt_id: String,
    incarnation: u32,
    priority: u32,
    is_idempotent: bool,
    /// It must be admitted before this time.
    admit_before: Instant,
    is_begun: bool,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Instant,
    incarnation: u32,
}

/// When the warm-up of the upstream ends, by source.
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

/// A random step: the operation, the pause before it and two operands.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step {
    kind: u8,
    pause: u8,
    x: u8,
    y: u8,
}

/// The reference model and the controller under test.
struct ReferenceModel {
    admission: AdmissionController,
    settings: AdmissionSettings,
    limits: UpstreamLimits,
    now: Instant,
    incarnation: u32,
    slots: u32,
    is_available: bool,
    is_signed_off: bool,
    draining_since: Option<Instant>,
    is_evacuated: bool,
    warmup_ends: WarmupEnds,
    pending: Vec<(u64, TrackedRequest)>,
    in_flight: BTreeMap<u64, TrackedRequest>,
    sent: Vec<SentRequest>,
    /// When each attempt id that may not run again ended.
    ran_ids: BTreeMap<String, Instant>,
    next_number: u64,
    decided_count: u64,
}

impl ReferenceModel {
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
        ReferenceModel {
            admission,
            settings,
            limits,
            now: at(0),
            incarnation: 0,
            slots: 1,
            is_available: false,
            is_signed_off: false,
            draining_since: None,
            is_evacuated: false,
            warmup_ends: WarmupEnds::NONE,
            pending: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: Vec::new(),
            ran_ids: BTreeMap::new(),
            next_number: 0,
            decided_count: 0,
        }
    }

    fn upstream_id(&self) -> String {
        format!("incarnation-{}", self.incarnation)
    }

    fn is_warming_up(&self) -> bool {
        self.now < self.warmup_ends.latest()
    }

    fn in_flight_count(&self) -> usize {
        self.in_flight.values().filter(|tracked| tracked.incarnation == self.incarnation).count()
    }

    fn concurrency_limit(&self) -> usize {
        let limit = self.slots + UPSTREAM_QUEUE_SLOTS;
        let limit = match self.limits.max_connections {
            0 => limit,
            max_connections => limit.min(max_connections - 1).max(1),
        };
        (if self.is_warming_up() { limit.min((self.slots / 2).max(1)) } else { limit }) as usize
    }

    /// Checks all limits for a request that is admitted now.
    fn check_admitted(&mut self, number: u64, tracked: TrackedRequest) {
        assert!(self.is_available && !self.is_signed_off && !self.is_evacuated, "admitted while closed");
        let may_send = |since: Instant| self.now < since + self.settings.drain_timeout;
        assert!(self.draining_since.is_none_or(may_send), "admitted after the drain time-out");
        assert_eq!(
            tracked.incarnation, self.incarnation,
            "admitted to another incarnation than it arrived for"
        );
        assert!(self.in_flight_count() < self.concurrency_limit(), "concurrency limit exceeded");
        if !tracked.is_idempotent {
            let is_other = |other: &TrackedRequest| other.attempt_id != tracked.attempt_id;
            assert!(self.in_flight.values().all(is_other), "attempt id in flight twice");
            let is_forgotten = |ended_at: &Instant| *ended_at + ID_RETENTION <= self.now;
            assert!(self.ran_ids.get(&tracked.attempt_id).is_none_or(is_forgotten), "attempt id run twice");
        }
        self.sent.push(SentRequest { at: self.now, incarnation: self.incarnation });
        self.check_warmup_rate();
        self.decided_count += 1;
        assert!(self.in_flight.insert(number, tracked).is_none(), "admitted twice");
    }

    fn check_warmup_rate(&self) {
        let rate = self.limits.warmup_rate;
        if !self.is_warming_up() || rate <= 0.0 {
            return;
        }
        let is_recent =
            |sent: &&SentRequest| sent.incarnation == self.incarnation && sent.at >= self.now - secs(1);
        let sent = self.sent.iter().filter(is_recent).count() as f64;
        let max_rate = rate * self.settings.warmup_overrun + self.settings.warmup_slack;
        let is_within_limit = sent <= (max_rate * SAFETY_FACTOR).max(1.0) && sent <= max_rate;
        assert!(is_within_limit, "{sent} requests sent in one second, {max_rate} allowed");
        assert!(sent <= (rate * 1.2).max(1.0));
    }

    /// Checks the controller's effects in order.
    fn check_effects(&mut self) {
        for effect in self.admission.take_effects() {
            let (Effect::Admitted(number) | Effect::Rejected { number, .. }) = effect;
            let position = self.pending.iter().position(|(pending, _)| *pending == number);
            let (_, tracked) =
                self.pending.remove(position.expect("an effect for a request that is not pending"));
            match effect {
                Effect::Admitted(_) => {
                    let order = self.pending.iter().map(|(number, other)| (other.priority, *number));
                    let is_first = order.min().is_none_or(|best| (tracked.priority, number) < best);
                    assert!(is_first, "admitted out of order");
                    assert!(self.now < tracked.admit_before);
                    self.check_admitted(number, tracked);
                }
                Effect::Rejected { reason, retry_after, .. } => {
                    assert_ne!(reason, Rejection::Duplicate);
                    assert!(retry_after.is_none_or(|span| RETRY_AFTER.contains(&span)));
                    self.decided_count += 1;
                }
            }
        }
        self.check_pending();
    }

    fn check_pending(&self) {
        assert!(self.pending.len() <= 16.max(self.slots as usize * 4));
        let may_wait =
            |other: &TrackedRequest| other.admit_before > self.now && other.incarnation == self.incarnation;
        assert!(
            self.pending.iter().all(|(_, tracked)| may_wait(tracked)),
            "pending too long, or for another incarnation"
        );
        let load = Load { in_flight: self.in_flight_count(), pending: self.pending.len() };
        assert_eq!(self.admission.load(), load);
        assert_eq!(self.admission.next_deadline().is_some(), !self.pending.is_empty());
        if let Some(deadline) = self.admission.next_deadline() {
            assert!(deadline > self.now, "next_deadline is not in the future");
            let is_in_time = |since: Instant| deadline <= since + self.settings.drain_timeout;
            assert!(self.draining_since.is_none_or(is_in_time), "next_deadline is after the drain time-out");
            let is_warm_in_time = !self.is_warming_up() || deadline <= self.warmup_ends.latest();
            assert!(is_warm_in_time, "next_deadline is after the end of the warm-up");
        }
    }

    fn send_request(&mut self, x: u8, y: u8) {
        let number = self.next_number;
        self.next_number += 1;
        let max_pending = [Duration::ZERO, ms(20), ms(300), secs(4)][usize::from(y >> 3 & 3)];
        let tracked = TrackedRequest {
            attempt_id: format!("attempt-{}", x % 23),
            incarnation: self.incarnation,
            priority: u32::from(y % 3),
            is_idempotent: x & 64 != 0,
            admit_before: self.now + max_pending,
            is_begun: false,
        };
        let is_late = y == 99;
        let request = AdmissionRequest {
            number,
            attempt_id: tracked.attempt_id.clone(),
            expected_upstream: [None, Some(self.upstream_id()), Some("other".into())]
                [usize::from(y >> 5).min(2)]
            .clone(),
            service: if x == 77 { "other" } else { SERVICE }.into(),
            priority: tracked.priority,
            is_idempotent: tracked.is_idempotent,
            is_retry: x & 32 != 0,
            latency_target: ms(600),
            max_pending,
            timeout: if is_late { Duration::ZERO } else { max_pending + secs(1) },
        };
        let mut active = self.in_flight.values().chain(self.pending.iter().map(|(_, tracked)| tracked));
        let expects_duplicate =
            self.ran_ids.get(&tracked.attempt_id).is_some_and(|ended_at| *ended_at + ID_RETENTION > self.now)
                || active.any(|other| {
                    other.attempt_id == tracked.attempt_id && !(other.is_idempotent && tracked.is_idempotent)
                });
        let is_addressed_here =
            request.service == SERVICE && request.expected_upstream.as_deref() != Some("other");
        let decision = self.admission.admit(self.now, &request);
        // A request that may have run is rejected as a duplicate, whatever else is wrong with it.
        let is_duplicate = matches!(decision, Decision::Rejected { reason: Rejection::Duplicate, .. });
        assert_eq!(expects_duplicate, is_duplicate);
        match decision {
            Decision::Admitted => {
                assert!(is_addressed_here && !is_late && self.pending.is_empty());
                self.check_admitted(number, tracked);
            }
            Decision::Pending => {
                assert!(is_addressed_here && !is_late && max_pending > Duration::ZERO);
                // The rejection of a request of lower priority that it replaced is among the effects.
                self.pending.push((number, tracked));
            }
            Decision::Rejected { retry_after, .. } => {
                assert!(retry_after.is_none_or(|span| RETRY_AFTER.contains(&span)));
                self.decided_count += 1;
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
            self.is_available = true;
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
            // Draining is reported by a heartbeat, so the upstream is available.
            (self.is_available, self.draining_since) = (true, self.draining_since.or(Some(self.now)));
        }
        self.admission.begin_drain(self.now, &self.upstream_id());
    }

    fn evacuate(&mut self, is_short: bool) {
        self.is_evacuated = true;
        self.admission.set_evacuated(self.now, true);
        self.check_effects();
        if is_short {
            self.end_evacuation();
        }
    }

    /// The upstream answers a request in flight.
    fn finish(&mut self, number: u64) {
        let tracked = self.in_flight.remove(&number).expect("chosen");
        if tracked.is_begun && !tracked.is_idempotent {
            self.ran_ids.insert(tracked.attempt_id, self.now);
        }
        self.admission.finish(self.now, number);
    }

    fn step(&mut self, Step { kind, pause, x, y }: Step) {
        let pauses =
            [ms(0), ms(0), ms(1), ms(7), ms(40), ms(250), secs(1), secs(1) + Duration::from_micros(1)];
        self.now += pauses[usize::from(pause % 8)];
        self.admission.tick(self.now);
        self.check_effects();
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
                self.is_available = false;
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
                    self.decided_count += 1;
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
            _ => self.send_request(x, y),
        }
        self.check_effects();
    }
}

#[test]
fn controller_agrees_with_the_reference_model() {
    let steps = produce::<Vec<Step>>().with().len(0usize..400);
    bolero::check!()
        .with_iterations(3000)
        .with_max_len(4096)
        .with_generator((produce::<u8>(), produce::<u8>(), steps))
        .for_each(|(a, b, steps)| {
            let mut model = ReferenceModel::new(*a, *b);
            model.step(Step { kind: 0, pause: 0, x: *a, y: *b });
            for step in steps {
                model.step(*step);
            }
            // With ticks only at `next_deadline`, every pending request is decided eventually.
            for _ in 0..10_000 {
                let Some(next) = model.admission.next_deadline() else { break };
                model.now = next;
                model.admission.tick(next);
                model.check_effects();
            }
            assert_eq!(model.decided_count, model.next_number, "every request is decided exactly once");
        });
}
