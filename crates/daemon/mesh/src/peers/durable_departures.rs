//! Makes departures of upstreams durable: on the disks of more than half of the replicas of the control store.
//!
//! A sidecar asks its parent, a relay asks its own parent before it answers, and a control node has its own disk synced and
//! asks the other control nodes for theirs. The request is one for the asking node's record, with a key that no entry has:
//! builds that know no durable departures answer it at once. How it is answered is in `confirmation_replies`.
use super::confirmations::ConfirmationCount;
use super::departure_log;
use super::record::RecordBody;
use super::state::{store_node, Peers};
use crate::disk::{DiskRequest, StoredDeparture};
use crate::node_state::{NodeState, TOMBSTONE_RETENTION};
use silvercross_mesh_membership::{Membership, Node};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration as Span;
use tokio::time::sleep;

/// The key in a request for this node's record that is to be answered once all that came before is durable. Part of the
/// protocol between nodes.
pub(super) const DURABLE_KEY: &str = "departures";
/// Interval at which new links, and the sync of the disk, are looked for.
const CHECK_INTERVAL: Span = Span::from_millis(20);

impl Peers {
    /// Asks a neighbour to confirm that all that was sent before is durable. Returns whether it was asked.
    fn request_durable(&self, node_state: &Rc<NodeState>, to: Node, count: &Rc<ConfirmationCount>) -> bool {
        self.request_record(node_state, to, vec![DURABLE_KEY.to_string()], count)
    }

    pub(super) fn is_control_node(&self, node: Node) -> bool {
        self.membership(|membership| membership.record(node).is_some_and(|record| record.is_control))
    }

    /// The control nodes, or the parent, that are asked whether departures are durable.
    fn durability_targets(&self) -> Vec<Node> {
        if self.control_store.is_none() {
            return self.membership(|membership| membership.parent()).into_iter().collect();
        }
        let linked = self.linked_nodes();
        linked.into_iter().filter(|node| self.is_control_node(*node)).collect()
    }

    /// Whether departures are durable that these nodes, and the disk of this one, have.
    fn is_durable_with(&self, confirmed: &BTreeSet<Node>) -> bool {
        let Some(store) = &self.control_store else {
            let parent = self.membership(|membership| membership.parent());
            return parent.is_some_and(|parent| confirmed.contains(&parent));
        };
        let has = |node: &&silvercross_control_store::Node| {
            **node == store_node(self.own_node) || confirmed.contains(&Node(node.0))
        };
        let groups = store.borrow().replica_set().quorum_groups();
        let has_majority =
            |group: &Vec<silvercross_control_store::Node>| 2 * group.iter().filter(has).count() > group.len();
        groups.iter().all(|group| !group.is_empty() && has_majority(group))
    }

    /// Whether there are disks, of this node or of control nodes that it knows, on which departures are made durable.
    pub(crate) fn has_durable_storage(&self) -> bool {
        let knows_control_nodes = |records: &Membership<RecordBody>| {
            records.records().any(|record| record.is_control && !record.gone)
        };
        self.control_store.is_some() || self.membership(knows_control_nodes)
    }

    /// Waits until all departures that are known now are durable, or have expired.
    pub(crate) async fn make_departures_durable(&self, node_state: &Rc<NodeState>) {
        let table_changes = node_state.tombstones(|table| table.changes());
        let mut open = node_state.departures_not_durable();
        let count = Rc::new(ConfirmationCount::default());
        // The links on which neighbours were asked: a request is lost with its link.
        let mut asked = BTreeMap::new();
        while !open.is_empty() {
            self.write_departures(node_state, false);
            for to in self.durability_targets() {
                let Some(link) = self.newest_link(to) else { continue };
                if asked.get(&to) != Some(&link) && self.request_durable(node_state, to, &count) {
                    asked.insert(to, link);
                }
            }
            if self.are_departures_synced(table_changes) && self.is_durable_with(&count.confirmed_nodes()) {
                return node_state.set_departures_durable(&open);
            }
            tokio::select! {
                _ = count.changed() => {}
                _ = self.departures_were_synced.notified() => {}
                _ = sleep(CHECK_INTERVAL) => {}
            }
            let still_open = node_state.departures_not_durable();
            open.retain(|departure| still_open.contains(departure));
        }
    }

    /// Waits until all departures that are known now are on the disk of this node.
    pub(super) async fn sync_departures(&self, node_state: &Rc<NodeState>) {
        let table_changes = node_state.tombstones(|table| table.changes());
        self.write_departures(node_state, false);
        while !self.are_departures_synced(table_changes) {
            tokio::select! {
                _ = self.departures_were_synced.notified() => {}
                _ = sleep(CHECK_INTERVAL) => {}
            }
            self.write_departures(node_state, false);
        }
    }

    /// Writes departures that are not on disk yet, and deletes those that were taken back, or with `deletes_expired` have
    /// expired. Does nothing on a node without a disk, or while a write is in flight.
    pub(crate) fn write_departures(&self, node_state: &NodeState, deletes_expired: bool) {
        let Some(writes) = &self.disk_writes else { return };
        let mut log = self.departure_log.borrow_mut();
        let write = node_state.tombstones(|table| {
            let tombstones = table.remaining(node_state.now()).map(|(tombstone, _)| tombstone);
            let is_due = log.is_write_due(table.changes(), deletes_expired);
            is_due.then(|| log.next_write(table.changes(), tombstones)).flatten()
        });
        if let Some(write) = write {
            // Sending fails only if the disk thread has ended, and then the process ends.
            let _ = writes.send(DiskRequest::Departures(write));
        }
    }

    /// Whether these changes of the table of tombstones are on the disk of this node; a node without one needs none.
    fn are_departures_synced(&self, table_changes: u64) -> bool {
        self.disk_writes.is_none() || self.departure_log.borrow().is_synced(table_changes)
    }

    /// A write of departures is synced.
    pub(super) fn departures_synced(&self, number: u64) {
        self.departure_log.borrow_mut().write_synced(number);
        self.departures_were_synced.notify_waiters();
    }

    /// The number of departures on the disk of this node.
    pub(crate) fn departures_on_disk(&self) -> usize {
        self.departure_log.borrow().len()
    }

    /// Remembers the departures that were found on disk.
    pub(crate) fn restore_departures(&self, node_state: &Rc<NodeState>, found: Vec<StoredDeparture>) {
        *self.departure_log.borrow_mut() = departure_log::DepartureLog::new(&found);
        for stored in found {
            node_state.learn_tombstone(&departure_log::tombstone(stored), TOMBSTONE_RETENTION);
        }
    }
}
