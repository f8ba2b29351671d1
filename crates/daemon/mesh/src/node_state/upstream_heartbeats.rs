//! Processes the heartbeats of the upstream on this machine and their absence: updates admission and the
//! record for other nodes.
use super::local_upstream::{Heartbeat, LocalUpstream};
use super::state::NodeState;
use silvercross_admission::{UpstreamLimits, UpstreamReport};
use silvercross_time::{Duration, Instant};
use slog::info;
use std::rc::Rc;

/// An upstream is silent if its last heartbeat is older than this number of heartbeat intervals.
const SILENT_AFTER_INTERVALS: f64 = 2.6;
/// The maximum number of remembered ended incarnations, whose late heartbeats are ignored.
const MAX_ENDED_UPSTREAMS: usize = 64;

impl NodeState {
    /// Processes a heartbeat of the upstream on this machine. Returns `false` if its incarnation has ended.
    pub(crate) fn upstream_heartbeat(self: &Rc<Self>, id: &str, heartbeat: Heartbeat) -> bool {
        self.counters.heartbeats.set(self.counters.heartbeats.get() + 1);
        if self.has_ended(id) {
            return false;
        }
        let now = self.now();
        let (is_draining, warm_up_left) = (heartbeat.is_draining(), heartbeat.warm_up_left());
        let has_changed = {
            let mut local = self.local_upstream.borrow_mut();
            match local.as_mut().filter(|upstream| upstream.record.id == id) {
                Some(upstream) if upstream.is_overtaken(&heartbeat) => return true,
                Some(upstream) => upstream.update(heartbeat, now),
                None => {
                    if let Some(previous) = local.take() {
                        self.remember_ended(previous.record.id);
                    }
                    info!(self.log, "upstream"; "id" => id, "service" => &heartbeat.service, "zone" => &heartbeat.zone);
                    *local = Some(LocalUpstream::new(id, heartbeat, now));
                    true
                }
            }
        };
        self.update_admission(now, is_draining, warm_up_left);
        if has_changed {
            self.update_upstream_limits();
            self.publish_own_record();
        }
        true
    }

    /// Updates admission from the latest heartbeat.
    fn update_admission(&self, now: Instant, is_draining: bool, warm_up_left: Duration) {
        let record = self.local_upstream.borrow().as_ref().map(|upstream| upstream.record.clone());
        let Some(record) = record else { return };
        let report = UpstreamReport { id: record.id.clone(), service: record.service, slots: record.slots };
        self.gate.with_admission(|admission| {
            if is_draining {
                admission.begin_drain(now, &record.id);
            } else {
                admission.heartbeat(now, report, warm_up_left);
            }
        });
    }

    /// Marks the upstream as silent if its heartbeats have stopped, and publishes changes that have not been
    /// published.
    pub(crate) fn check_local_upstream(self: &Rc<Self>) {
        let now = self.now();
        let interval = self.reloadable.get().heartbeat_interval.as_micros() as f64;
        let silent_after = Duration::from_micros((interval * SILENT_AFTER_INTERVALS) as i64);
        let is_late = |upstream: &LocalUpstream| {
            !upstream.record.silent && now - upstream.last_heartbeat > silent_after
        };
        if self.local_upstream.borrow().as_ref().is_some_and(is_late) {
            info!(self.log, "upstream silent");
            self.gate.with_admission(|admission| admission.set_silent(now));
            self.mark_upstream_silent();
        }
        let is_published = match &mut *self.local_upstream.borrow_mut() {
            Some(upstream) => std::mem::replace(&mut upstream.is_published, true),
            None => true,
        };
        if !is_published {
            self.publish_own_record();
        }
    }

    /// Processes the sign-off of the upstream on this machine.
    pub(crate) fn upstream_signed_off(self: &Rc<Self>, id: &str) {
        self.remember_ended(id.to_string());
        let is_known = self.local_upstream.borrow().as_ref().is_some_and(|upstream| upstream.record.id == id);
        if is_known {
            info!(self.log, "upstream signed off"; "id" => id);
            *self.local_upstream.borrow_mut() = None;
            let now = self.now();
            self.gate.with_admission(|admission| admission.signed_off(now, id));
            self.publish_own_record();
        }
    }

    /// Marks the upstream on this machine as silent: it refuses connections, or its heartbeats have stopped.
    /// The periodic check publishes this.
    pub(crate) fn mark_upstream_silent(&self) {
        let mut local = self.local_upstream.borrow_mut();
        if let Some(upstream) = local.as_mut().filter(|upstream| !upstream.record.silent) {
            upstream.record.silent = true;
            upstream.is_published = false;
        }
    }

    /// Sets the limits of admission to those configured for the upstream's service.
    pub(super) fn update_upstream_limits(&self) {
        let table = self.routing_table();
        let service = self.local_upstream.borrow().as_ref().map(|upstream| upstream.record.service.clone());
        let service = service.unwrap_or_else(|| self.settings.upstream_service.clone());
        let Some(destination) = table.destination(&service) else { return };
        let rate = destination.slow_start_rate;
        let limits = UpstreamLimits {
            max_connections: destination.max_connections,
            warmup_rate: if rate.is_finite() { rate } else { 0.0 },
            warmup_span: destination.slow_start,
        };
        let now = self.now();
        self.gate.with_admission(|admission| admission.set_limits(now, limits));
    }

    /// Whether this incarnation of the local upstream has ended.
    pub(super) fn has_ended(&self, id: &str) -> bool {
        self.ended_upstreams.borrow().iter().any(|ended| ended == id)
    }

    fn remember_ended(&self, id: String) {
        let mut ended = self.ended_upstreams.borrow_mut();
        if ended.contains(&id) {
            return;
        }
        if ended.len() >= MAX_ENDED_UPSTREAMS {
            ended.remove(0);
        }
        ended.push(id);
    }
}
