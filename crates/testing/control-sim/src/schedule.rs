//! One schedule as a whole: a world, operators and faults in it, then all is healed, comes to rest, and is checked.
//!
//! Drawn schedules are played by [`run`]; directed ones call the steps of [`World`] by themselves.

use crate::checker::check;
use crate::error::ScheduleError;
use crate::event::{Event, FaultEnd};
use crate::history::{Answer, ReadyReason};
use crate::link::Direction;
use crate::plan::{OrderHandling, ScenarioPlan};
use crate::report::Report;
use crate::world::World;
use silvercross_control_store::{Mutation, Node};
use silvercross_mesh_membership as membership;
use silvercross_time::{Duration, Instant};

/// After the heal all is at rest within this: links and parents are found anew, a silent owner is given up (2.5 s), one that
/// is lost for good is replaced (it is gone for 4 s, two steps are proposed, each tried again), the newcomer is repaired, and
/// the newest values are everywhere.
pub const MAX_REST_DELAY: Duration = Duration::from_secs(16);
/// Rest is looked for as often as this.
const REST_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A call in a world without faults is answered within this.
const QUIET_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A quiet world's first call is sent after this.
const QUIET_START_DELAY: Duration = Duration::from_millis(300);
/// The item of the calls after the heal; drawn calls never use it.
const LAST_CALL_ITEM: u8 = 100;

/// Plays a drawn schedule, with a rule of the control stores changed on purpose or none.
pub fn run(seed: u64, store_mutation: Option<Mutation>) -> Result<Report, ScheduleError> {
    play(World::new(seed, ScenarioPlan::drawn(seed, store_mutation)))
}

/// The same with a rule of readiness changed on purpose.
pub fn run_with_membership_mutation(
    seed: u64,
    mutation: membership::Mutation,
) -> Result<Report, ScheduleError> {
    let plan = ScenarioPlan { membership_mutation: Some(mutation), ..ScenarioPlan::drawn(seed, None) };
    play(World::new(seed, plan))
}

/// Plays a drawn schedule with orders.
pub fn run_with_orders(
    seed: u64,
    handling: OrderHandling,
    store_mutation: Option<Mutation>,
) -> Result<Report, ScheduleError> {
    let plan = ScenarioPlan::drawn(seed, store_mutation).with_orders();
    play(World::new(seed, ScenarioPlan { order_handling: handling, ..plan }))
}

/// Plays a drawn schedule and prints what happens.
pub fn trace(seed: u64) -> Result<Report, ScheduleError> {
    let mut world = World::new(seed, ScenarioPlan::drawn(seed, None));
    world.is_traced = true;
    play(world)
}

fn play(mut world: World) -> Result<Report, ScheduleError> {
    world.begin_drawn();
    let stop_at = world.stop_at;
    world.play(stop_at);
    world.heal();
    world.rest()?;
    world.call_everywhere()?;
    world.finish()
}

fn millis(count: i64) -> Duration {
    Duration::from_millis(count)
}

impl World {
    /// All are to start at drawn times; operators and faults are to begin.
    fn begin_drawn(&mut self) {
        let length = match self.rng.below(4) {
            0 => self.rng.duration(millis(8_000), millis(22_000)),
            _ => self.rng.duration(millis(3_000), millis(9_000)),
        };
        self.stop_at = Instant::ZERO + length;
        for node in 0..self.nodes.len() {
            let is_early = node < self.control_node_count() || self.rng.one_in(2);
            let latest = if is_early { millis(300) } else { length };
            let delay = self.rng.duration(Duration::ZERO, latest);
            self.after(delay, Event::FaultEnds(FaultEnd::Start(node)));
        }
        for operator in 0..2 + self.rng.index(2) {
            let delay = self.rng.duration(millis(300), millis(1_500));
            self.after(delay, Event::OperatorActs(operator));
        }
        let delay = self.rng.duration(millis(300), millis(2_500));
        self.after(delay, Event::FaultStrikes);
    }

    /// All start at once and come to rest.
    pub fn begin_quietly(&mut self) -> Result<(), ScheduleError> {
        self.begin_with((0..self.nodes.len()).collect())
    }

    /// The same without the spare control nodes, which nobody has heard of then.
    pub fn begin_without_spares(&mut self) -> Result<(), ScheduleError> {
        let spares = self.plan.replicas..self.control_node_count();
        self.begin_with((0..self.nodes.len()).filter(|node| !spares.contains(node)).collect())
    }

    fn begin_with(&mut self, nodes: Vec<usize>) -> Result<(), ScheduleError> {
        nodes.into_iter().for_each(|node| self.start(node));
        self.run(QUIET_START_DELAY);
        let call = self.new_call(0, 1, 1);
        let answer = self.ask(0, call, QUIET_CALL_TIMEOUT);
        if !matches!(answer, Answer::Committed { .. }) {
            return Err(ScheduleError::FirstCallFailed(answer));
        }
        self.rest()
    }

    /// All faults end for good, but the loss of what is lost for good.
    pub fn heal(&mut self) {
        self.is_healed = true;
        self.datagram_loss_per_mille = 0;
        self.one_in_delayed = u64::MAX;
        let count = self.nodes.len();
        for from in 0..count {
            for to in 0..count {
                self.set_blocked(Direction { from, to }, false);
            }
        }
        for node in 0..count {
            self.unfreeze(node);
            self.free_disk(node);
            if self.nodes[node].is_stopping {
                self.crash(node, false);
            }
            self.start(node);
            self.set_seeds(node, (0..self.control_node_count()).collect());
        }
    }

    /// Plays until all is at rest.
    pub fn rest(&mut self) -> Result<(), ScheduleError> {
        let healed_at = self.now;
        while let Some(unrest) = self.unrest() {
            if let Some(error) = self.failure.take() {
                return Err(error);
            }
            if self.now > healed_at + MAX_REST_DELAY {
                return Err(ScheduleError::NotAtRest { after: MAX_REST_DELAY, unrest });
            }
            self.run(REST_POLL_INTERVAL);
        }
        self.report.rested_in = self.report.rested_in.max(self.now - healed_at);
        Ok(())
    }

    /// A call and a read through each control node that is a replica, for each key.
    pub fn call_everywhere(&mut self) -> Result<(), ScheduleError> {
        let set = self.newest_replica_set().unwrap_or_default();
        for node in 0..self.control_node_count() {
            if !set.contains(Node(self.nodes[node].id)) {
                continue;
            }
            for key in 0..self.plan.versioned_keys() {
                let call = self.new_call(key, LAST_CALL_ITEM, 1 + node as u64);
                let answer = self.ask(node, call, QUIET_CALL_TIMEOUT);
                if !matches!(answer, Answer::Committed { .. }) {
                    return Err(ScheduleError::CallAfterHealFailed { node, answer });
                }
                let answer = self.read(node, key);
                if !matches!(answer, Answer::Value(_)) {
                    return Err(ScheduleError::ReadAfterHealFailed { node, answer });
                }
            }
        }
        self.rest()
    }

    /// Everything that was seen is checked.
    pub fn finish(mut self) -> Result<Report, ScheduleError> {
        if let Some(error) = self.failure {
            return Err(error);
        }
        check(&self.history)?;
        let report = &mut self.report;
        for ready in self.history.incarnations.iter().filter_map(|incarnation| incarnation.ready) {
            match ready.reason {
                ReadyReason::Current => report.ready_current += 1,
                ReadyReason::WaitLimit => report.ready_wait_limit += 1,
                ReadyReason::Configured => report.ready_configured += 1,
            }
        }
        let stores = self.nodes.iter().filter_map(|node| node.store.as_ref());
        let newest = stores.map(|store| store.replica_set().version).max();
        report.replica_set_changes = newest.unwrap_or(1).saturating_sub(1);
        report.ended_at = self.now;
        Ok(self.report)
    }
}
