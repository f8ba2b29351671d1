//! Orders at a control node, as the mesh's program carries them out: it reads with a majority, looks whether the operator is
//! still there, asks again for an order that may be older than the one it would reverse, and changes the key under the epoch
//! of that read alone.

use crate::content::{Change, Item, Items};
use crate::history::{Answer, RequestedItem};
use crate::node::OrderRead;
use crate::operator_state::CallToken;
use crate::plan::{key_name, OrderHandling};
use crate::world::World;
use silvercross_control_store::{CallOutcome, ControlStore, Epoch, ReadEpoch};
use silvercross_time::{Duration, Instant};

/// Tokens of the reads before orders; those of other majority reads are below.
pub(crate) const FIRST_ORDER_READ_TOKEN: u64 = 1 << 41;

/// A node knows within this when a connection was opened.
const MAX_OPENING_UNCERTAINTY: Duration = Duration::from_millis(200);

/// Whether an order says something else than the one in force, if there is one.
fn is_reversed(value: &Items, order: &Change) -> bool {
    order.iter().any(|item| value.0.get(&item.name).is_some_and(|known| known.content != item.content))
}

/// Whether a control store's token is that of such a read.
pub(crate) fn is_read_before_order(token: u64) -> bool {
    token >= FIRST_ORDER_READ_TOKEN
}

impl World {
    /// Whether a call is an order.
    pub(crate) fn is_order(&self, token: CallToken) -> bool {
        self.plan.has_orders && self.history.operations[token.index()].key + 1 == self.plan.keys
    }

    fn order(&self, token: CallToken) -> Change {
        let item = |requested: &RequestedItem| {
            let RequestedItem { name, version, content, needs } = *requested;
            Item { name, version, content, needs }
        };
        self.history.operations[token.index()].items.iter().map(item).collect()
    }

    /// An order has reached the node it was sent to. Its operator may have left long ago.
    pub(crate) fn handle_order(&mut self, node: usize, token: CallToken, under: Option<Epoch>) {
        let (now, key, change) = (self.local_now(node), key_name(self.plan.keys - 1), self.order(token));
        let read_token = FIRST_ORDER_READ_TOKEN + self.next_number();
        let taken_at = self.now;
        if let Some(open) = self.operators.open.get_mut(&token) {
            open.taken_at = Some(taken_at);
        }
        let machine = &mut self.nodes[node];
        let is_replica = |store: &&mut ControlStore<Items>| !store.is_outside();
        let Some(store) = machine.store.as_mut().filter(is_replica) else {
            return self.end_call(token, Answer::OutcomeUnknown);
        };
        match under {
            _ if self.plan.order_handling == OrderHandling::Any => store.call(now, token.0, &key, change),
            Some(_) if machine.abandoned_calls.contains(&token) => {}
            Some(epoch) => {
                store.call_under(now, token.0, &key, change, ReadEpoch { epoch, called_at: now });
            }
            None => {
                machine.reads_before_orders.insert(read_token, OrderRead { token, called_at: now });
                store.read(now, read_token, &key);
            }
        }
        self.run_effects(node);
    }

    /// The read before an order is answered.
    pub(crate) fn carry_out_order(&mut self, node: usize, read_token: u64, outcome: CallOutcome<Items>) {
        let (now, key) = (self.local_now(node), key_name(self.plan.keys - 1));
        let Some(read) = self.nodes[node].reads_before_orders.remove(&read_token) else { return };
        let OrderRead { token, called_at } = read;
        let change = self.order(token);
        let opened_after = self.connection_opened_after(node, token);
        let checks_age = self.plan.order_handling == OrderHandling::Checked;
        let machine = &mut self.nodes[node];
        let Some(store) = &mut machine.store else { return };
        match outcome {
            CallOutcome::Value { revision, value } if !machine.abandoned_calls.contains(&token) => {
                let is_newer = store.is_newer_than_changes(&key, revision, opened_after);
                if checks_age && !is_newer && is_reversed(&value, &change) {
                    return self.ask_again(node, token, revision.epoch);
                }
                let read = ReadEpoch { epoch: revision.epoch, called_at };
                store.call_under(now, token.0, &key, change, read);
            }
            _ => self.end_call(token, Answer::OutcomeUnknown),
        }
    }

    /// What the node knows of when the connection of an order was opened, by its clock.
    fn connection_opened_after(&mut self, node: usize, token: CallToken) -> Instant {
        let uncertainty = self.rng.duration(Duration::ZERO, MAX_OPENING_UNCERTAINTY);
        let opened_at = self.history.operations[token.index()].invoked_at;
        opened_at + self.nodes[node].clock_offset - uncertainty
    }

    /// A node sees that the operator of a call has left.
    pub(crate) fn handle_caller_left(&mut self, node: usize, token: CallToken) {
        if !self.is_order(token) || self.plan.order_handling == OrderHandling::Any {
            return;
        }
        let machine = &mut self.nodes[node];
        machine.abandoned_calls.insert(token);
        if let Some(store) = &mut machine.store {
            store.cancel(token.0);
        }
        self.run_effects(node);
    }
}
