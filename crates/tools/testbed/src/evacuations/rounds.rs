//! What happens while a zone is evacuated, drawn from a seed. Knows nothing of processes.
use super::orders::{Abandonment, Order};
use silvercross_test_rng::Rng;
use std::time::Duration;

/// A fault begins so long after the order was acknowledged, at most, in milliseconds.
const MAX_FAULT_DELAY_MS: u64 = 300;
/// A caller waits so long before it hangs up, in milliseconds.
const PATIENCE_MS: [u64; 2] = [100, 1_100];
/// Orders left at a machine that stands still, at most.
const MAX_ABANDONED: usize = 3;

/// What strikes control machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ControlFault {
    /// Nothing.
    None,
    /// One stands still with orders in its socket, and goes on after newer ones were acknowledged.
    Frozen,
    /// One is cut off from the other control machines, until the zone is opened; sides reach all.
    CutFromOthers,
    /// One is cut off from all but the sides of its zone, which are cut off with it.
    CutWithItsZone,
    /// The one that acknowledged the order is killed at once, and started again.
    AcknowledgerKilled,
    /// All are killed at once, and started again.
    AllKilled,
}

/// What strikes a side of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SideFault {
    /// Nothing.
    None,
    /// Its process is killed, and started again.
    Killed,
    /// It is told to read its settings again.
    Reloaded,
    /// It is told to end (SIGTERM), and started again once it has.
    Terminated,
    /// Its upstream ends and another one starts at its address.
    UpstreamReplaced,
}

/// A planned replacement of a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Replacement {
    /// None.
    None,
    /// Before the order.
    Before,
    /// Once the fault has begun.
    During,
}

/// One evacuation and what happens meanwhile.
#[derive(Clone, Debug)]
pub(super) struct Round {
    /// The zone, by its number.
    pub(super) zone: usize,
    /// Whether the next zone is evacuated as well.
    pub(super) has_second_zone: bool,
    /// The number of the control machine that is asked first.
    pub(super) first_asked: usize,
    /// Whether a side is asked before it, which names a control machine.
    pub(super) is_side_asked: bool,
    /// The number of the control machine that is struck.
    pub(super) struck: usize,
    pub(super) replacement: Replacement,
    pub(super) fault: ControlFault,
    /// Whether the fault begins before the order is given.
    pub(super) is_fault_first: bool,
    pub(super) fault_delay: Duration,
    /// Orders left at the machine that stands still, and how.
    pub(super) abandoned: Vec<(Order, Abandonment)>,
    pub(super) patience: Duration,
    /// Whether the evacuation is ended and begun again while the fault lasts.
    pub(super) is_repeated: bool,
    pub(super) side_fault: SideFault,
}

/// The rounds of a seed.
pub(super) fn draw(seed: u64, count: usize, zones: usize) -> Vec<Round> {
    let mut rng = Rng::new(seed);
    (0..count).map(|_| draw_round(&mut rng, zones)).collect()
}

fn draw_round(rng: &mut Rng, zones: usize) -> Round {
    use ControlFault::*;
    let fault =
        [None, Frozen, Frozen, CutFromOthers, CutFromOthers, CutWithItsZone, AcknowledgerKilled, AllKilled]
            [rng.index(8)];
    let replacement = match rng.below(3) {
        0 => Replacement::Before,
        1 if fault == CutFromOthers => Replacement::During,
        _ => Replacement::None,
    };
    let abandoned = (0..1 + rng.index(MAX_ABANDONED))
        .map(|_| if rng.one_in(3) { Order::Start } else { Order::End })
        .map(|order| (order, Abandonment::HangsUp))
        .collect::<Vec<_>>();
    let side_fault = [
        SideFault::None,
        SideFault::Killed,
        SideFault::Reloaded,
        SideFault::UpstreamReplaced,
        SideFault::Terminated,
    ][rng.index(5)];
    let mut round = Round {
        zone: rng.index(zones),
        has_second_zone: rng.one_in(3),
        first_asked: rng.index(8),
        is_side_asked: rng.one_in(3),
        struck: rng.index(8),
        replacement,
        fault,
        is_fault_first: rng.one_in(4),
        fault_delay: Duration::from_millis(rng.below(MAX_FAULT_DELAY_MS)),
        abandoned,
        patience: Duration::from_millis(PATIENCE_MS[0] + rng.below(PATIENCE_MS[1] - PATIENCE_MS[0])),
        is_repeated: rng.one_in(2),
        side_fault,
    };
    // Drawn last, so that seeds draw the same rounds otherwise as before there were ways to go on.
    for (_, abandonment) in &mut round.abandoned {
        *abandonment = Abandonment::ALL[rng.index(Abandonment::ALL.len())];
    }
    round
}
