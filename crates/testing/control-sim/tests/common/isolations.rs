//! Control nodes that are cut off from the others after some were replaced, and the sidecars that reach all.

use super::*;
use silvercross_control_store::Node;
use silvercross_test_rng::Rng;

/// A control node that is cut off from the other control nodes after others were replaced.
#[derive(Clone, Copy, Debug)]
pub struct IsolatedCase {
    /// The world's seed.
    pub seed: u64,
    pub sidecars: usize,
    /// Control nodes that stopped gracefully before, one after the other, each with a spare one to replace it.
    pub replacements: usize,
    /// Whether those come back later, as spare nodes.
    pub come_back: bool,
    /// Which ways are cut.
    pub directions: CutDirections,
    /// Whether the key's owner is cut off, or another one.
    pub is_owner: bool,
    /// Whether one more is replaced during the cut.
    pub is_replaced_in_cut: bool,
}

impl IsolatedCase {
    /// One of the directed cases, by its number.
    pub fn directed(number: usize) -> IsolatedCase {
        let directions =
            [CutDirections::Both, CutDirections::Inbound, CutDirections::Outbound][number / 4 % 3];
        IsolatedCase {
            seed: SEED,
            sidecars: 6,
            replacements: number / 12 % 4,
            come_back: number / 48 == 1,
            directions,
            is_owner: number.is_multiple_of(2),
            is_replaced_in_cut: number % 4 >= 2,
        }
    }

    /// The case that a seed draws.
    pub fn drawn(seed: u64) -> IsolatedCase {
        let mut rng = Rng::new(seed ^ 0x0150_1a7e);
        let directed = IsolatedCase::directed(rng.index(96));
        IsolatedCase { seed, sidecars: 3 + rng.index(7), ..directed }
    }
}

/// A sidecar that reaches the other control nodes has what they acknowledged after this.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_500);
/// It counts so long after the cut began.
const CONTACT: Duration = Duration::from_secs(3);
/// A planned replacement is over after this.
const REPLACEMENT_TIME: Duration = Duration::from_secs(8);
/// Changes while the cut lasts, each a second after the one before.
const CHANGES_IN_CUT: u64 = 6;

/// The replicas of the newest set.
fn replicas(world: &World) -> Vec<usize> {
    let set = world.newest_replica_set().unwrap_or_default();
    let is_replica = |node: &usize| set.contains(Node(world.nodes[*node].id));
    (0..world.control_node_count())
        .filter(|node| is_replica(node) && world.nodes[*node].is_running())
        .collect()
}

/// A spare node starts and is told of these.
fn start_spare(world: &mut World, spare: usize, seeds: &[usize]) {
    world.set_seeds(spare, seeds.to_vec());
    world.start(spare);
    world.run(SECOND * 2);
}

/// A replica stops gracefully and is replaced by a spare node, which starts before.
fn replace_one(world: &mut World, come_back: bool) -> Result<(), CaseError> {
    let before = replicas(world);
    let leaver = before[0];
    let newcomer = (world.plan.replicas..world.control_node_count())
        .find(|node| world.history.incarnations.iter().all(|incarnation| incarnation.node != *node));
    reached(newcomer.is_some(), "a spare node is left")?;
    start_spare(world, newcomer.unwrap_or_default(), &before);
    world.stop_gracefully(leaver, SECOND * 6, false);
    world.run(REPLACEMENT_TIME);
    let after = replicas(world);
    reached(after.len() == 3 && !after.contains(&leaver), "one replica was replaced by a spare node")?;
    match come_back {
        true => world.start(leaver),
        false => lose_disk(world, leaver, true),
    }
    world.run(SECOND * 2);
    Ok(())
}

/// A replica is cut off from all other control nodes, all sidecars still reach all: what the others acknowledge is in force at each
/// sidecar in time.
pub fn isolated_after_replacements(
    case: IsolatedCase,
    membership_mutation: Option<silvercross_mesh_membership::Mutation>,
) -> Outcome {
    let plan = ScenarioPlan { membership_mutation, ..ScenarioPlan::quiet(4, case.sidecars) };
    let mut world = World::new(case.seed, plan);
    world.begin_without_spares()?;
    world.run(SECOND * 2);
    for _ in 0..case.replacements {
        replace_one(&mut world, case.come_back)?;
    }
    let owner = owner(&world)?;
    let set = replicas(&world);
    let cut =
        if case.is_owner { owner } else { set.iter().copied().find(|node| *node != owner).unwrap_or(owner) };
    let others = others(&world, cut);
    let others: Vec<usize> = others.into_iter().filter(|node| world.nodes[*node].is_running()).collect();
    match case.directions {
        CutDirections::Both => world.cut_between(&[cut], &others, true),
        CutDirections::Inbound => world.cut_between(&others, &[cut], false),
        CutDirections::Outbound => world.cut_between(&[cut], &others, false),
    };
    world.run(CONTACT);
    let rest: Vec<usize> = set.into_iter().filter(|node| *node != cut).collect();
    if case.is_replaced_in_cut {
        let spare = world.control_node_count() - 1;
        start_spare(&mut world, spare, &rest);
        world.stop_gracefully(rest[1], SECOND * 3, false);
        world.run(CONTACT * 2);
    }
    for version in 2..2 + CHANGES_IN_CUT {
        put_within(&mut world, rest[0], 1, version, SECOND * 9)?;
        world.run(IN_FORCE_WITHIN);
        for sidecar in world.control_node_count()..world.nodes.len() {
            let has_path =
                world.nodes[sidecar].membership.as_ref().is_some_and(|membership| membership.has_path());
            if !has_path {
                return Err(CaseError::Unexpected(format!("sidecar {sidecar} knows no way to the others")));
            }
            let known = version_at(&world, sidecar, 1);
            if known < version {
                let what = format!("sidecar {sidecar} has version {known} {IN_FORCE_WITHIN} after {version} was acknowledged");
                return Err(CaseError::Unexpected(what));
            }
        }
    }
    end(world)
}
