//! Tombstones on the wire: node records without ports in an ordinary update. Builds that know no tombstones
//! drop them, because they know a newer record of the node.
use super::record::{RecordBody, UpstreamRecord};
use crate::node_state::{Departure, SidecarVersion, Tombstone};
use silvercross_mesh_membership::{MembershipMessage, NodeRecord};
use silvercross_time::Duration;

/// The maximum number of tombstones in a message.
const MAX_MESSAGE_TOMBSTONES: usize = 1_024;

/// A tombstone and the remaining time for which it is kept.
pub(super) struct ReceivedTombstone {
    pub(super) tombstone: Tombstone,
    pub(super) remaining: Duration,
}

/// Whether a record stands for a tombstone: a live record that lists an upstream has a port for its requests.
fn is_tombstone(record: &NodeRecord<RecordBody>) -> bool {
    let RecordBody { inbound_port, control_port, upstream, .. } = &record.body;
    *inbound_port == 0 && *control_port == 0 && upstream.as_ref().is_some_and(|upstream| upstream.silent)
}

fn to_record(tombstone: &Tombstone, remaining: Duration) -> NodeRecord<RecordBody> {
    let upstream = UpstreamRecord {
        id: tombstone.id.clone(),
        service: String::new(),
        slots: 0,
        draining: tombstone.departure == Departure::Draining,
        silent: true,
        warm_ups: 0,
        warm_up_left: remaining,
    };
    NodeRecord {
        node: tombstone.sidecar,
        incarnation: tombstone.version.incarnation,
        sequence: tombstone.version.sequence,
        zone: String::new(),
        is_control: false,
        gone: false,
        body: RecordBody { upstream: Some(upstream), ..RecordBody::default() },
    }
}

fn from_record(record: NodeRecord<RecordBody>) -> Option<ReceivedTombstone> {
    let upstream = record.body.upstream?;
    let departure = if upstream.draining { Departure::Draining } else { Departure::Ended };
    let version = SidecarVersion { incarnation: record.incarnation, sequence: record.sequence };
    let tombstone = Tombstone { id: upstream.id, sidecar: record.node, version, departure };
    Some(ReceivedTombstone { tombstone, remaining: upstream.warm_up_left })
}

/// Returns messages that carry these tombstones.
pub(super) fn tombstone_messages<'t>(
    tombstones: impl Iterator<Item = (&'t Tombstone, Duration)>,
) -> Vec<MembershipMessage<RecordBody>> {
    let records: Vec<_> = tombstones.map(|(tombstone, remaining)| to_record(tombstone, remaining)).collect();
    let update = |records: &[NodeRecord<RecordBody>]| MembershipMessage::Update {
        records: records.to_vec(),
        entries: Vec::new(),
    };
    records.chunks(MAX_MESSAGE_TOMBSTONES).map(update).collect()
}

/// Takes the tombstones out of a message.
pub(super) fn take_tombstones(message: &mut MembershipMessage<RecordBody>) -> Vec<ReceivedTombstone> {
    let (MembershipMessage::Update { records, .. } | MembershipMessage::Snapshot { records, .. }) = message
    else {
        return Vec::new();
    };
    let tombstones: Vec<_> = records.extract_if(.., |record| is_tombstone(record)).collect();
    tombstones.into_iter().filter_map(from_record).collect()
}
