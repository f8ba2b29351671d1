//! Puts control entries in force: the configuration, evacuations, members, and the progress of their
//! throttling.
use super::state::NodeState;
use super::unrouted_requests::UnroutedCounts;
use crate::control_value::{evacuated_zone, ControlValue, CONFIGURATION_KEY};
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Revision;
use slog::info;
use std::collections::BTreeMap;
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
        self.in_force.borrow().evacuated_zones.iter().cloned().collect()
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
                    self.evacuate(zone, is_evacuated);
                }
            }
            ControlValue::Configuration(_) | ControlValue::WithMembers(_) | ControlValue::Versioned(_) => {}
        }
    }

    fn evacuate(self: &Rc<Self>, zone: &str, is_evacuated: bool) {
        let was_evacuated = self.in_force.borrow().evacuated_zones.contains(zone);
        self.in_force.borrow_mut().set_evacuated(zone, is_evacuated);
        info!(self.log, "evacuation"; "zone" => zone, "on" => is_evacuated);
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

    fn configure(self: &Rc<Self>, configuration: &Configuration, revision: Revision) {
        self.in_force.borrow_mut().configure(configuration);
        self.report_late_routes(revision);
        let idle_timeout = self.routing_table().limits().idle_timeout;
        self.idle_timeout.borrow_mut().set_limit(self.now(), idle_timeout);
        let parent = self.peers.parent_ip().map_or_else(|| "none".to_string(), |ip| ip.to_string());
        info!(self.log, "configuration in force"; "round" => revision.epoch, "change" => revision.sequence,
            "parent" => parent);
        self.update_upstream_limits();
        self.reconfigure_balancers();
        self.routing_changed.notify_waiters();
        self.process_early_heartbeat();
        self.check_upstream_health();
    }
}
