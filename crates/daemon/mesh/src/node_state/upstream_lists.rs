//! The upstreams of each service, listed for its balancer: from the records of the other sidecars and the upstream here.
use super::in_force::InForce;
use super::NodeState;
use crate::peers::{RecordBody, UpstreamRecord};
use crate::service_balancer::{self, ServiceBalancer, ServiceSettings};
use rand_core::RngCore;
use silvercross_facade::{Health, Host};
use silvercross_mesh_config::RoutingTable;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// The part of the mesh's further sends that sidecars may use together; the rest covers those whose number is not known.
const RETRY_PART: f64 = 0.5;

/// When an upstream went cold, as it was first told here.
pub(super) struct Cold {
    colds: u32,
    born_ms: u64,
    life: u64,
}

/// Upstreams by service, while they are gathered.
struct Lists<'p> {
    now: i64,
    force: &'p InForce,
    colds: &'p mut BTreeMap<String, Cold>,
    hosts: BTreeMap<String, Vec<Host>>,
    /// Those whose sidecar has begun another life: what was known of them is void.
    renewed: BTreeMap<String, Vec<Host>>,
}

impl Lists<'_> {
    fn add(&mut self, ip: Ipv4Addr, zone: &str, life: u64, body: &RecordBody, station: &UpstreamRecord) {
        if station.silent {
            return;
        }
        let gate = SocketAddr::new(IpAddr::V4(ip), body.inbound);
        let shut = station.draining || body.leaving || self.force.evacuated.contains(zone);
        let health = if shut { Health::Draining } else { Health::Ready };
        let renewed = self.colds.get(&station.id).is_some_and(|k| k.life != life);
        let born_ms = self.born(life, station);
        let host = service_balancer::upstream_host(&station.id, gate, zone, health, station.slots, born_ms);
        if renewed {
            let gone = Host { health: Health::Gone, ..host.clone() };
            self.renewed.entry(station.service.clone()).or_default().push(gone);
        }
        self.hosts.entry(station.service.clone()).or_default().push(host);
    }

    /// Since when it has been cold, in milliseconds; 0: it is not.
    fn born(&mut self, life: u64, station: &UpstreamRecord) -> u64 {
        let span = self.force.table.destination(&station.service).map_or(0, |d| d.slow_start);
        let known = self.colds.get(&station.id);
        if let Some(k) = known.filter(|k| k.colds == station.colds && k.life == life) {
            return k.born_ms;
        }
        let born = if station.cold > 0 { self.now - (span - station.cold).max(0) } else { 0 };
        let born_ms = match known {
            Some(k) if k.colds == station.colds => k.born_ms,
            _ => (born / 1000) as u64,
        };
        self.colds.insert(station.id.clone(), Cold { colds: station.colds, born_ms, life });
        born_ms
    }
}

impl NodeState {
    /// The desk of a service, if an upstream of it is known.
    pub fn service_balancer(&self, service: &str) -> Option<Rc<ServiceBalancer>> {
        self.service_balancers.borrow().get(service).cloned()
    }

    /// All desks.
    pub fn service_balancers(&self) -> Vec<(String, Rc<ServiceBalancer>)> {
        self.service_balancers.borrow().iter().map(|(n, d)| (n.clone(), d.clone())).collect()
    }

    /// Set each balancer to the configuration, the bounds and the number of sidecars in force.
    pub(super) fn reset_terms(self: &Rc<Self>) {
        let table = self.routing_table();
        for (service, service_balancer) in self.service_balancers() {
            service_balancer.reconfigure(&self.terms(&service, &table));
        }
        self.relist();
    }

    fn terms<'t>(&'t self, service: &'t str, table: &'t RoutingTable) -> ServiceSettings<'t> {
        let (senders, near) = self.sides();
        let b = self.reloadable.get().bounds;
        ServiceSettings {
            service,
            routing_table: table,
            zones: &self.settings.zones,
            own_zone: &self.settings.zone,
            senders,
            senders_in_zone: near,
            drain_timeout: Duration::from_micros(b.drain),
            retry_ratio: b.retry_ratio * RETRY_PART,
            max_saved_retries: b.retry_slack * RETRY_PART / f64::from(senders),
        }
    }

    /// Tell each desk which upstreams there are.
    pub(super) fn relist(self: &Rc<Self>) {
        if self.settings.outbound.is_none() {
            return;
        }
        let (mut lists, mut renewed) = self.known_upstreams();
        let table = self.routing_table();
        // A service whose last upstream has gone is told so.
        for (service, _) in self.service_balancers() {
            lists.entry(service).or_default();
        }
        for (service, hosts) in lists {
            match self.service_balancer(&service) {
                Some(service_balancer) => {
                    if let Some(gone) = renewed.remove(&service) {
                        service_balancer.reset_upstreams(gone);
                    }
                    service_balancer.set_upstreams(hosts);
                }
                None => self.open_desk(service, &hosts, &table),
            }
        }
        self.news.notify_waiters();
    }

    /// Those that are known, and of them those that began another life, by service.
    fn known_upstreams(&self) -> (BTreeMap<String, Vec<Host>>, BTreeMap<String, Vec<Host>>) {
        let (others, force) = (self.others.borrow(), self.force.borrow());
        let mut colds = self.colds.borrow_mut();
        let own = self.own.borrow();
        let (hosts, renewed) = (BTreeMap::new(), BTreeMap::new());
        let mut lists =
            Lists { now: self.now().as_micros(), force: &force, colds: &mut colds, hosts, renewed };
        for r in others.values() {
            if let Some(station) = &r.body.station {
                lists.add(Ipv4Addr::from_bits(r.node.0), &r.zone, r.incarnation, &r.body, station);
            }
        }
        if let Some(own) = own.as_ref() {
            let body = self.body_of(Some(own.station.clone()));
            lists.add(self.settings.ip, &self.settings.zone, 0, &body, &own.station);
        }
        let Lists { hosts, renewed, .. } = lists;
        let listed: BTreeSet<&String> = hosts.values().flatten().map(|h| &h.name).collect();
        colds.retain(|id, _| listed.contains(id));
        (hosts, renewed)
    }

    /// The first upstreams of a service have come.
    fn open_desk(&self, service: String, hosts: &[Host], table: &RoutingTable) {
        let seed = self.chance.borrow_mut().next_u64();
        let service_balancer =
            ServiceBalancer::new(&self.terms(&service, table), hosts, seed, self.clock.clone());
        if let Some(graceful_stop) = &*self.graceful_stop.borrow() {
            service_balancer.answer_by(Instant::from_micros(graceful_stop.answer_by()));
        }
        self.service_balancers.borrow_mut().insert(service, service_balancer);
    }
}
