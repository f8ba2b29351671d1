//! Records requests that were answered 404 because no route was known, and how many of them had a route
//! later: on a node with an outdated configuration, a valid request looks like an invalid one. Independent of
//! requests in progress.
use silvercross_mesh_config::RoutingTable;
use silvercross_time::{Duration, Instant};
use std::collections::VecDeque;

/// The maximum number of remembered requests. Beyond it the oldest is forgotten.
const MAX_REMEMBERED: usize = 256;
/// The maximum length of host and path together, in bytes. Longer ones are counted but not remembered.
const MAX_ADDRESS_BYTES: usize = 512;
/// A route that appears later than this after a request is considered new, not late.
const LATE_ROUTE_WINDOW: Duration = Duration::from_secs(15);

/// A request for which no route was known.
struct UnroutedRequest {
    at: Instant,
    host: String,
    path: String,
}

/// Requests without a route, and their counts.
#[derive(Default)]
pub(super) struct UnroutedRequests {
    /// The latest requests, oldest first. At most [`MAX_REMEMBERED`].
    remembered: VecDeque<UnroutedRequest>,
    counts: UnroutedCounts,
}

/// Counts since the start.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub(crate) struct UnroutedCounts {
    /// Requests answered 404 because no route was known.
    pub(crate) rejected: u64,
    /// Of these, requests whose route appeared within [`LATE_ROUTE_WINDOW`].
    pub(crate) route_came_late: u64,
    /// The longest time between such a request and its route.
    pub(crate) longest_wait: Duration,
}

impl UnroutedRequests {
    /// Records a rejected request.
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

    /// Checks the remembered requests against a new routing table. Returns how many of them have a route now.
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

    /// Returns the counts since the start.
    pub(super) fn counts(&self) -> UnroutedCounts {
        self.counts
    }
}

#[cfg(test)]
mod tests;
