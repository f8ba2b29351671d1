//! Readiness of this process: whether the platform may send requests to the clients of this machine.
use super::state::NodeState;
use silvercross_mesh_membership::Freshness;
use silvercross_time::Duration;
use slog::{info, warn};
use std::fmt;

/// Why this process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotReady {
    /// The process is stopping.
    Stopping,
    /// No configuration has been received.
    NoConfiguration,
    /// It is not known yet whether the control state is what a majority of the control replicas has.
    NotKnownToBeCurrent,
}

impl fmt::Display for NotReady {
    /// The response text at the readiness address, on which operators and tests rely.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotReady::Stopping => "stopping",
            NotReady::NoConfiguration => "no configuration has come yet",
            NotReady::NotKnownToBeCurrent => "not yet known to be current",
        })
    }
}

impl NodeState {
    /// Whether this process is ready. Once ready, it remains so until it stops.
    pub(crate) fn is_ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// Returns why this process is not ready. A sidecar is not ready after its start until it has what a
    /// majority had acknowledged before, or could not determine this in time. Requests that arrive earlier
    /// are routed by the configuration it has.
    pub(crate) fn not_ready(&self) -> Option<NotReady> {
        if self.stopping() {
            Some(NotReady::Stopping)
        } else if !self.configured() {
            Some(NotReady::NoConfiguration)
        } else if self.freshness() == Freshness::Waiting {
            Some(NotReady::NotKnownToBeCurrent)
        } else {
            None
        }
    }

    /// Whether the control state in force includes what a majority had acknowledged before the start.
    pub(crate) fn freshness(&self) -> Freshness {
        self.peers.membership(|membership| membership.freshness())
    }

    /// Logs once when this sidecar becomes ready, and why.
    pub(crate) fn log_readiness(&self) {
        if self.readiness_logged.get() || self.settings.ready_address.is_none() || !self.is_ready() {
            return;
        }
        self.readiness_logged.set(true);
        let elapsed: Duration = self.now() - self.started_at;
        match self.freshness() {
            Freshness::TimedOut { .. } => {
                warn!(self.log, "ready: no majority confirmed the control state before the timeout"; "us" => elapsed.as_micros());
            }
            _ => info!(self.log, "ready: as current as a majority at the start"; "us" => elapsed.as_micros()),
        }
    }
}
