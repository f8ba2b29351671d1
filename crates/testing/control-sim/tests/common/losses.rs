//! Directed schedules of points 3 and 4: losses in the middle of changes of the replica set, and who was away for long.

use super::*;

/// Point 3: all lose power, or all but one, so long after a replica was lost for good or told to stop.
pub fn power_in_a_replacement(planned: bool, after: i64, spared: Option<usize>) -> Result<bool, String> {
    let mut world = quiet(1, 2, None)?;
    // Until all know that there is a spare machine.
    world.run(2 * S);
    let owner = owner(&world)?;
    // The newest is held by the owner and one other.
    let rest = others(&world, owner);
    world.cut_between(&[owner], &rest[1..2], true);
    put(&mut world, owner, 1, 2)?;
    reached(version_at(&world, rest[1], 1) < 2, "one replica lacks the newest")?;
    heal_pairs(&mut world, &[(owner, rest[1]), (rest[1], owner)]);
    if planned {
        world.leave(owner, 2 * S, false);
    } else {
        world.run(3 * S);
        world.crash(rest[1], true);
        world.machines[rest[1]].storage.wiped();
        world.machines[rest[1]].destroyed = true;
    }
    world.run(after);
    let joint = world.newest_replica_set().is_some_and(|set| set.joint());
    (0..world.cores()).filter(|node| Some(*node) != spared).for_each(|node| world.crash(node, true));
    world.run(S);
    end(world)?;
    Ok(joint)
}

/// Point 3: a replica that left in plan, cut off together with one other as soon as both know that it is none any more: they
/// acknowledge nothing, and the others go on.
pub fn removed_beside_one_other(broken: Option<Mutation>) -> Outcome {
    let mut world = quiet(1, 2, broken)?;
    world.run(2 * S);
    let removed = owner(&world)?;
    let id = silvercross_control_store::Node(world.machines[removed].id);
    let beside = others(&world, removed)[0];
    let rest: Vec<usize> = others(&world, removed).into_iter().filter(|node| *node != beside).collect();
    world.leave(removed, 20 * S, false);
    let knows = |world: &World, node: usize| {
        let store = world.machines[node].store.as_ref();
        store.is_some_and(|store| !store.replica_set().contains(id) && !store.replica_set().joint())
    };
    let began = world.now;
    while !(knows(&world, removed) && knows(&world, beside)) {
        reached(world.now < began + 5 * S, "it is replaced while it is there")?;
        world.run(100);
    }
    world.cut_between(&[removed, beside], &rest, true);
    let cut = world.now;
    for name in 1..20_u8 {
        for node in [beside, removed, rest[0], rest[1]] {
            let order = world.order(0, name, 5);
            world.send_order(node, order);
        }
        world.run(S / 4);
    }
    let late = |op: &&silvercross_control_sim::Op| op.asked >= cut && matches!(op.said, Said::Done(..));
    let by = |nodes: &[usize]| {
        world.history.ops.iter().filter(late).filter(|op| nodes.contains(&op.entry)).count()
    };
    reached(by(&rest) > 0, "the others acknowledge")?;
    if broken.is_none() && by(&[removed, beside]) > 0 {
        return Err("the removed one and one other acknowledge".to_owned());
    }
    end(world)
}

/// Point 3: the step to the replica set without the leaver is known to one replica and the newcomer, which acknowledge a
/// change; then the one is wiped, the newcomer out of reach, the leaver back with its old disk, and the third back from a cut.
pub fn wiped_after_the_step(broken: Option<Mutation>) -> Outcome {
    let mut world = quiet(1, 2, broken)?;
    world.run(2 * S);
    let (missed, wiped, leaver, newcomer) = (0, 1, 2, 3);
    let pairs = world.cut_between(&[missed], &[wiped, leaver, newcomer], true);
    world.leave(leaver, 20 * S, false);
    let stands = |world: &World, node: usize| {
        let store = world.machines[node].store.as_ref();
        store.is_some_and(|store| store.is_voter() && store.replica_set().version == 3)
    };
    let began = world.now;
    while !(stands(&world, wiped) && stands(&world, newcomer)) {
        reached(world.now < began + 9 * S, "one replica and the newcomer vote under the new replica set")?;
        world.run(1_000);
    }
    put_within(&mut world, wiped, 1, 2, 2 * S)?;
    world.cut_between(&[newcomer], &[missed, wiped, leaver], true);
    world.freeze(newcomer);
    world.crash(leaver, false);
    world.start(leaver);
    let set = world.machines[leaver].store.as_ref().map(|store| store.replica_set().version);
    reached(set == Some(2), "the leaver is back in the joint replica set")?;
    world.crash(wiped, true);
    world.machines[wiped].storage.wiped();
    heal_pairs(&mut world, &pairs);
    world.set_cut(newcomer, missed, true);
    world.set_cut(missed, newcomer, true);
    world.start(wiped);
    for _ in 0..20 {
        world.read(missed, 0);
        world.run(S / 4);
    }
    end(world)
}

/// Point 3: the newcomer is wiped so long after the change began, and again.
pub fn newcomer_wiped(after: i64) -> Result<bool, String> {
    let mut world = quiet(1, 2, None)?;
    world.run(2 * S);
    let leaver = owner(&world)?;
    put(&mut world, leaver, 1, 2)?;
    world.leave(leaver, 6 * S, false);
    world.run(after);
    let coming = world.newest_replica_set().is_some_and(|set| set.joint());
    for _ in 0..2 {
        world.crash(3, true);
        world.machines[3].storage.wiped();
        world.run(100_000);
        world.start(3);
        world.run(200_000);
    }
    let entry = others(&world, leaver)[0];
    put_within(&mut world, entry, 1, 3, 4 * S)?;
    end(world)?;
    Ok(coming)
}

/// How a machine is behind.
#[derive(Clone, Copy, Debug)]
pub enum Behind {
    Restarted,
    Wiped,
    Cut,
    SidecarRestarted,
}

/// Point 4: so many changes without a machine, which then is there again: how long until it has all of them.
pub fn catch_up(behind: Behind, changes: u64) -> Result<i64, String> {
    let mut world = quiet(0, 2, None)?;
    let owner = owner(&world)?;
    let entry = others(&world, owner)[0];
    let late = match behind {
        Behind::SidecarRestarted => world.cores(),
        _ => others(&world, owner)[1],
    };
    let all: Vec<usize> = (0..world.machines.len()).filter(|node| *node != late).collect();
    let pairs = match behind {
        Behind::Cut => world.cut_between(&[late], &all, true),
        _ => Vec::new(),
    };
    if pairs.is_empty() {
        world.crash(late, matches!(behind, Behind::Wiped));
    }
    for change in 0..changes {
        put(&mut world, if change % 2 == 0 { owner } else { entry }, 1 + (change % 200) as u8, 2 + change)?;
    }
    reached(version_at(&world, late, 1) <= 1, "it has none of them")?;
    if matches!(behind, Behind::Wiped) {
        world.machines[late].storage.wiped();
    }
    world.start(late);
    heal_pairs(&mut world, &pairs);
    let began = world.now;
    let name = 1 + ((changes - 1) % 200) as u8;
    while version_at(&world, late, name) < changes + 1 && world.now < began + 20 * S {
        if world.machines[late].core && !matches!(behind, Behind::Cut) {
            // What it says until then is judged too.
            world.read(late, 0);
        }
        world.run(10_000);
    }
    let took = world.now - began;
    reached(version_at(&world, late, name) == changes + 1, "it has caught up")?;
    world.start(late);
    end(world)?;
    Ok(took)
}
