//! The judge: what operators saw, held against one plain map in which the highest version wins and nothing is lost.
//! It shares no type with the control store.

use std::collections::{BTreeMap, BTreeSet};

/// Item to version and content.
pub type Seen = BTreeMap<u8, (u64, u64)>;
/// Round, owner, number.
pub type At = (u64, u32, u64);

#[derive(Clone, Debug)]
pub enum Said {
    Nothing,
    Unknown,
    Refused,
    Done(At),
    State(Seen),
}

/// A change, or a read if it has no items.
#[derive(Clone, Debug)]
pub struct Op {
    pub key: String,
    pub asked: i64,
    pub answered: Option<i64>,
    pub items: Vec<(u8, u64, u64)>,
    pub said: Said,
}

#[derive(Default)]
pub struct History {
    pub ops: Vec<Op>,
    /// Key, where, who told it in which incarnation, content.
    pub news: Vec<(String, At, (usize, u64), Seen)>,
}

/// Whether `later` has all that `earlier` has, or higher versions.
fn covers(later: &Seen, earlier: &Seen) -> bool {
    earlier.iter().all(|(item, (version, content))| match later.get(item) {
        Some((v, c)) => v > version || (v == version && c == content),
        None => false,
    })
}

fn wanted(op: &Op) -> Seen {
    op.items.iter().map(|(item, version, content)| (*item, (*version, *content))).collect()
}

/// The shortest piece of history that breaks the claim.
pub fn judge(history: &History) -> Result<(), String> {
    let keys: BTreeSet<&String> = history.ops.iter().map(|op| &op.key).collect();
    for key in keys {
        let ops: Vec<&Op> = history.ops.iter().filter(|op| op.key == *key).collect();
        let mut news: Vec<_> = history.news.iter().filter(|n| n.0 == *key).collect();
        judge_news(&news)?;
        news.sort_by_key(|n| n.1);
        judge_reads(&ops)?;
        judge_values(&ops, &news)?;
    }
    Ok(())
}

type Committed<'a> = [&'a (String, At, (usize, u64), Seen)];

/// Content follows the revisions everywhere, and no node tells an older one after a newer one.
fn judge_news(news: &Committed) -> Result<(), String> {
    let mut last: BTreeMap<(usize, u64), At> = BTreeMap::new();
    for one in news {
        let known = last.entry(one.2).or_default();
        if one.1 < *known {
            return Err(format!("news went back: {one:?} after {known:?}"));
        }
        *known = one.1;
    }
    let mut sorted = news.to_vec();
    sorted.sort_by_key(|n| n.1);
    for pair in sorted.windows(2) {
        if !covers(&pair[1].3, &pair[0].3) {
            return Err(format!("lost between revisions: {:?} then {:?}", pair[0], pair[1]));
        }
    }
    Ok(())
}

/// A read sees whatever was acknowledged or read before it was asked.
fn judge_reads(ops: &[&Op]) -> Result<(), String> {
    // By time: what is known to be in force once answered.
    let mut facts: Vec<(i64, Seen, &Op)> = Vec::new();
    for op in ops {
        if let (Some(answered), Said::Done(_)) = (op.answered, &op.said) {
            facts.push((answered, wanted(op), op));
        }
        if let (Some(answered), Said::State(value)) = (op.answered, &op.said) {
            facts.push((answered, value.clone(), op));
        }
    }
    for op in ops {
        let Said::State(value) = &op.said else { continue };
        for (when, fact, by) in &facts {
            // What a change overtaken by a higher version asked for was never in force.
            let covered = match by.said {
                Said::Done(_) => {
                    by.items.iter().all(|(i, v, _)| value.get(i).is_some_and(|known| known.0 >= *v))
                }
                _ => covers(value, fact),
            };
            if *when < op.asked && !covered {
                return Err(format!("a read misses what stood before it: {by:?} then {op:?}"));
            }
        }
    }
    Ok(())
}

/// What was refused is nowhere, calls are whole, a version has one content, and what is done is in the content.
fn judge_values(ops: &[&Op], news: &Committed) -> Result<(), String> {
    let mut values: Vec<&Seen> = news.iter().map(|n| &n.3).collect();
    values.extend(ops.iter().filter_map(|op| match &op.said {
        Said::State(value) => Some(value),
        _ => None,
    }));
    let mut one: BTreeMap<(u8, u64), u64> = BTreeMap::new();
    let mut asked: BTreeMap<u64, &Op> = BTreeMap::new();
    let mut refused: BTreeMap<u64, &Op> = BTreeMap::new();
    for op in ops {
        for (_, _, content) in &op.items {
            asked.insert(*content, op);
            if matches!(op.said, Said::Refused) {
                refused.insert(*content, op);
            }
        }
    }
    // Sent again, it may have become valid.
    for op in ops.iter().filter(|op| !matches!(op.said, Said::Refused)) {
        for (_, _, content) in &op.items {
            refused.remove(content);
        }
    }
    for value in &values {
        for (item, (version, content)) in value.iter() {
            if *one.entry((*item, *version)).or_insert(*content) != *content {
                return Err(format!("item {item} version {version} has two contents"));
            }
            if let Some(op) = refused.get(content) {
                return Err(format!("refused and in force: {op:?} in {value:?}"));
            }
            let Some(op) = asked.get(content) else { return Err(format!("nobody asked for {content}")) };
            if !op.items.iter().all(|(i, v, _)| value.get(i).is_some_and(|known| known.0 >= *v)) {
                return Err(format!("part of a call in force: {op:?} in {value:?}"));
            }
        }
    }
    for op in ops {
        let Said::Done(at) = &op.said else { continue };
        if op.items.iter().any(|(_, _, content)| *content == 0) {
            return Err(format!("invalid and acknowledged: {op:?}"));
        }
        for (_, _, _, value) in news.iter().filter(|n| n.1 >= *at) {
            for (item, version, content) in &op.items {
                let known = value.get(item).copied().unwrap_or_default();
                if known.0 < *version || (known.0 == *version && known.1 != *content) {
                    return Err(format!("acknowledged and not in force: {op:?} in {value:?}"));
                }
            }
        }
    }
    Ok(())
}
