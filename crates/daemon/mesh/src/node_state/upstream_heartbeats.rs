//! Processes the heartbeats of the upstream on this machine and their absence: updates admission and the
//! record for other nodes.
use super::local_upstream::{EarlyHeartbeat, Heartbeat, LocalUpstream};
use super::state::NodeState;
use super::tombstones::Departure;
use silvercross_admission::{UpstreamLimits, UpstreamReport};
use silvercross_mesh_membership::Node;
use silvercross_time::{Duration, Instant};
use slog::info;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// An upstream is silent if its last heartbeat is older than this number of heartbeat intervals.
const SILENT_AFTER_INTERVALS: f64 = 2.6;

impl NodeState {
    /// Processes a heartbeat of the upstream on this machine. Returns `false` if its incarnation has ended.
    pub(crate) fn upstream_heartbeat(self: &Rc<Self>, id: &str, heartbeat: Heartbeat) -> bool {
        self.counters.heartbeats.set(self.counters.heartbeats.get() + 1);
        if !self.is_local_upstream(id) {
            if let Some(departure) = self.departure(id) {
                return self.heartbeat_after_departure(id, &heartbeat, departure);
            }
            if !self.knows_earlier_departures() {
                self.keep_early_heartbeat(id, heartbeat);
                return true;
            }
        }
        self.current_heartbeat(id, heartbeat);
        true
    }

    /// Whether the upstream of this heartbeat is on this machine. One that gives no address is.
    pub(crate) fn is_beside(&self, heartbeat: &Heartbeat) -> bool {
        let Some(own_address) = self.settings.upstream_address else { return false };
        heartbeat.address().is_none_or(|address| address.ip() == own_address.ip())
    }

    /// Returns the control address of the sidecar beside the upstream of this heartbeat, if it is known.
    pub(crate) fn sidecar_of(&self, heartbeat: &Heartbeat) -> Option<SocketAddr> {
        let IpAddr::V4(ip) = heartbeat.address()?.ip() else { return None };
        let other_nodes = self.other_nodes.borrow();
        let record = other_nodes.get(&Node(ip.to_bits())).filter(|record| !record.is_control)?;
        (record.body.control_port > 0).then(|| SocketAddr::new(IpAddr::V4(ip), record.body.control_port))
    }

    /// Whether this process has what the other nodes remember of an earlier one on this machine. They send it
    /// before the configuration.
    fn knows_earlier_departures(&self) -> bool {
        self.settings.is_first_start || self.configured()
    }

    /// Processes a heartbeat that arrives after the departure of its upstream. Only a repeated departure is
    /// acknowledged once the upstream has ended.
    fn heartbeat_after_departure(&self, id: &str, heartbeat: &Heartbeat, departure: Departure) -> bool {
        if !heartbeat.is_draining() {
            let late = &self.counters.heartbeats_after_departure;
            late.set(late.get() + 1);
            info!(self.log, "heartbeat after the departure of its upstream"; "id" => id,
                "sequence" => heartbeat.sequence, "how" => ?departure);
        }
        heartbeat.is_draining() || departure < Departure::Ended
    }

    /// Keeps a heartbeat until this process has a configuration.
    fn keep_early_heartbeat(&self, id: &str, heartbeat: Heartbeat) {
        if heartbeat.is_draining() {
            self.remember_departure(id, Departure::Draining);
        } else {
            let early = EarlyHeartbeat { id: id.to_string(), heartbeat };
            *self.early_heartbeat.borrow_mut() = Some(early);
        }
    }

    /// Processes the heartbeat that came before the configuration, if any did.
    pub(super) fn process_early_heartbeat(self: &Rc<Self>) {
        let early = self.early_heartbeat.borrow_mut().take();
        if let Some(EarlyHeartbeat { id, heartbeat }) = early {
            self.upstream_heartbeat(&id, heartbeat);
        }
    }

    /// Processes a heartbeat of the current incarnation, or the first one of another, which then has the address
    /// ([`settle_claim`](Self::settle_claim)).
    fn current_heartbeat(self: &Rc<Self>, id: &str, heartbeat: Heartbeat) {
        let now = self.now();
        let (is_draining, warm_up_left) = (heartbeat.is_draining(), heartbeat.warm_up_left());
        let has_changed = {
            let mut local = self.local_upstream.borrow_mut();
            match local.as_mut().filter(|upstream| upstream.record.id == id) {
                Some(upstream) if upstream.is_overtaken(&heartbeat) => return,
                Some(upstream) => upstream.update(heartbeat, now),
                None => {
                    info!(self.log, "upstream"; "id" => id, "service" => &heartbeat.service,
                        "zone" => &heartbeat.zone, "sequence" => heartbeat.sequence,
                        "tombstones" => self.tombstones.borrow().len(), "us" => (now - self.started_at).as_micros());
                    *local = Some(LocalUpstream::new(id, heartbeat, now));
                    true
                }
            }
        };
        *self.upstream_claim.borrow_mut() = None;
        self.update_admission(now, is_draining, warm_up_left);
        if has_changed {
            self.update_upstream_limits();
            self.publish_own_record();
            self.note_own_departure();
        }
    }

    /// Remembers that the upstream on this machine drains, or that it does no longer.
    fn note_own_departure(&self) {
        let local = self.local_upstream.borrow();
        let Some(record) = local.as_ref().map(|upstream| &upstream.record) else { return };
        if record.draining {
            self.remember_departure(&record.id, Departure::Draining);
        } else if self.departure(&record.id).is_some() {
            self.tombstones.borrow_mut().remove(&record.id);
        }
    }

    /// Whether this is the upstream on this machine.
    pub(super) fn is_local_upstream(&self, id: &str) -> bool {
        self.local_upstream.borrow().as_ref().is_some_and(|upstream| upstream.record.id == id)
    }

    /// Updates admission from the latest heartbeat.
    fn update_admission(&self, now: Instant, is_draining: bool, warm_up_left: Duration) {
        let local = self.local_upstream.borrow();
        let Some(upstream) = local.as_ref() else { return };
        let (record, warm_up_left) = (upstream.record.clone(), upstream.warm_up_left(warm_up_left, now));
        drop(local);
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

    /// Processes the sign-off of an upstream, on this machine or, if its sidecar did not answer, on another one.
    pub(crate) fn upstream_signed_off(self: &Rc<Self>, id: &str) {
        info!(self.log, "upstream signed off"; "id" => id);
        self.remember_departure(id, Departure::Ended);
        if self.is_local_upstream(id) {
            self.remove_local_upstream(id);
        } else {
            self.update_upstream_lists();
        }
    }

    /// Removes the upstream on this machine, which has ended.
    pub(super) fn remove_local_upstream(self: &Rc<Self>, id: &str) {
        *self.local_upstream.borrow_mut() = None;
        let now = self.now();
        self.gate.with_admission(|admission| admission.signed_off(now, id));
        self.publish_own_record();
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
}
