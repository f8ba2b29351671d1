//! Schedules of faults for what a fleet holds, drawn by seed. No more than a minority of holders loses its folder at a time, and
//! there is time to copy between: what is promised is promised under that.
use crate::fleet::script::{Fault, FleetScript, Kind};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A schedule for the script's fleet by this seed, in place of the script's own faults.
pub fn draw(script: &FleetScript, seed: u64) -> FleetScript {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x4ec0);
    let mut new = script.clone();
    (new.faults, new.expects, new.seed) = (Vec::new(), Vec::new(), seed);
    let members = script.fleet.members;
    let copying = script.records.as_ref().map_or(40.0, |r| r.replace_after) + 60.0;
    let mut pick = |n: usize| rng.next_u32() as usize % n.max(1);
    let mut wiped_until = 0.0;
    let mut at = 2.0;
    let plain = |at: f64, kind: Kind| Fault {
        at,
        kind,
        lasts: None,
        who: Vec::new(),
        to: Vec::new(),
        one_way: false,
        leader: false,
        much: 0.0,
    };
    for _ in 0..2 + pick(10) {
        at += pick(150) as f64 / 10.0;
        let few = |pick: &mut dyn FnMut(usize) -> usize, most: usize| -> Vec<usize> {
            let mut who: Vec<usize> = (0..1 + pick(most)).map(|_| pick(members)).collect();
            who.sort_unstable();
            who.dedup();
            who
        };
        let lasts = Some(1.0 + pick(250) as f64 / 10.0);
        let mut f = Fault { lasts, ..plain(at, Kind::Cut) };
        match pick(17) {
            0 | 1 => (f.leader, f.one_way) = (true, pick(3) == 0),
            2 | 3 => (f.who, f.one_way) = (few(&mut pick, members / 2), pick(3) == 0),
            4 => (f.who, f.to, f.one_way) = (few(&mut pick, 3), few(&mut pick, 3), pick(2) == 0),
            5 => (f.kind, f.much) = (Kind::Loss, pick(50) as f64 / 100.0),
            6 => (f.kind, f.much) = (Kind::Duplicate, pick(100) as f64 / 100.0),
            7 => (f.kind, f.much) = (Kind::Reorder, pick(100) as f64 / 100.0),
            8 => {
                (f.kind, f.much) = (Kind::Delay, script.fleet.period_ms * pick(300) as f64 / 100.0);
                f.who = few(&mut pick, 3);
            }
            9 => (f.kind, f.leader, f.who) = (Kind::Pause, pick(2) == 0, few(&mut pick, 2)),
            10 => {
                (f.kind, f.much, f.leader) = (Kind::DiskSlow, pick(2_000) as f64, pick(2) == 0);
                f.who = few(&mut pick, 2);
            }
            // Everybody at once: a power cut, back soon.
            11 => {
                let back = at + 1.0 + pick(40) as f64 / 10.0;
                (f.kind, f.lasts) = (if pick(2) == 0 { Kind::Kill } else { Kind::KillTorn }, None);
                new.faults.push(plain(back, Kind::Start));
            }
            12 | 13 => {
                // Killed, back with its folder.
                (f.kind, f.lasts, f.leader) = (Kind::Kill, None, pick(2) == 0);
                f.who = few(&mut pick, members / 2);
                if f.leader {
                    f.who.truncate(1);
                }
                let back = at + 0.5 + pick(100) as f64 / 10.0;
                new.faults.push(plain(back, Kind::Start));
            }
            14 if at >= wiped_until => {
                // A machine lost with its disk; an empty one takes its place.
                (f.kind, f.lasts, f.leader) = (Kind::Lose, None, true);
                let back = at + 0.5 + pick(60) as f64 / 10.0;
                new.faults.push(plain(back, Kind::Start));
                wiped_until = at + copying;
            }
            15 if at >= wiped_until => {
                // Back from yesterday's copy.
                let who = vec![pick(members)];
                new.faults.push(Fault { who: who.clone(), ..plain((at - 8.0).max(0.0), Kind::KeepCopy) });
                (f.kind, f.lasts, f.who) = (Kind::Kill, None, who.clone());
                new.faults.push(Fault { who, ..plain(at + 0.5 + pick(30) as f64 / 10.0, Kind::StartOld) });
                wiped_until = at + copying;
            }
            16 if at >= wiped_until => {
                // One disk that fails: its process comes back as somebody new.
                (f.kind, f.lasts, f.who) = (Kind::DiskFails, Some(2.0), vec![pick(members)]);
                wiped_until = at + copying;
            }
            _ => f.kind = Kind::Restart,
        }
        if f.kind == Kind::Restart {
            (f.lasts, f.who) = (None, few(&mut pick, 2));
        }
        new.faults.push(f);
    }
    new.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    new.fleet.length = new.calm_at() + new.settle() + 30.0;
    new
}
