//! Health checks of the upstream on this machine after a restart of this process.
//!
//! The upstream may already be running, and its next heartbeat may take a while. Its health response names
//! its incarnation.
use super::local_upstream::Heartbeat;
use super::state::NodeState;
use crate::peer_connection::{self, HealthReport};
use silvercross_time::Duration as Span;
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of health checks.
const MAX_HEALTH_CHECKS: u32 = 20;
/// The interval between health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Health check path if the configuration has none.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// The number of concurrent requests of an upstream if it is unknown.
const DEFAULT_SLOTS: u32 = 4;

impl NodeState {
    /// Checks the health of the upstream until a heartbeat or a response identifies it, at least once: the
    /// heartbeat may be from before a warm-up. Runs once for each process, and not at the first start of the
    /// whole system.
    pub(super) fn check_upstream_health(self: &Rc<Self>) {
        if self.settings.is_first_start || self.upstream_health_requested.replace(true) {
            return;
        }
        let node_state = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_HEALTH_CHECKS {
                if node_state.stopping() {
                    return;
                }
                let report = node_state.check_local_health().await;
                if let Some(report) = &report {
                    node_state.note_warm_up(report);
                }
                if node_state.local_upstream.borrow().is_some() {
                    return;
                }
                if let Some(report) = report.filter(|report| report.is_healthy) {
                    if node_state.departure(&report.id).is_none() {
                        node_state.health_response_received(&report.id, report.warm_up_left);
                    }
                    return;
                }
                tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
            }
        });
    }

    /// Processes the remaining warm-up time in a health response, which is newer than any heartbeat that came
    /// before.
    fn note_warm_up(&self, report: &HealthReport) {
        let now = self.now();
        let mut local = self.local_upstream.borrow_mut();
        let Some(upstream) = local.as_mut().filter(|upstream| upstream.record.id == report.id) else {
            return;
        };
        upstream.set_warm_up_not_before(now + report.warm_up_left);
        drop(local);
        self.gate.with_admission(|admission| admission.set_warmup_left(now, report.warm_up_left));
    }

    /// Treats the upstream as warming up after the end of an evacuation, until its health response or the end of
    /// the configured time. Heartbeats from before may still come.
    pub(super) fn expect_warm_up(self: &Rc<Self>) {
        let table = self.routing_table();
        let span =
            table.destination(&self.settings.upstream_service).map(|destination| destination.slow_start);
        if let Some(upstream) = self.local_upstream.borrow_mut().as_mut() {
            upstream.set_warm_up_not_before(self.now() + span.unwrap_or(Span::ZERO));
        }
        let node_state = self.clone();
        tokio::task::spawn_local(async move {
            if let Some(report) = node_state.check_local_health().await {
                node_state.note_warm_up(&report);
            }
        });
    }

    /// Checks the health of the upstream on this machine. Returns `None` unless it states its id.
    pub(super) async fn check_local_health(&self) -> Option<HealthReport> {
        let address = self.settings.upstream_address?;
        let (path, reservation) = (self.health_path(), self.body_budget.reservation());
        peer_connection::check_health(&self.pool, address, &path, reservation).await
    }

    fn health_path(&self) -> String {
        let table = self.routing_table();
        let destination = table.destination(&self.settings.upstream_service);
        destination.map_or_else(|| DEFAULT_HEALTH_PATH.to_string(), |d| d.health_path.clone())
    }

    /// Processes a health response that identified an incarnation. The first heartbeat supplies the other
    /// properties.
    fn health_response_received(self: &Rc<Self>, id: &str, warm_up_left: Span) {
        let slots = {
            let other_nodes = self.other_nodes.borrow();
            let upstreams = other_nodes.values().filter_map(|record| record.body.upstream.as_ref());
            let of_service = upstreams.filter(|upstream| upstream.service == self.settings.upstream_service);
            of_service.map(|upstream| upstream.slots).max()
        };
        let heartbeat = Heartbeat {
            service: self.settings.upstream_service.clone(),
            address: String::new(),
            zone: self.settings.zone.clone(),
            slots: slots.unwrap_or(DEFAULT_SLOTS),
            state: "ready".to_string(),
            warm_up_left_s: warm_up_left.as_secs_f64(),
            sequence: 0,
        };
        self.upstream_heartbeat(id, heartbeat);
    }
}
