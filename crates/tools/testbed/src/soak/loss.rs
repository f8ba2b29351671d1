//! The loss of all processes, drawn from a seed and carried out once the other faults are over: upstreams leave, and right after
//! that is acknowledged all processes are killed, with or without a disk lost.
use super::departures::{begin_departure, DepartureLog};
use super::player::Disturbed;
use super::schedule::{Announcement, Departure, Drawing};
use super::watch::CONTACT;
use crate::testbed::Testbed;
use anyhow::Result;
use silvercross_test_rng::Rng;
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Separates these draws from those of the faults and departures.
const SEED_MASK: u64 = 0xa11_1057;
/// Upstreams that leave, at most.
const MAX_LEAVERS: usize = 3;
/// Their heartbeats from before arrive within this after they say so, in milliseconds, and not before this.
const LATENESS_MS: [u64; 2] = [1_500, 8_000];
/// All are acknowledged within this, or not at all.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(5);
/// Machines in touch are watched for so long.
const WATCHED_FOR: Duration = Duration::from_secs(3);

/// All processes are lost.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    /// The upstreams that leave before.
    departures: Vec<Departure>,
    /// A control machine that stands still meanwhile.
    frozen: Option<usize>,
    /// From the last acknowledgement to the loss.
    after: Duration,
    /// From a loss to the start of all.
    down: Duration,
    /// How often all are lost, one time after the other.
    times: u32,
    /// A control machine that loses its disk.
    wiped: Option<usize>,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Loss { departures, frozen, after, down, times, wiped } = self;
        write!(
            f,
            "at the end: all processes are killed {times} times {after:?} after the acknowledgements, for {down:?}; control machine {frozen:?} \
             stands still meanwhile, {wiped:?} loses its disk; "
        )?;
        departures.iter().try_for_each(|departure| write!(f, "{departure}; "))
    }
}

fn millis(rng: &mut Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(from + rng.below(to - from))
}

fn draw_leaver(rng: &mut Rng, drawing: &Drawing, machine: usize) -> Departure {
    let sides = drawing.machines - drawing.control_count;
    let receiver = match rng.below(4) {
        0 => rng.index(drawing.control_count),
        1 => drawing.control_count + rng.index(sides),
        _ => machine,
    };
    let announcement = match rng.index(2) {
        0 => Announcement::SignOff,
        _ => Announcement::Draining { sign_off_after: None },
    };
    let late_count = 1 + rng.index(4);
    let [earliest, latest] = LATENESS_MS;
    Departure {
        at: Duration::ZERO,
        machine,
        announcement,
        receiver,
        has_false_health: rng.one_in(2),
        kills: 0,
        killed_after: Duration::ZERO,
        late: (0..late_count).map(|_| millis(rng, earliest, latest)).collect(),
        serves_on: Duration::ZERO,
        successor_after: Duration::ZERO,
    }
}

/// The loss of a seed.
pub(crate) fn draw_loss(seed: u64, drawing: &Drawing) -> Loss {
    let mut rng = Rng::new(seed ^ SEED_MASK);
    let sides = drawing.machines - drawing.control_count;
    let (first, count) = (rng.index(sides), 1 + rng.index(MAX_LEAVERS.min(sides / 2)));
    let machine = |number: usize| drawing.control_count + (first + 2 * number) % sides;
    let departures = (0..count).map(|number| draw_leaver(&mut rng, drawing, machine(number))).collect();
    Loss {
        departures,
        frozen: rng.one_in(3).then(|| rng.index(drawing.control_count)),
        after: if rng.one_in(2) { Duration::ZERO } else { millis(&mut rng, 0, 1_000) },
        down: millis(&mut rng, 100, 2_500),
        times: 1 + u32::from(rng.one_in(3)),
        wiped: rng.one_in(2).then(|| rng.index(drawing.control_count)),
    }
}

/// Carry it out; successors of the upstreams that left have started when this returns.
pub(super) async fn play_loss(
    testbed: &mut Testbed,
    loss: &Loss,
    disturbed: &Disturbed,
    log: &DepartureLog,
) -> Result<()> {
    let began = Instant::now();
    if let Some(machine) = loss.frozen {
        disturb(disturbed, machine, began + ACKNOWLEDGED_WITHIN);
        testbed.mesh.freeze(machine)?;
    }
    wait_for_acknowledgements(testbed, loss, log).await;
    sleep(loss.after).await;
    for _ in 0..loss.times {
        lose_all(testbed, loss, disturbed).await?;
    }
    let last_late = loss.departures.iter().flat_map(|departure| &departure.late).max();
    let late_until = began + last_late.copied().unwrap_or_default();
    sleep_until(late_until.max(Instant::now() + CONTACT) + WATCHED_FOR).await;
    for departure in &loss.departures {
        if let Some(upstream) = testbed.upstreams.remove(&departure.machine) {
            log.end(upstream.id());
        }
        testbed.start_upstream(departure.machine).await?;
    }
    Ok(())
}

async fn wait_for_acknowledgements(testbed: &Testbed, loss: &Loss, log: &DepartureLog) {
    let (sender, mut acknowledged) = unbounded_channel();
    for (number, departure) in loss.departures.iter().enumerate() {
        begin_departure(testbed, number, departure, log, sender.clone());
    }
    drop(sender);
    let all = async { while acknowledged.recv().await.is_some() {} };
    // One that no node acknowledges in time promises nothing.
    let _ = timeout(ACKNOWLEDGED_WITHIN, all).await;
}

/// Kill all processes and start them again.
async fn lose_all(testbed: &mut Testbed, loss: &Loss, disturbed: &Disturbed) -> Result<()> {
    let machines = 0..testbed.mesh.spare_machines().start;
    for machine in machines.clone() {
        disturb(disturbed, machine, Instant::now() + loss.down);
        testbed.mesh.kill(machine)?;
    }
    if let Some(machine) = loss.wiped {
        testbed.mesh.wipe(machine)?;
    }
    sleep(loss.down).await;
    for machine in machines {
        disturb(disturbed, machine, Instant::now());
        testbed.mesh.start(machine, false)?;
    }
    Ok(())
}

fn disturb(disturbed: &Disturbed, machine: usize, until: Instant) {
    disturbed.by_any.disturb(machine, until);
    disturbed.unplanned.disturb(machine, until);
}
