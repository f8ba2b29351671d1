//! Reloads settings in a running process: on SIGHUP, and when the file has changed.
//!
//! Reloadable settings take effect at once; other changed keys are logged; an unreadable or invalid file
//! changes nothing.
use crate::node_state::NodeState;
use crate::settings::{self, NodeSettings, SettingsError};
use slog::{info, warn};
use std::rc::Rc;

/// The outcome of a reload. Keys are those of the settings file.
#[derive(Debug, PartialEq)]
pub(crate) enum ReloadOutcome {
    /// The file has not changed.
    Unchanged,
    /// The file is unreadable or invalid.
    Unusable(SettingsError),
    /// The file was read.
    Reloaded {
        /// The changed keys that took effect.
        in_force: Vec<&'static str>,
        /// The changed keys that take effect at the next start.
        need_restart: Vec<&'static str>,
    },
}

/// Reloads the file if it has changed; `always`: even if it has not.
pub(crate) fn reload(node_state: &Rc<NodeState>, always: bool) -> ReloadOutcome {
    let Some(path) = node_state.settings_file.changed(always) else { return ReloadOutcome::Unchanged };
    let settings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(node_state.log, "settings file unusable, no setting is changed"; "why" => error.to_string());
            return ReloadOutcome::Unusable(error);
        }
    };
    let in_force = node_state.apply_reloadable_settings(&settings);
    let need_restart = keys_read_at_start(&node_state.settings, &settings);
    if !in_force.is_empty() {
        info!(node_state.log, "settings in force"; "keys" => in_force.join(" "));
    }
    if !need_restart.is_empty() {
        info!(node_state.log, "settings that need a restart"; "keys" => need_restart.join(" "));
    }
    ReloadOutcome::Reloaded { in_force, need_restart }
}

/// The changed keys that are read only at the start.
fn keys_read_at_start(old: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    let comparisons = [
        ("node", old.name != new.name),
        ("ip", old.ip != new.ip),
        ("zone", old.zone != new.zone),
        ("zones", old.zones != new.zones),
        ("countersAt.inbound", old.inbound_address != new.inbound_address),
        ("countersAt.outbound", old.outbound_address != new.outbound_address),
        ("countersAt.ready", old.ready_address != new.ready_address),
        ("countersAt.control", old.control_address != new.control_address),
        ("internalPorts", old.internal_ports != new.internal_ports),
        ("sizeLimits.memoryMb", old.memory_bytes != new.memory_bytes),
        ("sizeLimits.fileHandles", old.max_descriptors != new.max_descriptors),
        ("dataDir", old.data_dir != new.data_dir),
        ("localStation", old.upstream_address != new.upstream_address),
        ("destination", old.upstream_service != new.upstream_service),
    ];
    comparisons.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
}

#[cfg(test)]
mod tests;
