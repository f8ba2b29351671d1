//! The record of a node, which it publishes to all others.
//!
//! It is encoded with bitcode: the order and types of the fields are the wire format.
use bitcode::{Decode, Encode};
use silvercross_time::Duration;

/// The body of a node record.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct RecordBody {
    /// Port for requests to its upstream. 0: none.
    pub(crate) inbound_port: u16,
    /// Port for control calls. 0: none.
    pub(crate) control_port: u16,
    /// Whether it is stopping. No more requests are sent to it.
    pub(crate) stopping: bool,
    /// On a control node, the addresses of the replicas of the control store, as far as it knows them for
    /// certain.
    pub(crate) replica_set: Vec<u32>,
    /// The upstream on its machine.
    pub(crate) upstream: Option<UpstreamRecord>,
}

/// An upstream, as described by the sidecar on its machine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct UpstreamRecord {
    /// The id of its incarnation.
    pub(crate) id: String,
    /// Its service.
    pub(crate) service: String,
    /// The number of requests that it processes concurrently.
    pub(crate) slots: u32,
    /// Whether it is draining and accepts no more requests.
    pub(crate) draining: bool,
    /// Whether its heartbeats have stopped or it refuses connections.
    pub(crate) silent: bool,
    /// The number of warm-ups of this incarnation that its sidecar has seen.
    pub(crate) warm_ups: u32,
    /// The remaining time of its latest warm-up when this was published.
    pub(crate) warm_up_left: Duration,
}
