//! The four rules of `docs/rules.md`, held against what servers and clients saw. Knows nothing of the module, and would
//! judge any other program that answers clients and sends to servers alike.
use crate::script::{EffectSpec, Script};
use serde::Serialize;
use silvercross_core::interface::Micros;
use silvercross_settings::seconds;
use std::collections::HashMap;

/// Clocks, wires and the machine take so long; rules are held against times with so much more.
pub const TOLERANCE: Micros = 50_000;
/// So many breaches are described; all are counted.
const DESCRIBED: usize = 20;

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// Requests without exactly one final answer in time, or served with what was not made for them (rule 1).
    pub lost: u64,
    /// Attempts sent for a request that had its answer (rule 1).
    pub sent_after: u64,
    /// Effects that happened twice (rule 2).
    pub duplicated: u64,
    /// Attempts sent to a draining server later than its notice allows (rule 3).
    pub drained_late: u64,
    /// Cold servers that fell over, fed too much (rule 4).
    pub cold_fallen: u64,
}

impl Rules {
    /// All breaches.
    pub fn broken(&self) -> u64 {
        self.lost + self.sent_after + self.duplicated + self.drained_late + self.cold_fallen
    }
}

/// A try of a client's: one request as its sidecar sees it.
#[derive(Clone, Copy, Debug)]
struct Try {
    deadline: Micros,
    answered: Option<Micros>,
    /// The client hung up, or its sidecar died: nothing more is owed.
    released: bool,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    watching: bool,
    last: Micros,
}

/// Watches a run.
#[derive(Debug)]
pub struct Checker {
    effects: Vec<EffectSpec>,
    grace: Micros,
    must_ask: Micros,
    tries: HashMap<u64, Try>,
    /// Asks whose effect has happened; those of classes that bear repeating are not kept.
    ran: HashMap<usize, u32>,
    draining: HashMap<usize, Micros>,
    told: HashMap<(usize, usize), Micros>,
    contacts: Vec<Contact>,
    rules: Rules,
    breaches: Vec<String>,
}

impl Checker {
    /// For a run of this script.
    pub fn new(script: &Script) -> Self {
        Checker {
            effects: script.classes.iter().map(|c| c.effect).collect(),
            grace: crate::script::ms(script.sidecar.drain_grace_ms),
            must_ask: seconds(script.sidecar.must_ask_s),
            tries: HashMap::new(),
            ran: HashMap::new(),
            draining: HashMap::new(),
            told: HashMap::new(),
            contacts: vec![Contact { watching: false, last: 0 }; script.sidecars() + 2 * script.gateways()],
            rules: Rules::default(),
            breaches: Vec::new(),
        }
    }

    fn breach(&mut self, at: Micros, what: String) {
        if self.breaches.len() < DESCRIBED {
            self.breaches.push(format!("{:.3} s: {what}", at as f64 / 1e6));
        }
    }

    /// A client has handed over a request; its answer is due by `deadline`.
    pub fn opened(&mut self, number: u64, deadline: Micros) {
        self.tries.insert(number, Try { deadline, answered: None, released: false });
    }

    /// A client has its final answer; `genuine`: where it was served, with what a server made for this request.
    pub fn answered(&mut self, now: Micros, number: u64, genuine: bool) {
        let Some(t) = self.tries.get_mut(&number) else { return };
        let (again, late, released) = (t.answered.is_some(), now > t.deadline + TOLERANCE, t.released);
        t.answered = t.answered.or(Some(now));
        if released {
            return;
        }
        if again || late || !genuine {
            self.rules.lost += 1;
            let how = if again {
                "answered twice"
            } else if late {
                "answered late"
            } else {
                "answered with another's"
            };
            self.breach(now, format!("request {number} was {how}"));
        }
    }

    /// A client's connection ended with no whole answer.
    pub fn dropped(&mut self, now: Micros, number: u64) {
        let Some(t) = self.tries.get_mut(&number).filter(|t| t.answered.is_none() && !t.released) else {
            return;
        };
        t.released = true;
        self.rules.lost += 1;
        self.breach(now, format!("request {number} was dropped without an answer"));
    }

    /// A client has hung up, or its sidecar has died: nothing more is owed.
    pub fn released(&mut self, number: u64) {
        if let Some(t) = self.tries.get_mut(&number) {
            t.released = true;
        }
    }

    /// A sidecar has begun to send an attempt of a try.
    pub fn sent(&mut self, now: Micros, number: u64, sidecar: usize, server: usize) {
        if let Some(at) = self.tries.get(&number).and_then(|t| t.answered).filter(|at| now > at + TOLERANCE) {
            self.rules.sent_after += 1;
            self.breach(now, format!("request {number} was sent {} us after its answer", now - at));
        }
        let Some(visible) = self.draining.get(&server).copied() else { return };
        let told = self.told.get(&(sidecar, server)).copied();
        let contact = self.contacts[sidecar];
        let silent = (!contact.watching).then(|| contact.last.max(visible) + self.must_ask);
        let since = told.into_iter().chain(silent).min();
        if since.is_some_and(|s| now > s + self.grace + TOLERANCE) {
            self.rules.drained_late += 1;
            self.breach(
                now,
                format!("sidecar {sidecar} sent request {number} to server {server}, which drains"),
            );
        }
    }

    /// An attempt began to run; `dropped`: its server knew it for a repeat and left the effect out.
    pub fn ran(&mut self, now: Micros, ask: usize, class: usize, dropped: bool) {
        if self.effects[class] == EffectSpec::Repeatable || dropped {
            return;
        }
        let times = self.ran.entry(ask).or_insert(0);
        *times += 1;
        if *times > 1 {
            self.rules.duplicated += 1;
            self.breach(now, format!("ask {ask} had its effect {times} times", times = self.ran[&ask]));
        }
    }

    /// A server has fallen over.
    pub fn fell(&mut self, now: Micros, server: usize, cold: bool) {
        if cold {
            self.rules.cold_fallen += 1;
            self.breach(now, format!("server {server} fell over while cold"));
        }
    }

    /// The list shows a server as draining from then on, or no longer.
    pub fn drains(&mut self, server: usize, visible: Option<Micros>) {
        match visible {
            Some(at) => drop(self.draining.insert(server, at)),
            None => {
                self.draining.remove(&server);
                self.told.retain(|k, _| k.1 != server);
            }
        }
    }

    /// A sidecar was told that a server drains.
    pub fn told(&mut self, now: Micros, sidecar: usize, server: usize) {
        if self.draining.contains_key(&server) {
            self.told.entry((sidecar, server)).or_insert(now);
        }
    }

    /// A sidecar asked for the list, began to watch, or its watch ended.
    pub fn contact(&mut self, now: Micros, sidecar: usize, watching: bool) {
        self.contacts[sidecar] = Contact { watching, last: now };
    }

    /// A sidecar started from nothing.
    pub fn restarted(&mut self, now: Micros, sidecar: usize) {
        self.told.retain(|k, _| k.0 != sidecar);
        self.contact(now, sidecar, false);
    }

    /// The verdict at the end, with the first breaches in words.
    pub fn finish(mut self, now: Micros) -> (Rules, Vec<String>) {
        let open = |t: &&Try| t.answered.is_none() && !t.released && t.deadline + TOLERANCE < now;
        let lost = self.tries.values().filter(open).count() as u64;
        if lost > 0 {
            self.rules.lost += lost;
            self.breach(now, format!("{lost} requests never had an answer"));
        }
        (self.rules, self.breaches)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn checker() -> Checker {
        let script = Script::parse(&crate::tests_common::small("")).expect("a script");
        Checker::new(&script)
    }

    /// Each breach is made once, and only its own count moves.
    #[test]
    fn each_rule_is_seen_broken() {
        type Case = (&'static str, fn(&mut Checker), Rules);
        let none = Rules::default();
        let cases: [Case; 10] = [
            ("in time", |c| c.answered(500_000, 1, true), none),
            ("late", |c| c.answered(1_100_000, 1, true), Rules { lost: 1, ..none }),
            ("another's", |c| c.answered(5, 1, false), Rules { lost: 1, ..none }),
            ("never", |_| {}, Rules { lost: 1, ..none }),
            ("hung up", |c| c.released(1), none),
            (
                "sent after",
                |c| {
                    c.answered(5, 1, true);
                    c.sent(400_000, 1, 0, 0);
                },
                Rules { sent_after: 1, ..none },
            ),
            (
                "twice",
                |c| {
                    c.answered(5, 1, true);
                    for dropped in [false, true, false] {
                        c.ran(6, 7, 1, dropped);
                    }
                },
                Rules { duplicated: 1, ..none },
            ),
            (
                "drain, told",
                |c| {
                    c.drains(0, Some(10));
                    c.told(20, 0, 0);
                    c.sent(2_400_000, 1, 0, 0);
                    c.sent(2_600_000, 1, 0, 0);
                    c.answered(5, 1, true);
                },
                Rules { drained_late: 1, ..none },
            ),
            (
                "drain, not told but watching",
                |c| {
                    c.contact(0, 0, true);
                    c.drains(0, Some(10));
                    c.sent(90_000_000, 1, 0, 0);
                    c.answered(5, 1, true);
                },
                none,
            ),
            (
                "drain, never asked",
                |c| {
                    c.drains(0, Some(10));
                    c.sent(90_000_000, 1, 0, 0);
                    c.answered(5, 1, true);
                },
                Rules { drained_late: 1, ..none },
            ),
        ];
        for (name, does, expected) in cases {
            let mut c = checker();
            c.opened(1, 1_000_000);
            does(&mut c);
            assert_eq!(c.finish(100_000_000).0, expected, "{name}");
        }
    }
}
