//! Directed schedules, for the tests of this folder: each reaches one case of the table of the five control points, says so if
//! it doesn't, and is judged like a drawn one.
#![allow(dead_code)]

mod losses;

use silvercross_control_sim::world::key_name;
use silvercross_control_sim::{Plan, Report, Said, Why, World};
use silvercross_control_store::Mutation;

#[allow(unused_imports)]
pub use losses::*;

pub const S: i64 = 1_000_000;

/// What a case comes to.
pub type Outcome = Result<Report, String>;

/// Says that a case did not reach what it is about.
pub fn reached(so: bool, what: &str) -> Result<(), String> {
    so.then_some(()).ok_or_else(|| format!("not reached: {what}"))
}

/// Three replicas, spare machines and sidecars at rest.
pub fn quiet(spares: usize, sidecars: usize, broken: Option<Mutation>) -> Result<World, String> {
    let mut world = World::new(7, Plan { broken, ..Plan::quiet(spares, sidecars) });
    world.begin_quietly()?;
    Ok(world)
}

pub fn done(said: &Said) -> bool {
    matches!(said, Said::Done(..))
}

pub fn owner(world: &World) -> Result<usize, String> {
    let owns =
        |node: &usize| world.machines[*node].store.as_ref().is_some_and(|s| !s.owned_keys().is_empty());
    (0..world.cores()).find(owns).ok_or_else(|| "not reached: an owner".to_owned())
}

pub fn others(world: &World, node: usize) -> Vec<usize> {
    (0..world.cores()).filter(|other| *other != node).collect()
}

/// One call of one item, acknowledged within a second.
pub fn put(world: &mut World, node: usize, name: u8, version: u64) -> Result<(), String> {
    let order = world.order(0, name, version);
    let said = world.ask(node, order, S);
    reached(done(&said), &format!("item {name} version {version} is acknowledged by {node}: {said:?}"))
}

/// The same, but tried until it is, within so long.
pub fn put_within(world: &mut World, node: usize, name: u8, version: u64, most: i64) -> Result<(), String> {
    let order = world.order(0, name, version);
    let until = world.now + most;
    loop {
        let said = world.ask(node, order.clone(), S);
        if done(&said) {
            return Ok(());
        }
        if world.now > until {
            return Err(format!("item {name} is not acknowledged by {node} within {most} us: {said:?}"));
        }
    }
}

/// The version of an item that a machine's own copy has.
pub fn version_at(world: &World, node: usize, name: u8) -> u64 {
    let life = world.history.lives.iter().rfind(|life| life.node == node);
    let took = life.and_then(|life| life.took.last());
    took.and_then(|took| took.value.get(&name)).map_or(0, |known| known.0)
}

/// The revision that a control machine's copy has, as plain numbers.
pub fn accepted(world: &World, node: usize) -> (u64, u32, u64) {
    let store = world.machines[node].store.as_ref();
    let state = store.and_then(|store| store.key_states().into_iter().find(|state| state.key == key_name(0)));
    state.map_or((0, 0, 0), |s| (s.accepted.epoch.round, s.accepted.epoch.owner, s.accepted.sequence))
}

/// Healed, at rest, with orders taken everywhere, and judged.
pub fn end(mut world: World) -> Outcome {
    world.heal();
    world.rest()?;
    world.last_orders()?;
    world.finish()
}

pub fn heal_pairs(world: &mut World, pairs: &[(usize, usize)]) {
    pairs.iter().for_each(|(from, to)| world.set_cut(*from, *to, false));
}

/// How a control machine is cut off.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    Both,
    In,
    Out,
}

/// Point 1: cut off from all, or from the other control machines only, for so long; the rest acknowledges, it must not.
pub fn cut_control_machine(
    of_owner: bool,
    way: Way,
    span: i64,
    from_all: bool,
    broken: Option<Mutation>,
) -> Outcome {
    let mut world = quiet(0, 2, broken)?;
    let owner = owner(&world)?;
    let rest = others(&world, owner);
    let cut = if of_owner { owner } else { rest[0] };
    let rest = others(&world, cut);
    let mut far = rest.clone();
    far.extend((world.cores()..world.machines.len()).filter(|_| from_all));
    let pairs = match way {
        Way::Both => world.cut_between(&[cut], &far, true),
        Way::In => world.cut_between(&far, &[cut], false),
        Way::Out => world.cut_between(&[cut], &far, false),
    };
    let began = world.now;
    put_within(&mut world, rest[1], 1, 2, 4 * S)?;
    world.read(cut, 0);
    // As long as what comes in is heard, it is told; then its links end.
    world.run(S);
    put_within(&mut world, rest[1], 1, 3, 4 * S)?;
    while world.now < began + span {
        let said = world.read(cut, 0);
        let old = matches!(&said, Said::State(seen) if seen.get(&1).is_some_and(|known| known.0 < 3));
        if old && broken.is_none() {
            return Err(format!("a cut machine tells old state: {said:?}"));
        }
        let name = 2 + (world.now / 1_000 % 40) as u8;
        let order = world.order(0, name, 1);
        if done(&world.ask(cut, order, S)) && broken.is_none() && matches!(way, Way::Both) {
            return Err("a cut machine acknowledges".to_owned());
        }
        world.run(S / 2);
    }
    let (old, new) = (accepted(&world, cut), accepted(&world, rest[1]));
    reached(old < new, &format!("the cut machine holds an older revision: {old:?} and {new:?}"))?;
    if from_all {
        reached(version_at(&world, cut, 1) < 3, "the cut machine has the older content")?;
    }
    heal_pairs(&mut world, &pairs);
    world.run(5 * S);
    if version_at(&world, cut, 1) < 3 || version_at(&world, 3, 1) < 3 {
        return Err("five seconds after the cut the newest is not everywhere".to_owned());
    }
    end(world)
}

/// Point 1: the owner stands still, the rest goes on; it wakes with what was asked of it, and is asked on.
pub fn frozen_owner(also_cut: bool, broken: Option<Mutation>) -> Outcome {
    let mut world = quiet(0, 2, broken)?;
    let owner = owner(&world)?;
    let rest = others(&world, owner);
    let pairs = if also_cut { world.cut_between(&[owner], &rest, true) } else { Vec::new() };
    world.freeze(owner);
    let order = world.order_of(0, Vec::new());
    world.send_order(owner, order);
    put_within(&mut world, rest[0], 1, 2, 6 * S)?;
    reached(version_at(&world, owner, 1) < 2, "the one that stands still has the older content")?;
    for _ in 0..3 {
        let order = world.order_of(0, Vec::new());
        world.send_order(owner, order);
        let order = world.order(0, 3, 1);
        world.send_order(owner, order);
    }
    world.run(S / 10);
    world.thaw(owner);
    for _ in 0..10 {
        world.read(owner, 0);
        world.run(S / 20);
    }
    heal_pairs(&mut world, &pairs);
    end(world)
}

/// Point 1: a sidecar that has a newer version meets the cut side again, which has an older one.
pub fn back_to_the_cut_side() -> Outcome {
    let mut world = quiet(0, 1, None)?;
    let (cut, sidecar) = (owner(&world)?, world.cores());
    let rest = others(&world, cut);
    world.cut_between(&[cut], &rest, true);
    world.cut_between(&[cut], &[sidecar], true);
    put_within(&mut world, rest[0], 1, 2, 4 * S)?;
    world.run(3 * S);
    reached(version_at(&world, sidecar, 1) == 2, "the sidecar has the newer version")?;
    heal_pairs(&mut world, &[(cut, sidecar), (sidecar, cut)]);
    world.cut_between(&rest, &[sidecar], true);
    world.reseed(sidecar, vec![cut]);
    world.run(12 * S);
    let linked = world.machines[sidecar].links.contains_key(&cut);
    reached(
        linked && accepted(&world, cut) < accepted(&world, rest[0]),
        "it is linked to the cut machine only",
    )?;
    if version_at(&world, sidecar, 1) != 2 {
        return Err("the sidecar went back".to_owned());
    }
    end(world)
}

/// Point 2: two operators, one item and version, two entries; the owner stands still meanwhile or not.
pub fn one_number_twice(first: usize, second: usize, owner_stops: bool) -> Outcome {
    let mut world = quiet(0, 2, None)?;
    let (a, b) = (world.order(0, 1, 2), world.order(0, 1, 2));
    let owner = owner(&world)?;
    let mut tokens = vec![world.send_order(first, a.clone()), world.send_order(second, b.clone())];
    if owner_stops {
        // In the middle of the copy.
        world.run(3_000);
        world.freeze(owner);
        world.run(4 * S);
        let entry = others(&world, owner)[0];
        tokens.extend([world.send_order(entry, b), world.send_order(entry, a)]);
        world.run(S);
        world.thaw(owner);
    }
    world.run(2 * S);
    let said = |token: &u64| &world.history.ops[*token as usize].said;
    let calls: std::collections::BTreeSet<u64> =
        tokens.iter().filter(|t| done(said(t))).map(|t| world.history.ops[*t as usize].call).collect();
    let refused = tokens.iter().filter(|token| *said(token) == Said::Refused(true)).count();
    reached(
        calls.len() == 1 && refused > 0,
        &format!("one is acknowledged, one refused: {calls:?} {refused}"),
    )?;
    end(world)
}

/// What happens between a call and its repeat.
#[derive(Clone, Copy, Debug)]
pub enum Between {
    OtherItems,
    OwnerChange,
    RestartOfAll,
    Wipe,
    Replacement,
    Drop,
}

/// Point 2: a call is sent, its answer lost, and it is sent again elsewhere after all this.
pub fn repeat_after(between: Between) -> Outcome {
    let mut world = quiet(1, 2, None)?;
    let owner = owner(&world)?;
    let entry = others(&world, owner)[0];
    let order = world.order(0, 1, 2);
    let first = world.send_order(entry, order.clone());
    world.run(4_000);
    // Its entry ends before it can answer.
    world.crash(entry, true);
    world.run(S);
    reached(world.history.ops[first as usize].said == Said::Nothing, "no answer")?;
    world.start(entry);
    world.rest()?;
    if version_at(&world, owner, 1) < 2 {
        // It never came so far: then what is sent again is what comes into force.
        let said = world.ask(owner, order.clone(), S);
        reached(done(&said), "the call is in force")?;
    }
    happen(&mut world, between, owner)?;
    for node in 0..3 {
        if world.machines[node].runs() {
            let said = world.ask(node, order.clone(), 2 * S);
            if !matches!(said, Said::Done(_, false)) {
                return Err(format!("sent again through {node} after {between:?}: {said:?}"));
            }
        }
    }
    end(world)
}

fn happen(world: &mut World, between: Between, owner: usize) -> Result<(), String> {
    match between {
        Between::OtherItems => {
            for version in 1..60 {
                put(world, (version % 3) as usize, 2 + (version % 5) as u8, version)?;
            }
        }
        Between::OwnerChange => {
            world.crash(owner, false);
            world.run(2 * S);
            let next = self::owner(world)?;
            reached(next != owner, "another owner")?;
            world.start(owner);
        }
        Between::RestartOfAll => {
            (0..3).for_each(|node| world.crash(node, true));
            world.run(S);
            (0..3).for_each(|node| world.start(node));
        }
        Between::Wipe => {
            world.crash(owner, true);
            world.machines[owner].storage.wiped();
            world.start(owner);
            world.run(2 * S);
        }
        Between::Replacement => {
            world.crash(owner, true);
            world.machines[owner].storage.wiped();
            world.machines[owner].destroyed = true;
            world.run(8 * S);
            let set = world.newest_replica_set().unwrap_or_default();
            reached(set.version >= 3 && !set.joint(), "a replacement")?;
        }
        Between::Drop => {
            let mut order = world.order(0, 1, 3);
            order.change[0].content = 0;
            let said = world.ask(owner, order, S);
            reached(done(&said), "the drop")?;
        }
    }
    Ok(())
}

/// Point 2: eight calls under way at once, each valid only after the one before it was acknowledged, through any entry.
pub fn eight_at_once() -> Outcome {
    let mut world = quiet(0, 2, None)?;
    let tokens: Vec<u64> = (0..8)
        .map(|name| {
            let order = world.order(0, 10 + name, 1);
            world.send_order(usize::from(name % 3), order)
        })
        .collect();
    world.run(S);
    let all = tokens.iter().all(|token| done(&world.history.ops[*token as usize].said));
    reached(all, "all eight are acknowledged")?;
    for name in 0..8_u8 {
        let mut order = world.order(0, 30 + name, 1);
        order.change[0].needs = if name == 0 { 17 } else { 29 + name };
        let said = world.ask(usize::from((name + 1) % 3), order, S);
        reached(done(&said), &format!("what needs an acknowledged item is valid: {said:?}"))?;
    }
    end(world)
}

/// How a sidecar comes below a machine that has old state.
#[derive(Clone, Copy, Debug)]
pub enum Below {
    /// It starts for the first time, and knows only that machine.
    Joins,
    /// It was there before.
    Restarts,
    /// So, and another one is between it and that machine.
    UnderRelay,
}

/// Point 1: a control machine stood still while a change was acknowledged, and goes on when the others are gone; a sidecar
/// starts below it. The others come back after so long.
pub fn sidecar_below_old_state(
    below: Below,
    away: i64,
    unready: Option<silvercross_mesh_membership::Mutation>,
) -> Outcome {
    let mut world = World::new(7, Plan { unready, ..Plan::quiet(0, 2) });
    let (sidecar, relay) = (world.cores() + 1, world.cores());
    if matches!(below, Below::Joins) {
        world.machines[sidecar].destroyed = true;
    }
    world.begin_quietly()?;
    let old = owner(&world)?;
    let rest = others(&world, old);
    world.crash(sidecar, false);
    world.crash(relay, false);
    // What was sent to it while it stood still comes when the others are there again.
    let pairs = world.cut_between(&rest, &[old], false);
    world.freeze(old);
    put_within(&mut world, rest[0], 1, 2, 6 * S)?;
    rest.iter().for_each(|node| world.crash(*node, false));
    world.thaw(old);
    for node in [relay, sidecar] {
        world.machines[node].destroyed = false;
        world.machines[node].seeds = vec![old];
    }
    if matches!(below, Below::UnderRelay) {
        world.cut_between(&[sidecar], &[old], true);
        world.start(relay);
    }
    world.start(sidecar);
    let began = world.now;
    world.run(away.min(4 * S));
    reached(version_at(&world, old, 1) < 2, "the one that is left has old state")?;
    let ready = |world: &World| {
        world.history.lives.iter().rfind(|life| life.node == sidecar).and_then(|life| life.ready)
    };
    if unready.is_none() {
        reached(version_at(&world, sidecar, 1) == 1, "the sidecar has that old state")?;
        reached(ready(&world).is_none(), "and is not ready")?;
    }
    world.run((began + away - world.now).max(0));
    let bound = away > 8 * S;
    if bound && unready.is_none() {
        reached(
            matches!(ready(&world), Some((_, Why::Bound))),
            "it is ready by the bound, with what it has",
        )?;
    }
    heal_pairs(&mut world, &pairs);
    rest.iter().for_each(|node| world.start(*node));
    world.run(5 * S);
    if !bound && unready.is_none() {
        reached(matches!(ready(&world), Some((_, Why::Fresh))), "it is ready as the majority is back")?;
    }
    end(world)
}

/// Points 1 and 4: how long a sidecar that starts where all is well waits until it is ready.
pub fn ready_in(sidecars: usize) -> Result<i64, String> {
    let mut world = quiet(0, sidecars, None)?;
    let sidecar = world.cores();
    world.crash(sidecar, false);
    put(&mut world, 0, 1, 2)?;
    world.start(sidecar);
    let began = world.now;
    world.run(9 * S);
    let ready = world.history.lives.last().and_then(|life| life.ready);
    let Some((when, Why::Fresh)) = ready else { return Err(format!("not ready as fresh: {ready:?}")) };
    end(world)?;
    Ok(when - began)
}
