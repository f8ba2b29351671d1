//! Collects the upstreams of each service from records. Independent of balancers.
use super::in_force::InForce;
use crate::peers::{RecordBody, UpstreamRecord};
use crate::service_balancer;
use silvercross_facade::{Health, Host};
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// When an upstream began to warm up, as first reported to this node.
#[derive(Default)]
pub(super) struct WarmUp {
    /// Its number of warm-ups at that time.
    warm_ups: u32,
    /// In milliseconds on this process's clock. 0: it was warm when first reported.
    began_ms: u64,
    /// The incarnation of the sidecar that reported it.
    sidecar_incarnation: u64,
}

/// The warm-ups of all listed upstreams, by upstream id.
pub(super) type WarmUps = BTreeMap<String, WarmUp>;

/// The location of an upstream and the incarnation of its sidecar.
pub(super) struct UpstreamPlace<'r> {
    /// The address of its node.
    pub(super) ip: Ipv4Addr,
    /// Its zone.
    pub(super) zone: &'r str,
    /// The incarnation of the sidecar on its machine.
    pub(super) sidecar_incarnation: u64,
    /// Whether its departure is remembered, whatever its sidecar reports.
    pub(super) has_departed: bool,
}

/// The upstreams by service, while they are being collected.
pub(super) struct UpstreamLists<'p> {
    now: Instant,
    in_force: &'p InForce,
    warm_ups: &'p mut WarmUps,
    /// All available and draining upstreams.
    pub(super) hosts: BTreeMap<String, Vec<Host>>,
    /// Upstreams whose sidecar has a new incarnation: earlier state about them is invalid.
    pub(super) restarted: BTreeMap<String, Vec<Host>>,
}

impl<'p> UpstreamLists<'p> {
    /// Creates empty lists.
    pub(super) fn new(now: Instant, in_force: &'p InForce, warm_ups: &'p mut WarmUps) -> Self {
        UpstreamLists { now, in_force, warm_ups, hosts: BTreeMap::new(), restarted: BTreeMap::new() }
    }

    /// Adds an upstream, unless it is silent.
    pub(super) fn add(&mut self, place: UpstreamPlace, body: &RecordBody, upstream: &UpstreamRecord) {
        if upstream.silent {
            return;
        }
        let address = SocketAddr::new(IpAddr::V4(place.ip), body.inbound_port);
        let is_evacuated = self.in_force.is_evacuated(place.zone);
        let is_closed = upstream.draining || body.stopping || is_evacuated || place.has_departed;
        let health = if is_closed { Health::Draining } else { Health::Ready };
        let incarnation = place.sidecar_incarnation;
        let known = self.warm_ups.get(&upstream.id);
        let sidecar_restarted = known.is_some_and(|known| known.sidecar_incarnation != incarnation);
        let began_ms = self.warm_up_began_ms(incarnation, upstream);
        let host = service_balancer::upstream_host(
            &upstream.id,
            address,
            place.zone,
            health,
            upstream.slots,
            began_ms,
        );
        if sidecar_restarted {
            let gone = Host { health: Health::Gone, ..host.clone() };
            self.restarted.entry(upstream.service.clone()).or_default().push(gone);
        }
        self.hosts.entry(upstream.service.clone()).or_default().push(host);
    }

    /// Returns when the upstream began to warm up, in milliseconds. 0: it is warm.
    fn warm_up_began_ms(&mut self, sidecar_incarnation: u64, upstream: &UpstreamRecord) -> u64 {
        let warm_ups = upstream.warm_ups;
        let known = self.warm_ups.get(&upstream.id);
        let began_ms = match known.filter(|known| known.warm_ups == warm_ups) {
            Some(known) if known.sidecar_incarnation == sidecar_incarnation => return known.began_ms,
            Some(known) => known.began_ms,
            None => self.estimated_warm_up_began_ms(upstream),
        };
        self.warm_ups.insert(upstream.id.clone(), WarmUp { warm_ups, began_ms, sidecar_incarnation });
        began_ms
    }

    /// Estimates the start of the warm-up from its remaining time and its configured duration.
    fn estimated_warm_up_began_ms(&self, upstream: &UpstreamRecord) -> u64 {
        if upstream.warm_up_left <= Duration::ZERO {
            return 0;
        }
        let destination = self.in_force.table.destination(&upstream.service);
        let warm_up_duration = destination.map_or(Duration::ZERO, |destination| destination.slow_start);
        let began_at = self.now - (warm_up_duration - upstream.warm_up_left).max(Duration::ZERO);
        (began_at.as_micros() / 1000) as u64
    }

    /// Removes the warm-ups of upstreams that are no longer listed.
    pub(super) fn forget_unlisted(&mut self) {
        let listed: BTreeSet<&String> = self.hosts.values().flatten().map(|host| &host.name).collect();
        self.warm_ups.retain(|id, _| listed.contains(id));
    }
}
