//! Directed schedules, for the tests of this folder: each reaches one case of `docs/design/control.md`, says so if it doesn't,
//! and is checked like a drawn one. Here is what they share.
#![allow(dead_code, reason = "each test target uses a part of it")]

mod catch_up;
mod isolations;
mod partitions;
mod readiness;
mod replacements;
mod retries;

use silvercross_control_sim::history::{Answer, ObservedRevision, ReadyReason};
use silvercross_control_sim::{key_name, Call, Direction, Report, ScenarioPlan, ScheduleError, World};
use silvercross_control_store::Mutation;
use silvercross_time::Duration;
use std::fmt;

#[allow(unused_imports, reason = "each test target uses a part of it")]
pub use {catch_up::*, isolations::*, partitions::*, readiness::*, replacements::*, retries::*};

pub const SECOND: Duration = Duration::from_secs(1);
/// The seed of all directed schedules.
const SEED: u64 = 7;
/// The one key of a quiet world.
pub const KEY: usize = 0;

/// Why a case failed.
#[derive(Debug)]
pub enum CaseError {
    /// It did not come to what it is about: the case itself is wrong.
    NotReached(String),
    /// Something is not as it has to be.
    Unexpected(String),
    /// The schedule failed.
    Schedule(ScheduleError),
}

impl CaseError {
    /// Something that has to be in time isn't, or the case is wrong; as against a rule that was broken.
    pub fn is_liveness_or_not_reached(&self) -> bool {
        match self {
            CaseError::NotReached(_) => true,
            CaseError::Unexpected(_) => false,
            CaseError::Schedule(error) => error.is_liveness(),
        }
    }
}

impl From<ScheduleError> for CaseError {
    fn from(error: ScheduleError) -> CaseError {
        CaseError::Schedule(error)
    }
}

impl fmt::Display for CaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CaseError::NotReached(what) => write!(f, "not reached: {what}"),
            CaseError::Unexpected(what) => f.write_str(what),
            CaseError::Schedule(error) => error.fmt(f),
        }
    }
}

/// What a case comes to.
pub type Outcome = Result<Report, CaseError>;

pub fn millis(count: i64) -> Duration {
    Duration::from_millis(count)
}

/// Says that a case did not come to what it is about.
pub fn reached(is_reached: bool, what: &str) -> Result<(), CaseError> {
    is_reached.then_some(()).ok_or_else(|| CaseError::NotReached(what.to_owned()))
}

/// Three replicas, spare control nodes and sidecars at rest.
pub fn quiet(spares: usize, sidecars: usize, store_mutation: Option<Mutation>) -> Result<World, CaseError> {
    let mut world =
        World::new(SEED, ScenarioPlan { store_mutation, ..ScenarioPlan::quiet(spares, sidecars) });
    world.begin_quietly()?;
    Ok(world)
}

pub fn is_committed(answer: &Answer) -> bool {
    matches!(answer, Answer::Committed { .. })
}

/// The control node that owns the key.
pub fn owner(world: &World) -> Result<usize, CaseError> {
    let owns =
        |node: &usize| world.nodes[*node].store.as_ref().is_some_and(|store| !store.owned_keys().is_empty());
    let owner = (0..world.control_node_count()).find(owns);
    owner.ok_or_else(|| CaseError::NotReached("an owner".to_owned()))
}

/// All control nodes but one.
pub fn others(world: &World, node: usize) -> Vec<usize> {
    (0..world.control_node_count()).filter(|other| *other != node).collect()
}

/// One call of one item, acknowledged within a second.
pub fn put(world: &mut World, node: usize, name: u8, version: u64) -> Result<(), CaseError> {
    let call = world.new_call(KEY, name, version);
    let answer = world.ask(node, call, SECOND);
    let what = format!("item {name} version {version} is acknowledged by {node}: {answer:?}");
    reached(is_committed(&answer), &what)
}

/// The same, but tried until it is, within so long.
pub fn put_within(
    world: &mut World,
    node: usize,
    name: u8,
    version: u64,
    limit: Duration,
) -> Result<(), CaseError> {
    let call = world.new_call(KEY, name, version);
    let until = world.now + limit;
    loop {
        let answer = world.ask(node, call.clone(), SECOND);
        if is_committed(&answer) {
            return Ok(());
        }
        if world.now > until {
            let what = format!("item {name} is not acknowledged by {node} within {limit}: {answer:?}");
            return Err(CaseError::Unexpected(what));
        }
    }
}

/// A read, as a call to be sent without waiting for it.
pub fn new_read(world: &mut World) -> Call {
    world.new_call_of(KEY, Vec::new())
}

/// The version of an item that is in force at a node.
pub fn version_at(world: &World, node: usize, name: u8) -> u64 {
    let incarnation = world.history.incarnations.iter().rfind(|incarnation| incarnation.node == node);
    let applied = incarnation.and_then(|incarnation| incarnation.applied.last());
    applied.and_then(|applied| applied.value.get(&name)).map_or(0, |state| state.version)
}

/// The revision that a control node has accepted.
pub fn accepted(world: &World, node: usize) -> Option<ObservedRevision> {
    let store = world.nodes[node].store.as_ref()?;
    let key = store.key_states().into_iter().find(|state| state.key == key_name(KEY))?;
    let epoch = key.accepted.epoch;
    let sequence = key.accepted.sequence;
    Some(ObservedRevision { round: epoch.round, owner: u64::from(epoch.owner), sequence })
}

/// Why the newest process of a node reported itself ready, if it did.
pub fn ready_reason(world: &World, node: usize) -> Option<ReadyReason> {
    let incarnation = world.history.incarnations.iter().rfind(|incarnation| incarnation.node == node);
    incarnation.and_then(|incarnation| incarnation.ready).map(|ready| ready.reason)
}

pub fn heal(world: &mut World, directions: &[Direction]) {
    directions.iter().for_each(|direction| world.set_blocked(*direction, false));
}

/// A machine loses its power and its disk, and comes back never if `for_good`.
pub fn lose_disk(world: &mut World, node: usize, for_good: bool) {
    world.crash(node, true);
    world.nodes[node].storage.wipe();
    world.nodes[node].is_destroyed = for_good;
}

/// Healed, at rest, with calls taken everywhere, and checked.
pub fn end(mut world: World) -> Outcome {
    world.heal();
    world.rest()?;
    world.call_everywhere()?;
    Ok(world.finish()?)
}
