//! The gate's state: the admission controller, and the requests that await its decision.
//!
//! Independent of sockets and of the rest of the process.
use super::limits::MAX_CONCURRENT_UPLOADS;
use super::responses::gate_status;
use crate::forwarding_headers::GateStatus;
use silvercross_admission::{AdmissionController, Effect};
use silvercross_time::Instant;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::{oneshot, Notify, Semaphore};

/// The decision on a pending request: it may be sent, or the status for its origin.
pub(super) type AdmissionReply = Result<(), GateStatus>;

/// The gate's state.
pub(crate) struct UpstreamGate {
    admission: RefCell<AdmissionController>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<AdmissionReply>>>,
    next_number: Cell<u64>,
    /// Notified when the controller's next deadline may have changed.
    pub(super) deadline_changed: Notify,
    /// Each notification closes one idle connection of another sidecar, the one that has been idle longest.
    pub(super) evict_idle: Notify,
    /// Connections that have been chosen for eviction and are still open.
    pub(super) evictions_pending: Cell<u64>,
    /// Permits for receiving bodies that await `100 Continue`.
    pub(super) upload_slots: Arc<Semaphore>,
}

impl UpstreamGate {
    /// Creates a gate without pending requests.
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

    /// Calls the admission controller, then passes its decisions on to the pending requests.
    pub(crate) fn with_admission<R>(&self, operation: impl FnOnce(&mut AdmissionController) -> R) -> R {
        let (result, effects) = {
            let mut admission = self.admission.borrow_mut();
            (operation(&mut admission), admission.take_effects())
        };
        for effect in effects {
            let (number, reply) = match effect {
                Effect::Admitted(number) => (number, Ok(())),
                Effect::Rejected { number, reason, retry_after } => {
                    (number, Err(gate_status(reason, retry_after)))
                }
            };
            if let Some(reply_sender) = self.pending.borrow_mut().remove(&number) {
                let _ = reply_sender.send(reply);
            }
        }
        self.deadline_changed.notify_one();
        result
    }

    /// Returns when the controller has to be called next.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.admission.borrow().next_deadline()
    }

    /// Returns a number that no other request at this gate has.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Registers a request. This is done before the controller is called, since the decision may come within that
    /// call.
    pub(super) fn add_pending(&self, number: u64) -> oneshot::Receiver<AdmissionReply> {
        let (reply_sender, reply) = oneshot::channel();
        self.pending.borrow_mut().insert(number, reply_sender);
        reply
    }

    /// Removes a request that has been decided or abandoned.
    pub(super) fn remove_pending(&self, number: u64) {
        self.pending.borrow_mut().remove(&number);
    }
}
