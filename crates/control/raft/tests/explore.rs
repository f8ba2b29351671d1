//! Explores the orders of events of three voters in two terms, with few elections, proposals, duplicated messages and crashes
//! that lose everything not yet durable, depth first and each state once by its digest. Checks in each state that there is one
//! leader per term and one entry per index, and that no replica violates an invariant. For runs by hand, `SILVERCROSS_STATES`
//! sets the maximum number of states, and `SILVERCROSS_OFTEN` how many elections, proposals, crashes and duplicates may happen,
//! as four numbers separated by commas.
mod table;
use silvercross_raft::Mutation;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use table::Cluster;

#[derive(Clone)]
struct State {
    cluster: Cluster,
    campaigns: u32,
    proposals: u32,
    crashes: u32,
    duplicates: u32,
}

fn digest(s: &State) -> u64 {
    let mut h = std::collections::hash_map::DefaultHasher::new();
    for server in &s.cluster.servers {
        server.replica.fingerprint().hash(&mut h);
        format!("{:?}{:?}", server.disk.hard_state, server.pending_writes).hash(&mut h);
    }
    // The order of the messages in flight has no effect on the state.
    let mut messages: Vec<String> = s.cluster.in_flight.iter().map(|m| format!("{m:?}")).collect();
    messages.sort();
    (messages, s.campaigns, s.proposals, s.crashes, s.duplicates).hash(&mut h);
    h.finish()
}

/// The states that can follow a state.
fn next(s: &State) -> Vec<State> {
    let mut successors = Vec::new();
    let mut step = |f: &dyn Fn(&mut State)| {
        let mut new = s.clone();
        f(&mut new);
        successors.push(new);
    };
    for i in 0..s.cluster.in_flight.len() {
        step(&|n| n.cluster.deliver(i, false));
        if s.duplicates > 0 {
            step(&|n| {
                n.duplicates -= 1;
                n.cluster.deliver(i, true);
            });
        }
    }
    for i in 0..s.cluster.servers.len() {
        if !s.cluster.servers[i].pending_writes.is_empty() {
            step(&|n| n.cluster.complete_write(i));
        }
        // The voters are symmetric: it only matters whether a candidate has campaigned before, so two candidates suffice.
        let can_campaign = s.campaigns > 0 && i < 2 && s.cluster.servers[i].replica.term() < 2;
        if can_campaign && !s.cluster.servers[i].replica.is_leader() {
            step(&|n| {
                n.campaigns -= 1;
                n.cluster.campaign(i);
            });
        }
        if s.proposals > 0 && s.cluster.servers[i].replica.is_leader() {
            step(&|n| {
                n.proposals -= 1;
                n.cluster.propose(i, s.proposals as u8);
            });
        }
        if s.crashes > 0 && s.cluster.servers[i].replica.term() > 0 {
            step(&|n| {
                n.crashes -= 1;
                n.cluster.restart(i, None);
                n.cluster.sync_at_once = n.crashes == 0;
                if n.cluster.sync_at_once {
                    (0..3).for_each(|i| n.cluster.complete_write(i));
                }
            });
        }
    }
    successors
}

/// Explores at most `max_states` states. `budget` is the number of elections, proposals, crashes and duplicates. Returns the
/// number of states, whether these are all, and the violation found.
fn explore(mutation: Option<Mutation>, max_states: usize, budget: [u32; 4]) -> (usize, bool, Option<String>) {
    let mut cluster = Cluster::new(3, 0, mutation);
    let [campaigns, proposals, crashes, duplicates] = budget;
    cluster.sync_at_once = crashes == 0;
    let initial = State { cluster, campaigns, proposals, crashes, duplicates };
    let (mut seen, mut stack) = (HashSet::new(), vec![initial]);
    while let Some(s) = stack.pop() {
        if s.cluster.violation.is_some() {
            return (seen.len(), false, s.cluster.violation);
        }
        if seen.len() >= max_states {
            return (seen.len(), false, None);
        }
        if seen.insert(digest(&s)) {
            stack.extend(next(&s));
        }
    }
    (seen.len(), true, None)
}

#[test]
fn no_order_breaks_a_rule() {
    let env_var = |name: &str| std::env::var(name).ok();
    let max_states = env_var("SILVERCROSS_STATES").and_then(|s| s.parse().ok()).unwrap_or(60_000);
    let budget = env_var("SILVERCROSS_OFTEN")
        .map(|s| s.split(',').filter_map(|n| n.parse().ok()).collect::<Vec<u32>>());
    let budget = budget.and_then(|o| o.try_into().ok()).unwrap_or([2, 2, 1, 1]);
    let (states, complete, violation) = explore(None, max_states, budget);
    println!("{budget:?}: {states} states, all of them: {complete}");
    assert_eq!(violation, None);
}

/// Random walks from the initial state; returns the first walk that finds a violation.
#[cfg(feature = "mutants")]
fn random_walks(mutation: Mutation, walks: u64) -> Option<(u64, String)> {
    use rand_core::{RngCore, SeedableRng};
    for walk in 0..walks {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(walk);
        let mut cluster = Cluster::new(3, 0, Some(mutation));
        cluster.sync_at_once = false;
        let mut s = State { cluster, campaigns: 3, proposals: 2, crashes: 1, duplicates: 1 };
        for _ in 0..60 {
            let mut successors = next(&s);
            if successors.is_empty() {
                break;
            }
            s = successors.swap_remove(rng.next_u32() as usize % successors.len());
            if let Some(violation) = s.cluster.violation {
                return Some((walk, violation));
            }
        }
    }
    None
}

#[cfg(feature = "mutants")]
#[test]
fn broken_replicas_are_found() {
    for mutation in [Mutation::AnswerBeforeSync, Mutation::VoteNotPersisted] {
        let found = random_walks(mutation, 20_000);
        println!("{mutation:?}: {found:?}");
        assert!(found.is_some(), "{mutation:?} was not detected");
    }
}
