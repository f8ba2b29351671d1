//! Operators' calls that were not carried out, counted and logged: nobody may have heard their responses.
use super::state::NodeState;
use slog::info;
use std::time::Duration;

impl NodeState {
    /// Counts a call that was given up because its caller had left.
    pub(crate) fn count_abandoned_call(&self, name: &str, caller: &str, after: Duration) {
        self.counters.abandoned_calls.set(self.counters.abandoned_calls.get() + 1);
        if let Some(count) = self.abandoned_calls_log.due(self.now()) {
            info!(self.log, "call given up: its caller has left"; "of" => name, "caller" => caller,
                "us" => after.as_micros() as u64, "count" => count);
        }
    }

    /// Counts an order that was not carried out: no majority confirmed it, or a newer one may have been acknowledged.
    pub(crate) fn count_unsettled_order(&self, path: &str) {
        self.counters.unsettled_orders.set(self.counters.unsettled_orders.get() + 1);
        if let Some(count) = self.unsettled_orders_log.due(self.now()) {
            info!(self.log, "order not carried out"; "call" => path, "count" => count);
        }
    }
}
