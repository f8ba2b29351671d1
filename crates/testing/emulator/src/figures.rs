//! What a run comes to: worth served in time, by class and second, times, attempts, and whether what the script expects
//! has held. Fed with what clients saw; the same for both drivers.
use crate::checker::Rules;
use crate::plan::Ask;
use crate::script::{ms, Expect, Script};
use hdrhistogram::Histogram;
use serde::Serialize;
use silvercross_core::interface::Micros;
use std::collections::BTreeMap;

/// Windows are so long.
pub const WINDOW: Micros = 1_000_000;

/// How an ask ended, over all its tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fate {
    /// Not yet.
    #[default]
    Open,
    /// Served at this time.
    Served(Micros),
    /// Turned away, and not tried again.
    Refused,
    /// Failed.
    Failed,
    /// Its client gave up.
    GaveUp,
    /// Its sidecar was down or died: its client with it. Not counted as asked.
    Void,
}

/// A second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// When it began, in seconds.
    pub t: f64,
    /// Worth asked for in it.
    pub offered: f64,
    /// Share of that which was earned, whenever the answer came.
    pub served_worth: f64,
    /// Median and 99th percentile of the time to the answer of what was asked in it and served, in ms.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
    /// Share of its worth that the clients of each site earned, in the script's order.
    pub by_site: Vec<f64>,
    /// Share of the sidecars' attempts sent in it that left their site.
    pub crossed: f64,
}

/// Whether what the script expects has held.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Expectation {
    /// The figure's name.
    pub figure: String,
    /// Its value; `None`: this run has none.
    pub value: Option<f64>,
    /// No less than this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// No more than this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
    /// Whether it has held.
    pub held: bool,
}

/// What a run comes to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// The script's name.
    pub script: String,
    /// `virtual` or `sockets`.
    pub mode: String,
    /// Who decided.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Worth earned over worth asked for.
    pub served_worth: f64,
    /// The lowest five seconds in a row.
    pub worst_5s: f64,
    /// The same, for each class.
    pub by_class: BTreeMap<String, f64>,
    /// The same, for the clients of each site.
    pub by_site: BTreeMap<String, f64>,
    /// Asks, all tries of one taken together.
    pub asks: u64,
    /// Of these, served.
    pub served: u64,
    /// Turned away for good.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their clients.
    pub gave_up: u64,
    /// Tries a client made for an ask.
    pub tries_per_ask: f64,
    /// Attempts that sidecars sent for a try.
    pub attempts_per_try: f64,
    /// Connections opened for an attempt.
    pub connections_per_attempt: f64,
    /// Share of the attempts that crossed sites.
    pub crossed: f64,
    /// Calls to the list service.
    pub list_calls: u64,
    /// Time to the answer of what was served, in ms.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
    /// Breaches of the rules.
    pub rules: Rules,
    /// The first breaches in words.
    pub breaches: Vec<String>,
    /// Second by second.
    pub windows: Vec<Window>,
    /// Served worth of the plain policies on the same run.
    pub baselines: BTreeMap<String, f64>,
    /// How often they broke a rule on it.
    pub baselines_broken: BTreeMap<String, u64>,
    /// The script's expectations.
    pub expectations: Vec<Expectation>,
    /// Why the run says nothing; its figures are then not to be used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
    /// Whether it was cut short before its script's end.
    pub cut_short: bool,
    /// Sockets: how late the emulator's own timers were, 99th percentile and worst, in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lateness_ms: Option<(f64, f64)>,
    /// For each server, attempts that reached it in each second; for the report only.
    #[serde(skip)]
    pub reached: Vec<Vec<u32>>,
}

/// What is counted while a run goes on.
pub struct Tally {
    /// How each ask ended.
    pub fates: Vec<Fate>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Connections to servers opened.
    pub connections: u64,
    /// Attempts that crossed sites.
    pub crossed: u64,
    /// Attempts, and those that crossed, by second.
    pub by_second: Vec<(u64, u64)>,
    /// Attempts that reached each server, by second.
    pub reached: Vec<Vec<u32>>,
}

impl Tally {
    /// Nothing yet, of so many asks and servers.
    pub fn new(asks: usize, servers: usize) -> Self {
        let reached = vec![Vec::new(); servers];
        Tally {
            fates: vec![Fate::Open; asks],
            tries: 0,
            attempts: 0,
            connections: 0,
            crossed: 0,
            by_second: Vec::new(),
            reached,
        }
    }

    /// An attempt was sent to a server.
    pub fn sent(&mut self, now: Micros, server: usize, crosses: bool) {
        self.attempts += 1;
        self.crossed += u64::from(crosses);
        let second = (now.max(0) / WINDOW) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0, 0));
        }
        self.by_second[second].0 += 1;
        self.by_second[second].1 += u64::from(crosses);
        self.reached(now, server);
    }

    /// An attempt, a gateway's too, has gone to a server; for the report.
    pub fn reached(&mut self, now: Micros, server: usize) {
        let second = (now.max(0) / WINDOW) as usize;
        let Some(row) = self.reached.get_mut(server) else { return };
        if row.len() <= second {
            row.resize(second + 1, 0);
        }
        row[second] += 1;
    }
}

/// Rounded for people and for equal bytes.
fn rounded(v: f64) -> f64 {
    (v * 1e6).round() / 1e6
}

fn times() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("fixed bounds")
}

fn percentile(h: &Histogram<u64>, q: f64) -> f64 {
    if h.is_empty() {
        0.0
    } else {
        rounded(h.value_at_quantile(q) as f64 / 1e3)
    }
}

/// What a run comes to. `until`: what was asked later, or could not be answered by then, is left out (a run cut short).
pub fn sum_up(script: &Script, seed: u64, asks: &[Ask], tally: Tally, until: Micros) -> Figures {
    let n = (script.length().min(until) / WINDOW + 1) as usize;
    let mut windows: Vec<(f64, f64, Histogram<u64>)> = (0..n).map(|_| (0.0, 0.0, times())).collect();
    let mut classes = vec![(0.0, 0.0); script.classes.len()];
    let mut sites = vec![(0.0, 0.0); script.sites.len()];
    let mut site_windows = vec![sites.clone(); n];
    let site_of: Vec<usize> =
        script.sites.iter().enumerate().flat_map(|(i, s)| std::iter::repeat_n(i, s.sidecars)).collect();
    let mut f = Figures { script: script.name.clone(), seed, ..Figures::default() };
    let mut all = times();
    for (ask, fate) in asks.iter().zip(&tally.fates) {
        let class = &script.classes[ask.class];
        let cut = ask.at + ms(class.deadline_ms) > until;
        if *fate == Fate::Void || (*fate == Fate::Open && cut) {
            continue;
        }
        f.asks += 1;
        let mut earned = 0.0;
        let window = &mut windows[(ask.at / WINDOW) as usize];
        match fate {
            Fate::Served(at) => {
                f.served += 1;
                let took = at - ask.at;
                let late = took > ms(class.aim_ms);
                earned = class.worth * if late { class.late_worth } else { 1.0 };
                let took = (took.max(1) as u64).min(600_000_000);
                all.record(took).expect("within bounds");
                window.2.record(took).expect("within bounds");
            }
            Fate::Refused => f.refused += 1,
            Fate::Failed => f.failed += 1,
            Fate::Open | Fate::GaveUp | Fate::Void => f.gave_up += 1,
        }
        window.0 += class.worth;
        window.1 += earned;
        classes[ask.class].0 += class.worth;
        classes[ask.class].1 += earned;
        sites[site_of[ask.sidecar]].0 += class.worth;
        sites[site_of[ask.sidecar]].1 += earned;
        let there = &mut site_windows[(ask.at / WINDOW) as usize][site_of[ask.sidecar]];
        (there.0, there.1) = (there.0 + class.worth, there.1 + earned);
    }
    let share = |(offered, earned): (f64, f64)| if offered > 0.0 { rounded(earned / offered) } else { 1.0 };
    f.served_worth = share(classes.iter().fold((0.0, 0.0), |s, c| (s.0 + c.0, s.1 + c.1)));
    f.by_class = script.classes.iter().zip(&classes).map(|(c, v)| (c.name.clone(), share(*v))).collect();
    f.by_site = script.sites.iter().zip(&sites).map(|(s, v)| (s.name.clone(), share(*v))).collect();
    let crossed = |i: usize| {
        tally.by_second.get(i).filter(|s| s.0 > 0).map_or(0.0, |s| rounded(s.1 as f64 / s.0 as f64))
    };
    let fives =
        windows.windows(5.min(n)).map(|w| share(w.iter().fold((0.0, 0.0), |s, w| (s.0 + w.0, s.1 + w.1))));
    f.worst_5s = fives.fold(1.0, f64::min);
    f.windows = windows
        .iter()
        .enumerate()
        .filter(|(_, w)| w.0 > 0.0)
        .map(|(i, w)| Window {
            t: i as f64,
            offered: rounded(w.0),
            served_worth: share((w.0, w.1)),
            p50_ms: percentile(&w.2, 0.5),
            p99_ms: percentile(&w.2, 0.99),
            by_site: site_windows[i].iter().map(|w| share(*w)).collect(),
            crossed: crossed(i),
        })
        .collect();
    let per = |a: u64, b: u64| if b == 0 { 0.0 } else { rounded(a as f64 / b as f64) };
    f.tries_per_ask = per(tally.tries, f.asks);
    f.attempts_per_try = per(tally.attempts, tally.tries);
    f.connections_per_attempt = per(tally.connections, tally.attempts);
    f.crossed = per(tally.crossed, tally.attempts);
    (f.p50_ms, f.p99_ms) = (percentile(&all, 0.5), percentile(&all, 0.99));
    f.reached = tally.reached;
    f
}

impl Figures {
    /// A figure by its name; `None`: this run has none of that name.
    pub fn named(&self, name: &str) -> Option<f64> {
        let r = &self.rules;
        Some(match name.split_once('.') {
            None => match name {
                "served_worth" => self.served_worth,
                "worst_5s" => self.worst_5s,
                "served" => self.served as f64,
                "refused" => self.refused as f64,
                "failed" => self.failed as f64,
                "gave_up" => self.gave_up as f64,
                "tries_per_ask" => self.tries_per_ask,
                "attempts_per_try" => self.attempts_per_try,
                "connections_per_attempt" => self.connections_per_attempt,
                "crossed" => self.crossed,
                "list_calls" => self.list_calls as f64,
                "p50_ms" => self.p50_ms,
                "p99_ms" => self.p99_ms,
                "asks" => self.asks as f64,
                _ => return None,
            },
            Some(("rules", rule)) => match rule {
                "lost" => r.lost as f64,
                "sent_after" => r.sent_after as f64,
                "duplicated" => r.duplicated as f64,
                "drained_late" => r.drained_late as f64,
                "cold_fallen" => r.cold_fallen as f64,
                "broken" => r.broken() as f64,
                _ => return None,
            },
            Some(("by_class", class)) => *self.by_class.get(class)?,
            Some(("by_site", site)) => *self.by_site.get(site)?,
            Some(("baselines", policy)) => *self.baselines.get(policy)?,
            Some(("gain", policy)) => self.served_worth - self.baselines.get(policy)?,
            Some(_) => return None,
        })
    }

    /// Hold the run against what its script expects.
    pub fn expect(&mut self, expects: &[Expect]) {
        let held = |e: &Expect| {
            let value = self.named(&e.figure);
            let fits = |v: f64| e.least.is_none_or(|l| v >= l) && e.most.is_none_or(|m| v <= m);
            let held = value.is_some_and(fits);
            Expectation { figure: e.figure.clone(), value, least: e.least, most: e.most, held }
        };
        // Where the plain policies were left out, what is expected against them is left open, neither held nor failed.
        let open = |e: &&Expect| {
            self.baselines.is_empty() && ["gain.", "baselines."].iter().any(|p| e.figure.starts_with(p))
        };
        self.expectations = expects.iter().filter(|e| !open(e)).map(held).collect();
    }

    /// Whether all is as it should be: played whole, nothing void, no rule broken, all expectations held.
    pub fn is_good(&self) -> bool {
        self.void.is_none()
            && !self.cut_short
            && self.rules.broken() == 0
            && self.expectations.iter().all(|e| e.held)
    }
}
