//! The gate against a slow plain checker that recounts everything that it let through.

use std::collections::BTreeMap;

use bolero::generator::*;
use silvercross_admission::*;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;

#[derive(Clone, Debug)]
struct Asked {
    id: String,
    life: u32,
    priority: u32,
    repeatable: bool,
    latest: Micros,
    begun: bool,
}

/// What the checker knows: plain facts, recounted at each step.
struct Checker {
    admission: AdmissionController,
    bounds: Bounds,
    allowance: Allowance,
    now: Micros,
    life: u32,
    slots: u32,
    there: bool,
    signed_off: bool,
    leaving: Option<Micros>,
    evacuated: bool,
    told: [Micros; 3],
    waiting: Vec<(u64, Asked)>,
    out: BTreeMap<u64, Asked>,
    sends: Vec<(Micros, u32)>,
    ran: BTreeMap<String, Micros>,
    next: u64,
    answered: u64,
}

impl Checker {
    fn new(a: u8, b: u8) -> Self {
        let bounds = Bounds {
            drain: Micros::from(a % 5) * S,
            cold_overrun: 1.0 + f64::from(a % 3) * 0.5,
            cold_slack: f64::from(b % 4),
        };
        let allowance = Allowance {
            line_cap: [0, 1, 4, 130][usize::from(a / 64)],
            cold_rate: [0.0, 0.4, 3.0, 21.0, 90.0][usize::from(b % 5)],
            cold_span: Micros::from(b % 4) * S,
        };
        let mut admission = AdmissionController::new(bounds);
        admission.allowance(0, allowance);
        Checker {
            admission,
            bounds,
            allowance,
            now: 0,
            life: 0,
            slots: 1,
            there: false,
            signed_off: false,
            leaving: None,
            evacuated: false,
            told: [0; 3],
            waiting: Vec::new(),
            out: BTreeMap::new(),
            sends: Vec::new(),
            ran: BTreeMap::new(),
            next: 0,
            answered: 0,
        }
    }

    fn id(&self) -> String {
        format!("life-{}", self.life)
    }

    fn is_cold(&self) -> bool {
        self.told.iter().any(|&until| self.now < until)
    }

    fn out_here(&self) -> usize {
        self.out.values().filter(|o| o.life == self.life).count()
    }

    fn limit(&self) -> usize {
        let most = self.slots + STATION_QUEUE;
        let most =
            if self.allowance.line_cap > 0 { most.min(self.allowance.line_cap - 1).max(1) } else { most };
        (if self.is_cold() { most.min((self.slots / 2).max(1)) } else { most }) as usize
    }

    /// One is let through now: every rule is counted anew.
    fn went(&mut self, number: u64, asked: Asked) {
        assert!(self.there && !self.signed_off && !self.evacuated, "nothing passes a shut gate");
        assert!(
            self.leaving.is_none_or(|since| self.now < since + self.bounds.drain),
            "nothing after the bound"
        );
        assert_eq!(asked.life, self.life, "what was meant for one life does not reach another");
        assert!(self.out_here() < self.limit(), "more at a time than the limit");
        if !asked.repeatable {
            assert!(self.out.values().all(|o| o.id != asked.id), "out twice");
            assert!(self.ran.get(&asked.id).is_none_or(|&t| t + IDS_SPAN <= self.now), "run twice");
        }
        self.sends.push((self.now, self.life));
        if self.is_cold() && self.allowance.cold_rate > 0.0 {
            let recent = |&&(t, life): &&(Micros, u32)| life == self.life && t >= self.now - S;
            let sent = self.sends.iter().filter(recent).count() as f64;
            let rule = self.allowance.cold_rate * self.bounds.cold_overrun + self.bounds.cold_slack;
            assert!(sent <= (rule * 0.8).max(1.0) && sent <= rule, "{sent} in a second, {rule} allowed");
            assert!(sent <= (self.allowance.cold_rate * 1.2).max(1.0));
        }
        self.answered += 1;
        assert!(self.out.insert(number, asked).is_none(), "let through twice");
    }

    /// Takes the effects in order.
    fn settle(&mut self) {
        for effect in self.admission.effects() {
            let (Effect::Go(number) | Effect::Turn { number, .. }) = effect;
            let at =
                self.waiting.iter().position(|(n, _)| *n == number).expect("it waited, and was not answered");
            let (_, asked) = self.waiting.remove(at);
            match effect {
                Effect::Go(_) => {
                    let ranks = self.waiting.iter().map(|(n, w)| (w.priority, *n));
                    assert!(ranks.min().is_none_or(|best| (asked.priority, number) < best), "out of turn");
                    assert!(self.now < asked.latest);
                    self.went(number, asked);
                }
                Effect::Turn { why, retry_after, .. } => {
                    assert_ne!(why, Turned::Twice);
                    assert!(retry_after.is_none_or(|t| (50 * MS..=S).contains(&t)));
                    self.answered += 1;
                }
            }
        }
        assert!(self.waiting.len() <= 16.max(self.slots as usize * 4));
        assert!(
            self.waiting.iter().all(|(_, w)| w.latest > self.now && w.life == self.life),
            "waits too long"
        );
        assert_eq!(self.admission.load(), (self.out_here(), self.waiting.len()));
        assert_eq!(self.admission.wake().is_some(), !self.waiting.is_empty());
        if let Some(wake) = self.admission.wake() {
            assert!(wake > self.now, "asks to be woken at once, for ever");
            assert!(
                self.leaving.is_none_or(|since| wake <= since + self.bounds.drain),
                "turned away too late"
            );
            assert!(
                !self.is_cold() || wake <= self.told.into_iter().fold(0, Micros::max),
                "cold for too long"
            );
        }
    }

    fn arrive(&mut self, x: u8, y: u8) {
        let number = self.next;
        self.next += 1;
        let asked = Asked {
            id: format!("try-{}", x % 23),
            life: self.life,
            priority: u32::from(y % 3),
            repeatable: x & 64 != 0,
            latest: self.now + [0, 20 * MS, 300 * MS, 4 * S][usize::from(y >> 3 & 3)],
            begun: false,
        };
        let patience = asked.latest - self.now;
        let arrival = Arrival {
            number,
            id: asked.id.clone(),
            expects: [None, Some(self.id()), Some("other".into())][usize::from(y >> 5).min(2)].clone(),
            service: if x == 77 { "other".into() } else { "huvo".into() },
            priority: asked.priority,
            repeatable: asked.repeatable,
            further: x & 32 != 0,
            aim: 600 * MS,
            patience,
            deadline: if y == 99 { 0 } else { patience + S },
        };
        let mut here = self.out.values().chain(self.waiting.iter().map(|(_, w)| w));
        let known = self.ran.get(&asked.id).is_some_and(|&t| t + IDS_SPAN > self.now)
            || here.any(|o| o.id == asked.id && !(o.repeatable && asked.repeatable));
        let meant = arrival.service == "huvo" && arrival.expects.as_deref() != Some("other");
        let verdict = self.admission.arrive(self.now, arrival);
        // No promise is given for one that may have run, whatever else is wrong.
        assert_eq!(known, matches!(verdict, Verdict::Turn { why: Turned::Twice, .. }));
        match verdict {
            Verdict::Go => {
                assert!(meant && y != 99 && self.waiting.is_empty());
                self.went(number, asked);
            }
            Verdict::Wait => {
                assert!(meant && y != 99 && patience > 0);
                // One of lower rank that had to leave for it is among the effects.
                self.waiting.push((number, asked));
            }
            Verdict::Turn { retry_after, .. } => {
                assert!(retry_after.is_none_or(|t| (50 * MS..=S).contains(&t)));
                self.answered += 1;
            }
        }
    }

    fn end_evacuation(&mut self) {
        self.evacuated = false;
        self.told[0] = self.told[0].max(self.now + self.allowance.cold_span);
        self.told[2] = self.told[2].max(self.now + S);
        self.admission.evacuated(self.now, false);
    }

    fn beat(&mut self, cold: u8) {
        let left = Micros::from(cold % 4) * 500 * MS;
        if self.life > 0 && !self.signed_off {
            self.there = true;
            self.leaving = None;
            self.told[0] = self.now + left;
        }
        let facts = Facts { id: self.id(), service: "huvo".into(), slots: self.slots };
        if self.life > 0 {
            self.admission.beat(self.now, facts, left);
        }
    }

    fn step(&mut self, (kind, pause, x, y): (u8, u8, u8, u8)) {
        self.now += [0, 0, MS, 7 * MS, 40 * MS, 250 * MS, S, S + 1][usize::from(pause % 8)];
        self.admission.tick(self.now);
        self.settle();
        let now = self.now;
        let chosen = self.out.keys().copied().nth(usize::from(x) % self.out.len().max(1));
        match kind % 32 {
            0 => {
                // A new life.
                self.life += 1;
                self.slots = 1 + u32::from(x % 6);
                (self.signed_off, self.leaving) = (false, None);
                self.told = [0; 3];
                self.beat(y);
            }
            1..=3 => {
                if self.evacuated && x < 128 {
                    self.end_evacuation();
                }
                self.beat(x);
            }
            4 => {
                if self.life > 0 && !self.signed_off {
                    // A beat too, if one that says that it leaves.
                    (self.there, self.leaving) = (true, self.leaving.or(Some(now)));
                }
                self.admission.draining(now, &self.id());
            }
            5 if x < 64 => {
                self.signed_off |= self.life > 0;
                self.admission.signed_off(now, &self.id());
            }
            6 if x < 128 => {
                self.there = false;
                self.admission.silent(now);
            }
            7 => {
                self.evacuated = true;
                self.admission.evacuated(now, true);
                self.settle();
                if x < 192 {
                    self.end_evacuation();
                }
            }
            8 => {
                self.told[1] = now + Micros::from(x % 4) * S;
                self.admission.cold(now, Micros::from(x % 4) * S);
            }
            9 => {
                if let Some((n, _)) = self.waiting.pop() {
                    self.answered += 1;
                    self.admission.gone(now, n);
                }
            }
            10..=14 => {
                if let Some(n) = chosen {
                    self.out.get_mut(&n).expect("chosen").begun = true;
                    self.admission.begun(now, n);
                }
            }
            15 | 16 => {
                if let Some(n) = chosen {
                    self.out.remove(&n);
                    self.admission.turned_by_station(now, n);
                }
            }
            17..=21 => {
                if let Some(n) = chosen {
                    let o = self.out.remove(&n).expect("chosen");
                    if o.begun && !o.repeatable {
                        self.ran.insert(o.id, now);
                    }
                    self.admission.done(now, n);
                }
            }
            _ => self.arrive(x, y),
        }
        self.settle();
    }
}

#[test]
fn every_rule_holds_by_recount() {
    let steps = produce::<Vec<(u8, u8, u8, u8)>>().with().len(0usize..400);
    bolero::check!()
        .with_iterations(3000)
        .with_max_len(4096)
        .with_generator((produce::<u8>(), produce::<u8>(), steps))
        .for_each(|(a, b, steps)| {
            let mut checker = Checker::new(*a, *b);
            checker.step((0, 0, *a, *b));
            for &step in steps {
                checker.step(step);
            }
            // Woken only when it asks, everything that waits is answered in the end.
            for _ in 0..10_000 {
                let Some(next) = checker.admission.wake() else { break };
                checker.now = next;
                checker.admission.tick(next);
                checker.settle();
            }
            assert_eq!(checker.answered, checker.next, "each is answered once");
        });
}
