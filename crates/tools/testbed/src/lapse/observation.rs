//! What is written down during a play: timed attempts, the steps that nodes give, orders with their attempts.
use crate::checker::Attempt;
use crate::client::RequestKind;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};
use tokio::time::Instant;

/// Whose request it is, and what for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// The member reads.
    MemberRead,
    /// Someone else reads.
    OtherRead,
    /// The member orders or uploads.
    MemberOrder,
}

/// One attempt, timed.
pub(crate) struct Sample {
    /// When it began, in seconds since the play did.
    pub(crate) at_s: f64,
    /// The number of the side where it began.
    pub(crate) side: usize,
    /// How long it took, in milliseconds.
    pub(crate) took_ms: f64,
    pub(crate) requester: Requester,
    pub(crate) is_served: bool,
    /// Whether its answer names a step above 0.
    pub(crate) is_slowed: bool,
}

/// A version of the member's item and a step of its lapse; steps of a newer version are above all of an older one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LapseStep {
    pub(crate) version: u64,
    pub(crate) step: u32,
}

/// A node's step at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepSample {
    /// Seconds since the play began.
    pub(crate) at_s: f64,
    /// The number of the machine.
    pub(crate) node: usize,
    pub(crate) step: LapseStep,
}

/// How an order ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderEnd {
    Served,
    /// Whether it ran is not known to the client: the answer was lost.
    Unknown,
    /// All attempts were promised not to have run.
    NotPlaced,
}

/// An order and its attempts.
pub(crate) struct Order {
    pub(crate) kind: RequestKind,
    pub(crate) attempt_ids: Vec<String>,
    pub(crate) end: OrderEnd,
}

/// All that was written down.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) samples: Vec<Sample>,
    pub(crate) steps: Vec<StepSample>,
    pub(crate) orders: Vec<Order>,
    pub(crate) attempts: Vec<Attempt>,
}

/// What the tasks of a play share.
pub(crate) struct Watch {
    start: Instant,
    pub(crate) stop: AtomicBool,
    /// Sides that the platform gives no work now.
    pub(crate) shut_sides: Vec<AtomicBool>,
    observations: Mutex<Observations>,
}

impl Watch {
    pub(crate) fn new(side_count: usize) -> Self {
        let shut_sides = (0..side_count).map(|_| AtomicBool::new(false)).collect();
        let (start, stop) = (Instant::now(), AtomicBool::new(false));
        Watch { start, stop, shut_sides, observations: Mutex::default() }
    }

    /// Seconds since the play began.
    pub(crate) fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Read or write what was observed.
    pub(crate) fn with<R>(&self, access: impl FnOnce(&mut Observations) -> R) -> R {
        access(&mut self.observations.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The highest version and step that any node has given.
    pub(crate) fn highest_step(&self) -> LapseStep {
        self.with(|seen| seen.steps.iter().map(|sample| sample.step).max()).unwrap_or_default()
    }
}
