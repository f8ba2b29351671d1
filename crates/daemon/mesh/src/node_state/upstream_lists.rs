//! The upstreams of each service, gathered from records. Knows nothing of balancers.
use super::in_force::InForce;
use crate::peers::{RecordBody, UpstreamRecord};
use crate::service_balancer;
use silvercross_facade::{Health, Host};
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// When an upstream began to warm up, as it was first told here.
#[derive(Default)]
pub(super) struct WarmUp {
    /// Its count of warm-ups then.
    warm_ups: u32,
    /// In milliseconds on this process's clock; 0: it was warm when it was first told of.
    began_ms: u64,
    /// The incarnation of the sidecar that told so.
    sidecar_incarnation: u64,
}

/// The warm-ups of all upstreams that are listed, by the upstream's id.
pub(super) type WarmUps = BTreeMap<String, WarmUp>;

/// Where an upstream is, and who says so.
pub(super) struct UpstreamPlace<'r> {
    /// The address of its node.
    pub(super) ip: Ipv4Addr,
    /// Its zone.
    pub(super) zone: &'r str,
    /// The incarnation of the sidecar beside it.
    pub(super) sidecar_incarnation: u64,
}

/// The upstreams by service, while they are gathered.
pub(super) struct UpstreamLists<'p> {
    now: Instant,
    in_force: &'p InForce,
    warm_ups: &'p mut WarmUps,
    /// All upstreams that are there.
    pub(super) hosts: BTreeMap<String, Vec<Host>>,
    /// Those whose sidecar has begun another incarnation: what was known of them is void.
    pub(super) renewed: BTreeMap<String, Vec<Host>>,
}

impl<'p> UpstreamLists<'p> {
    /// None are known yet.
    pub(super) fn new(now: Instant, in_force: &'p InForce, warm_ups: &'p mut WarmUps) -> Self {
        UpstreamLists { now, in_force, warm_ups, hosts: BTreeMap::new(), renewed: BTreeMap::new() }
    }

    /// Add an upstream, unless it is silent.
    pub(super) fn add(&mut self, place: UpstreamPlace, body: &RecordBody, upstream: &UpstreamRecord) {
        if upstream.silent {
            return;
        }
        let address = SocketAddr::new(IpAddr::V4(place.ip), body.inbound_port);
        let is_evacuated = self.in_force.evacuated_zones.contains(place.zone);
        let is_closed = upstream.draining || body.stopping || is_evacuated;
        let health = if is_closed { Health::Draining } else { Health::Ready };
        let incarnation = place.sidecar_incarnation;
        let known = self.warm_ups.get(&upstream.id);
        let is_renewed = known.is_some_and(|known| known.sidecar_incarnation != incarnation);
        let began_ms = self.warm_up_began_ms(incarnation, upstream);
        let host = service_balancer::upstream_host(
            &upstream.id,
            address,
            place.zone,
            health,
            upstream.slots,
            began_ms,
        );
        if is_renewed {
            let gone = Host { health: Health::Gone, ..host.clone() };
            self.renewed.entry(upstream.service.clone()).or_default().push(gone);
        }
        self.hosts.entry(upstream.service.clone()).or_default().push(host);
    }

    /// Since when it has been warming up, in milliseconds; 0: it is warm.
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

    /// By how much of it is left, and how long the configuration says that it takes.
    fn estimated_warm_up_began_ms(&self, upstream: &UpstreamRecord) -> u64 {
        if upstream.warm_up_left <= Duration::ZERO {
            return 0;
        }
        let destination = self.in_force.table.destination(&upstream.service);
        let takes = destination.map_or(Duration::ZERO, |destination| destination.slow_start);
        let began = self.now - (takes - upstream.warm_up_left).max(Duration::ZERO);
        (began.as_micros() / 1000) as u64
    }

    /// Forget the warm-ups of upstreams that are not listed any more.
    pub(super) fn forget_unlisted(&mut self) {
        let listed: BTreeSet<&String> = self.hosts.values().flatten().map(|host| &host.name).collect();
        self.warm_ups.retain(|id, _| listed.contains(id));
    }
}
