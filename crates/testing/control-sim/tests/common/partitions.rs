//! Point 1: a control node that is cut off or frozen hands out nothing old and acknowledges nothing.

use super::*;
use silvercross_control_sim::Direction;

/// How a control node is cut off.
#[derive(Clone, Copy, Debug)]
pub enum CutDirections {
    Both,
    Inbound,
    Outbound,
}

/// Which control node is cut off, how, from whom and for how long.
#[derive(Clone, Copy, Debug)]
pub struct CutCase {
    /// The key's owner, or another one.
    pub is_owner: bool,
    pub directions: CutDirections,
    pub span: Duration,
    /// From all, or from the other control nodes only.
    pub is_from_all: bool,
}

/// The rest acknowledges, the one that is cut off must not.
pub fn cut_control_node(case: CutCase, mutation: Option<Mutation>) -> Outcome {
    let mut world = quiet(0, 2, mutation)?;
    let owner = owner(&world)?;
    let cut = if case.is_owner { owner } else { others(&world, owner)[0] };
    let rest = others(&world, cut);
    let directions = cut_off(&mut world, cut, case);
    let began = world.now;
    put_within(&mut world, rest[1], 1, 2, SECOND * 4)?;
    world.read(cut, KEY);
    // As long as what comes in is heard, it learns of it; then its links end.
    world.run(SECOND);
    put_within(&mut world, rest[1], 1, 3, SECOND * 4)?;
    while world.now < began + case.span {
        ask_the_cut_node(&mut world, cut, case.directions, mutation)?;
    }
    let (old, new) = (accepted(&world, cut), accepted(&world, rest[1]));
    reached(old < new, &format!("the cut node holds an older revision: {old:?} and {new:?}"))?;
    if case.is_from_all {
        reached(version_at(&world, cut, 1) < 3, "the cut node has the older content")?;
    }
    heal(&mut world, &directions);
    world.run(SECOND * 5);
    if version_at(&world, cut, 1) < 3 || version_at(&world, 3, 1) < 3 {
        let what = "five seconds after the cut the newest is not everywhere";
        return Err(CaseError::Unexpected(what.to_owned()));
    }
    end(world)
}

fn cut_off(world: &mut World, cut: usize, case: CutCase) -> Vec<Direction> {
    let mut far = others(world, cut);
    far.extend((world.control_node_count()..world.nodes.len()).filter(|_| case.is_from_all));
    match case.directions {
        CutDirections::Both => world.cut_between(&[cut], &far, true),
        CutDirections::Inbound => world.cut_between(&far, &[cut], false),
        CutDirections::Outbound => world.cut_between(&[cut], &far, false),
    }
}

/// A read and a call through the node that is cut off, and a pause.
fn ask_the_cut_node(
    world: &mut World,
    cut: usize,
    directions: CutDirections,
    mutation: Option<Mutation>,
) -> Result<(), CaseError> {
    let answer = world.read(cut, KEY);
    let is_old =
        matches!(&answer, Answer::Value(items) if items.get(&1).is_some_and(|state| state.version < 3));
    if is_old && mutation.is_none() {
        return Err(CaseError::Unexpected(format!("a cut node hands out old state: {answer:?}")));
    }
    let name = 2 + (world.now.as_micros() / 1_000 % 40) as u8;
    let call = world.new_call(KEY, name, 1);
    let is_acknowledged = is_committed(&world.ask(cut, call, SECOND));
    if is_acknowledged && mutation.is_none() && matches!(directions, CutDirections::Both) {
        return Err(CaseError::Unexpected("a cut node acknowledges".to_owned()));
    }
    world.run(SECOND / 2);
    Ok(())
}

/// The owner freezes, the rest goes on; it goes on with what was asked of it, and is asked more.
pub fn frozen_owner(is_cut_too: bool, mutation: Option<Mutation>) -> Outcome {
    let mut world = quiet(0, 2, mutation)?;
    let owner = owner(&world)?;
    let rest = others(&world, owner);
    let directions = if is_cut_too { world.cut_between(&[owner], &rest, true) } else { Vec::new() };
    world.freeze(owner);
    let read = new_read(&mut world);
    world.send_call(owner, read);
    put_within(&mut world, rest[0], 1, 2, SECOND * 6)?;
    reached(version_at(&world, owner, 1) < 2, "the frozen one has the older content")?;
    for _ in 0..3 {
        let read = new_read(&mut world);
        world.send_call(owner, read);
        let call = world.new_call(KEY, 3, 1);
        world.send_call(owner, call);
    }
    world.run(SECOND / 10);
    world.unfreeze(owner);
    for _ in 0..10 {
        world.read(owner, KEY);
        world.run(SECOND / 20);
    }
    heal(&mut world, &directions);
    end(world)
}

/// A sidecar that has a newer version meets the cut side again, which has an older one.
pub fn back_to_the_cut_side() -> Outcome {
    let mut world = quiet(0, 1, None)?;
    let (cut, sidecar) = (owner(&world)?, world.control_node_count());
    let rest = others(&world, cut);
    world.cut_between(&[cut], &rest, true);
    let directions = world.cut_between(&[cut], &[sidecar], true);
    put_within(&mut world, rest[0], 1, 2, SECOND * 4)?;
    world.run(SECOND * 3);
    reached(version_at(&world, sidecar, 1) == 2, "the sidecar has the newer version")?;
    heal(&mut world, &directions);
    world.cut_between(&rest, &[sidecar], true);
    world.set_seeds(sidecar, vec![cut]);
    world.run(SECOND * 12);
    let is_linked = world.nodes[sidecar].connections.contains_key(&cut);
    let is_older = accepted(&world, cut) < accepted(&world, rest[0]);
    reached(is_linked && is_older, "it is linked to the cut node only")?;
    if version_at(&world, sidecar, 1) != 2 {
        return Err(CaseError::Unexpected("the sidecar went back".to_owned()));
    }
    end(world)
}
