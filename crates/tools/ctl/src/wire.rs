//! The nodes' JSON as this program reads it: the one place where names of the wire are translated.
//!
//! Each constant is a name of the wire and stays as nodes send it. A field that a node does not send reads as absent, so that
//! nodes of an older version can be looked at too.
use serde_json::Value;
use std::net::Ipv4Addr;

/// `GET`: what a node knows of itself and of the others ([`NodeState`]).
pub(crate) const STATE_PATH: &str = "/-/Post.State";
/// `GET`: a node's counters ([`NodeMetrics`]).
pub(crate) const METRICS_PATH: &str = "/-/Post.Figures";
/// `GET` or `POST`: the event feed.
pub(crate) const EVENTS_PATH: &str = "/-/Post.Events";
/// `GET`: all items in force.
pub(crate) const CONFIGURATION_GET_PATH: &str = "/-/Config.Get";
/// `POST`: items to set and to withdraw.
pub(crate) const CONFIGURATION_PATCH_PATH: &str = "/-/Config.Patch";
/// `POST`, followed by a zone: nothing more is sent to the zone's upstreams.
pub(crate) const EVACUATION_START_PATH: &str = "/-/Evacuate.Start/";
/// `POST`, followed by a zone: its upstreams are sent to again.
pub(crate) const EVACUATION_END_PATH: &str = "/-/Evacuate.End/";

/// The control entry that holds all items.
pub(crate) const CONFIGURATION_KEY: &str = "configuration";
/// The beginning of the key of a zone's evacuation.
pub(crate) const EVACUATION_KEY_PREFIX: &str = "evacuation/";

/// The elements of an array in a value; none where there is no array.
pub(crate) fn list<'v>(value: &'v Value, key: &str) -> impl Iterator<Item = &'v Value> {
    value[key].as_array().into_iter().flatten()
}

/// The text in a value; a dash where there is none.
pub(crate) fn text<'v>(value: &'v Value, key: &str) -> &'v str {
    value[key].as_str().unwrap_or("-")
}

fn is_true(value: &Value, key: &str) -> bool {
    value[key] == true
}

/// The revision of a control entry: epoch, its owner, change within the epoch. Ordered as the control nodes order them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Revision {
    /// The epoch; the wire's `round`.
    pub(crate) epoch: u64,
    /// The owner's address.
    pub(crate) owner: Ipv4Addr,
    /// The number of the change within the epoch.
    pub(crate) change: u64,
}

impl Revision {
    fn read(value: &Value) -> Option<Self> {
        let owner = text(value, "owner").parse().ok()?;
        Some(Revision { epoch: value["round"].as_u64()?, owner, change: value["change"].as_u64()? })
    }
}

/// What a node knows of itself and of the others, as [`STATE_PATH`] gives it.
#[derive(Clone, Debug)]
pub(crate) struct NodeState(Value);

impl NodeState {
    /// The state in an answer's body.
    pub(crate) fn new(body: Value) -> Self {
        NodeState(body)
    }

    /// The body as it came.
    pub(crate) fn json(&self) -> &Value {
        &self.0
    }

    /// The body, for tests that plant a fault.
    #[cfg(test)]
    pub(crate) fn json_mut(&mut self) -> &mut Value {
        &mut self.0
    }

    /// The node's name.
    pub(crate) fn name(&self) -> &str {
        text(&self.0, "node")
    }

    /// The node's address, as it knows it.
    pub(crate) fn address(&self) -> &str {
        text(&self.0, "ip")
    }

    /// Whether it is a control node; the wire's `core`.
    pub(crate) fn is_control(&self) -> bool {
        is_true(&self.0, "core")
    }

    /// Whether it has a configuration.
    pub(crate) fn is_configured(&self) -> bool {
        is_true(&self.0, "configured")
    }

    /// Whether it tells the platform that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        is_true(&self.0, "ready")
    }

    /// The node's zone.
    pub(crate) fn zone(&self) -> &str {
        text(&self.0, "zone")
    }

    /// The node that sends it updates; `None` on control nodes, and on a sidecar that is cut off.
    pub(crate) fn parent(&self) -> Option<&str> {
        self.0["parent"].as_str()
    }

    /// How long ago it was last known to be up to date, in microseconds; the wire's `newsAgeUs`.
    pub(crate) fn update_age_us(&self) -> Option<u64> {
        self.0["newsAgeUs"].as_u64()
    }

    /// The zones that are evacuated for it.
    pub(crate) fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        list(&self.0, "evacuated").filter_map(Value::as_str)
    }

    /// Its records of all nodes that it knows.
    pub(crate) fn records(&self) -> impl Iterator<Item = NodeRecord<'_>> {
        list(&self.0, "nodes").map(NodeRecord)
    }

    /// Its record of the node at this address.
    pub(crate) fn record_of(&self, address: &str) -> Option<NodeRecord<'_>> {
        self.records().find(|record| record.address() == address)
    }

    /// The keys of which it has a revision in force.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &str> {
        list(&self.0, "revisions").map(|revision| text(revision, "key"))
    }

    /// The revision of a key in force here.
    pub(crate) fn revision(&self, key: &str) -> Option<Revision> {
        Revision::read(list(&self.0, "revisions").find(|revision| revision["key"] == key)?)
    }

    /// Its replicas of control entries; `None` on a sidecar.
    pub(crate) fn control_state(&self) -> Option<ControlState<'_>> {
        let state = &self.0["ledger"];
        state.is_object().then_some(ControlState(state))
    }
}

/// What a node knows of one node. The node that it is about writes it; the highest `order` is the newest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeRecord<'v>(&'v Value);

impl<'v> NodeRecord<'v> {
    /// The record as it came.
    pub(crate) fn json(self) -> &'v Value {
        self.0
    }

    /// The node's address.
    pub(crate) fn address(self) -> &'v str {
        text(self.0, "node")
    }

    /// The node's control address.
    pub(crate) fn control_address(self) -> &'v str {
        text(self.0, "control")
    }

    /// The node's zone.
    pub(crate) fn zone(self) -> &'v str {
        text(self.0, "zone")
    }

    /// Whether it is a control node; the wire's `core`.
    pub(crate) fn is_control(self) -> bool {
        is_true(self.0, "core")
    }

    /// Whether it was found to be gone.
    pub(crate) fn is_gone(self) -> bool {
        is_true(self.0, "gone")
    }

    /// Whether it is stopping gracefully.
    pub(crate) fn is_leaving(self) -> bool {
        is_true(self.0, "leaving")
    }

    /// The identity of the upstream beside it.
    pub(crate) fn upstream_id(self) -> &'v str {
        text(self.0, "upstream")
    }

    /// Incarnation (the wire's `life`), sequence, whether it is gone: the highest is the newest.
    pub(crate) fn order(self) -> impl Ord {
        (self.0["life"].as_u64(), self.0["seq"].as_u64(), self.is_gone())
    }

    /// The upstream beside it, if there is one; the wire's `at`.
    pub(crate) fn upstream(self) -> Option<UpstreamRecord<'v>> {
        let upstream = &self.0["at"];
        upstream.is_object().then_some(UpstreamRecord(upstream))
    }
}

/// What a node's record says of the upstream beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamRecord<'v>(&'v Value);

impl<'v> UpstreamRecord<'v> {
    /// Its identity.
    pub(crate) fn id(self) -> &'v str {
        text(self.0, "id")
    }

    /// Its service.
    pub(crate) fn service(self) -> &'v str {
        text(self.0, "service")
    }

    /// The requests that it takes at a time, as they came.
    pub(crate) fn slots(self) -> &'v Value {
        &self.0["slots"]
    }

    /// Whether it drains.
    pub(crate) fn is_draining(self) -> bool {
        is_true(self.0, "draining")
    }

    /// Whether its heartbeats stopped or it refuses connections.
    pub(crate) fn is_silent(self) -> bool {
        is_true(self.0, "silent")
    }

    /// What has to be alike in every node's view of it.
    pub(crate) fn summary(self) -> String {
        format!("{} {} {}", self.id(), self.0["draining"], self.0["silent"])
    }
}

/// A control node's replicas; the wire's `ledger`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlState<'v>(&'v Value);

impl<'v> ControlState<'v> {
    /// Whether its replicas count towards a quorum.
    pub(crate) fn is_voter(self) -> bool {
        is_true(self.0, "voter")
    }

    /// The addresses of the replica set; the wire's `roster`.
    pub(crate) fn replica_set(self) -> impl Iterator<Item = &'v str> {
        list(self.0, "roster").filter_map(Value::as_str)
    }

    /// Its replica of each key.
    pub(crate) fn replicas(self) -> impl Iterator<Item = Replica<'v>> {
        list(self.0, "keys").map(Replica)
    }

    /// A part of it as it came, by the wire's name.
    pub(crate) fn json(self, key: &str) -> &'v Value {
        &self.0[key]
    }
}

/// One node's replica of a control entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replica<'v>(&'v Value);

impl<'v> Replica<'v> {
    /// The entry's key.
    pub(crate) fn key(self) -> &'v str {
        text(self.0, "key")
    }

    /// Whether the node owns the entry.
    pub(crate) fn is_owner(self) -> bool {
        self.0["role"] == "owner"
    }

    /// What the node is to the entry; the wire says `holder` of a node that only keeps a replica.
    pub(crate) fn role(self) -> &'v str {
        match text(self.0, "role") {
            "holder" => "replica",
            other => other,
        }
    }

    /// The owner that it knows.
    pub(crate) fn owner(self) -> &'v str {
        text(self.0, "owner")
    }

    /// The epoch that it has promised, and to whom.
    pub(crate) fn promised(self) -> String {
        let promised = &self.0["promised"];
        format!("{} {}", promised["round"], text(promised, "owner"))
    }

    /// The revision that it has accepted: epoch, owner, change.
    pub(crate) fn accepted(self) -> String {
        let accepted = &self.0["accepted"];
        format!("{} {} {}", accepted["round"], text(accepted, "owner"), accepted["change"])
    }

    /// The epoch that it has accepted, as it came.
    pub(crate) fn accepted_epoch(self) -> &'v Value {
        &self.0["accepted"]["round"]
    }

    /// The change that it has accepted, as it came.
    pub(crate) fn accepted_change(self) -> &'v Value {
        &self.0["accepted"]["change"]
    }
}

/// A counter or gauge among a node's metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Metric {
    /// Clients' requests read.
    Requests,
    /// Requests answered with a time to come back.
    Refused,
    /// Requests that failed.
    Failed,
    /// Requests rejected by the upstream's gate.
    GateRejected,
    /// Requests in flight at the upstream.
    GateInFlight,
    /// Requests queued at the upstream's gate.
    GateQueued,
    /// Clients' connections closed for want of descriptors.
    RejectedConnections,
    /// Connections of peers that are none.
    UnknownPeers,
}

impl Metric {
    /// Its name on the wire.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            Metric::Requests => "requests",
            Metric::Refused => "refused",
            Metric::Failed => "failed",
            Metric::GateRejected => "turned",
            Metric::GateInFlight => "gateOut",
            Metric::GateQueued => "gateWaiting",
            Metric::RejectedConnections => "shutOut",
            Metric::UnknownPeers => "strangers",
        }
    }
}

/// A node's counters and gauges, as [`METRICS_PATH`] gives them.
#[derive(Clone, Debug)]
pub(crate) struct NodeMetrics(Value);

impl NodeMetrics {
    /// The metrics in an answer's body.
    pub(crate) fn new(body: Value) -> Self {
        NodeMetrics(body)
    }

    /// The body, for tests that plant a fault.
    #[cfg(test)]
    pub(crate) fn json_mut(&mut self) -> &mut Value {
        &mut self.0
    }

    /// A metric as it came.
    pub(crate) fn json(&self, metric: Metric) -> &Value {
        &self.0[metric.wire_name()]
    }

    /// A counter; `None` where it is not among the metrics.
    pub(crate) fn count(&self, metric: Metric) -> Option<u64> {
        self.json(metric).as_u64()
    }

    /// A gauge; 0 where it is not among the metrics.
    pub(crate) fn gauge(&self, metric: Metric) -> f64 {
        self.json(metric).as_f64().unwrap_or(0.0)
    }

    /// What the node's balancer makes of each service; the wire's `desks`.
    pub(crate) fn balancers(&self) -> impl Iterator<Item = BalancerMetrics<'_>> {
        list(&self.0, "desks").map(BalancerMetrics)
    }
}

/// What a sidecar's balancer makes of a service's upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BalancerMetrics<'v>(&'v Value);

impl<'v> BalancerMetrics<'v> {
    /// The service.
    pub(crate) fn service(self) -> &'v str {
        text(self.0, "service")
    }

    /// The upstreams that it knows.
    pub(crate) fn listed(self) -> u64 {
        self.0["listed"].as_u64().unwrap_or(0)
    }

    /// Those among them that it avoids.
    pub(crate) fn avoided(self) -> u64 {
        self.0["avoided"].as_u64().unwrap_or(0)
    }
}
