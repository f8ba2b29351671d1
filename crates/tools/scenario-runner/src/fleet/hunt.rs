//! Schedules of faults drawn by seed, played in simulated time, and a failing one shrunk to a short one. What is drawn ends in
//! time for the stated bound to pass before the end, so that liveness is judged too.
use super::script::{Fault, FleetScript, Kind};
use super::sim;
use super::FleetFigures;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Faults drawn into one schedule, at most.
const MOST: u32 = 9;

/// A schedule for the script's fleet by this seed, in place of the script's own faults.
pub fn draw(script: &FleetScript, seed: u64) -> FleetScript {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x4a7e);
    let mut new = script.clone();
    (new.faults, new.expects, new.seed) = (Vec::new(), Vec::new(), seed);
    let members = script.fleet.members;
    let mut pick = |n: usize| rng.next_u32() as usize % n.max(1);
    let span = 60;
    let mut gone: Vec<usize> = Vec::new();
    for _ in 0..1 + pick(MOST as usize) {
        let at = (pick(span * 10) as f64) / 10.0;
        let few = |pick: &mut dyn FnMut(usize) -> usize, most: usize| -> Vec<usize> {
            let mut who: Vec<usize> = (0..1 + pick(most)).map(|_| pick(members)).collect();
            who.sort_unstable();
            who.dedup();
            who
        };
        let lasts = Some(1.0 + pick(300) as f64 / 10.0);
        let mut fault = Fault {
            at,
            kind: Kind::Cut,
            lasts,
            who: Vec::new(),
            to: Vec::new(),
            one_way: false,
            leader: false,
            much: 0.0,
        };
        match pick(16) {
            0..=2 => {
                fault.who = few(&mut pick, members / 2);
                fault.one_way = pick(3) == 0;
            }
            3 | 4 => {
                fault.who = few(&mut pick, members / 2);
                fault.to = few(&mut pick, members / 2);
                fault.one_way = pick(2) == 0;
            }
            5 => (fault.kind, fault.much) = (Kind::Loss, pick(60) as f64 / 100.0),
            6 => (fault.kind, fault.much) = (Kind::Duplicate, pick(100) as f64 / 100.0),
            7 => (fault.kind, fault.much) = (Kind::Reorder, pick(100) as f64 / 100.0),
            8 => (fault.kind, fault.much) = (Kind::Replay, pick(100) as f64 / 100.0),
            9 => (fault.kind, fault.much) = (Kind::Spoil, pick(50) as f64 / 100.0),
            10 => {
                (fault.kind, fault.much) = (Kind::Delay, script.fleet.period_ms * pick(200) as f64 / 100.0);
                fault.who = few(&mut pick, members / 2);
            }
            11 => {
                fault.kind = Kind::Pause;
                fault.who = few(&mut pick, members / 3);
            }
            12 | 13 => {
                (fault.kind, fault.lasts) = (Kind::Kill, None);
                fault.who = few(&mut pick, members / 2);
                gone.extend(&fault.who);
            }
            14 => {
                (fault.kind, fault.lasts) = (Kind::Restart, None);
                fault.who = few(&mut pick, members / 2);
            }
            _ => {
                (fault.kind, fault.lasts) =
                    ([Kind::Drain, Kind::SecondName, Kind::CopiedFolder][pick(3)], None);
                fault.who = vec![pick(members)];
            }
        }
        new.faults.push(fault);
    }
    // Most of those that were killed come back, one way or another.
    for m in gone {
        let kind = [Kind::Start, Kind::StartEmpty, Kind::StartMoved][pick(3)];
        if pick(4) > 0 {
            let at = (pick(span * 10) as f64) / 10.0 + 20.0;
            new.faults.push(Fault {
                at,
                kind,
                lasts: None,
                who: vec![m],
                to: vec![],
                one_way: false,
                leader: false,
                much: 0.0,
            });
        }
    }
    new.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    new.fleet.length = new.calm_at() + new.settle() + 10.0;
    new
}

/// A schedule for what the script plays: membership, or what the fleet holds.
pub fn draw_any(script: &FleetScript, seed: u64) -> FleetScript {
    match script.records {
        None => draw(script, seed),
        Some(_) => crate::records::draw::draw(script, seed),
    }
}

/// Play a script in simulated time, whatever it is about.
pub fn play_any(script: &FleetScript, seed: u64) -> FleetFigures {
    match script.records {
        None => sim::play(script, seed),
        Some(_) => crate::records::sim::play(script, seed, None).0,
    }
}

/// Take out of a failing schedule what it fails without, until nothing more can go.
pub fn shrink(script: &FleetScript, seed: u64) -> FleetScript {
    let fails = |s: &FleetScript| !play_any(s, seed).is_good();
    let mut least = script.clone();
    loop {
        let before = least.clone();
        // Whole faults first, later ones first.
        for i in (0..least.faults.len()).rev() {
            let mut less = least.clone();
            less.faults.remove(i);
            if fails(&less) {
                least = less;
            }
        }
        for i in 0..least.faults.len() {
            for j in (0..least.faults[i].who.len()).rev() {
                let mut less = least.clone();
                if less.faults[i].who.len() > 1 {
                    less.faults[i].who.remove(j);
                    if fails(&less) {
                        least = less;
                    }
                }
            }
            let mut less = least.clone();
            less.faults[i].at = less.faults[i].at.round();
            less.faults[i].lasts = less.faults[i].lasts.map(f64::round);
            if less.faults[i] != least.faults[i] && fails(&less) {
                least = less;
            }
        }
        if least.faults == before.faults {
            return least;
        }
    }
}

/// Play the seeds from `from` up to `to` on all processors; the failing ones, in order.
pub fn hunt(script: &FleetScript, from: u64, to: u64) -> Vec<(u64, FleetFigures)> {
    let next = std::sync::atomic::AtomicU64::new(from);
    let found = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= to {
                    return;
                }
                let figures = play_any(&draw_any(script, seed), seed);
                if !figures.is_good() {
                    if let Ok(mut found) = found.lock() {
                        found.push((seed, figures));
                    }
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_default();
    found.sort_by_key(|f| f.0);
    found
}

/// A schedule as a script's text.
pub fn as_text(script: &FleetScript) -> Result<String, String> {
    toml::to_string(script).map_err(|e| format!("the script can't be written: {e}"))
}
