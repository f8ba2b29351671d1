//! The end of faults, each in its time; after the heal all have ended.

use crate::event::{Event, FaultEnd};
use crate::lifecycle::SIGN_OFF_INTERVAL;
use crate::world::World;
use silvercross_time::{Duration, Instant};

/// A frozen node's disk is looked at again after this: the process hears of its space when it goes on.
const FREE_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl World {
    /// A fault is to end after so long.
    pub(crate) fn end_fault_after(&mut self, span: Duration, end: FaultEnd) {
        self.after(span, Event::FaultEnds(end));
    }

    /// A fault ends. After the heal all have ended already.
    pub(crate) fn end_fault(&mut self, end: FaultEnd) {
        if self.is_healed {
            return;
        }
        match end {
            FaultEnd::Start(node) => self.start(node),
            FaultEnd::Unfreeze(node) => self.unfreeze(node),
            FaultEnd::Heal(directions) => {
                directions.into_iter().for_each(|direction| self.set_blocked(direction, false));
            }
            FaultEnd::SignOff { node, generation, deadline } => self.sign_off(node, generation, deadline),
            FaultEnd::Exit { node, generation, for_good } => {
                if self.nodes[node].generation == generation {
                    self.exit(node, for_good);
                }
            }
            FaultEnd::FreeDisk(node) if self.nodes[node].is_frozen => {
                self.end_fault_after(FREE_DISK_RETRY_INTERVAL, FaultEnd::FreeDisk(node));
            }
            FaultEnd::FreeDisk(node) => self.free_disk(node),
            FaultEnd::RestoreSeeds(node) => self.set_seeds(node, (0..self.control_node_count()).collect()),
        }
    }

    /// A process that stops gracefully leaves membership, unless it is still needed and there is time.
    fn sign_off(&mut self, node: usize, generation: u64, deadline: Instant) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        if machine.generation != generation {
            return;
        }
        let is_needed = machine.store.as_ref().is_some_and(|store| store.is_still_needed());
        if (machine.is_frozen || is_needed) && self.now < deadline {
            let again = FaultEnd::SignOff { node, generation, deadline };
            return self.end_fault_after(SIGN_OFF_INTERVAL, again);
        }
        if let Some(membership) = machine.membership.as_mut().filter(|_| !machine.is_frozen) {
            membership.leave(now);
            self.run_effects(node);
        }
    }

    /// The grace period is over.
    fn exit(&mut self, node: usize, for_good: bool) {
        // Another disk may have been lost since it began.
        let is_bearable = for_good && self.is_replaceable(node) && self.is_loss_bearable(node);
        self.crash(node, false);
        if for_good && !is_bearable {
            self.start(node);
        }
        if is_bearable {
            self.nodes[node].storage.wipe();
            self.nodes[node].is_destroyed = true;
        }
    }
}
