//! What stands under a member's key in the ledger, and what it means to a node.

use std::fmt;

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};

use crate::items::{Member, Plan};

/// Before a member's name: the key of its lapse.
pub const LAPSE: &str = "lapse/";

/// The key of a member's lapse.
pub fn key(name: &str) -> String {
    format!("{LAPSE}{name}")
}

/// The member whose lapse a key holds.
pub fn name_of(key: &str) -> Option<&str> {
    key.strip_prefix(LAPSE).filter(|name| !name.is_empty())
}

/// How far a member's lapse has come. Within an edition nothing of it goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Lapse {
    /// The edition of the member's item that it is about; nothing was ever written where there is none.
    pub edition: Option<u64>,
    /// When it is to begin, where the item says `lapsesInS`: microseconds since 1970, set once for an edition.
    pub due: Option<i64>,
    /// Whether it has begun.
    pub begun: bool,
    /// The step in force, 0 to `of`.
    pub step: u32,
    /// Steps in all.
    pub of: u32,
    /// How often it was renewed after the first.
    pub renewals: u32,
}

/// A change of a lapse. Each names its edition, so that what a late owner still sends does not touch a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Change {
    /// A higher edition of the member's item: all begins anew.
    Renew {
        /// The edition.
        edition: u64,
        /// Steps in all.
        of: u32,
    },
    /// When it is to begin.
    Due {
        /// The edition.
        edition: u64,
        /// Microseconds since 1970.
        at: i64,
    },
    /// The trial has lapsed; the first step follows a span later.
    Begin {
        /// The edition.
        edition: u64,
    },
    /// The next step is in force.
    Step {
        /// The edition.
        edition: u64,
        /// The step, one above the one before.
        to: u32,
    },
}

impl Change {
    /// The edition that it is about.
    pub fn edition(&self) -> u64 {
        match self {
            Change::Renew { edition, .. }
            | Change::Due { edition, .. }
            | Change::Begin { edition }
            | Change::Step { edition, .. } => *edition,
        }
    }
}

fn refused<T>(conflict: bool, reason: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection { conflict, reason: reason.into() })
}

impl State for Lapse {
    type Change = Change;

    /// What is of a lower edition is overtaken and changes nothing; what is of a higher one waits for its renewal. A step
    /// is taken only from the one before it.
    fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
        let edition = Some(change.edition());
        if edition < self.edition {
            return Ok(false);
        }
        match *change {
            Change::Renew { edition, of } => {
                if of == 0 {
                    return refused(false, "a lapse has at least one step");
                }
                if self.edition == Some(edition) {
                    if self.of != of {
                        return refused(true, format!("edition {edition} stands with {} steps", self.of));
                    }
                    return Ok(false);
                }
                let renewals = self.edition.map_or(0, |_| self.renewals.saturating_add(1));
                *self = Lapse { edition: Some(edition), of, renewals, ..Lapse::default() };
                Ok(true)
            }
            _ if edition > self.edition => refused(true, "that edition was not begun (renew first)"),
            Change::Due { at, .. } => match self.due {
                Some(due) if due == at => Ok(false),
                Some(_) => refused(true, "another instant stands already"),
                None if self.begun => refused(true, "it has begun already"),
                None => {
                    self.due = Some(at);
                    Ok(true)
                }
            },
            Change::Begin { .. } => {
                let new = !self.begun;
                self.begun = true;
                Ok(new)
            }
            Change::Step { to, .. } if to <= self.step => Ok(false),
            Change::Step { to, .. } if to > self.of => {
                refused(false, format!("step {to} is above the last, {}", self.of))
            }
            Change::Step { .. } if !self.begun => refused(true, "it has not begun"),
            Change::Step { to, .. } if to > self.step + 1 => {
                refused(true, format!("step {to} does not follow {}", self.step))
            }
            Change::Step { to, .. } => {
                self.step = to;
                Ok(true)
            }
        }
    }
}

impl Lapse {
    /// The order in which a lapse's contents follow one another.
    pub(crate) fn rank(&self) -> (Option<u64>, bool, u32, bool) {
        (self.edition, self.begun, self.step, self.due.is_some())
    }
}

/// How far a member is slowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Standing {
    /// The step in force; 0 is not slowed at all.
    pub step: u32,
    /// Steps in all.
    pub of: u32,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.step, self.of)
    }
}

/// How far a node slows a member, by its item and its lapse, as far as the node has them. An item that is newer than the
/// lapse is a renewal that came ahead of it, and holds at once; an item that is older only lags, and the lapse holds. No
/// clock has a say.
pub fn standing(member: &Member, lapse: &Lapse) -> Standing {
    if member.plan == Plan::Full || lapse.edition < Some(member.edition) {
        return Standing { step: 0, of: member.slowing.steps };
    }
    Standing { step: lapse.step.min(lapse.of), of: lapse.of }
}
