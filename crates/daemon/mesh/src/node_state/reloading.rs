//! Puts changed settings in force while the process runs.
use super::state::NodeState;
use crate::settings::NodeSettings;
use std::rc::Rc;

impl NodeState {
    /// Applies those changed settings that can be reloaded. Returns the keys that differed.
    pub(crate) fn apply_reloadable_settings(self: &Rc<Self>, settings: &NodeSettings) -> Vec<&'static str> {
        let mut changed_keys = Vec::new();
        if *self.seeds.borrow() != settings.seeds {
            changed_keys.push("seeds");
            self.seeds.borrow_mut().clone_from(&settings.seeds);
            self.peers.set_seeds(self, &settings.seed_nodes());
        }
        let (old, new) = (self.reloadable.replace(settings.reloadable), settings.reloadable);
        if old.heartbeat_interval != new.heartbeat_interval {
            changed_keys.push("heartbeatS");
        }
        if old.limits != new.limits {
            changed_keys.push("bounds");
            let now = self.now();
            self.gate
                .with_admission(|admission| admission.set_settings(now, new.limits.admission_settings()));
            self.reconfigure_balancers();
        }
        changed_keys
    }
}
