//! Departures of upstreams: what this node remembers of them, and what it learns from others. The table is in
//! `tombstones`, its dissemination in [`crate::peers`].
use super::state::NodeState;
use super::tombstones::{
    Departure, KnownDeparture, SidecarVersion, Tombstone, TombstoneTable, TOMBSTONE_RETENTION,
};
use crate::peers::{RecordBody, CONFIRMATION_TIMEOUT};
use silvercross_mesh_membership::{Node, NodeRecord};
use silvercross_time::Duration;
use slog::{info, warn};
use std::rc::Rc;
use tokio::time::timeout;

fn version_of(record: &NodeRecord<RecordBody>) -> SidecarVersion {
    SidecarVersion { incarnation: record.incarnation, sequence: record.sequence }
}

impl NodeState {
    /// Calls `read` with the tombstones.
    pub(crate) fn tombstones<R>(&self, read: impl FnOnce(&TombstoneTable) -> R) -> R {
        read(&self.tombstones.borrow())
    }

    /// How far an upstream has left, if that is remembered.
    pub(super) fn departure(&self, id: &str) -> Option<Departure> {
        self.tombstones.borrow().departure(self.now(), id)
    }

    /// Remembers that an upstream on this machine leaves.
    pub(super) fn remember_departure(&self, id: &str, departure: Departure) -> Tombstone {
        let own_node = Node(self.settings.ip.to_bits());
        let own_version = self.peers.membership(|membership| membership.record(own_node).map(version_of));
        let version = own_version.unwrap_or(SidecarVersion { incarnation: 0, sequence: 0 });
        let tombstone = Tombstone { id: id.to_string(), sidecar: own_node, version, departure };
        self.tombstones.borrow_mut().insert(self.now(), tombstone.clone(), TOMBSTONE_RETENTION);
        tombstone
    }

    /// Remembers that an upstream drains that is not the one on this machine.
    pub(crate) fn upstream_drains(self: &Rc<Self>, id: &str) {
        self.remember_departure(id, Departure::Draining);
        self.update_upstream_lists();
    }

    /// Learns a tombstone from another node. Returns whether it is new here.
    pub(crate) fn learn_tombstone(self: &Rc<Self>, tombstone: &Tombstone, remaining: Duration) -> bool {
        let is_own = tombstone.sidecar == Node(self.settings.ip.to_bits());
        let incarnation = self.peers.membership(|membership| membership.incarnation());
        if is_own && tombstone.version.incarnation == incarnation {
            // What this process has sent itself. It may know more by now.
            return false;
        }
        if !self.tombstones.borrow_mut().insert(self.now(), tombstone.clone(), remaining) {
            return false;
        }
        info!(self.log, "tombstone of an upstream"; "id" => &tombstone.id, "how" => ?tombstone.departure);
        self.drop_departed_upstream(&tombstone.id);
        self.update_upstream_lists();
        true
    }

    /// Drops the upstream on this machine: an earlier process here, or another node, has acknowledged its departure.
    fn drop_departed_upstream(self: &Rc<Self>, id: &str) {
        if !self.is_local_upstream(id) {
            return;
        }
        warn!(self.log, "upstream dropped: its departure was acknowledged elsewhere"; "id" => id);
        self.remove_local_upstream(id);
    }

    /// Remembers what the record of another node, and the record that it replaces, say about departures.
    pub(super) fn note_departures(
        &self,
        previous: Option<&NodeRecord<RecordBody>>,
        record: &NodeRecord<RecordBody>,
    ) {
        let replaced = previous.filter(|previous| previous.incarnation != record.incarnation);
        for record in replaced.into_iter().chain([record]) {
            let Some(upstream) = &record.body.upstream else { continue };
            let (version, now) = (version_of(record), self.now());
            let mut table = self.tombstones.borrow_mut();
            if upstream.draining {
                let (id, sidecar) = (upstream.id.clone(), record.node);
                let tombstone = Tombstone { id, sidecar, version, departure: Departure::Draining };
                table.insert(now, tombstone, TOMBSTONE_RETENTION);
            } else {
                table.remove_resumed(&upstream.id, version);
            }
        }
    }

    /// Whether the upstream of another node's record has left although the record lists it as ready.
    pub(super) fn has_departed(&self, record: &NodeRecord<RecordBody>, id: &str) -> bool {
        self.tombstones.borrow().contradicts(self.now(), id, version_of(record))
    }

    /// The departures that are not known to be durable.
    pub(crate) fn departures_not_durable(&self) -> Vec<KnownDeparture> {
        self.tombstones.borrow().not_durable(self.now())
    }

    /// These departures are durable.
    pub(crate) fn set_departures_durable(&self, departures: &[KnownDeparture]) {
        self.tombstones.borrow_mut().set_durable(departures);
    }

    /// Replicates the departure of an upstream, so that it is not forgotten if this process or all processes end.
    /// Returns whether it may be acknowledged.
    pub(crate) async fn replicate_departure(self: &Rc<Self>, id: &str) -> bool {
        let Some(departure) = self.departure(id) else { return false };
        let tombstone = self.remember_departure(id, departure);
        let is_alone = self.other_nodes.borrow().is_empty() && self.seeds.borrow().is_empty();
        let in_memory = async { is_alone || self.peers.replicate_tombstone(self, &tombstone).await };
        let (is_in_memory, is_durable) = tokio::join!(in_memory, self.departures_become_durable());
        if is_in_memory && is_durable {
            return true;
        }
        self.counters.unconfirmed_departures.set(self.counters.unconfirmed_departures.get() + 1);
        warn!(self.log, "departure not acknowledged: no other node has confirmed it, or no majority of the control nodes has it on disk";
            "id" => id, "in_memory" => is_in_memory, "durable" => is_durable);
        false
    }

    /// Whether all departures that are known now become durable in time. The nodes go on to make them so in any case.
    async fn departures_become_durable(self: &Rc<Self>) -> bool {
        if !self.peers.has_durable_storage() {
            return true;
        }
        let node_state = self.clone();
        let done = tokio::task::spawn_local(async move {
            node_state.peers.make_departures_durable(&node_state).await;
        });
        timeout(CONFIRMATION_TIMEOUT, done).await.is_ok()
    }
}
