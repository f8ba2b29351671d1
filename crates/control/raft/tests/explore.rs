//! Every order at a tiny size: three voters, two terms, two entries, messages that are lost, late and doubled, one crash with the
//! folder or with nothing that was not yet durable. Depth first, each state once by its digest. What is checked at each: one
//! leader in a term, one entry at a place, no rule broken inside. `SILVERCROSS_STATES` is how many states at most, `SILVERCROSS_OFTEN`
//! how many stands, proposals, crashes and doubled messages there may be (by hand).
mod table;
use silvercross_raft::Mutation;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use table::Table;

#[derive(Clone)]
struct State {
    table: Table,
    stands: u32,
    proposals: u32,
    crashes: u32,
    doubles: u32,
}

fn digest(s: &State) -> u64 {
    let mut h = std::collections::hash_map::DefaultHasher::new();
    for seat in &s.table.seats {
        seat.replica.fingerprint().hash(&mut h);
        format!("{:?}{:?}", seat.disk.hard_state, seat.writing).hash(&mut h);
    }
    // The order in which messages lie has no meaning.
    let mut lying: Vec<String> = s.table.lying.iter().map(|m| format!("{m:?}")).collect();
    lying.sort();
    (lying, s.stands, s.proposals, s.crashes, s.doubles).hash(&mut h);
    h.finish()
}

/// All that can happen next.
fn next(s: &State) -> Vec<State> {
    let mut all = Vec::new();
    let mut step = |f: &dyn Fn(&mut State)| {
        let mut new = s.clone();
        f(&mut new);
        all.push(new);
    };
    for i in 0..s.table.lying.len() {
        step(&|n| n.table.deliver(i, false));
        if s.doubles > 0 {
            step(&|n| {
                n.doubles -= 1;
                n.table.deliver(i, true);
            });
        }
    }
    for i in 0..s.table.seats.len() {
        if !s.table.seats[i].writing.is_empty() {
            step(&|n| n.table.written(i));
        }
        // Which of the three is told to stand has no meaning but for who stood before: two of them do.
        let may = s.stands > 0 && i < 2 && s.table.seats[i].replica.term() < 2;
        if may && !s.table.seats[i].replica.is_leader() {
            step(&|n| {
                n.stands -= 1;
                n.table.campaign(i);
            });
        }
        if s.proposals > 0 && s.table.seats[i].replica.is_leader() {
            step(&|n| {
                n.proposals -= 1;
                n.table.propose(i, s.proposals as u8);
            });
        }
        if s.crashes > 0 && s.table.seats[i].replica.term() > 0 {
            step(&|n| {
                n.crashes -= 1;
                n.table.restart(i, None);
                n.table.sync = n.crashes == 0;
                if n.table.sync {
                    (0..3).for_each(|i| n.table.written(i));
                }
            });
        }
    }
    all
}

/// How often each thing may happen: stands, proposals, crashes, doubled messages.
fn explore(mutation: Option<Mutation>, most: usize, often: [u32; 4]) -> (usize, bool, Option<String>) {
    let mut table = Table::new(3, 0, mutation);
    let [stands, proposals, crashes, doubles] = often;
    table.sync = crashes == 0;
    let first = State { table, stands, proposals, crashes, doubles };
    let (mut seen, mut stack) = (HashSet::new(), vec![first]);
    while let Some(s) = stack.pop() {
        if s.table.broken.is_some() {
            return (seen.len(), false, s.table.broken);
        }
        if seen.len() >= most {
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
    let said = |name: &str| std::env::var(name).ok();
    let most = said("SILVERCROSS_STATES").and_then(|s| s.parse().ok()).unwrap_or(60_000);
    let often =
        said("SILVERCROSS_OFTEN").map(|s| s.split(',').filter_map(|n| n.parse().ok()).collect::<Vec<u32>>());
    let often = often.and_then(|o| o.try_into().ok()).unwrap_or([2, 2, 1, 1]);
    let (states, whole, broken) = explore(None, most, often);
    println!("{often:?}: {states} states, all of them: {whole}");
    assert_eq!(broken, None);
}

/// Orders by chance, from the same beginning.
#[cfg(feature = "mutants")]
fn wander(mutation: Mutation, walks: u64) -> Option<(u64, String)> {
    use rand_core::{RngCore, SeedableRng};
    for walk in 0..walks {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(walk);
        let mut table = Table::new(3, 0, Some(mutation));
        table.sync = false;
        let mut s = State { table, stands: 3, proposals: 2, crashes: 1, doubles: 1 };
        for _ in 0..60 {
            let mut all = next(&s);
            if all.is_empty() {
                break;
            }
            s = all.swap_remove(rng.next_u32() as usize % all.len());
            if let Some(why) = s.table.broken {
                return Some((walk, why));
            }
        }
    }
    None
}

#[cfg(feature = "mutants")]
#[test]
fn broken_replicas_are_found() {
    for mutation in [Mutation::AnswerBeforeSync, Mutation::VoteNotPersisted] {
        let found = wander(mutation, 20_000);
        println!("{mutation:?}: {found:?}");
        assert!(found.is_some(), "{mutation:?} was not found");
    }
}
