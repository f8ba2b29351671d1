//! Dissemination of tombstones: to the neighbours of a node that acknowledges a departure, onwards by nodes to
//! which they are new, and over each new link.
use super::confirmations::ConfirmationCount;
use super::frame::Frame;
use super::record::RecordBody;
use super::state::Peers;
use super::tombstone_record::{take_tombstones, tombstone_messages, ReceivedTombstone};
use crate::node_state::{NodeState, Tombstone, TOMBSTONE_RETENTION};
use silvercross_mesh_membership::{MembershipMessage, Node};
use silvercross_time::Duration;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration as Span;
use tokio::time::{sleep_until, Instant};

/// The number of neighbours that have to confirm a departure, if there are as many.
const REQUIRED_CONFIRMATIONS: usize = 2;
/// The maximum time until a departure is confirmed. Upstreams wait a second for the response.
pub(crate) const CONFIRMATION_TIMEOUT: Span = Span::from_millis(700);
/// Interval at which new links are looked for meanwhile.
const LINK_CHECK_INTERVAL: Span = Span::from_millis(50);

impl Peers {
    /// Passes a message on to membership, without the tombstones in it.
    pub(super) fn receive_membership(
        &self,
        node_state: &Rc<NodeState>,
        from: Node,
        mut message: MembershipMessage<RecordBody>,
    ) {
        let received = take_tombstones(&mut message);
        if !received.is_empty() {
            self.receive_tombstones(node_state, from, received);
        }
        if matches!(message, MembershipMessage::Hello { .. }) {
            // Before membership answers with a snapshot: a node that has a configuration has the tombstones.
            self.send_all_tombstones(node_state, from);
        }
        if let MembershipMessage::Update { records, .. } = &message {
            let own_records = records.iter().filter(|record| record.node == self.own_node);
            own_records.for_each(|record| self.confirmations.record_received(from, record.version()));
        }
        if let Some(message) = self.hold_confirmation(node_state, from, message) {
            self.membership.borrow_mut().receive(node_state.now(), from, message);
        }
    }

    fn receive_tombstones(&self, node_state: &Rc<NodeState>, from: Node, received: Vec<ReceivedTombstone>) {
        let mut news = Vec::new();
        for ReceivedTombstone { tombstone, remaining } in received {
            if node_state.learn_tombstone(&tombstone, remaining) {
                news.push((tombstone, remaining));
            }
        }
        for to in self.linked_nodes().into_iter().filter(|to| *to != from) {
            let news = news.iter().map(|(tombstone, remaining)| (tombstone, *remaining));
            self.send_tombstones(node_state, to, news);
        }
    }

    fn send_all_tombstones(&self, node_state: &Rc<NodeState>, to: Node) {
        let messages = node_state.tombstones(|table| tombstone_messages(table.remaining(node_state.now())));
        for message in messages {
            self.send(node_state, to, &Frame::Membership(message));
        }
    }

    fn send_tombstones<'t>(
        &self,
        node_state: &Rc<NodeState>,
        to: Node,
        tombstones: impl Iterator<Item = (&'t Tombstone, Duration)>,
    ) {
        for message in tombstone_messages(tombstones) {
            self.send(node_state, to, &Frame::Membership(message));
        }
    }

    pub(super) fn linked_nodes(&self) -> Vec<Node> {
        self.links.borrow().keys().copied().collect()
    }

    /// Sends a tombstone to all neighbours.
    pub(crate) fn send_tombstone(
        &self,
        node_state: &Rc<NodeState>,
        tombstone: &Tombstone,
        remaining: Duration,
    ) {
        for to in self.linked_nodes() {
            self.send_tombstones(node_state, to, std::iter::once((tombstone, remaining)));
        }
    }

    /// Sends a tombstone to the neighbours until enough of them have confirmed that they have it. Returns
    /// `false` if they have not in time.
    pub(crate) async fn replicate_tombstone(
        &self,
        node_state: &Rc<NodeState>,
        tombstone: &Tombstone,
    ) -> bool {
        let deadline = Instant::now() + CONFIRMATION_TIMEOUT;
        let count = Rc::new(ConfirmationCount::default());
        let mut asked = BTreeSet::new();
        loop {
            let linked = self.linked_nodes();
            for to in linked.iter().filter(|to| !asked.contains(*to)).copied().collect::<Vec<_>>() {
                self.send_tombstones(node_state, to, std::iter::once((tombstone, TOMBSTONE_RETENTION)));
                if self.request_record(node_state, to, Vec::new(), &count) {
                    asked.insert(to);
                }
            }
            asked.retain(|node| linked.contains(node));
            if count.confirmed() >= REQUIRED_CONFIRMATIONS.min(linked.len()).max(1) {
                return true;
            }
            let now = Instant::now();
            if now >= deadline {
                return false;
            }
            tokio::select! {
                _ = count.changed() => {}
                _ = sleep_until(deadline.min(now + LINK_CHECK_INTERVAL)) => {}
            }
        }
    }

    /// Asks a neighbour for this node's record, and for entries with these keys. Returns whether it was asked.
    pub(super) fn request_record(
        &self,
        node_state: &Rc<NodeState>,
        to: Node,
        keys: Vec<String>,
        count: &Rc<ConfirmationCount>,
    ) -> bool {
        let version =
            self.membership(|membership| membership.record(self.own_node).map(|record| record.version()));
        let is_registered = version.is_some_and(|version| self.confirmations.request(to, version, count));
        if is_registered {
            let fetch = MembershipMessage::Fetch { nodes: vec![self.own_node], keys };
            self.send(node_state, to, &Frame::Membership(fetch));
        }
        is_registered
    }
}
