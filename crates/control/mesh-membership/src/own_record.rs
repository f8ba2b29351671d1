//! This node's own record: changes to it, and refutation of what others claim about it (SWIM's incarnation
//! rule). Dissemination is in `updates`.
use crate::membership::Membership;
use crate::node::Node;
use crate::record::{NodeRecord, RecordVersion};
use silvercross_time::Instant;
use std::fmt::Debug;

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Publishes a new body for this node. Has no effect after [`leave`](Self::leave).
    pub fn update_body(&mut self, now: Instant, body: T) {
        self.note_time(now);
        let Some(own) = self.own_record() else { return };
        if own.gone || own.body == body {
            return;
        }
        let record = NodeRecord { sequence: own.sequence + 1, body, ..own.clone() };
        self.put(now, record);
    }

    /// Signs off and notifies the other nodes. Links stay up until the process ends.
    pub fn leave(&mut self, now: Instant) {
        self.note_time(now);
        let Some(own) = self.own_record() else { return };
        if !own.gone {
            let record = NodeRecord { sequence: own.sequence + 1, gone: true, ..own.clone() };
            self.put(now, record);
        }
    }

    /// Handles a record of this node received from others, and refutes it if this node didn't write it.
    pub(crate) fn receive_own_record(&mut self, now: Instant, record: NodeRecord<T>) {
        let Some(own) = self.own_record() else { return };
        if own.gone {
            return;
        }
        let written_elsewhere = record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && record.sequence > own.sequence)
            || (record.version() == own.version() && record.body != own.body);
        let declared_gone =
            record.gone && record.incarnation == own.incarnation && record.sequence == own.sequence;
        let refuted = if written_elsewhere {
            NodeRecord { incarnation: record.incarnation.saturating_add(1), sequence: 0, ..own.clone() }
        } else if declared_gone {
            NodeRecord { sequence: own.sequence + 1, ..own.clone() }
        } else {
            return;
        };
        self.metrics.records_refuted += 1;
        self.put(now, refuted);
    }

    /// Handles a version of this node's record known to others, which this node may not have written.
    pub(crate) fn receive_own_version(&mut self, now: Instant, version: RecordVersion) {
        if let Some(own) = self.own_record() {
            // Only the versions are compared: a record of the same version is assumed to be this node's
            // own.
            let record = NodeRecord {
                incarnation: version.incarnation,
                sequence: version.sequence,
                gone: version.gone,
                ..own.clone()
            };
            self.receive_own_record(now, record);
        }
    }

    /// Whether the node is known as a sidecar that is not gone.
    pub(crate) fn is_known_sidecar(&self, node: Node) -> bool {
        self.record(node).is_some_and(|record| !record.is_control && !record.gone)
    }
}
