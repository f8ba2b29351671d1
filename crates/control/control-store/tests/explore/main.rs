//! Every order of events within a stated bound: three replicas, a spare one, one key, two changes under one version with
//! different content, one replica gone for good (which the spare one replaces) and one disk wiped.
//!
//! What is bounded, and nothing else:
//! - Links and disks are in order and lose nothing but what is under way when an end of theirs goes or restarts.
//! - What is under way is done in the order in which it came up, unless a link or a disk is *held*: from that moment on
//!   nothing goes on there until all else is at rest. Holding one costs one of `surprises`; it may be let go, and held no
//!   longer, whenever all else is at rest.
//! - A change is called for, a replica goes or a disk is wiped when all that isn't held is at rest, or, for one of
//!   `surprises`, between any two steps.
//! - Time goes on only at rest, for all alike: `short` times by 0.4 s and `long` times by 4.6 s, in steps of 0.1 s in each
//!   of which all that is not held comes to rest.
//! - What a machine draws at random is not told apart.
//! - Nothing is late over a restart, doubled or lost by itself: `world.rs` draws that.
//!
//! Each state is expanded once, by a digest of 64 bits. `SURPRISES`, `SHORT`, `LONG` and `STATES` set the bounds of the
//! large run (by hand).

#[path = "../common/mod.rs"]
mod common;
mod world;

use silvercross_control_store::Mutation;
use std::collections::HashSet;
use std::rc::Rc;
use world::{Heard, Left, Step, World};

/// The way to a state, the last step first.
struct Path(Step, Option<Rc<Path>>);

fn told(path: &Option<Rc<Path>>) -> String {
    let mut steps = Vec::new();
    let mut at = path;
    while let Some(path) = at {
        if !matches!(path.0, Step::Run(_)) {
            steps.push(format!("{:?}", path.0));
        } else if steps.last().map(String::as_str) != Some("...") {
            steps.push("...".into());
        }
        at = &path.1;
    }
    steps.reverse();
    steps.join(" ")
}

#[derive(Default, Debug)]
struct Seen {
    states: usize,
    steps: usize,
    /// Nothing is left to happen there.
    ends: usize,
    /// States in which a change was done, a replica replaced, a wiped one a voter again.
    done: usize,
    replaced: usize,
    whole: bool,
}

fn explore(left: Left, broken: Option<Mutation>, most: usize) -> Result<Seen, String> {
    let mut seen = Seen { whole: true, ..Seen::default() };
    let mut known = HashSet::new();
    let mut stack = vec![(World::new(left, broken), None::<Rc<Path>>)];
    while let Some((mut world, path)) = stack.pop() {
        if let Some(why) = &world.wrong {
            return Err(format!("{why}, after {}", told(&path)));
        }
        if !known.insert(world.digest()) {
            continue;
        }
        if known.len() > most {
            seen.whole = false;
            break;
        }
        seen.done += usize::from(world.heard.contains(&Some(Heard::Done)));
        seen.replaced +=
            usize::from(world.machines[3].replica_set().version > 2 && !world.machines[3].is_outside());
        let steps = world.next();
        seen.ends += usize::from(steps.is_empty());
        for step in steps {
            seen.steps += 1;
            let mut next = world.clone();
            next.take(step);
            let path = Some(Rc::new(Path(step, path.clone())));
            // Nothing else can happen until it is at rest.
            if next.left.surprises == 0 {
                next.rest();
            }
            stack.push((next, path));
        }
    }
    seen.states = known.len().min(most);
    Ok(seen)
}

fn left(surprises: u32, short: u32, long: u32) -> Left {
    Left { surprises, calls: [true; 2], gone: true, wipe: true, short, long }
}

/// The build with rules left out plays it no second time.
#[cfg(not(feature = "mutants"))]
#[test]
fn all_orders_at_rest_and_one_surprise() {
    for bounds in [left(0, 1, 1), left(1, 0, 0)] {
        let seen = explore(bounds, None, usize::MAX).unwrap_or_else(|why| panic!("{why}"));
        println!("{bounds:?}: {seen:?}");
        assert!(seen.whole && seen.done > 0);
        assert_eq!(seen.replaced > 0, bounds.long > 0);
    }
}

/// One change, one surprise, and no time for a replacement.
#[cfg(feature = "mutants")]
fn caught(broken: Mutation) -> String {
    let bounds = Left { calls: [true, false], ..left(1, 2, 0) };
    let why = explore(bounds, Some(broken), usize::MAX).map(|seen| format!("{seen:?}"));
    let why = why.expect_err("not found");
    println!("{broken:?}: {why}");
    why
}

#[cfg(feature = "mutants")]
#[test]
fn an_answer_before_more_than_half_have_it_is_found() {
    assert!(caught(Mutation::AnswersBeforeQuorum).contains("not at more than half"));
}

#[cfg(feature = "mutants")]
#[test]
fn a_wiped_replica_that_votes_is_found() {
    assert!(caught(Mutation::VotesWithEmptyDisk).contains("lost between"));
}

#[cfg(feature = "mutants")]
#[test]
fn a_take_over_that_reads_too_few_is_found() {
    assert!(caught(Mutation::ClaimsWithoutQuorum).contains("lost between"));
}

#[test]
#[ignore = "as far as SURPRISES, SHORT, LONG and STATES say"]
fn many_orders() {
    let number = |name: &str, or| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let bounds = left(number("SURPRISES", 2), number("SHORT", 1), number("LONG", 1));
    let seen = explore(bounds, None, number("STATES", 20_000_000) as usize);
    println!("{bounds:?}: {:?}", seen.unwrap_or_else(|why| panic!("{why}")));
}
