//! Confirmations by neighbours that they have what was sent to them. A neighbour is asked for this node's
//! record; links keep the order, so its reply shows that it has received everything sent before the request.
use silvercross_mesh_membership::{Node, RecordVersion};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// The maximum number of unanswered requests to a neighbour.
const MAX_UNANSWERED: usize = 256;

/// The confirmations of one departure.
#[derive(Default)]
pub(super) struct ConfirmationCount {
    confirmed: RefCell<BTreeSet<Node>>,
    changed: Notify,
}

impl ConfirmationCount {
    /// The number of neighbours that have confirmed.
    pub(super) fn confirmed(&self) -> usize {
        self.confirmed.borrow().len()
    }

    /// The neighbours that have confirmed.
    pub(super) fn confirmed_nodes(&self) -> BTreeSet<Node> {
        self.confirmed.borrow().clone()
    }

    /// Waits for the next confirmation.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn add(&self, from: Node) {
        self.confirmed.borrow_mut().insert(from);
        self.changed.notify_one();
    }
}

/// A request to a neighbour for this node's record.
struct UnansweredRequest {
    /// The version of this node's record when it was sent.
    version: RecordVersion,
    count: Rc<ConfirmationCount>,
}

/// The unanswered requests by neighbour, in the order in which they were sent.
#[derive(Default)]
pub(super) struct Confirmations {
    unanswered: RefCell<BTreeMap<Node, VecDeque<UnansweredRequest>>>,
}

impl Confirmations {
    /// Registers a request that is sent now. Returns whether there was room for it.
    pub(super) fn request(&self, to: Node, version: RecordVersion, count: &Rc<ConfirmationCount>) -> bool {
        let mut unanswered = self.unanswered.borrow_mut();
        let requests = unanswered.entry(to).or_default();
        let has_room = requests.len() < MAX_UNANSWERED;
        if has_room {
            requests.push_back(UnansweredRequest { version, count: count.clone() });
        }
        has_room
    }

    /// A neighbour has sent this node's record in this version.
    pub(super) fn record_received(&self, from: Node, version: RecordVersion) {
        let mut unanswered = self.unanswered.borrow_mut();
        let Some(requests) = unanswered.get_mut(&from) else { return };
        if let Some(request) = requests.pop_front_if(|request| version >= request.version) {
            request.count.add(from);
        }
    }

    /// The connection to a neighbour has ended or been replaced: earlier requests are not answered.
    pub(super) fn connection_changed(&self, node: Node) {
        self.unanswered.borrow_mut().remove(&node);
    }
}
