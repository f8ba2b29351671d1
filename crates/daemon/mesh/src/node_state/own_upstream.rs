//! The upstream on this machine: its heartbeats and sign-off, asking its health after a restart, and what its gate is told.
use super::NodeState;
use crate::peer_connection::{self, HealthyUpstream};
use crate::peers::UpstreamRecord;
use serde::Deserialize;
use silvercross_admission::{Allowance, Facts};
use slog::info;
use std::rc::Rc;
use std::time::Duration;

/// An upstream whose beats are so many intervals late is silent.
const SILENT_BEATS: f64 = 2.6;
/// A cold time that ends so much later than the one before is another one, in microseconds.
const COLDER: i64 = 500_000;
/// After a restart the upstream is asked for its life so many times, so far apart.
const ASKED: u32 = 20;
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Where nobody told how much an upstream works on at a time.
const SLOTS_UNTOLD: u32 = 4;
/// Lives that were signed off are remembered, so that a late beat brings none back.
const ENDED: usize = 64;

/// A beat, as an upstream sends it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    destination: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    cold_left_s: f64,
    #[serde(default)]
    sequence: u64,
}

/// The upstream on this machine, as its heartbeats tell it.
pub(super) struct Own {
    pub(super) station: UpstreamRecord,
    sequence: u64,
    beaten: i64,
    cold_until: i64,
    told: bool,
}

impl Heartbeat {
    fn draining(&self) -> bool {
        self.state == "draining"
    }

    /// How long it is still cold, in microseconds.
    fn cold(&self) -> i64 {
        (self.cold_left_s.clamp(0.0, 1e6) * 1e6) as i64
    }
}

impl Own {
    /// The first heartbeat of a life.
    fn first(id: &str, beat: Heartbeat, now: i64) -> Self {
        let (draining, cold) = (beat.draining(), beat.cold());
        let station = UpstreamRecord {
            id: id.to_string(),
            service: beat.destination,
            slots: beat.slots,
            draining,
            silent: false,
            colds: u32::from(cold > 0),
            cold,
        };
        Own { station, sequence: beat.sequence, beaten: now, cold_until: now + cold, told: true }
    }

    /// A further heartbeat of the same life; whether the other sidecars are to hear of it.
    fn renew(&mut self, beat: Heartbeat, now: i64) -> bool {
        let (draining, cold) = (beat.draining(), beat.cold());
        let before = self.station.clone();
        (self.sequence, self.beaten) = (beat.sequence, now);
        (self.station.silent, self.station.draining) = (false, draining);
        (self.station.service, self.station.slots) = (beat.destination, beat.slots);
        if cold > 0 && now + cold > self.cold_until + COLDER {
            self.station.colds += 1;
            self.station.cold = cold;
        }
        if cold > 0 || now < self.cold_until {
            self.cold_until = now + cold;
        }
        let changed = self.station != before || !self.told;
        self.told = true;
        changed
    }
}

impl NodeState {
    /// A beat of the upstream on this machine; `false` if it is of a life that has ended.
    pub fn upstream_heartbeat(self: &Rc<Self>, id: &str, beat: Heartbeat) -> bool {
        self.counters.heartbeats.set(self.counters.heartbeats.get() + 1);
        if self.ended.borrow().iter().any(|e| e == id) {
            return false;
        }
        let now = self.now().as_micros();
        let (draining, cold) = (beat.draining(), beat.cold());
        let changed = {
            let mut own = self.own.borrow_mut();
            match own.as_mut().filter(|o| o.station.id == id) {
                Some(o) if beat.sequence < o.sequence => return true,
                Some(o) => o.renew(beat, now),
                None => {
                    if let Some(old) = own.take() {
                        remember(&mut self.ended.borrow_mut(), old.station.id);
                    }
                    info!(self.log, "upstream"; "id" => id, "service" => &beat.destination, "zone" => &beat.zone);
                    *own = Some(Own::first(id, beat, now));
                    true
                }
            }
        };
        self.tell_gate(now, draining, cold);
        if changed {
            self.allow();
            self.tell();
        }
        true
    }

    /// Tell the gate what the last beat said.
    fn tell_gate(&self, now: i64, draining: bool, cold: i64) {
        let station = self.own.borrow().as_ref().map(|o| o.station.clone());
        let Some(s) = station else { return };
        let facts = Facts { id: s.id.clone(), service: s.service, slots: s.slots };
        self.gate.with_admission(|w| {
            if draining {
                w.draining(now, &s.id);
            } else {
                w.beat(now, facts, cold);
            }
        });
    }

    /// Look whether its heartbeats have stopped, and tell the others what they have not heard of it yet.
    pub(super) fn look_at_upstream(self: &Rc<Self>, now: i64) {
        let late = (self.reloadable.get().beat as f64 * SILENT_BEATS) as i64;
        let silent = self.own.borrow().as_ref().is_some_and(|o| !o.station.silent && now - o.beaten > late);
        if silent {
            info!(self.log, "upstream silent");
            self.gate.with_admission(|w| w.silent(now));
            self.mark_upstream_silent();
        }
        let untold = self.own.borrow().as_ref().is_some_and(|o| !o.told);
        if untold {
            self.own.borrow_mut().iter_mut().for_each(|o| o.told = true);
            self.tell();
        }
    }

    /// The upstream on this machine has signed off.
    pub fn upstream_signed_off(self: &Rc<Self>, id: &str) {
        let now = self.now().as_micros();
        remember(&mut self.ended.borrow_mut(), id.to_string());
        let was = self.own.borrow().as_ref().is_some_and(|o| o.station.id == id);
        if was {
            info!(self.log, "upstream signed off"; "id" => id);
            *self.own.borrow_mut() = None;
            self.gate.with_admission(|w| w.signed_off(now, id));
            self.tell();
        }
    }

    /// The upstream on this machine refuses connections, or its beats have stopped.
    pub fn mark_upstream_silent(&self) {
        if let Some(own) = self.own.borrow_mut().as_mut().filter(|o| !o.station.silent) {
            own.station.silent = true;
            own.told = false;
        }
    }

    /// After a restart the upstream on this machine may be at work already, and its next beat a while away: its health answer
    /// names its life.
    pub(super) fn ask_station(self: &Rc<Self>) {
        if self.settings.fresh || self.asking.replace(true) {
            return;
        }
        let Some(station) = self.settings.station else { return };
        let node_state = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..ASKED {
                if node_state.own.borrow().is_some() || node_state.stopping() {
                    return;
                }
                let path = node_state
                    .routing_table()
                    .destination(&node_state.settings.destination)
                    .map(|d| d.health_path.clone());
                let path = path.unwrap_or_else(|| "/health".to_string());
                let told = peer_connection::check_health(
                    &node_state.pool,
                    station,
                    &path,
                    node_state.body_budget.reservation(),
                )
                .await;
                if let Some(HealthyUpstream { id, warm_up_left }) =
                    told.filter(|_| node_state.own.borrow().is_none())
                {
                    if !node_state.ended.borrow().contains(&id) {
                        node_state.met(id, warm_up_left.as_micros());
                    }
                    return;
                }
                tokio::time::sleep(ASK_AGAIN).await;
            }
        });
    }

    /// A life that its health answer named; its first beat tells the rest.
    fn met(self: &Rc<Self>, id: String, cold: i64) {
        let slots = {
            let others = self.others.borrow();
            let like = others.values().filter_map(|r| r.body.station.as_ref());
            like.filter(|s| s.service == self.settings.destination).map(|s| s.slots).max()
        };
        let beat = Heartbeat {
            destination: self.settings.destination.clone(),
            zone: self.settings.zone.clone(),
            slots: slots.unwrap_or(SLOTS_UNTOLD),
            state: "ready".to_string(),
            cold_left_s: cold as f64 / 1e6,
            sequence: 0,
        };
        self.upstream_heartbeat(&id, beat);
    }

    /// Set the gate to what the configuration allows this upstream.
    pub(super) fn allow(&self) {
        let table = self.routing_table();
        let service = self.own.borrow().as_ref().map(|o| o.station.service.clone());
        let service = service.unwrap_or_else(|| self.settings.destination.clone());
        if let Some(d) = table.destination(&service) {
            let allowance = Allowance {
                line_cap: d.max_connections,
                cold_rate: finite(d.slow_start_rate),
                cold_span: d.slow_start,
            };
            let now = self.now().as_micros();
            self.gate.with_admission(|w| w.allowance(now, allowance));
        }
    }
}

fn finite(rate: f64) -> f64 {
    if rate.is_finite() {
        rate
    } else {
        0.0
    }
}

fn remember(ended: &mut Vec<String>, id: String) {
    if !ended.contains(&id) {
        if ended.len() >= ENDED {
            ended.remove(0);
        }
        ended.push(id);
    }
}
