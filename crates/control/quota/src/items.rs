//! What an operator allows, and which of it holds.

use std::collections::BTreeMap;
use std::fmt;

use bitcode::{Decode, Encode};
use silvercross_control_store::{Micros, Rejection, State};

/// No more items stand or are remembered as dropped; a call that would go beyond is refused whole.
pub const MAX_ITEMS: usize = 131_072;
/// A longer name is refused.
pub const MAX_NAME: usize = 200;
/// No kind has more units in a window.
pub const MAX_AMOUNT: u64 = 1_000_000_000_000;
/// A shorter window is refused: it must outlast a part and the wait for a lost one.
pub const MIN_WINDOW_US: Micros = 60_000_000;
/// A longer window is refused (a year).
pub const MAX_WINDOW_US: Micros = 366 * 86_400 * 1_000_000;

/// What is counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Kind {
    /// Status and notice-board reads.
    Read,
    /// Confirmations and postings.
    Confirmation,
    /// Large bodies.
    Upload,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Read, Kind::Confirmation, Kind::Upload];

    /// The operator's word for it.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Read => "read",
            Kind::Confirmation => "confirmation",
            Kind::Upload => "upload",
        }
    }

    /// The kind an operator's word stands for.
    pub fn from_word(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.word() == word)
    }

    pub(crate) fn at(self) -> usize {
        self as usize
    }
}

/// What one unit is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Unit {
    /// A request.
    Request,
    /// So many bytes of a request's body, begun; a request without a body is one unit. Above 0.
    Bytes(u64),
}

impl Unit {
    /// The units of a request with a body of that many bytes; at least 1.
    pub fn units(self, bytes: u64) -> u64 {
        match self {
            Unit::Request => 1,
            Unit::Bytes(each) => bytes.div_ceil(each.max(1)).max(1),
        }
    }
}

/// What becomes of a request of which nothing is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Spent {
    /// It is refused.
    Refuse,
    /// It is not counted and goes on, slowed as for a lapsed trial. Reads only.
    Slow,
}

/// What a node does that can't reach the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Away {
    /// Serve within the part that it holds, then refuse.
    Serve,
    /// Refuse at once.
    Refuse,
}

/// What a member may use of one kind in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Share {
    /// Units in a window.
    pub amount: u64,
    /// What a unit is.
    pub unit: Unit,
    /// What becomes of the excess.
    pub spent: Spent,
    /// Whether each request with an order number is asked of the owner, so that a repeat is known at once everywhere.
    pub strict: bool,
}

/// One member's allowance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Allowance {
    /// The member.
    pub name: String,
    /// The item's version.
    pub edition: u64,
    /// How long a window is.
    pub window_us: Micros,
    /// The header in which an order's number comes, in lower case; requests without it are counted one by one.
    pub order_header: Option<String>,
    /// What a node does that can't reach the owner.
    pub away: Away,
    /// By kind; a kind without a share is not counted.
    pub shares: [Option<Share>; 3],
}

impl Allowance {
    /// The share of a kind, if it is counted.
    pub fn share(&self, kind: Kind) -> Option<&Share> {
        self.shares[kind.at()].as_ref()
    }
}

/// What is wrong with a call: where, why, and what mends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The item's name, its position where it has none, or `body`.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What mends it.
    pub mend: String,
}

impl Fault {
    pub(crate) fn new(item: &str, key: &str, reason: impl Into<String>, mend: impl Into<String>) -> Self {
        Fault { item: item.into(), key: key.into(), reason: reason.into(), mend: mend.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "item {}, key {}: {} ({})", self.item, self.key, self.reason, self.mend)
    }
}

impl std::error::Error for Fault {}

/// What holds for a name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Entry {
    Set(Allowance),
    /// Kept so that an older setting does not come back.
    Dropped(u64),
}

impl Entry {
    pub(crate) fn edition(&self) -> u64 {
        match self {
            Entry::Set(item) => item.edition,
            Entry::Dropped(edition) => *edition,
        }
    }
}

/// One call of the operator, checked. Holds at most what a body of [`crate::MAX_BODY`] bytes says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BookChange {
    pub(crate) entries: BTreeMap<String, Entry>,
}

impl BookChange {
    /// How many items the call sets or drops.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the call names no item.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// All allowances. At most [`MAX_ITEMS`], dropped ones included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Book {
    entries: BTreeMap<String, Entry>,
}

impl Book {
    /// A member's allowance, if one stands.
    pub fn get(&self, member: &str) -> Option<&Allowance> {
        match self.entries.get(member) {
            Some(Entry::Set(item)) => Some(item),
            _ => None,
        }
    }

    /// All that stand, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Allowance> {
        self.entries.values().filter_map(|entry| match entry {
            Entry::Set(item) => Some(item),
            Entry::Dropped(_) => None,
        })
    }

    /// Whether no allowance stands: then nothing is asked and nothing costs.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }
}

impl State for Book {
    type Change = BookChange;

    /// The higher edition of each name holds, a lower one changes nothing, the same with other content is a conflict.
    fn apply(&mut self, change: &BookChange) -> Result<bool, Rejection> {
        let mut newer = Vec::new();
        for (name, new) in &change.entries {
            match self.entries.get(name) {
                Some(old) if new.edition() < old.edition() || old == new => {}
                Some(old) if new.edition() == old.edition() => {
                    let reason = format!("{} stands already with other content", new.edition());
                    let fault = Fault::new(name, "edition", reason, "read the item, raise the edition");
                    return Err(Rejection { conflict: true, reason: fault.to_string() });
                }
                _ => newer.push((name, new)),
            }
        }
        let added = newer.iter().filter(|(name, _)| !self.entries.contains_key(*name)).count();
        if self.entries.len() + added > MAX_ITEMS {
            let reason = format!("would be above {MAX_ITEMS}");
            let fault = Fault::new("body", "allowances", reason, "send fewer members");
            return Err(Rejection { conflict: false, reason: fault.to_string() });
        }
        let changed = !newer.is_empty();
        for (name, new) in newer {
            self.entries.insert(name.clone(), new.clone());
        }
        Ok(changed)
    }
}
