//! Point 3: losses in the middle of changes of the replica set.

use super::*;
use silvercross_control_sim::history::Operation;
use silvercross_control_store::Node;

/// A replacement that loses power on the way.
#[derive(Clone, Copy, Debug)]
pub struct PowerCase {
    /// A replica stops gracefully, or is lost for good.
    pub is_graceful: bool,
    /// Power goes so long after that.
    pub after: Duration,
    /// The one control node that keeps its power.
    pub spared: Option<usize>,
}

/// All lose power, or all but one; whether a joint replica set was under way.
pub fn power_lost_in_a_replacement(case: PowerCase) -> Result<bool, CaseError> {
    let mut world = quiet(1, 2, None)?;
    // Until all know that there is a spare node.
    world.run(SECOND * 2);
    let owner = owner(&world)?;
    // The newest is held by the owner and one other.
    let rest = others(&world, owner);
    let directions = world.cut_between(&[owner], &rest[1..2], true);
    put(&mut world, owner, 1, 2)?;
    reached(version_at(&world, rest[1], 1) < 2, "one replica lacks the newest")?;
    heal(&mut world, &directions);
    if case.is_graceful {
        world.stop_gracefully(owner, SECOND * 2, false);
    } else {
        world.run(SECOND * 3);
        lose_disk(&mut world, rest[1], true);
    }
    world.run(case.after);
    let is_joint = world.newest_replica_set().is_some_and(|set| set.is_joint());
    let loses_power = |node: &usize| Some(*node) != case.spared;
    (0..world.control_node_count()).filter(loses_power).for_each(|node| world.crash(node, true));
    world.run(SECOND);
    end(world)?;
    Ok(is_joint)
}

/// A replica that left gracefully, cut off together with one other as soon as both know that it is none any more: they
/// acknowledge nothing, and the others go on.
pub fn removed_beside_one_other(mutation: Option<Mutation>) -> Outcome {
    let mut world = quiet(1, 2, mutation)?;
    world.run(SECOND * 2);
    let removed = owner(&world)?;
    let id = Node(world.nodes[removed].id);
    let beside = others(&world, removed)[0];
    let rest: Vec<usize> = others(&world, removed).into_iter().filter(|node| *node != beside).collect();
    world.stop_gracefully(removed, SECOND * 20, false);
    let knows = |world: &World, node: usize| {
        let store = world.nodes[node].store.as_ref();
        store.is_some_and(|store| !store.replica_set().contains(id) && !store.replica_set().is_joint())
    };
    let began = world.now;
    while !(knows(&world, removed) && knows(&world, beside)) {
        reached(world.now < began + SECOND * 5, "it is replaced while it is there")?;
        world.run(Duration::from_micros(100));
    }
    world.cut_between(&[removed, beside], &rest, true);
    let cut_at = world.now;
    for name in 1..20_u8 {
        for node in [beside, removed, rest[0], rest[1]] {
            let call = world.new_call(KEY, name, 5);
            world.send_call(node, call);
        }
        world.run(SECOND / 4);
    }
    let is_late = |operation: &&Operation| operation.invoked_at >= cut_at && operation.is_committed();
    let acknowledged_by = |nodes: &[usize]| {
        let late = world.history.operations.iter().filter(is_late);
        late.filter(|operation| nodes.contains(&operation.node)).count()
    };
    reached(acknowledged_by(&rest) > 0, "the others acknowledge")?;
    if mutation.is_none() && acknowledged_by(&[removed, beside]) > 0 {
        let what = "the removed one and one other acknowledge";
        return Err(CaseError::Unexpected(what.to_owned()));
    }
    end(world)
}

/// The step to the replica set without the leaver is known to one replica and the newcomer, which acknowledge a change; then
/// the one is wiped, the newcomer out of reach, the leaver back with its old disk, and the third back from a cut.
pub fn wiped_after_the_step(mutation: Option<Mutation>) -> Outcome {
    let mut world = quiet(1, 2, mutation)?;
    world.run(SECOND * 2);
    let (missed, wiped, leaver, newcomer) = (0, 1, 2, 3);
    let directions = world.cut_between(&[missed], &[wiped, leaver, newcomer], true);
    world.stop_gracefully(leaver, SECOND * 20, false);
    let votes = |world: &World, node: usize| {
        let store = world.nodes[node].store.as_ref();
        store.is_some_and(|store| store.is_voter() && store.replica_set().version == 3)
    };
    let began = world.now;
    while !(votes(&world, wiped) && votes(&world, newcomer)) {
        let what = "one replica and the newcomer vote under the new replica set";
        reached(world.now < began + SECOND * 9, what)?;
        world.run(millis(1));
    }
    put_within(&mut world, wiped, 1, 2, SECOND * 2)?;
    world.cut_between(&[newcomer], &[missed, wiped, leaver], true);
    world.freeze(newcomer);
    world.crash(leaver, false);
    world.start(leaver);
    let set = world.nodes[leaver].store.as_ref().map(|store| store.replica_set().version);
    reached(set == Some(2), "the leaver is back in the joint replica set")?;
    lose_disk(&mut world, wiped, false);
    heal(&mut world, &directions);
    world.cut_between(&[newcomer], &[missed], true);
    world.start(wiped);
    for _ in 0..20 {
        world.read(missed, KEY);
        world.run(SECOND / 4);
    }
    end(world)
}

/// The newcomer is wiped so long after the change began, and again; whether it was coming.
pub fn newcomer_wiped(after: Duration) -> Result<bool, CaseError> {
    let newcomer = 3;
    let mut world = quiet(1, 2, None)?;
    world.run(SECOND * 2);
    let leaver = owner(&world)?;
    put(&mut world, leaver, 1, 2)?;
    world.stop_gracefully(leaver, SECOND * 6, false);
    world.run(after);
    let is_joining = world.newest_replica_set().is_some_and(|set| set.is_joint());
    for _ in 0..2 {
        lose_disk(&mut world, newcomer, false);
        world.run(millis(100));
        world.start(newcomer);
        world.run(millis(200));
    }
    let entry = others(&world, leaver)[0];
    put_within(&mut world, entry, 1, 3, SECOND * 4)?;
    end(world)?;
    Ok(is_joining)
}
