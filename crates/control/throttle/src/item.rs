//! What an operator says of members.

use std::collections::BTreeMap;
use std::fmt;

use bitcode::{Decode, Encode};
use serde_json::Value;
use silvercross_control_store::Micros;

/// No more members stand at a time; a call that would go beyond is refused whole.
pub const MAX_MEMBERS: usize = 100_000;
/// A longer name of a member is refused.
pub const MAX_NAME_BYTES: usize = 256;
/// A longer key is refused.
pub const MAX_KEY_BYTES: usize = 256;
/// A member with more keys is refused.
pub const MAX_KEYS: usize = 16;
/// A slowing of more steps is refused.
pub const MAX_STEPS: u32 = 1_000;
/// A slowing whose steps are shorter is refused: nodes could not follow it alike.
pub const MIN_STEP: Micros = 1_000_000;
/// The greatest share of a route's target that the full slowing may take, in millionths.
pub const MAX_DELAY_PPM: u32 = 500_000;
/// No time in an item is longer (about 317 years, or the year 2286 where it is an instant): such are refused.
pub const MAX_TIME: i64 = 10_000_000_000_000_000;

/// What a member is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Plan {
    /// For a time; then it lapses.
    Trial,
    /// Never slowed.
    Full,
}

/// When a trial lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LapseTime {
    /// At this time of day, in microseconds since 1970.
    At(i64),
    /// So long after the owner of the member's key first has this edition.
    In(Micros),
}

/// How the slowing runs once the trial has lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ThrottleSchedule {
    /// The share of a route's target that a read waits at most when the slowing is full, in millionths; above 0, at most
    /// [`MAX_DELAY_PPM`].
    pub max_delay_ppm: u32,
    /// From no slowing to the full one.
    pub ramp: Micros,
    /// In how many equal steps; 1 to [`MAX_STEPS`].
    pub steps: u32,
}

impl Default for ThrottleSchedule {
    /// A quarter of the target, over a day, an hour a step.
    fn default() -> Self {
        ThrottleSchedule { max_delay_ppm: 250_000, ramp: 86_400_000_000, steps: 24 }
    }
}

/// A member: who sends requests under a key.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Member {
    /// Its identity.
    pub name: String,
    /// The values by which requests name it; 1 to [`MAX_KEYS`]. No two members share one.
    pub keys: Vec<String>,
    /// What it is on.
    pub plan: Plan,
    /// When it lapses; a trial has it and a full plan has not.
    pub lapse_time: Option<LapseTime>,
    /// How it is slowed after that; defaults where none was sent.
    pub throttle: ThrottleSchedule,
    /// The item's version. A higher one renews the member: its slowing begins anew from nothing.
    pub version: u64,
}

/// What becomes of a request that names no member: no key, several, or one nobody has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum UnknownMemberPolicy {
    /// It is served as of no member.
    #[default]
    Serve,
    /// It is refused before it is sent on.
    Reject,
}

/// How requests name their member.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberIdentification {
    /// The header that carries a key, in lower case.
    pub header: String,
    /// What becomes of the others; served where nothing was sent.
    pub unknown: UnknownMemberPolicy,
    /// The item's version.
    pub version: u64,
}

/// What is wrong with a call: where, why, and what mends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberError {
    /// The item's name, its position (`members[2]`) where it has none, or `deliver` or `withdraw`.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong and, in brackets, what mends it.
    pub reason: String,
}

impl MemberError {
    pub(crate) fn new(item: impl Into<String>, key: impl Into<String>, reason: impl Into<String>) -> Self {
        MemberError { item: item.into(), key: key.into(), reason: reason.into() }
    }
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "item {}, key {}: {}", self.item, self.key, self.reason)
    }
}

impl std::error::Error for MemberError {}

/// An item as it is used and as it was sent, with the fields that are not known here.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Item<T> {
    pub parsed: T,
    /// Its JSON, without blanks.
    pub raw_json: String,
}

impl<T: PartialEq> PartialEq for Item<T> {
    /// The same content: order of keys and the way a number is written don't matter.
    fn eq(&self, other: &Self) -> bool {
        self.parsed == other.parsed && same_text(&self.raw_json, &other.raw_json)
    }
}

/// What holds for a member's name.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum Entry {
    Set(Item<Member>),
    /// Kept so that an older setting of the name does not come back. `order` counts the drops of a roll.
    Dropped {
        version: u64,
        order: u64,
    },
}

impl PartialEq for Entry {
    /// Equal if they mean the same; when an item was dropped doesn't matter.
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Entry::Set(a), Entry::Set(b)) => a == b,
            (Entry::Dropped { version: a, .. }, Entry::Dropped { version: b, .. }) => a == b,
            _ => false,
        }
    }
}

impl Entry {
    pub fn version(&self) -> u64 {
        match self {
            Entry::Set(item) => item.parsed.version,
            Entry::Dropped { version, .. } => *version,
        }
    }

    pub fn item(&self) -> Option<&Item<Member>> {
        match self {
            Entry::Set(item) => Some(item),
            Entry::Dropped { .. } => None,
        }
    }

    pub fn member(&self) -> Option<&Member> {
        self.item().map(|item| &item.parsed)
    }
}

/// Names and what holds for them.
pub(crate) type Entries = BTreeMap<String, Entry>;

fn same_text(a: &str, b: &str) -> bool {
    a == b
        || match (serde_json::from_str::<Value>(a), serde_json::from_str::<Value>(b)) {
            (Ok(a), Ok(b)) => same_json(&a, &b),
            _ => false,
        }
}

/// Equal as JSON: 4 and 4.0 are the same number.
fn same_json(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(x), Value::Number(y)) => {
            x == y || ((x.is_f64() || y.is_f64()) && x.as_f64() == y.as_f64())
        }
        (Value::Array(x), Value::Array(y)) => {
            x.len() == y.len() && x.iter().zip(y).all(|(x, y)| same_json(x, y))
        }
        (Value::Object(x), Value::Object(y)) => {
            x.len() == y.len() && x.iter().all(|(key, x)| y.get(key).is_some_and(|y| same_json(x, y)))
        }
        _ => a == b,
    }
}
