//! The upstream on this machine, as reported by its heartbeats. It triggers no further actions.
use crate::peers::UpstreamRecord;
use serde::Deserialize;
use silvercross_time::{Duration, Instant};
use std::net::SocketAddr;

/// A warm-up that ends this much later than the previous one is a new one.
const NEW_WARM_UP_AFTER: Duration = Duration::from_millis(500);
/// The maximum warm-up time, in seconds. Longer ones are capped.
const MAX_WARM_UP_S: f64 = 1e6;

/// A heartbeat, as sent by an upstream. The JSON keys are the wire format.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Heartbeat {
    #[serde(rename = "destination")]
    pub(super) service: String,
    #[serde(default)]
    pub(super) address: String,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) slots: u32,
    #[serde(default)]
    pub(super) state: String,
    #[serde(default, rename = "coldLeftS")]
    pub(super) warm_up_left_s: f64,
    #[serde(default)]
    pub(super) sequence: u64,
}

impl Heartbeat {
    /// Whether the upstream is draining and accepts no more requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.state == "draining"
    }

    /// Returns the address of the upstream, if it is given as an IP address with a port.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    /// Returns the remaining time of its warm-up.
    pub(super) fn warm_up_left(&self) -> Duration {
        Duration::from_micros((self.warm_up_left_s.clamp(0.0, MAX_WARM_UP_S) * 1e6) as i64)
    }
}

/// A heartbeat of an upstream that was unknown when it came.
pub(super) struct EarlyHeartbeat {
    pub(super) id: String,
    pub(super) heartbeat: Heartbeat,
}

/// An incarnation that sends heartbeats although another one is the current one.
pub(super) struct UpstreamClaim {
    pub(super) id: String,
    /// Its heartbeats since the last one of the current incarnation.
    pub(super) heartbeats: u32,
}

/// The upstream on this machine.
pub(super) struct LocalUpstream {
    /// The description that other nodes get.
    pub(super) record: UpstreamRecord,
    /// The sequence number of the latest heartbeat.
    sequence: u64,
    pub(super) last_heartbeat: Instant,
    warm_up_ends: Instant,
    /// A warm-up is not over before this, whatever a heartbeat says, which may be older.
    warm_up_not_before: Instant,
    /// Whether the record has been published in its current state.
    pub(super) is_published: bool,
}

impl LocalUpstream {
    /// Creates it from the first heartbeat of an incarnation.
    pub(super) fn new(id: &str, heartbeat: Heartbeat, now: Instant) -> Self {
        let (draining, warm_up_left) = (heartbeat.is_draining(), heartbeat.warm_up_left());
        let record = UpstreamRecord {
            id: id.to_string(),
            service: heartbeat.service,
            slots: heartbeat.slots,
            draining,
            silent: false,
            warm_ups: u32::from(warm_up_left > Duration::ZERO),
            warm_up_left,
        };
        let (sequence, warm_up_ends) = (heartbeat.sequence, now + warm_up_left);
        LocalUpstream {
            record,
            sequence,
            last_heartbeat: now,
            warm_up_ends,
            warm_up_not_before: now,
            is_published: true,
        }
    }

    /// Sets the time before which no heartbeat ends a warm-up.
    pub(super) fn set_warm_up_not_before(&mut self, time: Instant) {
        self.warm_up_not_before = time;
    }

    /// Returns the remaining warm-up time if a heartbeat reports this.
    pub(super) fn warm_up_left(&self, reported: Duration, now: Instant) -> Duration {
        reported.max(self.warm_up_not_before.saturating_since(now))
    }

    /// Whether a heartbeat is older than one that was processed.
    pub(super) fn is_overtaken(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.sequence < self.sequence
    }

    /// Processes another heartbeat of the same incarnation. Returns whether the record has to be published.
    pub(super) fn update(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let draining = heartbeat.is_draining();
        let warm_up_left = self.warm_up_left(heartbeat.warm_up_left(), now);
        let is_warming_up = warm_up_left > Duration::ZERO;
        let before = self.record.clone();
        (self.sequence, self.last_heartbeat) = (heartbeat.sequence, now);
        (self.record.silent, self.record.draining) = (false, draining);
        (self.record.service, self.record.slots) = (heartbeat.service, heartbeat.slots);
        if is_warming_up && now + warm_up_left > self.warm_up_ends + NEW_WARM_UP_AFTER {
            self.record.warm_ups += 1;
            self.record.warm_up_left = warm_up_left;
        }
        if is_warming_up || now < self.warm_up_ends {
            self.warm_up_ends = now + warm_up_left;
        }
        let has_changed = self.record != before || !self.is_published;
        self.is_published = true;
        has_changed
    }
}
