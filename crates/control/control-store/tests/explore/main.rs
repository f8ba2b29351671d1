//! Explores every order of events within a stated bound: three replicas and a spare node, one key, two changes under
//! one version with different content, one replica lost permanently (which the spare node replaces) and one wiped disk.
//!
//! The bounds are these and no others:
//! - Links and disks work, and lose only what is in flight when one of their ends is lost or restarts.
//! - Messages and writes are processed in the order in which they were issued, unless their link or disk is *held*:
//!   then nothing is processed there until everything else is at rest. Holding one uses up one of `surprises`; it may
//!   be released whenever everything else is at rest.
//! - A change is called for, a replica is lost or a disk is wiped while everything that is not held is at rest, or,
//!   using up one of `surprises`, between any two steps.
//! - Time passes only at rest, and equally for all nodes: `short` times by 0.4 s and `long` times by 4.6 s, in steps of
//!   0.1 s, after each of which everything that is not held comes to rest.
//! - States that differ only in random numbers count as the same.
//! - Nothing arrives after a restart of the sender or receiver, and nothing is duplicated or lost otherwise; the tests
//!   in `simulation.rs` cover that.
//!
//! Each state is expanded once, identified by a digest of 64 bits. `SURPRISES`, `SHORT`, `LONG` and `STATES` set the
//! bounds of the large run, which is started manually.

#[path = "../common/mod.rs"]
mod common;
mod world;

use silvercross_control_store::Mutation;
use std::collections::HashSet;
use std::rc::Rc;
use world::{Answer, Budget, Step, World};

/// The path to a state, last step first.
struct Path {
    step: Step,
    before: Option<Rc<Path>>,
}

fn steps_of(path: &Option<Rc<Path>>) -> String {
    let mut steps = Vec::new();
    let mut at = path;
    while let Some(path) = at {
        if !matches!(path.step, Step::Run(_)) {
            steps.push(format!("{:?}", path.step));
        } else if steps.last().map(String::as_str) != Some("...") {
            steps.push("...".into());
        }
        at = &path.before;
    }
    steps.reverse();
    steps.join(" ")
}

#[derive(Default, Debug)]
struct Exploration {
    states: usize,
    steps: usize,
    /// States without a next step.
    ends: usize,
    /// States in which a change was committed, and in which a replica was replaced.
    committed: usize,
    replaced: usize,
    /// Whether all states were explored.
    is_complete: bool,
}

fn explore(budget: Budget, mutation: Option<Mutation>, max_states: usize) -> Result<Exploration, String> {
    let mut seen = Exploration { is_complete: true, ..Exploration::default() };
    let mut visited = HashSet::new();
    let mut stack = vec![(World::new(budget, mutation), None::<Rc<Path>>)];
    while let Some((mut world, path)) = stack.pop() {
        if let Some(why) = &world.violation {
            return Err(format!("{why}, after {}", steps_of(&path)));
        }
        if !visited.insert(world.digest()) {
            continue;
        }
        if visited.len() > max_states {
            seen.is_complete = false;
            break;
        }
        seen.committed += usize::from(world.answers.contains(&Some(Answer::Committed)));
        seen.replaced +=
            usize::from(world.machines[3].replica_set().version > 2 && !world.machines[3].is_outside());
        let steps = world.next();
        seen.ends += usize::from(steps.is_empty());
        for step in steps {
            seen.steps += 1;
            let mut next = world.clone();
            next.apply_step(step);
            let path = Some(Rc::new(Path { step, before: path.clone() }));
            // No other step is possible until the system is at rest.
            if next.budget.surprises == 0 {
                next.run_to_rest();
            }
            stack.push((next, path));
        }
    }
    seen.states = visited.len().min(max_states);
    Ok(seen)
}

fn budget(surprises: u32, short: u32, long: u32) -> Budget {
    Budget { surprises, calls: [true; 2], loss: true, wipe: true, short, long }
}

/// Not repeated in the build with mutations.
#[cfg(not(feature = "mutants"))]
#[test]
fn all_orders_at_rest_and_one_surprise() {
    for bounds in [budget(0, 1, 1), budget(1, 0, 0)] {
        let seen = explore(bounds, None, usize::MAX).unwrap_or_else(|why| panic!("{why}"));
        println!("{bounds:?}: {seen:?}");
        assert!(seen.is_complete && seen.committed > 0);
        assert_eq!(seen.replaced > 0, bounds.long > 0);
    }
}

/// One change, one surprise, and not enough time for a replacement.
#[cfg(feature = "mutants")]
fn find_violation(mutation: Mutation) -> String {
    let bounds = Budget { calls: [true, false], ..budget(1, 2, 0) };
    let why = explore(bounds, Some(mutation), usize::MAX).map(|seen| format!("{seen:?}"));
    let why = why.expect_err("not found");
    println!("{mutation:?}: {why}");
    why
}

#[cfg(feature = "mutants")]
#[test]
fn an_answer_before_a_quorum_has_it_is_found() {
    assert!(find_violation(Mutation::AnswersBeforeQuorum).contains("not at a majority"));
}

#[cfg(feature = "mutants")]
#[test]
fn a_wiped_replica_that_votes_is_found() {
    assert!(find_violation(Mutation::VotesWithEmptyDisk).contains("lost between"));
}

#[cfg(feature = "mutants")]
#[test]
fn a_take_over_without_a_quorum_is_found() {
    assert!(find_violation(Mutation::ClaimsWithoutQuorum).contains("lost between"));
}

#[test]
#[ignore = "bounds from SURPRISES, SHORT, LONG and STATES"]
fn many_orders() {
    let number = |name: &str, or| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let bounds = budget(number("SURPRISES", 2), number("SHORT", 1), number("LONG", 1));
    let seen = explore(bounds, None, number("STATES", 20_000_000) as usize);
    println!("{bounds:?}: {:?}", seen.unwrap_or_else(|why| panic!("{why}")));
}
