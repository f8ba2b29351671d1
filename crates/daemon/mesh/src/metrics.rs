//! The metrics page: counters and gauges of this process. The JSON keys are a public interface (`docs/operators/mesh.md`) and
//! keep their names even where the code uses others.
use crate::node_state::{DepartedPeer, NodeState, TombstoneTable};
use crate::service_balancer::UpstreamCounts;
use serde_json::{json, Value};
use silvercross_admission::Rejection;

/// The counters and gauges by name, in the documented order.
pub(crate) fn metrics_report(node_state: &NodeState) -> Value {
    let counters = &node_state.counters;
    let load = node_state.gate.with_admission(|admission| admission.load());
    let replay_cache = node_state.response_replay_cache.load();
    let membership = node_state.peers.membership(|membership| membership.metrics());
    let unrouted = node_state.unrouted_counts();
    let mut report = json!({
        "clients": counters.client_connections.get(), "shutOut": counters.rejected_clients.get(),
        "hops": counters.hop_connections.get(), "hopsIdle": counters.idle_hop_connections.get(),
        "hopsShutOut": counters.rejected_hops.get(), "linksShutOut": counters.rejected_links.get(),
        "callsShutOut": counters.rejected_calls.get(), "requests": counters.requests.get(),
        "refused": counters.refused_requests.get(), "failed": counters.failed_requests.get(),
        "delivered": counters.delivered_requests.get(), "turned": counters.rejected_by_gate.get(),
        "beats": counters.heartbeats.get(), "calls": counters.control_calls.get(),
        "letters": counters.frames_sent.get(), "datagrams": counters.datagrams_sent.get(),
        "strangers": counters.foreign_messages.get(), "gateOut": load.in_flight, "gateWaiting": load.pending,
        "idle": node_state.pool.idle_count(), "asked": counters.outcome_queries.get(),
        "recovered": counters.recovered_requests.get(), "orphans": counters.orphaned_requests.get(),
        "receipts": replay_cache.entries, "keptBytes": replay_cache.response_bytes,
        "freshnessAsked": membership.freshness_requests, "noRoom": counters.rejected_for_memory.get(),
        "heldBytes": node_state.body_budget.reserved_bytes(), "desks": balancers(node_state),
        "noRoute": unrouted.rejected, "routeCameLate": unrouted.route_came_late,
        "routeLateUs": unrouted.longest_wait.as_micros(),
        "linkBacklogBytes": node_state.peers.link_backlog(),
        "linkBacklogPeakBytes": node_state.peers.link_backlog_peak(),
        "entriesSuperseded": membership.entries_superseded, "invariantViolations": node_state.violations_report(),
        "feed": node_state.event_stream.get().map(|event_stream| event_stream.metrics()),
    });
    report["departures"] = json!({
        "clients": departures(node_state, DepartedPeer::Client),
        "origins": departures(node_state, DepartedPeer::Origin),
    });
    report["upstreamDepartures"] = json!({
        "remembered": node_state.tombstones(TombstoneTable::len),
        "lateHeartbeats": counters.heartbeats_after_departure.get(),
        "unconfirmed": counters.unconfirmed_departures.get(),
        "onDisk": node_state.peers.departures_on_disk(),
    });
    let admission = node_state.gate.with_admission(|admission| admission.metrics());
    report["evacuation"] = json!({ "refusedAtGate": admission.rejected[Rejection::Evacuated as usize],
        "callsGivenUp": counters.abandoned_calls.get(), "ordersNotCarriedOut": counters.unsettled_orders.get(), "ordersAskedAgain": counters.orders_asked_again.get() });
    if let Some(members) = node_state.member_throttle.metrics() {
        report["members"] = members;
    }
    report
}

fn departures(node_state: &NodeState, peer: DepartedPeer) -> Value {
    let counts = node_state.departures.counts(peer);
    json!({ "left": counts.departures, "carriedOn": counts.carried_on, "outlived": counts.outlived, "longestUs": counts.longest.as_micros() })
}

fn balancers(node_state: &NodeState) -> Vec<Value> {
    let services = node_state.balanced_services();
    let rows = services.iter().map(|service| {
        let UpstreamCounts { listed, avoided } = service.balancer.upstream_counts();
        let open = service.balancer.open_requests();
        json!({ "service": service.name, "listed": listed, "avoided": avoided, "open": open })
    });
    rows.collect()
}
