//! Points 1 and 4: when a sidecar that starts reports itself ready.

use super::*;
use silvercross_control_sim::READY_WAIT_LIMIT;
use silvercross_mesh_membership as membership;

/// How a sidecar comes below a control node that has old state.
#[derive(Clone, Copy, Debug)]
pub enum Below {
    /// It starts for the first time, and knows only that node.
    Joins,
    /// It was there before.
    Restarts,
    /// So, and another one is between it and that node.
    UnderRelay,
}

/// A control node is frozen while a change is acknowledged, and goes on when the others are gone; a sidecar starts below it.
/// The others come back after so long.
pub fn sidecar_below_old_state(
    below: Below,
    away: Duration,
    membership_mutation: Option<membership::Mutation>,
) -> Outcome {
    let mut world = World::new(SEED, ScenarioPlan { membership_mutation, ..ScenarioPlan::quiet(0, 2) });
    let (sidecar, relay) = (world.control_node_count() + 1, world.control_node_count());
    if matches!(below, Below::Joins) {
        world.nodes[sidecar].is_destroyed = true;
    }
    world.begin_quietly()?;
    let old = owner(&world)?;
    let rest = others(&world, old);
    let directions = leave_alone_with_old_state(&mut world, old, &[sidecar, relay])?;
    if matches!(below, Below::UnderRelay) {
        world.cut_between(&[sidecar], &[old], true);
        world.start(relay);
    }
    world.start(sidecar);
    let began = world.now;
    world.run(away.min(SECOND * 4));
    reached(version_at(&world, old, 1) < 2, "the one that is left has old state")?;
    let is_mutated = membership_mutation.is_some();
    if !is_mutated {
        reached(version_at(&world, sidecar, 1) == 1, "the sidecar has that old state")?;
        reached(ready_reason(&world, sidecar).is_none(), "and is not ready")?;
    }
    world.run((began + away - world.now).max(Duration::ZERO));
    let is_limit_passed = away > READY_WAIT_LIMIT;
    if is_limit_passed && !is_mutated {
        let is_ready = ready_reason(&world, sidecar) == Some(ReadyReason::WaitLimit);
        reached(is_ready, "it is ready by the wait limit, with what it has")?;
    }
    heal(&mut world, &directions);
    rest.iter().for_each(|node| world.start(*node));
    world.run(SECOND * 5);
    if !is_limit_passed && !is_mutated {
        let is_ready = ready_reason(&world, sidecar) == Some(ReadyReason::Current);
        reached(is_ready, "it is ready as the majority is back")?;
    }
    end(world)
}

/// All but one control node acknowledge a change that this one misses, and end; the sidecars, which have ended before, are to
/// know only this one.
fn leave_alone_with_old_state(
    world: &mut World,
    old: usize,
    sidecars: &[usize; 2],
) -> Result<Vec<Direction>, CaseError> {
    let rest = others(world, old);
    sidecars.iter().for_each(|sidecar| world.crash(*sidecar, false));
    // What is sent to it while it is frozen comes when the others are there again.
    let directions = world.cut_between(&rest, &[old], false);
    world.freeze(old);
    put_within(world, rest[0], 1, 2, SECOND * 6)?;
    rest.iter().for_each(|node| world.crash(*node, false));
    world.unfreeze(old);
    for sidecar in sidecars {
        world.nodes[*sidecar].is_destroyed = false;
        world.nodes[*sidecar].seeds = vec![old];
    }
    Ok(directions)
}

/// How long a sidecar that starts where all is well waits until it is ready.
pub fn ready_delay(sidecars: usize) -> Result<Duration, CaseError> {
    let mut world = quiet(0, sidecars, None)?;
    let sidecar = world.control_node_count();
    world.crash(sidecar, false);
    put(&mut world, 0, 1, 2)?;
    world.start(sidecar);
    let began = world.now;
    world.run(SECOND * 9);
    let ready = world.history.incarnations.last().and_then(|incarnation| incarnation.ready);
    let ready = ready.filter(|ready| ready.reason == ReadyReason::Current);
    let Some(ready) = ready else {
        return Err(CaseError::Unexpected("it is not ready as current".to_owned()));
    };
    end(world)?;
    Ok(ready.at - began)
}
