//! Connections that are rejected because a limit is reached.
use super::counters::ConnectionKind;
use super::state::NodeState;
use slog::warn;

impl NodeState {
    /// Counts a rejected connection, and logs it at a limited rate.
    pub(crate) fn reject_connection(&self, kind: ConnectionKind) {
        let counters = &self.counters;
        let count = match kind {
            ConnectionKind::Outbound => &counters.rejected_clients,
            ConnectionKind::Inbound => &counters.rejected_hops,
            ConnectionKind::Link => &counters.rejected_links,
            ConnectionKind::Call => &counters.rejected_calls,
        };
        count.set(count.get() + 1);
        if let Some(count) = self.rejected_connections_logs[kind as usize].due(self.now()) {
            warn!(self.log, "connections rejected"; "at" => kind.name(), "count" => count);
        }
    }
}
