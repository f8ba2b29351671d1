//! Faults drawn from a seed: two or three at a time, the next one often while another is recovered from, over a
//! series of planned ends. Knows nothing of
//! processes.
mod departures;

pub(crate) use departures::{draw_departures, Announcement, Departure};

use silvercross_test_rng::Rng;
use std::fmt;
use std::time::Duration;

/// At most so many faults are there at a time.
const MAX_CONCURRENT: usize = 3;
/// A process that was told to end has ended, and is started again, after this: its grace is 4 s.
const TERMINATED_FOR: Duration = Duration::from_millis(4_300);
/// A process that is ending gets further signals within this, in milliseconds.
const MAX_SIGNAL_DELAY_MS: u64 = 2_500;
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
    /// Its process is told to end (SIGTERM), and started again once it has.
    Terminate,
    /// Its process is told to read its settings again (SIGHUP).
    Reload,
    /// Its process, which is ending, is told to end again (SIGTERM).
    TerminateAgain,
    /// Its process, which is ending, is told to read its settings again (SIGHUP).
    ReloadAtEnd,
}

impl FaultKind {
    /// Whether the machine's clients may lose what is open there.
    pub(crate) fn is_unplanned(self) -> bool {
        matches!(self, FaultKind::Kill | FaultKind::Pause | FaultKind::Cut)
    }

    /// Whether it is a signal that disturbs nothing.
    pub(crate) fn is_mere_signal(self) -> bool {
        matches!(self, FaultKind::Reload | FaultKind::TerminateAgain | FaultKind::ReloadAtEnd)
    }
}

/// What faults are drawn for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drawing {
    /// They begin within this.
    pub(crate) span: Duration,
    /// Machines; those below `control_count` hold the control state.
    pub(crate) machines: usize,
    /// Machines that hold the control state.
    pub(crate) control_count: usize,
    /// Whether machines can be cut off.
    pub(crate) has_links: bool,
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

impl Fault {
    /// A fault of a machine that does nothing.
    fn none(machine: usize) -> Self {
        Fault { at: Duration::ZERO, until: Duration::ZERO, machine, kind: FaultKind::Reload }
    }
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
    let concurrent = others.iter().filter(|other| overlaps(other, fault));
    let concurrent: Vec<&Fault> = concurrent.collect();
    let clashes = |other: &&&Fault| {
        other.machine == fault.machine || (is_control(other.machine) && is_control(fault.machine))
    };
    concurrent.len() < MAX_CONCURRENT && !concurrent.iter().any(|other| clashes(&other))
}

/// Half of the sides are told to end, one after the other, from a drawn moment on.
fn draw_series(rng: &mut Rng, drawing: &Drawing) -> Vec<Fault> {
    let sides = drawing.machines - drawing.control_count;
    let gap = drawing.span / (sides as u32 + 1);
    let (first, offset) = (CALM + Duration::from_millis(rng.below(1_000)), rng.index(sides));
    let terminate = |number: usize| {
        let at = first + gap * number as u32;
        let machine = drawing.control_count + (offset + 2 * number) % sides;
        Fault { at, until: at + TERMINATED_FOR, machine, kind: FaultKind::Terminate }
    };
    (0..sides.div_ceil(2)).map(terminate).collect()
}

/// Further signals to processes that are ending.
fn draw_signals_at_end(rng: &mut Rng, ends: &[Fault]) -> Vec<Fault> {
    let mut signals = Vec::new();
    for end in ends {
        for kind in [FaultKind::TerminateAgain, FaultKind::ReloadAtEnd] {
            let at = end.at + Duration::from_millis(rng.below(MAX_SIGNAL_DELAY_MS));
            if rng.one_in(2) {
                signals.push(Fault { at, until: at, kind, ..*end });
            }
        }
    }
    signals
}

/// The faults of a seed, by their beginning: a series of planned ends, and what is drawn over it.
pub(crate) fn draw(seed: u64, drawing: &Drawing) -> Vec<Fault> {
    let Drawing { span, machines, control_count, has_links } = *drawing;
    let mut rng = Rng::new(seed);
    let drawn = span.as_millis() as u64 / 600;
    let mut faults = draw_series(&mut rng, drawing);
    let series = faults.clone();
    let mut others: Vec<Fault> = Vec::new();
    for _ in 0..drawn {
        let at = CALM + Duration::from_millis(rng.below((span - CALM).as_millis() as u64));
        let lasts = Duration::from_millis(200 + rng.below(2_500));
        // Every third one strikes the few control machines.
        let machine = if rng.one_in(3) { rng.index(control_count) } else { rng.index(machines) };
        let kind = [FaultKind::Kill, FaultKind::Pause, FaultKind::Reload, FaultKind::Cut]
            [rng.index(if has_links { 4 } else { 3 })];
        let fault = Fault { at, until: at + lasts, machine, kind };
        let clashes = |other: &&Fault| other.machine == machine && overlaps(other, &fault);
        if fits(&fault, &others, control_count) && !series.iter().any(|other| clashes(&other)) {
            others.push(fault);
        }
    }
    faults.extend(others);
    // Drawn last, so that the rest of a seed's schedule is what it was before there were such signals.
    faults.extend(draw_signals_at_end(&mut rng, &series));
    faults.sort_by_key(|fault| (fault.at, fault.machine));
    faults
}

fn overlaps(a: &Fault, b: &Fault) -> bool {
    a.at < b.until && b.at < a.until
}

#[cfg(test)]
mod tests;
