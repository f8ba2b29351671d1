//! Departures of upstreams drawn from a seed, over the faults of the same seed. Knows nothing of processes.
use super::{overlaps, Drawing, Fault, CALM};
use silvercross_test_rng::Rng;
use std::fmt;
use std::time::Duration;

/// Separates these draws from those of the faults.
const SEED_MASK: u64 = 0x5eed_0fde_9a27;
/// An upstream has left, and its successor has started, within this.
const MAX_SPAN: Duration = Duration::from_secs(9);
/// The sidecar that acknowledges may be struck within this.
const STRUCK_WITHIN: Duration = Duration::from_millis(3_200);
/// Heartbeats from before arrive within this, in milliseconds.
const MAX_LATENESS_MS: u64 = 9_000;
/// An upstream serves on for so long beyond its drain time, at most, in milliseconds.
const MAX_SERVICE_MS: u64 = 4_000;

/// What an upstream says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Announcement {
    /// It signs off.
    SignOff,
    /// It says `draining`, and signs off so long later, if at all.
    Draining { sign_off_after: Option<Duration> },
}

/// An upstream leaves, and another one follows at its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Departure {
    /// When it says so, from the beginning of the schedule.
    pub(crate) at: Duration,
    /// Its machine.
    pub(crate) machine: usize,
    /// What it says.
    pub(crate) announcement: Announcement,
    /// The machine whose node receives that.
    pub(crate) receiver: usize,
    /// Whether its health answers are good all the while.
    pub(crate) has_false_health: bool,
    /// How often the process beside it is killed and started, from the acknowledgement on.
    pub(crate) kills: u32,
    /// From the acknowledgement to the first kill.
    pub(crate) killed_after: Duration,
    /// When its heartbeats from before arrive.
    pub(crate) late: Vec<Duration>,
    /// How long it serves on beyond its drain time.
    pub(crate) serves_on: Duration,
    /// From its end to the start of the next one.
    pub(crate) successor_after: Duration,
}

impl fmt::Display for Departure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Departure { machine, announcement, receiver, kills, killed_after, late, .. } = self;
        write!(
            f,
            "{:.2} s: upstream of machine {machine} leaves ({announcement:?}, false health {}), calls machine {receiver}; {kills} kills from \
             {killed_after:?} after the acknowledgement; late heartbeats after {late:?}; serves on for {:?}, the next one after {:?}",
            self.at.as_secs_f64(),
            self.has_false_health,
            self.serves_on,
            self.successor_after,
        )
    }
}

fn millis(rng: &mut Rng, below: u64) -> Duration {
    Duration::from_millis(rng.below(below))
}

/// Whether a fault strikes the machine while its sidecar may be killed.
fn is_struck(faults: &[Fault], machine: usize, at: Duration) -> bool {
    let span = Fault { at, until: at + STRUCK_WITHIN, ..Fault::none(machine) };
    faults
        .iter()
        .any(|fault| fault.machine == machine && !fault.kind.is_mere_signal() && overlaps(fault, &span))
}

/// The departures of a seed: of every other side at most, one of each.
pub(crate) fn draw_departures(seed: u64, drawing: &Drawing, faults: &[Fault]) -> Vec<Departure> {
    let mut rng = Rng::new(seed ^ SEED_MASK);
    let Drawing { span, machines, control_count, .. } = *drawing;
    let parity = rng.index(2);
    let last = span.saturating_sub(MAX_SPAN / 2).max(CALM + Duration::from_secs(1));
    let mut departures = Vec::new();
    for machine in (control_count + parity..machines).step_by(2) {
        let at = CALM + millis(&mut rng, (last - CALM).as_millis() as u64);
        let sign_off_after = rng.one_in(2).then(|| millis(&mut rng, 3_000));
        let announcement = match rng.index(2) {
            0 => Announcement::SignOff,
            _ => Announcement::Draining { sign_off_after },
        };
        let receiver = if rng.one_in(4) { rng.index(machines) } else { machine };
        let kills = rng.index(3) as u32;
        let killed_after = if rng.one_in(2) { Duration::ZERO } else { millis(&mut rng, 600) };
        let late_count = 1 + rng.index(4);
        departures.push(Departure {
            at,
            machine,
            announcement,
            receiver,
            has_false_health: rng.one_in(2),
            kills: if is_struck(faults, machine, at) { 0 } else { kills },
            killed_after,
            late: (0..late_count).map(|_| millis(&mut rng, MAX_LATENESS_MS)).collect(),
            serves_on: millis(&mut rng, MAX_SERVICE_MS),
            successor_after: millis(&mut rng, 800),
        });
    }
    departures
}
