//! The gate's state: the admission controller, and the requests that wait for its decision.
//!
//! Knows neither sockets nor the rest of the process.
use super::limits::MAX_CONCURRENT_UPLOADS;
use super::responses::gate_status;
use crate::forwarding_headers::GateStatus;
use silvercross_admission::{AdmissionController, Effect};
use silvercross_time::Instant;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::{oneshot, Notify, Semaphore};

/// What a pending request is told: that it may be sent, or the status for its origin.
pub(super) type AdmissionReply = Result<(), GateStatus>;

/// The gate's state.
pub(crate) struct UpstreamGate {
    admission: RefCell<AdmissionController>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<AdmissionReply>>>,
    next_number: Cell<u64>,
    /// The controller's next deadline may have changed.
    pub(super) deadline_changed: Notify,
    /// Has idle connections of other sidecars close, one for each call, the longest idle first.
    pub(super) evict_idle: Notify,
    /// Connections that were asked to close and are still there.
    pub(super) evictions_pending: Cell<u64>,
    /// Bodies that may be received at a time.
    pub(super) upload_slots: Arc<Semaphore>,
}

impl UpstreamGate {
    /// With nothing behind it yet.
    pub(crate) fn new(admission: AdmissionController) -> Self {
        UpstreamGate {
            admission: RefCell::new(admission),
            pending: RefCell::default(),
            next_number: Cell::new(0),
            deadline_changed: Notify::new(),
            evict_idle: Notify::new(),
            evictions_pending: Cell::new(0),
            upload_slots: Arc::new(Semaphore::new(MAX_CONCURRENT_UPLOADS)),
        }
    }

    /// Call the admission controller, then tell pending requests what it decided.
    pub(crate) fn with_admission<R>(&self, act: impl FnOnce(&mut AdmissionController) -> R) -> R {
        let (result, effects) = {
            let mut admission = self.admission.borrow_mut();
            (act(&mut admission), admission.take_effects())
        };
        for effect in effects {
            let (number, reply) = match effect {
                Effect::Admitted(number) => (number, Ok(())),
                Effect::Rejected { number, reason, retry_after } => {
                    (number, Err(gate_status(reason, retry_after)))
                }
            };
            if let Some(request) = self.pending.borrow_mut().remove(&number) {
                let _ = request.send(reply);
            }
        }
        self.deadline_changed.notify_one();
        result
    }

    /// When the controller has to be called again.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.admission.borrow().next_deadline()
    }

    /// A number that no other request at this gate has.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Register a request before the controller hears of it: its decision may come within the same call.
    pub(super) fn add_pending(&self, number: u64) -> oneshot::Receiver<AdmissionReply> {
        let (request, reply) = oneshot::channel();
        self.pending.borrow_mut().insert(number, request);
        reply
    }

    /// The request is decided, or has gone.
    pub(super) fn remove_pending(&self, number: u64) {
        self.pending.borrow_mut().remove(&number);
    }
}
