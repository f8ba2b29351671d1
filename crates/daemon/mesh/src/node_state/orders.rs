//! Operators' orders, which carry no version: which of them are newer than all that were acknowledged, and those that were
//! not carried out, counted and logged, since nobody may have heard their responses.
use super::state::NodeState;
use crate::control_value::ControlValue;
use silvercross_control_store::{ControlStore, Revision};
use silvercross_time::Instant;
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

    /// Whether an order that was sent after `sent_after` is newer than every one up to this revision, which was read from a
    /// majority.
    pub(crate) fn is_order_newer(&self, key: &str, read: Revision, sent_after: Instant) -> bool {
        let is_newer =
            |store: &ControlStore<ControlValue>| store.is_newer_than_changes(key, read, sent_after);
        self.peers.control_store(is_newer).unwrap_or(false)
    }

    /// Counts an order that may be older than an acknowledged one, so that its caller is asked again.
    pub(crate) fn count_order_asked_again(&self, path: &str, caller: &str, sent_after: Instant) {
        self.counters.orders_asked_again.set(self.counters.orders_asked_again.get() + 1);
        if let Some(count) = self.orders_asked_again_log.due(self.now()) {
            info!(self.log, "order may be older than an acknowledged one: its caller is asked again"; "call" => path,
                "caller" => caller, "opened_us" => (self.now() - sent_after).as_micros(), "count" => count);
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
