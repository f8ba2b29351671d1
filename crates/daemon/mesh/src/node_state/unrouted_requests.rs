//! Requests that were answered 404 because no route was known for them, and those of them whose route came later: on a node whose
//! configuration is behind, a proper request looks like a wrong one. Knows nothing of requests in progress.
use silvercross_mesh_config::RoutingTable;
use silvercross_time::{Duration, Instant};
use std::collections::VecDeque;

/// Rejected requests that are remembered; beyond it the oldest is forgotten.
const MAX_REMEMBERED: usize = 256;
/// Longest host and path that are remembered, in bytes; longer ones are counted only.
const MAX_ADDRESS_BYTES: usize = 512;
/// A route that comes later than this after a request is taken for a new one, not for one that was late.
const LATE_ROUTE_WINDOW: Duration = Duration::from_secs(15);

/// A request for which no route was known.
struct UnroutedRequest {
    at: Instant,
    host: String,
    path: String,
}

/// Requests without a route.
#[derive(Default)]
pub(super) struct UnroutedRequests {
    /// The latest, oldest first; at most [`MAX_REMEMBERED`].
    remembered: VecDeque<UnroutedRequest>,
    counts: UnroutedCounts,
}

/// Counts since the start.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub(crate) struct UnroutedCounts {
    /// Requests answered 404 for want of a route.
    pub(crate) rejected: u64,
    /// Of these, those whose route came within [`LATE_ROUTE_WINDOW`].
    pub(crate) route_came_late: u64,
    /// The longest time between such a request and its route.
    pub(crate) longest_wait: Duration,
}

impl UnroutedRequests {
    /// A request was rejected.
    pub(super) fn reject(&mut self, at: Instant, host: &str, path: &str) {
        self.counts.rejected += 1;
        if host.len() + path.len() > MAX_ADDRESS_BYTES {
            return;
        }
        if self.remembered.len() == MAX_REMEMBERED {
            self.remembered.pop_front();
        }
        self.remembered.push_back(UnroutedRequest { at, host: host.to_string(), path: path.to_string() });
    }

    /// Another table is in force: how many of the requests remembered have a route now.
    pub(super) fn table_changed(&mut self, now: Instant, table: &RoutingTable) -> u64 {
        self.remembered.retain(|request| now - request.at <= LATE_ROUTE_WINDOW);
        let counts = &mut self.counts;
        let before = counts.route_came_late;
        self.remembered.retain(|request| {
            let is_routed = table.find(&request.host, &request.path).is_some();
            if is_routed {
                counts.route_came_late += 1;
                counts.longest_wait = counts.longest_wait.max(now - request.at);
            }
            !is_routed
        });
        counts.route_came_late - before
    }

    /// Counts since the start.
    pub(super) fn counts(&self) -> UnroutedCounts {
        self.counts
    }
}

#[cfg(test)]
mod tests;
