//! The control state in force here: the routing table, evacuated zones, revisions, and whether that makes this process ready.
use super::NodeState;
use crate::control_value::{ControlValue, CONFIGURATION, EVACUATION};
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Freshness;
use silvercross_time::Duration;
use slog::{info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What is in force of the operator's configuration.
#[derive(Default)]
pub(super) struct InForce {
    pub(super) table: Rc<RoutingTable>,
    configured: bool,
    revisions: BTreeMap<String, (u64, u64, u64)>,
    pub(super) evacuated: BTreeSet<String>,
}

impl NodeState {
    /// The routing table in force.
    pub fn routing_table(&self) -> Rc<RoutingTable> {
        self.force.borrow().table.clone()
    }

    /// Whether a configuration has come.
    pub fn configured(&self) -> bool {
        self.force.borrow().configured
    }

    /// Zones that are evacuated.
    pub fn evacuated(&self) -> Vec<String> {
        self.force.borrow().evacuated.iter().cloned().collect()
    }

    /// The revisions in force, by key.
    pub fn revisions(&self) -> BTreeMap<String, (u64, u64, u64)> {
        self.force.borrow().revisions.clone()
    }

    /// Whether the platform may give this machine's clients work. Once so it stays so until the process stops.
    pub fn ready(&self) -> bool {
        self.unready().is_none()
    }

    /// Why it may not. A sidecar that started is not current until it has what a majority had acknowledged before, or
    /// could not find out in time; a request that comes all the same is routed by what it has.
    pub fn unready(&self) -> Option<&'static str> {
        if self.stopping() {
            Some("stopping")
        } else if !self.configured() {
            Some("no configuration has come yet")
        } else if self.freshness() == Freshness::Waiting {
            Some("not yet known to be current")
        } else {
            None
        }
    }

    /// Whether what is in force is what a majority had acknowledged before the start.
    pub fn freshness(&self) -> Freshness {
        self.peers.membership(|r| r.freshness())
    }

    /// Tell the log once when this sidecar gets ready, and on what grounds.
    pub fn look_ready(&self) {
        if self.told_ready.get() || self.settings.ready.is_none() || !self.ready() {
            return;
        }
        self.told_ready.set(true);
        let took = self.now().as_micros() - self.began;
        match self.freshness() {
            Freshness::TimedOut { .. } => {
                warn!(self.log, "ready: no majority has told within the bound whether this is current"; "us" => took);
            }
            _ => info!(self.log, "ready: has what a majority had at the start"; "us" => took),
        }
    }

    /// News of the control state; older than what is in force changes nothing.
    pub fn apply_control_entry(
        self: &Rc<Self>,
        key: &str,
        revision: (u64, u64, u64),
        control_value: ControlValue,
    ) {
        {
            let mut force = self.force.borrow_mut();
            if force.revisions.get(key).is_some_and(|r| *r >= revision) {
                return;
            }
            force.revisions.insert(key.to_string(), revision);
        }
        if let Some(event_stream) = self.event_stream.get() {
            event_stream.page(key, revision, &control_value);
        }
        match control_value {
            ControlValue::Blank => self.member_throttle.lapse(self, key, revision, None),
            ControlValue::Configuration(configuration) if key == CONFIGURATION => {
                self.configure(&configuration, revision);
            }
            ControlValue::Whole(whole) if key == CONFIGURATION => {
                self.member_throttle.roll(self, &whole.member_list);
                self.configure(&whole.configuration, revision);
            }
            ControlValue::Lapse(lapse) => self.member_throttle.lapse(self, key, revision, Some(lapse)),
            ControlValue::Evacuation(on) => {
                let Some(zone) = key.strip_prefix(EVACUATION) else { return };
                {
                    let mut force = self.force.borrow_mut();
                    if on {
                        force.evacuated.insert(zone.to_string());
                    } else {
                        force.evacuated.remove(zone);
                    }
                }
                info!(self.log, "evacuation"; "zone" => zone, "on" => on);
                if zone == self.settings.zone {
                    let now = self.now().as_micros();
                    self.gate.with_admission(|w| w.evacuated(now, on));
                }
                self.relist();
            }
            ControlValue::Configuration(_) | ControlValue::Whole(_) | ControlValue::Tracked(_) => {}
        }
    }

    fn configure(self: &Rc<Self>, configuration: &Configuration, revision: (u64, u64, u64)) {
        {
            let mut force = self.force.borrow_mut();
            force.table = Rc::new(RoutingTable::new(configuration));
            force.configured = true;
        }
        self.idle_timeout
            .borrow_mut()
            .set_limit(self.now(), Duration::from_micros(self.routing_table().limits().idle_timeout));
        info!(self.log, "configuration in force"; "round" => revision.0, "change" => revision.2);
        self.allow();
        self.reset_terms();
        self.news.notify_waiters();
        self.ask_station();
    }
}
