//! Orders at a control node, as the mesh's program carries them out: it reads with a majority, looks whether the operator is
//! still there, and changes the key under the epoch of that read alone.

use crate::content::{Change, Item, Items};
use crate::history::{Answer, RequestedItem};
use crate::node::OrderRead;
use crate::operator_state::CallToken;
use crate::plan::key_name;
use crate::world::World;
use silvercross_control_store::{CallOutcome, ControlStore, ReadEpoch};

/// Tokens of the reads before orders; those of other majority reads are below.
pub(crate) const FIRST_ORDER_READ_TOKEN: u64 = 1 << 41;

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
    pub(crate) fn handle_order(&mut self, node: usize, token: CallToken) {
        let (now, key, change) = (self.local_now(node), key_name(self.plan.keys - 1), self.order(token));
        let read_token = FIRST_ORDER_READ_TOKEN + self.next_number();
        let machine = &mut self.nodes[node];
        let is_replica = |store: &&mut ControlStore<Items>| !store.is_outside();
        let Some(store) = machine.store.as_mut().filter(is_replica) else {
            return self.end_call(token, Answer::OutcomeUnknown);
        };
        if self.plan.carries_out_any_order {
            store.call(now, token.0, &key, change);
        } else {
            machine.reads_before_orders.insert(read_token, OrderRead { token, called_at: now });
            store.read(now, read_token, &key);
        }
        self.run_effects(node);
    }

    /// The read before an order is answered.
    pub(crate) fn carry_out_order(&mut self, node: usize, read_token: u64, outcome: CallOutcome<Items>) {
        let (now, key) = (self.local_now(node), key_name(self.plan.keys - 1));
        let Some(read) = self.nodes[node].reads_before_orders.remove(&read_token) else { return };
        let OrderRead { token, called_at } = read;
        let change = self.order(token);
        let machine = &mut self.nodes[node];
        let Some(store) = &mut machine.store else { return };
        match outcome {
            CallOutcome::Value { revision, .. } if !machine.abandoned_calls.contains(&token) => {
                let read = ReadEpoch { epoch: revision.epoch, called_at };
                store.call_under(now, token.0, &key, change, read);
            }
            _ => self.end_call(token, Answer::OutcomeUnknown),
        }
    }

    /// A node sees that the operator of a call has left.
    pub(crate) fn handle_caller_left(&mut self, node: usize, token: CallToken) {
        if !self.is_order(token) || self.plan.carries_out_any_order {
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
