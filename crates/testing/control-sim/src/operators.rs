//! Two operators and more, drawn: calls through any control node, several open at a time, and calls sent again long after.
//!
//! What becomes of a call is written in `calls`.

use crate::calls::Sending;
use crate::content::{Change, Item, UNVERSIONED};
use crate::event::Event;
use crate::history::FIRST_ORDER_NAME;
use crate::operator_state::{Call, OpenCall};
use crate::world::World;
use silvercross_time::Duration;

/// Open calls of one operator.
const MAX_OPEN_CALLS: usize = 8;
/// Calls that are remembered, to be sent again at some time.
const MAX_REMEMBERED_CALLS: usize = 64;
/// Names of items that calls begin with.
const ITEM_NAMES: u64 = 5;
/// Zones that are ordered about.
const ZONES_WITH_ORDERS: u64 = 2;
/// An operator pauses at least so long.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// And less than this where it is in haste.
const MAX_SHORT_PAUSE: Duration = Duration::from_millis(10);
/// Or than this.
const MAX_PAUSE: Duration = Duration::from_millis(400);

impl World {
    /// An operator does something, and will do something again, until the schedule's stop.
    pub(crate) fn act_as_operator(&mut self, operator: usize) {
        if self.now >= self.stop_at {
            return;
        }
        let is_own = |open: &&OpenCall| open.operator == Some(operator);
        if self.operators.open.values().filter(is_own).count() < MAX_OPEN_CALLS {
            self.draw_and_send(operator);
        }
        let most = if self.rng.one_in(3) { MAX_SHORT_PAUSE } else { MAX_PAUSE };
        let pause = self.rng.duration(MIN_PAUSE, most);
        self.after(pause, Event::OperatorActs(operator));
    }

    fn draw_and_send(&mut self, operator: usize) {
        let node = self.draw_entry_node();
        if self.plan.has_orders && self.rng.one_in(2) {
            return self.draw_order(operator, node);
        }
        let key = self.rng.index(self.plan.versioned_keys());
        let call = match self.rng.below(10) {
            0..=2 => self.new_call_of(key, Change::new()),
            3 | 4 if !self.operators.remembered.is_empty() => {
                let which = self.rng.index(self.operators.remembered.len());
                self.report.repeats += 1;
                self.operators.remembered[which].clone()
            }
            _ => self.draw_new_call(operator, key),
        };
        self.begin_call(Sending { operator: Some(operator), node, call, retries: 0 });
    }

    /// Draws a call, and one time in three sends a rival before it: other contents under the same versions.
    fn draw_new_call(&mut self, operator: usize, key: usize) -> Call {
        let call = self.draw_call(key);
        if self.rng.one_in(3) {
            let mut rival = self.new_call_of(key, call.change.clone());
            let content = self.operators.next_content();
            rival.change.iter_mut().for_each(|item| item.content = content);
            let node = self.draw_entry_node();
            self.begin_call(Sending { operator: Some(operator), node, call: rival, retries: 0 });
        }
        let remembered = &mut self.operators.remembered;
        remembered.push(call.clone());
        if remembered.len() > MAX_REMEMBERED_CALLS {
            remembered.remove(0);
        }
        call
    }

    /// Draws an order, or one that was given before.
    fn draw_order(&mut self, operator: usize, node: usize) {
        let key = self.plan.keys - 1;
        let is_order = |call: &&Call| call.key == key;
        let earlier: Vec<Call> = self.operators.remembered.iter().filter(is_order).cloned().collect();
        let call = match earlier.len() {
            0 => self.new_order(),
            count if self.rng.one_in(4) => earlier[self.rng.index(count)].clone(),
            _ => self.new_order(),
        };
        self.operators.remembered.push(call.clone());
        if self.operators.remembered.len() > MAX_REMEMBERED_CALLS {
            self.operators.remembered.remove(0);
        }
        self.begin_call(Sending { operator: Some(operator), node, call, retries: 0 });
    }

    /// A new order for one of the zones.
    pub fn new_order(&mut self) -> Call {
        let name = FIRST_ORDER_NAME + self.rng.below(ZONES_WITH_ORDERS) as u8;
        let content = self.operators.next_content();
        let key = self.plan.keys - 1;
        self.new_call_of(key, vec![Item { name, version: UNVERSIONED, content, needs: 0 }])
    }

    fn draw_call(&mut self, key: usize) -> Call {
        let new_content = self.operators.next_content();
        let first = 1 + self.rng.below(ITEM_NAMES) as u8;
        let count = if self.rng.one_in(3) { 2 } else { 1 };
        let mut change = Change::new();
        for name in first..first + count {
            let draw = self.rng.below(12);
            let known = self.operators.versions.entry((key, name)).or_default();
            // One in four races for a version that was asked for before.
            let version = if draw.is_multiple_of(4) { (*known).max(1) } else { *known + 1 };
            *known = version.max(*known);
            let content = if draw == 5 { 0 } else { new_content };
            let needs = if draw == 6 { 1 + self.rng.below(ITEM_NAMES) as u8 } else { 0 };
            change.push(Item { name, version, content, needs });
        }
        self.new_call_of(key, change)
    }
}
