//! The judge: what operators and sidecars saw, held against one plain map in which the highest version of a name wins and
//! nothing acknowledged is lost. It shares no type with the deciders.

use std::collections::BTreeMap;

/// Item to version and content; content 0: dropped.
pub type Seen = BTreeMap<u8, (u64, u64)>;
/// Round, owner, number.
pub type At = (u64, u64, u64);
/// Nobody says ready without proof before this has passed since its start, in microseconds.
pub const BOUND: i64 = 8_000_000;

/// What an operator was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// Nothing yet.
    Nothing,
    /// That it is not known.
    Unsettled,
    /// That nothing of it is in force: as a conflict with other content, or as invalid.
    Refused(bool),
    /// That it is in force, as of where, and whether it changed anything.
    Done(At, bool),
    /// What a read found.
    State(Seen),
}

/// A change, or a read if it has no items, as it was sent to one machine.
#[derive(Clone, Debug)]
pub struct Op {
    /// The same for each sending of one call.
    pub call: u64,
    /// Which key.
    pub key: usize,
    /// Through which machine.
    pub entry: usize,
    /// When.
    pub asked: i64,
    /// When it was answered.
    pub answered: Option<i64>,
    /// Name, version, content, and the name that it needs.
    pub items: Vec<(u8, u64, u64, u8)>,
    /// The answer.
    pub said: Said,
}

/// Why a process said that it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It has what a majority had acknowledged before its start.
    Fresh,
    /// It waited long enough and serves what it has.
    Bound,
    /// It has something: the rule before there was a proof.
    Configured,
}

/// Content that a process took.
#[derive(Clone, Debug)]
pub struct Took {
    /// When.
    pub when: i64,
    /// Of which key.
    pub key: usize,
    /// Its revision.
    pub at: At,
    /// What it says.
    pub value: Seen,
}

/// One process, from its start to its end.
#[derive(Clone, Debug)]
pub struct Life {
    /// On which machine.
    pub node: usize,
    /// Whether that is a control machine.
    pub core: bool,
    /// When.
    pub start: i64,
    /// What it took, in order.
    pub took: Vec<Took>,
    /// When it first said that it is ready, and why.
    pub ready: Option<(i64, Why)>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Operators' calls and reads.
    pub ops: Vec<Op>,
    /// Processes.
    pub lives: Vec<Life>,
}

/// The shortest piece of history that breaks a rule, with the rule's name in front.
pub fn judge(history: &History) -> Result<(), String> {
    let keys = history.ops.iter().map(|op| op.key).max().map_or(0, |most| most + 1);
    for key in 0..keys {
        let ops: Vec<&Op> = history.ops.iter().filter(|op| op.key == key).collect();
        let values = revisions(history, key)?;
        reads(&ops)?;
        contents(&ops, &values)?;
        acknowledged(&ops, &values)?;
        one_number(&ops)?;
        refusals(&ops)?;
        lives(history, &ops, key)?;
    }
    Ok(())
}

fn covers(later: &Seen, earlier: &Seen) -> bool {
    earlier.iter().all(|(item, (version, content))| match later.get(item) {
        Some((v, c)) => v > version || (v == version && c == content),
        None => false,
    })
}

/// A revision has one content, and each later one has all that is in the one before.
fn revisions(history: &History, key: usize) -> Result<BTreeMap<At, Seen>, String> {
    let mut values: BTreeMap<At, Seen> = BTreeMap::new();
    for took in history.lives.iter().flat_map(|life| &life.took).filter(|took| took.key == key) {
        match values.get(&took.at) {
            Some(known) if *known != took.value => {
                return Err(format!("two contents of one revision: {took:?} and {known:?}"));
            }
            Some(_) => {}
            None => drop(values.insert(took.at, took.value.clone())),
        }
    }
    let mut before: Option<(&At, &Seen)> = None;
    for (at, value) in &values {
        if let Some((earlier, known)) = before.filter(|(_, known)| !covers(value, known)) {
            return Err(format!("lost between revisions: {earlier:?} has {known:?}, {at:?} has {value:?}"));
        }
        before = Some((at, value));
    }
    Ok(values)
}

/// A read sees whatever was acknowledged or read before it was asked.
fn reads(ops: &[&Op]) -> Result<(), String> {
    let mut facts: Vec<(i64, &Op)> = ops.iter().filter_map(|op| Some((op.answered?, *op))).collect();
    facts.sort_by_key(|fact| fact.0);
    let mut asked: Vec<&Op> = ops.iter().copied().filter(|op| matches!(op.said, Said::State(_))).collect();
    asked.sort_by_key(|op| op.asked);
    let mut floor: BTreeMap<u8, (u64, &Op)> = BTreeMap::new();
    let mut facts = facts.into_iter().peekable();
    for read in asked {
        while let Some((_, fact)) = facts.next_if(|fact| fact.0 < read.asked) {
            let known: Vec<(u8, u64)> = match &fact.said {
                Said::Done(..) => fact.items.iter().map(|item| (item.0, item.1)).collect(),
                Said::State(seen) => seen.iter().map(|(item, known)| (*item, known.0)).collect(),
                _ => Vec::new(),
            };
            for (item, version) in known {
                if floor.get(&item).is_none_or(|low| low.0 < version) {
                    floor.insert(item, (version, fact));
                }
            }
        }
        let Said::State(seen) = &read.said else { continue };
        for (item, (version, fact)) in &floor {
            if seen.get(item).is_none_or(|known| known.0 < *version) {
                return Err(format!("a read misses what stood before it: {fact:?} then {read:?}"));
            }
        }
    }
    Ok(())
}

/// What is in force was asked for and not refused, calls are whole, and a version of an item has one content.
fn contents(ops: &[&Op], values: &BTreeMap<At, Seen>) -> Result<(), String> {
    let mut asked: BTreeMap<(u8, u64, u64), Vec<&Op>> = BTreeMap::new();
    for op in ops {
        for (item, version, content, _) in &op.items {
            asked.entry((*item, *version, *content)).or_default().push(op);
        }
    }
    let read = ops.iter().filter_map(|op| match &op.said {
        Said::State(seen) => Some(seen),
        _ => None,
    });
    let mut one: BTreeMap<(u8, u64), u64> = BTreeMap::new();
    for value in values.values().chain(read) {
        for (item, (version, content)) in value {
            if *one.entry((*item, *version)).or_insert(*content) != *content {
                return Err(format!("item {item} version {version} has two contents"));
            }
            let Some(by) = asked.get(&(*item, *version, *content)) else {
                return Err(format!("nobody asked for item {item} {version} {content}"));
            };
            if by.iter().all(|op| matches!(op.said, Said::Refused(_))) {
                return Err(format!("refused and in force: {:?} in {value:?}", by[0]));
            }
            let whole =
                |op: &&Op| op.items.iter().all(|(i, v, ..)| value.get(i).is_some_and(|known| known.0 >= *v));
            if !by.iter().any(whole) {
                return Err(format!("part of a call in force: {:?} in {value:?}", by[0]));
            }
        }
    }
    Ok(())
}

/// What was acknowledged is in the content from there on.
fn acknowledged(ops: &[&Op], values: &BTreeMap<At, Seen>) -> Result<(), String> {
    for op in ops {
        let Said::Done(at, _) = &op.said else { continue };
        let Some((first, value)) = values.range(*at..).next() else { continue };
        for (item, version, content, _) in &op.items {
            let known = value.get(item).copied().unwrap_or_default();
            let other = known.0 == *version && known.1 != *content;
            if known.0 < *version || other {
                return Err(format!("acknowledged and not in force: {op:?} in {first:?} {value:?}"));
            }
        }
    }
    Ok(())
}

/// Two contents of one version of an item are not both acknowledged, unless the second came after a later version; and
/// no call comes into force twice.
fn one_number(ops: &[&Op]) -> Result<(), String> {
    let mut done: BTreeMap<(u8, u64), Vec<(i64, &Op)>> = BTreeMap::new();
    for op in ops {
        if let (Said::Done(..), Some(when)) = (&op.said, op.answered) {
            for item in &op.items {
                done.entry((item.0, item.1)).or_default().push((when, op));
            }
        }
    }
    let content = |op: &Op, name: u8, version: u64| {
        op.items.iter().find(|item| (item.0, item.1) == (name, version)).map(|item| item.2)
    };
    for ((name, version), all) in &done {
        let alone = |op: &&(i64, &Op)| op.1.items.len() == 1 && matches!(op.1.said, Said::Done(_, true));
        let mut changed = all.iter().filter(alone);
        if let (Some(first), Some(second)) = (changed.next(), changed.next()) {
            return Err(format!("in force twice under one number: {:?} and {:?}", first.1, second.1));
        }
        let Some(first) = all.first() else { continue };
        let differs =
            |other: &&(i64, &Op)| content(other.1, *name, *version) != content(first.1, *name, *version);
        for other in all.iter().filter(differs) {
            let until = first.0.max(other.0);
            let later = |op: &&&Op| {
                op.asked < until && op.items.iter().any(|item| item.0 == *name && item.1 > *version)
            };
            if !ops.iter().any(|op| later(&op)) {
                return Err(format!("both confirmed under one number: {:?} and {:?}", first.1, other.1));
            }
        }
    }
    Ok(())
}

/// A call that was acknowledged is not refused when it is sent again; a conflict needs a rival; a call that needs an item
/// which was acknowledged before, and which nobody drops, is valid.
fn refusals(ops: &[&Op]) -> Result<(), String> {
    let mut done: BTreeMap<u64, i64> = BTreeMap::new();
    for op in ops.iter().filter(|op| matches!(op.said, Said::Done(..))) {
        let when = op.answered.unwrap_or(i64::MAX);
        let known = done.entry(op.call).or_insert(when);
        *known = when.min(*known);
    }
    for op in ops {
        let Said::Refused(conflict) = op.said else { continue };
        if done.get(&op.call).is_some_and(|when| *when < op.asked) {
            return Err(format!("a repeat of an acknowledged call is refused: {op:?}"));
        }
        let answered = op.answered.unwrap_or(i64::MAX);
        let rival = |other: &&Op| {
            let same =
                |a: &(u8, u64, u64, u8)| op.items.iter().any(|b| (a.0, a.1) == (b.0, b.1) && a.2 != b.2);
            other.asked <= answered && other.items.iter().any(same)
        };
        if conflict && !ops.iter().any(rival) {
            return Err(format!("a conflict without a rival: {op:?}"));
        }
        if !conflict {
            let needed: Vec<u8> = op.items.iter().map(|item| item.3).filter(|need| *need != 0).collect();
            let stood = |need: &u8| {
                let acknowledged = |other: &&Op| {
                    matches!(other.said, Said::Done(..))
                        && other.answered.is_some_and(|when| when < op.asked)
                        && other.items.iter().any(|item| item.0 == *need && item.2 != 0)
                };
                let dropped = ops.iter().any(|o| o.items.iter().any(|i| i.0 == *need && i.2 == 0));
                ops.iter().copied().any(|other| acknowledged(&other)) && !dropped
            };
            if needed.is_empty() || needed.iter().all(stood) {
                return Err(format!("a valid call is refused: {op:?}"));
            }
        }
    }
    Ok(())
}

/// A process never goes back, and says ready only with all that was acknowledged before its start, or after the bound.
fn lives(history: &History, ops: &[&Op], key: usize) -> Result<(), String> {
    for life in &history.lives {
        let took: Vec<&Took> = life.took.iter().filter(|took| took.key == key).collect();
        for pair in took.windows(2) {
            if pair[1].at <= pair[0].at || !covers(&pair[1].value, &pair[0].value) {
                return Err(format!("machine {} went back: {:?} then {:?}", life.node, pair[0], pair[1]));
            }
        }
        let Some((when, why)) = life.ready else { continue };
        match why {
            Why::Configured => continue,
            Why::Bound if when - life.start < BOUND => {
                return Err(format!("machine {} says ready too early: {:?}", life.node, life));
            }
            Why::Bound => continue,
            Why::Fresh => {}
        }
        let nothing = Seen::new();
        let has = took.iter().rfind(|took| took.when <= when).map_or(&nothing, |took| &took.value);
        for op in ops {
            let before = op.answered.is_some_and(|answered| answered < life.start);
            let lacks = |item: &(u8, u64, u64, u8)| has.get(&item.0).is_none_or(|known| known.0 < item.1);
            if before && matches!(op.said, Said::Done(..)) && op.items.iter().any(lacks) {
                return Err(format!(
                    "machine {} says ready without what was acknowledged before its start at {}: {op:?}, it has {has:?}",
                    life.node, life.start
                ));
            }
        }
    }
    Ok(())
}
