//! Plain policies behind the same interface as the module, so that a report can say what each would have got on the very
//! same run. They follow the list, keep the effect rules and the cap on attempts, and know nothing else: no cooldown, no
//! estimate, no cold budget, no refusal. They stand for what a caller gets without this project.
use crate::chance::mix;
use silvercross_core::interface::{
    Action, Decide, DedupGroup, Ended, Entry, Event, Lifecycle, ListKind, Micros, NewRequest, Outcome,
    Repeatability, RequestId, Settings,
};
use std::collections::BTreeMap;

/// Ask for the list again so long after it broke off.
const ASK_AGAIN: Micros = 1_000_000;

/// How a plain policy picks among the listed servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Any.
    Random,
    /// One after the other, from a random start.
    RoundRobin,
    /// The one with the fewest attempts of this sidecar's out.
    LeastInFlight,
    /// Of two drawn at random, the one with fewer out.
    BestOfTwo,
}

/// The plain policies by their names on the command line.
pub const NAMED: [(&str, Pick); 4] = [
    ("random", Pick::Random),
    ("round-robin", Pick::RoundRobin),
    ("least-in-flight", Pick::LeastInFlight),
    ("best-of-two", Pick::BestOfTwo),
];

struct Open {
    class: usize,
    deadline: Micros,
    attempts: Vec<usize>,
    /// The first attempt that may have run: where, and when it was sent.
    risky: Option<(usize, Micros)>,
    sent: Vec<Micros>,
}

/// A plain policy at one sidecar.
pub struct Plain {
    pick: Pick,
    settings: Settings,
    state: u64,
    turn: usize,
    entries: Vec<Option<Entry>>,
    out: Vec<u32>,
    open: BTreeMap<RequestId, Open>,
}

impl Plain {
    /// One that has seen nothing.
    pub fn new(pick: Pick, settings: Settings, seed: u64) -> Self {
        let (state, open) = (mix(seed ^ 0xba5e), BTreeMap::new());
        Plain {
            pick,
            settings,
            state,
            turn: (state >> 7) as usize,
            entries: Vec::new(),
            out: Vec::new(),
            open,
        }
    }

    fn dice(&mut self, n: usize) -> usize {
        self.state = mix(self.state);
        (self.state >> 33) as usize % n
    }

    fn choose(&mut self, o: &Open, now: Micros) -> Option<usize> {
        let group = match (o.risky, self.settings.classes[o.class].repeatability) {
            (None, _) | (_, Repeatability::Repeatable) => None,
            (Some(_), Repeatability::Once) => return None,
            (Some((first, sent)), Repeatability::Keyed { group, window }) => {
                (now < sent + window).then_some(Some((group, self.entries[first]?)))?
            }
        };
        let within = |e: &Entry| match group {
            None | Some((DedupGroup::All, _)) => true,
            Some((DedupGroup::Zone, f)) => e.zone == f.zone,
            Some((DedupGroup::Cell, f)) => e.zone == f.zone && e.cell == f.cell,
        };
        let fits = |e: &Entry| e.lifecycle == Lifecycle::Running && within(e);
        let all: Vec<usize> =
            (0..self.entries.len()).filter(|i| self.entries[*i].as_ref().is_some_and(fits)).collect();
        let fresh: Vec<usize> = all.iter().copied().filter(|i| !o.attempts.contains(i)).collect();
        let pool = if fresh.is_empty() { all } else { fresh };
        if pool.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        let start = self.turn % pool.len();
        Some(match self.pick {
            Pick::Random => pool[self.dice(pool.len())],
            Pick::RoundRobin => pool[start],
            Pick::LeastInFlight => {
                let place = |k: &usize| (self.out[pool[(start + k) % pool.len()]], *k);
                let k = (0..pool.len()).min_by_key(place).unwrap_or(0);
                pool[(start + k) % pool.len()]
            }
            Pick::BestOfTwo => {
                let (a, b) = (pool[self.dice(pool.len())], pool[self.dice(pool.len())]);
                if self.out[b] < self.out[a] {
                    b
                } else {
                    a
                }
            }
        })
    }

    fn send(&mut self, now: Micros, request: RequestId, mut o: Open, out: &mut Vec<Action>) {
        let may = o.attempts.len() < self.settings.max_attempts as usize && now < o.deadline;
        match self.choose(&o, now).filter(|_| may) {
            Some(i) => {
                let upstream = self.entries[i].expect("listed").upstream;
                o.attempts.push(i);
                o.sent.push(now);
                self.out[i] += 1;
                self.open.insert(request, o);
                out.push(Action::Send { request, upstream, limit: None });
            }
            None if o.risky.is_none() => {
                out.push(Action::Refuse { request, retry_after: self.settings.max_retry_after });
            }
            None => out.push(Action::Fail { request }),
        }
    }

    fn asked(&mut self, now: Micros, r: NewRequest, out: &mut Vec<Action>) {
        let class = r.class as usize;
        if class >= self.settings.classes.len() {
            return out.push(Action::Fail { request: r.id });
        }
        let (attempts, sent) = (Vec::new(), Vec::new());
        self.send(now, r.id, Open { class, deadline: now + r.budget, attempts, risky: None, sent }, out);
    }

    fn ended(&mut self, now: Micros, e: Ended, out: &mut Vec<Action>) {
        let Some(mut o) = self.open.remove(&e.request) else { return };
        let Some(&i) = o.attempts.get(e.attempt as usize) else { return };
        self.out[i] = self.out[i].saturating_sub(1);
        if e.request_over || matches!(e.outcome, Outcome::Served) {
            return;
        }
        if !matches!(e.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
            && o.risky.is_none()
        {
            o.risky = Some((i, o.sent[e.attempt as usize]));
        }
        self.send(now, e.request, o, out);
    }
}

impl Decide for Plain {
    fn decide(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => {
                if matches!(kind, ListKind::Snapshot | ListKind::StaleCopy) {
                    self.entries.iter_mut().for_each(|e| *e = None);
                }
                for e in entries {
                    let i = e.upstream.0 as usize;
                    if i >= self.entries.len() {
                        self.entries.resize(i + 1, None);
                        self.out.resize(i + 1, 0);
                    }
                    self.entries[i] = Some(*e);
                }
                match kind {
                    ListKind::StaleCopy | ListKind::Moved => out.push(Action::Subscribe(true)),
                    ListKind::Broken => out.push(Action::Timer { after: ASK_AGAIN, token: 0 }),
                    ListKind::Patch | ListKind::Snapshot => {}
                }
            }
            Event::Timer { .. } => out.push(Action::Subscribe(true)),
            Event::Request(r) => self.asked(now, r, out),
            Event::AttemptEnded(e) => self.ended(now, e, out),
            Event::RequestGone { request } => {
                if let Some(o) = self.open.remove(&request) {
                    o.attempts.iter().for_each(|i| self.out[*i] = self.out[*i].saturating_sub(1));
                    let off = (0..o.attempts.len() as u32).map(|attempt| Action::Cancel { request, attempt });
                    out.extend(off.filter(|_| self.settings.may_cancel));
                }
            }
            Event::Settings { settings, .. } => self.settings = settings.clone(),
            Event::StreamStarted { .. } | Event::ProbeEnded { .. } => {}
        }
    }
}
