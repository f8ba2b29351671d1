//! What a node publishes of itself to all others.
//!
//! Goes between nodes in bitcode: the order and types of the fields are the wire format.
use bitcode::{Decode, Encode};
use silvercross_time::Duration;

/// What a node publishes of itself.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) struct RecordBody {
    /// Port at which it takes requests for its upstream; 0: none.
    pub(crate) inbound_port: u16,
    /// Port at which it takes control calls; 0: none.
    pub(crate) control_port: u16,
    /// It stops: nothing more is to be sent there.
    pub(crate) stopping: bool,
    /// Of a control node: the addresses of the replicas of the control store, as far as it knows them for certain.
    pub(crate) replica_set: Vec<u32>,
    /// The upstream beside it.
    pub(crate) upstream: Option<UpstreamRecord>,
}

/// An upstream, as the sidecar beside it knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct UpstreamRecord {
    /// Its incarnation's id.
    pub(crate) id: String,
    /// Its service.
    pub(crate) service: String,
    /// How many requests it works on at a time.
    pub(crate) slots: u32,
    /// It is to get no more requests.
    pub(crate) draining: bool,
    /// Its heartbeats have stopped, or it refuses connections.
    pub(crate) silent: bool,
    /// Counts the times it began to warm up.
    pub(crate) warm_ups: u32,
    /// How much of its latest warm-up was left when this was published.
    pub(crate) warm_up_left: Duration,
}
