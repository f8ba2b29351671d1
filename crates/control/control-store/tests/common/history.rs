//! The checker: compares what callers observed with a plain map in which the highest version wins and nothing
//! is lost. It shares no type with the control store.

use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Item to version and content.
pub type Items = BTreeMap<u8, (u64, u64)>;

/// A revision of the store, with the same order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub round: u64,
    pub owner: u32,
    pub sequence: u64,
}

#[derive(Clone, Debug)]
pub enum Answer {
    /// No answer yet.
    Pending,
    Unknown,
    Rejected,
    Committed(Position),
    Value(Items),
}

/// A change, or a read if it has no items.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    pub key: String,
    pub started: Instant,
    pub answered: Option<Instant>,
    /// Item, version, content.
    pub items: Vec<(u8, u64, u64)>,
    pub answer: Answer,
}

impl RecordedCall {
    /// The items of the value if the call is committed.
    fn expected_items(&self) -> Items {
        self.items.iter().map(|(item, version, content)| (*item, (*version, *content))).collect()
    }

    /// Whether a value has all items of the call, in their versions or higher ones.
    fn is_contained_in(&self, value: &Items) -> bool {
        self.items.iter().all(|(item, version, _)| value.get(item).is_some_and(|known| known.0 >= *version))
    }
}

/// A committed value, as published by a node.
#[derive(Clone, Debug)]
pub struct Commit {
    pub key: String,
    pub at: Position,
    /// The node, and the run of its process.
    pub publisher: (usize, u64),
    pub value: Items,
}

#[derive(Default)]
pub struct History {
    pub calls: Vec<RecordedCall>,
    pub commits: Vec<Commit>,
}

/// Whether `later` has everything that `earlier` has, or higher versions of it.
fn covers(later: &Items, earlier: &Items) -> bool {
    earlier.iter().all(|(item, (version, content))| match later.get(item) {
        Some((v, c)) => v > version || (v == version && c == content),
        None => false,
    })
}

/// Describes the first violation found in a history.
pub fn check(history: &History) -> Result<(), String> {
    let keys: BTreeSet<&String> = history.calls.iter().map(|call| &call.key).collect();
    for key in keys {
        let calls: Vec<&RecordedCall> = history.calls.iter().filter(|call| call.key == *key).collect();
        let mut commits: Vec<&Commit> = history.commits.iter().filter(|c| c.key == *key).collect();
        check_commits(&commits)?;
        commits.sort_by_key(|commit| commit.at);
        check_reads(&calls)?;
        check_values(&calls, &commits)?;
    }
    Ok(())
}

/// Each revision contains all earlier ones, and no node publishes an older revision after a newer one.
fn check_commits(commits: &[&Commit]) -> Result<(), String> {
    let mut last: BTreeMap<(usize, u64), Position> = BTreeMap::new();
    for commit in commits {
        let known = last.entry(commit.publisher).or_default();
        if commit.at < *known {
            return Err(format!("commits went back: {commit:?} after {known:?}"));
        }
        *known = commit.at;
    }
    let mut sorted = commits.to_vec();
    sorted.sort_by_key(|commit| commit.at);
    for pair in sorted.windows(2) {
        if !covers(&pair[1].value, &pair[0].value) {
            return Err(format!("lost between revisions: {:?} then {:?}", pair[0], pair[1]));
        }
    }
    Ok(())
}

/// A read returns everything that was acknowledged or read before it began.
fn check_reads(calls: &[&RecordedCall]) -> Result<(), String> {
    // By time: what is known to be in force once answered.
    let mut facts: Vec<(Instant, Items, &RecordedCall)> = Vec::new();
    for call in calls {
        match (call.answered, &call.answer) {
            (Some(answered), Answer::Committed(_)) => facts.push((answered, call.expected_items(), call)),
            (Some(answered), Answer::Value(value)) => facts.push((answered, value.clone(), call)),
            _ => {}
        }
    }
    for call in calls {
        let Answer::Value(value) = &call.answer else { continue };
        for (when, fact, by) in &facts {
            // A change that a higher version superseded need not have been in force itself.
            let is_covered = match by.answer {
                Answer::Committed(_) => by.is_contained_in(value),
                _ => covers(value, fact),
            };
            if *when < call.started && !is_covered {
                return Err(format!("a read misses what was in force before it: {by:?} then {call:?}"));
            }
        }
    }
    Ok(())
}

/// Rejected changes are nowhere, changes are complete, a version has one content, and committed changes are
/// in the value.
fn check_values(calls: &[&RecordedCall], commits: &[&Commit]) -> Result<(), String> {
    let mut values: Vec<&Items> = commits.iter().map(|commit| &commit.value).collect();
    values.extend(calls.iter().filter_map(|call| match &call.answer {
        Answer::Value(value) => Some(value),
        _ => None,
    }));
    check_contents(calls, &values)?;
    for call in calls {
        let Answer::Committed(at) = &call.answer else { continue };
        if call.items.iter().any(|(_, _, content)| *content == 0) {
            return Err(format!("invalid and acknowledged: {call:?}"));
        }
        for commit in commits.iter().filter(|commit| commit.at >= *at) {
            for (item, version, content) in &call.items {
                let known = commit.value.get(item).copied().unwrap_or_default();
                if known.0 < *version || (known.0 == *version && known.1 != *content) {
                    return Err(format!("acknowledged and not in force: {call:?} in {:?}", commit.value));
                }
            }
        }
    }
    Ok(())
}

/// Each content belongs to a call that was not rejected and is complete in the value, and each version has
/// one content.
fn check_contents(calls: &[&RecordedCall], values: &[&Items]) -> Result<(), String> {
    let mut content_of: BTreeMap<(u8, u64), u64> = BTreeMap::new();
    let mut issued: BTreeMap<u64, &RecordedCall> = BTreeMap::new();
    let mut rejected: BTreeMap<u64, &RecordedCall> = BTreeMap::new();
    for call in calls {
        for (_, _, content) in &call.items {
            issued.insert(*content, call);
            if matches!(call.answer, Answer::Rejected) {
                rejected.insert(*content, call);
            }
        }
    }
    // A rejected change that was repeated may have become valid.
    for call in calls.iter().filter(|call| !matches!(call.answer, Answer::Rejected)) {
        for (_, _, content) in &call.items {
            rejected.remove(content);
        }
    }
    for value in values {
        for (item, (version, content)) in value.iter() {
            if *content_of.entry((*item, *version)).or_insert(*content) != *content {
                return Err(format!("item {item} version {version} has two contents"));
            }
            if let Some(call) = rejected.get(content) {
                return Err(format!("rejected and in force: {call:?} in {value:?}"));
            }
            let Some(call) = issued.get(content) else { return Err(format!("no call wrote {content}")) };
            if !call.is_contained_in(value) {
                return Err(format!("part of a call in force: {call:?} in {value:?}"));
            }
        }
    }
    Ok(())
}
