//! The gate: the one way to the upstream on this machine. What passes is `silvercross-admission`'s to say; here it is done on
//! sockets, and it is known for certain whether a byte was written.
mod delivery;
mod hops;
mod large;
mod replies;

pub use delivery::{request, serve};
pub use hops::listen;
#[cfg(test)]
pub(crate) use hops::CONNECTIONS;

use crate::forwarding_headers::GateStatus;
use crate::node_state::NodeState;
use silvercross_admission::{AdmissionController, Effect, Turned};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify, Semaphore};

/// Where there is no room for a body, the origin comes back after this at the earliest, in microseconds.
pub(crate) const NO_ROOM: i64 = 100_000;
/// So many bodies that were offered come at a time.
const LANE: usize = 2;
/// How much of its aim a request may wait here before it is told to try elsewhere.
const PATIENCE: i64 = 4;

/// The gate's state.
pub struct UpstreamGate {
    admission: RefCell<AdmissionController>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Result<(), GateStatus>>>>,
    next: Cell<u64>,
    changed: Notify,
    /// Tells idle hops' connections to make place, one for each call, the longest idle first.
    room: Notify,
    /// Those told so that are still there.
    leaving: Cell<u64>,
    /// Bodies that may cross the link at a time.
    lane: std::sync::Arc<Semaphore>,
}

fn word(why: Turned, retry_after: Option<i64>) -> GateStatus {
    match why {
        Turned::NoStation | Turned::Another => GateStatus::Absent,
        Turned::Draining | Turned::Evacuated => GateStatus::Shut,
        Turned::Cold | Turned::Full | Turned::Late => GateStatus::Full(retry_after.unwrap_or(0)),
        Turned::Twice => GateStatus::Begun,
    }
}

impl UpstreamGate {
    /// With nothing behind it yet.
    pub fn new(admission: AdmissionController) -> Self {
        UpstreamGate {
            admission: RefCell::new(admission),
            waiting: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            room: Notify::new(),
            leaving: Cell::new(0),
            lane: std::sync::Arc::new(Semaphore::new(LANE)),
        }
    }

    /// Tell the decider something, and those that waited what came of it.
    pub fn with_admission<R>(&self, act: impl FnOnce(&mut AdmissionController) -> R) -> R {
        let (out, effects) = {
            let mut admission = self.admission.borrow_mut();
            (act(&mut admission), admission.effects())
        };
        for effect in effects {
            let (number, said) = match effect {
                Effect::Go(number) => (number, Ok(())),
                Effect::Turn { number, why, retry_after } => (number, Err(word(why, retry_after))),
            };
            if let Some(to) = self.waiting.borrow_mut().remove(&number) {
                let _ = to.send(said);
            }
        }
        self.changed.notify_one();
        out
    }

    /// Let its time pass, for as long as the process lives.
    pub async fn run_timer(node_state: Rc<NodeState>) {
        loop {
            let wake = node_state.gate.admission.borrow().wake();
            let now = node_state.now().as_micros();
            let span = wake.map_or(5_000_000, |w| (w - now).clamp(0, 5_000_000));
            tokio::select! {
                _ = tokio::time::sleep(Duration::from_micros(span as u64)) => {
                    let now = node_state.now().as_micros();
                    node_state.gate.with_admission(|w| w.tick(now));
                }
                _ = node_state.gate.changed.notified() => {}
            }
        }
    }
}
