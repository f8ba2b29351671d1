//! Who asks what and when, drawn once from the seed: alike for every policy, driver and build.
use crate::chance::{self, stream, unit};
use crate::script::{ms, Script, Spread, Trouble};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto, Zipf};
use silvercross_core::interface::Micros;

/// One thing that a client wants, over all its tries.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// When its client asks first.
    pub at: Micros,
    /// Beside which sidecar.
    pub sidecar: usize,
    /// Its class.
    pub class: usize,
    /// What it is about.
    pub key: u64,
    /// Its work on a core of standard speed, in microseconds.
    pub work: f64,
    /// What its client guesses, where clients do.
    pub hint: Option<Micros>,
    /// What a sender can know of its work: the guess, else the class's mean.
    pub expected: f64,
    /// Its client gives up after half its time.
    pub impatient: bool,
    /// Its client waits as long as it is told to.
    pub honours: bool,
}

/// The load's multiple at `at`, and that of the hot caller with its number.
fn surge(script: &Script, at: Micros) -> (f64, Vec<(usize, f64)>) {
    let (mut all, mut hot) = (1.0, Vec::new());
    for f in &script.faults {
        let (from, to) = f.span();
        if at < from || at >= to {
            continue;
        }
        match f.kind {
            Trouble::Surge => match &f.site {
                None => all *= f.strength_or(),
                Some(name) => {
                    let of = script
                        .sites
                        .iter()
                        .flat_map(|s| std::iter::repeat_n(&s.name, s.sidecars))
                        .enumerate();
                    hot.extend(of.filter(|(_, n)| *n == name).map(|(i, _)| (i, f.strength_or())));
                }
            },
            // Two at once on one caller add up.
            Trouble::HotCaller => {
                let who = f.which.as_ref().and_then(|w| w.first().copied()).unwrap_or(0);
                hot.push((who.min(script.sidecars() - 1), f.strength_or()));
            }
            _ => {}
        }
    }
    (all, hot)
}

/// All that is asked in a run, in the order of time.
pub fn draw(script: &Script, seed: u64) -> Vec<Ask> {
    let mut rng = stream(seed, 1);
    let mut weights: Vec<f64> = Vec::new();
    for site in &script.sites {
        for _ in 0..site.sidecars {
            let n = weights.len() as u64;
            let z = (unit(seed ^ 0xca11, n) - 0.5) * 2.0 * 3f64.sqrt() * script.load.caller_cv;
            weights.push(site.load * z.exp());
        }
    }
    let sum: f64 = weights.iter().sum();
    weights.iter_mut().for_each(|w| *w /= sum);
    let sums: Vec<f64> = weights
        .iter()
        .scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        })
        .collect();
    // The highest rate that any moment can have; candidates beyond a moment's own rate are thinned out.
    let factor = |kind: Trouble| -> f64 {
        let of = script.faults.iter().filter(|f| f.kind == kind);
        of.map(|f| f.strength_or().max(1.0)).product()
    };
    let top = script.load.per_s * factor(Trouble::Surge) * factor(Trouble::HotCaller);
    let shares: f64 = script.classes.iter().map(|c| c.share).sum();
    let zipf = Zipf::new(script.load.keys, script.load.key_skew).expect("checked with the script");
    let (mut asks, mut at) = (Vec::new(), 0.0f64);
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += gap / top * 1e6;
        if at >= script.length() as f64 {
            return asks;
        }
        let now = at as Micros;
        let n = asks.len() as u64;
        let (dice, pick): (f64, f64) = (sample(&mut rng), sample(&mut rng));
        let (all, hot) = surge(script, now);
        // A hot caller asks so much more than its own share; all others keep theirs.
        let more = |(i, by): &(usize, f64)| weights[*i] * (by - 1.0);
        let extra: f64 = hot.iter().map(more).sum();
        if dice * top >= script.load.per_s * all * (1.0 + extra).max(0.0) {
            continue;
        }
        let mut left = pick * (1.0 + extra);
        let caller = hot.iter().find(|h| {
            left -= more(h);
            left < 0.0
        });
        let sidecar = match caller {
            Some((i, _)) => *i,
            None => sums.partition_point(|s| *s <= left).min(weights.len() - 1),
        };
        let mut which = sample(&mut rng) * shares;
        let last = script.classes.len() - 1;
        let class = script.classes.iter().position(|c| {
            which -= c.share;
            which < 0.0
        });
        let class = class.unwrap_or(last);
        let spec = &script.classes[class];
        let mean = ms(spec.work_ms) as f64;
        let part: f64 = match spec.spread {
            _ if spec.cv == 0.0 => 1.0,
            Spread::Fixed => 1.0,
            Spread::Lognormal => {
                let sigma = (1.0 + spec.cv * spec.cv).ln().sqrt();
                LogNormal::new(-sigma * sigma / 2.0, sigma).expect("finite").sample(&mut rng)
            }
            Spread::Pareto => {
                // The shape that has this deviation; cut off far out, so that one draw is not the whole run.
                let shape = 1.0 + (1.0 + 1.0 / (spec.cv * spec.cv)).sqrt();
                let drawn: f64 =
                    Pareto::new((shape - 1.0) / shape, shape).expect("positive").sample(&mut rng);
                drawn.min(100.0)
            }
        };
        let work = (mean * part).max(1.0);
        let noise: f64 = LogNormal::new(-0.045, 0.3).expect("finite").sample(&mut rng);
        let hint = script.load.hints.then(|| ((work * noise) as Micros).max(1));
        asks.push(Ask {
            at: now,
            sidecar,
            class,
            key: zipf.sample(&mut rng) as u64,
            work,
            hint,
            expected: hint.map_or(mean, |h| h as f64),
            impatient: unit(seed ^ 0x1111, n) < script.clients.impatient,
            honours: unit(seed ^ 0x2222, n) < script.clients.honour,
        });
    }
}

fn sample(rng: &mut impl rand_core::RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// The key under which repeats of an ask's tries are dropped, as its clients write it.
pub fn idempotency(seed: u64, ask: usize) -> u64 {
    chance::mix(seed ^ chance::mix(0x1d ^ ask as u64))
}
