//! Whether the platform may give this machine's clients work.
use super::state::NodeState;
use silvercross_mesh_membership::Freshness;
use silvercross_time::Duration;
use slog::{info, warn};
use std::fmt;

/// Why this process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotReady {
    /// It is on its way out.
    Stopping,
    /// It knows no configuration.
    NoConfiguration,
    /// Whether what it has is what a majority of the control replicas has is not known yet.
    NotKnownToBeCurrent,
}

impl fmt::Display for NotReady {
    /// The text of the answer at `ready`, which operators and tests know.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotReady::Stopping => "stopping",
            NotReady::NoConfiguration => "no configuration has come yet",
            NotReady::NotKnownToBeCurrent => "not yet known to be current",
        })
    }
}

impl NodeState {
    /// Whether the platform may give this machine's clients work. Once so it stays so until the process stops.
    pub(crate) fn is_ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// Why it may not. A sidecar that started is not current until it has what a majority had acknowledged before, or could not
    /// find out in time; a request that comes all the same is routed by what it has.
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

    /// Whether what is in force is what a majority had acknowledged before the start.
    pub(crate) fn freshness(&self) -> Freshness {
        self.peers.membership(|membership| membership.freshness())
    }

    /// Log once when this sidecar gets ready, and on what grounds.
    pub(crate) fn log_readiness(&self) {
        if self.readiness_logged.get() || self.settings.ready_address.is_none() || !self.is_ready() {
            return;
        }
        self.readiness_logged.set(true);
        let took: Duration = self.now() - self.started_at;
        match self.freshness() {
            Freshness::TimedOut { .. } => {
                warn!(self.log, "ready: no majority has told within the bound whether this is current"; "us" => took.as_micros());
            }
            _ => info!(self.log, "ready: has what a majority had at the start"; "us" => took.as_micros()),
        }
    }
}
