//! The health of the upstream on this machine, asked for after a restart of this process.
//!
//! The upstream may be at work already, and its next heartbeat a while away: its health answer names its incarnation.
use super::local_upstream::Heartbeat;
use super::state::NodeState;
use crate::peer_connection::{self, HealthyUpstream};
use silvercross_time::Duration as Span;
use std::rc::Rc;
use std::time::Duration;

/// It is asked so many times,
const MAX_HEALTH_CHECKS: u32 = 20;
/// so far apart.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Where the configuration names no path.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// Where nobody told how many requests an upstream works on at a time.
const DEFAULT_SLOTS: u32 = 4;

impl NodeState {
    /// Ask the upstream for its health until a heartbeat or an answer names it. Once for each process, and not at the first
    /// start of the whole system.
    pub(super) fn ask_upstream_health(self: &Rc<Self>) {
        if self.settings.is_first_start || self.upstream_was_asked.replace(true) {
            return;
        }
        let Some(address) = self.settings.upstream_address else { return };
        let node_state = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_HEALTH_CHECKS {
                if node_state.local_upstream.borrow().is_some() || node_state.stopping() {
                    return;
                }
                let path = node_state.health_path();
                let share = node_state.body_budget.reservation();
                let health = peer_connection::check_health(&node_state.pool, address, &path, share).await;
                let is_unknown = node_state.local_upstream.borrow().is_none();
                if let Some(HealthyUpstream { id, warm_up_left }) = health.filter(|_| is_unknown) {
                    if !node_state.has_ended(&id) {
                        node_state.health_answered(&id, warm_up_left);
                    }
                    return;
                }
                tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
            }
        });
    }

    fn health_path(&self) -> String {
        let table = self.routing_table();
        let destination = table.destination(&self.settings.upstream_service);
        destination.map_or_else(|| DEFAULT_HEALTH_PATH.to_string(), |d| d.health_path.clone())
    }

    /// A health answer named an incarnation; its first heartbeat tells the rest.
    fn health_answered(self: &Rc<Self>, id: &str, warm_up_left: Span) {
        let slots = {
            let other_nodes = self.other_nodes.borrow();
            let upstreams = other_nodes.values().filter_map(|record| record.body.upstream.as_ref());
            let of_service = upstreams.filter(|upstream| upstream.service == self.settings.upstream_service);
            of_service.map(|upstream| upstream.slots).max()
        };
        let heartbeat = Heartbeat {
            service: self.settings.upstream_service.clone(),
            zone: self.settings.zone.clone(),
            slots: slots.unwrap_or(DEFAULT_SLOTS),
            state: "ready".to_string(),
            warm_up_left_s: warm_up_left.as_secs_f64(),
            sequence: 0,
        };
        self.upstream_heartbeat(id, heartbeat);
    }
}
