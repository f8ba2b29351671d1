//! Puts control entries in force: the configuration, evacuations, members, and the progress of their
//! throttling.
use super::in_force::ZoneOrder;
use super::state::NodeState;
use super::unrouted_requests::UnroutedCounts;
use crate::control_value::{evacuated_zone, ControlValue, CONFIGURATION_KEY};
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Revision;
use slog::info;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

impl NodeState {
    /// Returns the routing table in force.
    pub(crate) fn routing_table(&self) -> Rc<RoutingTable> {
        self.in_force.borrow().table.clone()
    }

    /// Whether a configuration has been received.
    pub(crate) fn configured(&self) -> bool {
        self.in_force.borrow().is_configured
    }

    /// Returns the evacuated zones.
    pub(crate) fn evacuated_zones(&self) -> Vec<String> {
        let in_force = self.in_force.borrow();
        let evacuated = in_force.zone_orders.iter().filter(|(_, order)| order.is_evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the order in force for each zone that ever had one.
    pub(crate) fn zone_orders(&self) -> BTreeMap<String, ZoneOrder> {
        self.in_force.borrow().zone_orders.clone()
    }

    /// Returns the revisions in force, by key.
    pub(crate) fn revisions(&self) -> BTreeMap<String, Revision> {
        self.in_force.borrow().revisions.clone()
    }

    /// Puts a control entry in force. Entries that are not newer than the one in force are ignored: the
    /// revisions of a node never go back.
    pub(crate) fn apply_control_entry(self: &Rc<Self>, key: &str, revision: Revision, value: ControlValue) {
        if !self.in_force.borrow_mut().advance_revision(key, revision) {
            return;
        }
        if let Some(event_stream) = self.event_stream.get() {
            event_stream.control_entry(key, revision, &value);
        }
        match value {
            ControlValue::Blank => {
                self.member_throttle.apply_lapse(self.now(), &self.log, key, revision, None)
            }
            ControlValue::Lapse(lapse) => {
                self.member_throttle.apply_lapse(self.now(), &self.log, key, revision, Some(lapse))
            }
            ControlValue::Configuration(configuration) if key == CONFIGURATION_KEY => {
                self.configure(&configuration, revision);
            }
            ControlValue::WithMembers(with_members) if key == CONFIGURATION_KEY => {
                self.member_throttle.set_members(self.now(), &self.log, &with_members.member_list);
                self.configure(&with_members.configuration, revision);
            }
            ControlValue::Evacuation(is_evacuated) => {
                if let Some(zone) = evacuated_zone(key) {
                    self.apply_zone_order(zone, ZoneOrder { is_evacuated, revision, since: self.now() });
                }
            }
            ControlValue::Configuration(_) | ControlValue::WithMembers(_) | ControlValue::Versioned(_) => {}
        }
    }

    fn apply_zone_order(self: &Rc<Self>, zone: &str, order: ZoneOrder) {
        let ZoneOrder { is_evacuated, revision, .. } = order;
        let known = self.in_force.borrow().zone_orders.get(zone).copied();
        if let Some(known) = known.filter(|known| known.is_evacuated == is_evacuated) {
            // The same order under another revision.
            let renewed = ZoneOrder { since: known.since, ..order };
            self.in_force.borrow_mut().zone_orders.insert(zone.to_string(), renewed);
            return;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        self.in_force.borrow_mut().zone_orders.insert(zone.to_string(), order);
        info!(self.log, "evacuation"; "zone" => zone, "on" => is_evacuated, "round" => revision.epoch,
            "owner" => Ipv4Addr::from_bits(revision.owner as u32).to_string(), "change" => revision.sequence,
            "parent" => self.parent_name(), "has_path" => self.peers.membership(|membership| membership.has_path()));
        if zone == self.settings.zone {
            let now = self.now();
            self.gate.with_admission(|admission| admission.set_evacuated(now, is_evacuated));
            if was_evacuated && !is_evacuated {
                self.expect_warm_up();
            }
        }
        self.update_upstream_lists();
    }

    /// Records a request that was answered 404 because no route was known. The log line has the revision of
    /// the configuration.
    pub(crate) fn note_unrouted(&self, host: &str, path: &str) {
        let now = self.now();
        self.unrouted_requests.borrow_mut().reject(now, host, path);
        if let Some(count) = self.unrouted_log.due(now) {
            let revision = self.in_force.borrow().revisions.get(CONFIGURATION_KEY).copied();
            let revision = revision.unwrap_or(Revision::new(0, 0, 0));
            info!(self.log, "no route"; "host" => host, "path" => path, "count" => count,
                "round" => revision.epoch, "change" => revision.sequence);
        }
    }

    /// Returns how many requests were answered 404, and how many of them had a route later.
    pub(crate) fn unrouted_counts(&self) -> UnroutedCounts {
        self.unrouted_requests.borrow().counts()
    }

    /// Logs how many requests were answered 404 before their route was known.
    fn report_late_routes(&self, revision: Revision) {
        let (now, table) = (self.now(), self.routing_table());
        let late = self.unrouted_requests.borrow_mut().table_changed(now, &table);
        if late > 0 {
            let longest = self.unrouted_counts().longest_wait;
            info!(self.log, "requests arrived before their routes were known"; "requests" => late,
                "longest_us" => longest.as_micros(), "round" => revision.epoch, "change" => revision.sequence);
        }
    }

    /// The address of the node that updates come from, for the log.
    fn parent_name(&self) -> String {
        self.peers.parent_ip().map_or_else(|| "none".to_string(), |ip| ip.to_string())
    }

    /// Records a request that the gate here refused because the zone is evacuated: its sender did not know that
    /// in time.
    pub(crate) fn note_refused_by_evacuation(&self, service: &str) {
        if let Some(count) = self.evacuation_refusals_log.due(self.now()) {
            let order = self.in_force.borrow().zone_orders.get(&self.settings.zone).copied();
            let revision = order.map_or(Revision::new(0, 0, 0), |order| order.revision);
            info!(self.log, "refused: the zone is evacuated"; "service" => service, "round" => revision.epoch,
                "change" => revision.sequence, "count" => count);
        }
    }

    fn configure(self: &Rc<Self>, configuration: &Configuration, revision: Revision) {
        self.in_force.borrow_mut().configure(configuration);
        self.report_late_routes(revision);
        let idle_timeout = self.routing_table().limits().idle_timeout;
        self.idle_timeout.borrow_mut().set_limit(self.now(), idle_timeout);
        info!(self.log, "configuration in force"; "round" => revision.epoch, "change" => revision.sequence,
            "parent" => self.parent_name());
        self.update_upstream_limits();
        self.reconfigure_balancers();
        self.routing_changed.notify_waiters();
        self.process_early_heartbeat();
        self.check_upstream_health();
    }
}
