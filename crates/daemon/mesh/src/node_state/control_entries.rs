//! Control entries put in force: the configuration, evacuations, members and how far their slowing has come.
use super::state::NodeState;
use crate::control_value::{evacuated_zone, ControlValue, CONFIGURATION_KEY};
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Revision;
use slog::info;
use std::collections::BTreeMap;
use std::rc::Rc;

impl NodeState {
    /// The routing table in force.
    pub(crate) fn routing_table(&self) -> Rc<RoutingTable> {
        self.in_force.borrow().table.clone()
    }

    /// Whether a configuration has come.
    pub(crate) fn configured(&self) -> bool {
        self.in_force.borrow().is_configured
    }

    /// Zones that are evacuated.
    pub(crate) fn evacuated_zones(&self) -> Vec<String> {
        self.in_force.borrow().evacuated_zones.iter().cloned().collect()
    }

    /// The revisions in force, by key.
    pub(crate) fn revisions(&self) -> BTreeMap<String, Revision> {
        self.in_force.borrow().revisions.clone()
    }

    /// Put a control entry in force. One that is no newer than what is in force changes nothing: a node goes forward in
    /// revisions only.
    pub(crate) fn apply_control_entry(self: &Rc<Self>, key: &str, revision: Revision, value: ControlValue) {
        if !self.in_force.borrow_mut().take_revision(key, revision) {
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
            ControlValue::WithMembers(whole) if key == CONFIGURATION_KEY => {
                self.member_throttle.set_members(self.now(), &self.log, &whole.member_list);
                self.configure(&whole.configuration, revision);
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
        self.in_force.borrow_mut().set_evacuated(zone, is_evacuated);
        info!(self.log, "evacuation"; "zone" => zone, "on" => is_evacuated);
        if zone == self.settings.zone {
            let now = self.now();
            self.gate.with_admission(|admission| admission.set_evacuated(now, is_evacuated));
        }
        self.update_upstream_lists();
    }

    fn configure(self: &Rc<Self>, configuration: &Configuration, revision: Revision) {
        self.in_force.borrow_mut().configure(configuration);
        let idle_timeout = self.routing_table().limits().idle_timeout;
        self.idle_timeout.borrow_mut().set_limit(self.now(), idle_timeout);
        info!(self.log, "configuration in force"; "round" => revision.epoch, "change" => revision.sequence);
        self.update_upstream_allowance();
        self.reconfigure_balancers();
        self.routing_changed.notify_waiters();
        self.ask_upstream_health();
    }
}
