//! Creates the balancer of each service with its first upstream, and updates its upstreams and settings.
use super::state::NodeState;
use super::upstream_lists::{UpstreamLists, UpstreamPlace};
use crate::service_balancer::{ServiceBalancer, ServiceSettings};
use rand_core::RngCore;
use silvercross_facade::Host;
use silvercross_mesh_config::RoutingTable;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

/// The fraction of the mesh-wide retry budget that sidecars divide among themselves. The rest is a reserve
/// for sidecars that this node does not know of.
const RETRY_BUDGET_FRACTION: f64 = 0.5;
/// The incarnation used for this process. It is constant, so the local upstream is never reset because of it.
const OWN_INCARNATION: u64 = 0;

/// A service and its balancer.
pub(crate) struct BalancedService {
    /// The name of the service.
    pub(crate) name: String,
    /// The balancer.
    pub(crate) balancer: Rc<ServiceBalancer>,
}

/// The known upstreams by service.
struct KnownUpstreams {
    hosts: BTreeMap<String, Vec<Host>>,
    /// Upstreams whose sidecar has a new incarnation, marked as gone.
    restarted: BTreeMap<String, Vec<Host>>,
}

impl NodeState {
    /// Returns the balancer of a service, if an upstream of it was ever known.
    pub(crate) fn service_balancer(&self, service: &str) -> Option<Rc<ServiceBalancer>> {
        self.service_balancers.borrow().get(service).cloned()
    }

    /// Returns all services that have a balancer.
    pub(crate) fn balanced_services(&self) -> Vec<BalancedService> {
        let balancers = self.service_balancers.borrow().clone();
        balancers.into_iter().map(|(name, balancer)| BalancedService { name, balancer }).collect()
    }

    /// Updates each balancer from the configuration, the limits and the number of sidecars in force.
    pub(super) fn reconfigure_balancers(self: &Rc<Self>) {
        let table = self.routing_table();
        for service in self.balanced_services() {
            service.balancer.reconfigure(&self.service_settings(&service.name, &table));
        }
        self.update_upstream_lists();
    }

    fn service_settings<'t>(&'t self, service: &'t str, table: &'t RoutingTable) -> ServiceSettings<'t> {
        let sidecars = self.sidecar_counts();
        let limits = self.reloadable.get().limits;
        ServiceSettings {
            service,
            routing_table: table,
            zones: &self.settings.zones,
            own_zone: &self.settings.zone,
            senders: sidecars.total,
            senders_in_zone: sidecars.in_zone,
            drain_timeout: limits.drain_timeout,
            retry_ratio: limits.retry_ratio * RETRY_BUDGET_FRACTION,
            max_saved_retries: limits.retry_allowance * RETRY_BUDGET_FRACTION / f64::from(sidecars.total),
        }
    }

    /// Updates the list of upstreams of each balancer.
    pub(super) fn update_upstream_lists(self: &Rc<Self>) {
        if self.settings.outbound_address.is_none() {
            return;
        }
        let KnownUpstreams { mut hosts, mut restarted } = self.known_upstreams();
        let table = self.routing_table();
        // A service without upstreams gets an empty list.
        for service in self.balanced_services() {
            hosts.entry(service.name).or_default();
        }
        for (service, hosts) in hosts {
            match self.service_balancer(&service) {
                Some(balancer) => {
                    if let Some(gone) = restarted.remove(&service) {
                        balancer.reset_upstreams(gone);
                    }
                    balancer.set_upstreams(hosts);
                }
                None => self.create_balancer(service, &hosts, &table),
            }
        }
        self.routing_changed.notify_waiters();
    }

    /// Returns the upstreams known from the records of other nodes and from local heartbeats.
    fn known_upstreams(&self) -> KnownUpstreams {
        let (other_nodes, in_force) = (self.other_nodes.borrow(), self.in_force.borrow());
        let mut warm_ups = self.warm_ups.borrow_mut();
        let mut lists = UpstreamLists::new(self.now(), &in_force, &mut warm_ups);
        for record in other_nodes.values() {
            let Some(upstream) = &record.body.upstream else { continue };
            let place = UpstreamPlace {
                ip: Ipv4Addr::from_bits(record.node.0),
                zone: &record.zone,
                sidecar_incarnation: record.incarnation,
                has_departed: self.has_departed(record, &upstream.id),
            };
            lists.add(place, &record.body, upstream);
        }
        if let Some(local) = &*self.local_upstream.borrow() {
            let body = self.record_body_with(Some(local.record.clone()));
            let (ip, zone) = (self.settings.ip, self.settings.zone.as_str());
            let sidecar_incarnation = OWN_INCARNATION;
            let place = UpstreamPlace { ip, zone, sidecar_incarnation, has_departed: false };
            lists.add(place, &body, &local.record);
        }
        lists.forget_unlisted();
        KnownUpstreams { hosts: lists.hosts, restarted: lists.restarted }
    }

    /// Creates the balancer of a service with its first upstreams.
    fn create_balancer(&self, service: String, hosts: &[Host], table: &RoutingTable) {
        let seed = self.rng.borrow_mut().next_u64();
        let settings = self.service_settings(&service, table);
        let balancer = ServiceBalancer::new(&settings, hosts, seed, self.clock.clone());
        if let Some(stop) = &*self.graceful_stop.borrow() {
            balancer.answer_by(stop.answer_by());
        }
        self.service_balancers.borrow_mut().insert(service, balancer);
    }
}
