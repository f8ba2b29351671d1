//! Point 2: calls that race under one version, calls that are sent again, and calls that rest on one another.

use super::*;
use silvercross_control_sim::history::RejectionReason;
use std::collections::BTreeSet;

/// Two operators, one item and version, two entries; the owner is frozen meanwhile or not.
pub fn one_version_twice(first: usize, second: usize, owner_freezes: bool) -> Outcome {
    let mut world = quiet(0, 2, None)?;
    let (a, b) = (world.new_call(KEY, 1, 2), world.new_call(KEY, 1, 2));
    let owner = owner(&world)?;
    let mut tokens = vec![world.send_call(first, a.clone()), world.send_call(second, b.clone())];
    if owner_freezes {
        // In the middle of the replication.
        world.run(millis(3));
        world.freeze(owner);
        world.run(SECOND * 4);
        let entry = others(&world, owner)[0];
        tokens.extend([world.send_call(entry, b), world.send_call(entry, a)]);
        world.run(SECOND);
        world.unfreeze(owner);
    }
    world.run(SECOND * 2);
    let operations: Vec<_> = tokens.iter().map(|token| &world.history.operations[token.index()]).collect();
    let acknowledged: BTreeSet<u64> =
        operations.iter().filter(|operation| operation.is_committed()).map(|one| one.call_id).collect();
    let is_conflict = |answer: &Answer| *answer == Answer::Rejected(RejectionReason::Conflict);
    let rejected = operations.iter().filter(|operation| is_conflict(&operation.answer)).count();
    let what = format!("one is acknowledged, one rejected: {acknowledged:?} {rejected}");
    reached(acknowledged.len() == 1 && rejected > 0, &what)?;
    end(world)
}

/// What happens between a call and its repeat.
#[derive(Clone, Copy, Debug)]
pub enum Between {
    OtherItems,
    OwnerChange,
    RestartOfAll,
    DiskWipe,
    Replacement,
    ItemDropped,
}

/// A call is sent, its answer lost, and it is sent again elsewhere after all this.
pub fn repeat_after(between: Between) -> Outcome {
    let mut world = quiet(1, 2, None)?;
    let owner = owner(&world)?;
    let entry = others(&world, owner)[0];
    let call = world.new_call(KEY, 1, 2);
    let first = world.send_call(entry, call.clone());
    world.run(millis(4));
    // Its entry ends before it can answer.
    world.crash(entry, true);
    world.run(SECOND);
    reached(world.history.operations[first.index()].answer == Answer::Missing, "no answer")?;
    world.start(entry);
    world.rest()?;
    if version_at(&world, owner, 1) < 2 {
        // It never came so far: then what is sent again is what comes into force.
        let answer = world.ask(owner, call.clone(), SECOND);
        reached(is_committed(&answer), "the call is in force")?;
    }
    happen(&mut world, between, owner)?;
    for node in 0..3 {
        if world.nodes[node].is_running() {
            let answer = world.ask(node, call.clone(), SECOND * 2);
            if !matches!(answer, Answer::Committed { changed: false, .. }) {
                let what = format!("sent again through {node} after {between:?}: {answer:?}");
                return Err(CaseError::Unexpected(what));
            }
        }
    }
    end(world)
}

fn happen(world: &mut World, between: Between, owner: usize) -> Result<(), CaseError> {
    match between {
        Between::OtherItems => {
            for version in 1..60 {
                put(world, (version % 3) as usize, 2 + (version % 5) as u8, version)?;
            }
        }
        Between::OwnerChange => {
            world.crash(owner, false);
            world.run(SECOND * 2);
            let next = self::owner(world)?;
            reached(next != owner, "another owner")?;
            world.start(owner);
        }
        Between::RestartOfAll => {
            (0..3).for_each(|node| world.crash(node, true));
            world.run(SECOND);
            (0..3).for_each(|node| world.start(node));
        }
        Between::DiskWipe => {
            lose_disk(world, owner, false);
            world.start(owner);
            world.run(SECOND * 2);
        }
        Between::Replacement => {
            lose_disk(world, owner, true);
            world.run(SECOND * 8);
            let set = world.newest_replica_set().unwrap_or_default();
            reached(set.version >= 3 && !set.is_joint(), "a replacement")?;
        }
        Between::ItemDropped => {
            let mut call = world.new_call(KEY, 1, 3);
            call.change[0].content = 0;
            let answer = world.ask(owner, call, SECOND);
            reached(is_committed(&answer), "the drop")?;
        }
    }
    Ok(())
}

/// Eight calls open at once; then eight, each valid only after the one before it was acknowledged, through any entry.
pub fn eight_at_once() -> Outcome {
    let mut world = quiet(0, 2, None)?;
    let mut tokens = Vec::new();
    for name in 0..8_u8 {
        let call = world.new_call(KEY, 10 + name, 1);
        tokens.push(world.send_call(usize::from(name % 3), call));
    }
    world.run(SECOND);
    let all = tokens.iter().all(|token| world.history.operations[token.index()].is_committed());
    reached(all, "all eight are acknowledged")?;
    for name in 0..8_u8 {
        let mut call = world.new_call(KEY, 30 + name, 1);
        call.change[0].needs = if name == 0 { 17 } else { 29 + name };
        let answer = world.ask(usize::from((name + 1) % 3), call, SECOND);
        let what = format!("what needs an acknowledged item is valid: {answer:?}");
        reached(is_committed(&answer), &what)?;
    }
    end(world)
}
