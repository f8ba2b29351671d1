//! Faults drawn from a seed: two or three at a time, the next one often while another is recovered from. Knows nothing of
//! processes.
use silvercross_test_rng::Rng;
use std::fmt;
use std::time::Duration;

/// At most so many faults are there at a time.
const MAX_CONCURRENT: usize = 3;
/// The pause before the first fault, and after the last.
const CALM: Duration = Duration::from_millis(1_500);

/// What happens to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// Its process is killed, and started again at the end.
    Kill,
    /// Its process stands still.
    Pause,
    /// It is cut off from all machines that are not.
    Cut,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// When it begins, from the beginning of the schedule.
    pub(crate) at: Duration,
    /// When it ends.
    pub(crate) until: Duration,
    /// The machine.
    pub(crate) machine: usize,
    /// What happens to it.
    pub(crate) kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (self.at.as_secs_f64(), self.until.as_secs_f64());
        write!(f, "{from:.2} s to {until:.2} s: {:?} of machine {}", self.kind, self.machine)
    }
}

/// Whether a fault may be there beside the others: one of each machine, one of all control machines, three in all. What the mesh
/// is to bear is then always there: more than half of the control machines.
fn fits(fault: &Fault, others: &[Fault], control_count: usize) -> bool {
    let is_control = |machine| machine < control_count;
    let concurrent = others.iter().filter(|other| other.at < fault.until && fault.at < other.until);
    let concurrent: Vec<&Fault> = concurrent.collect();
    let clashes = |other: &&&Fault| {
        other.machine == fault.machine || (is_control(other.machine) && is_control(fault.machine))
    };
    concurrent.len() < MAX_CONCURRENT && !concurrent.iter().any(|other| clashes(&other))
}

/// The faults of a seed, by their beginning: machines below `control_count` hold the control state.
pub(crate) fn draw(seed: u64, span: Duration, machines: usize, control_count: usize) -> Vec<Fault> {
    let mut rng = Rng::new(seed);
    let drawn = span.as_millis() as u64 / 600;
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..drawn {
        let at = CALM + Duration::from_millis(rng.below((span - CALM).as_millis() as u64));
        let lasts = Duration::from_millis(200 + rng.below(2_500));
        // Every third one strikes the few control machines.
        let machine = if rng.one_in(3) { rng.index(control_count) } else { rng.index(machines) };
        let kind = [FaultKind::Kill, FaultKind::Pause, FaultKind::Cut][rng.index(3)];
        let fault = Fault { at, until: at + lasts, machine, kind };
        if fits(&fault, &faults, control_count) {
            faults.push(fault);
        }
    }
    faults.sort_by_key(|fault| (fault.at, fault.machine));
    faults
}

#[cfg(test)]
mod tests;
