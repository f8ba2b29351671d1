//! What stands under a member's key in the ledger, and what it means to a node.

use std::fmt;

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};

use crate::item::{Member, Plan};

/// Before a member's name: the key of its lapse.
pub const LAPSE_KEY_PREFIX: &str = "lapse/";

/// The key of a member's lapse.
pub fn lapse_key(name: &str) -> String {
    format!("{LAPSE_KEY_PREFIX}{name}")
}

/// The member whose lapse a key holds.
pub fn member_of_lapse_key(key: &str) -> Option<&str> {
    key.strip_prefix(LAPSE_KEY_PREFIX).filter(|name| !name.is_empty())
}

/// How far a member's lapse has come. Within an edition nothing of it goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LapseState {
    /// The edition of the member's item that it is about; nothing was ever written where there is none.
    pub version: Option<u64>,
    /// When it is to begin, where the item says `lapsesInS`: microseconds since 1970, set once for an edition.
    pub due: Option<i64>,
    /// Whether it has begun.
    pub begun: bool,
    /// The step in force, 0 to `total_steps`.
    pub step: u32,
    /// Steps in all.
    pub total_steps: u32,
    /// How often it was renewed after the first.
    pub renewals: u32,
}

/// A change of a lapse. Each names its edition, so that what a late owner still sends does not touch a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LapseChange {
    /// A higher edition of the member's item: all begins anew.
    Renew {
        /// The edition.
        version: u64,
        /// Steps in all.
        total_steps: u32,
    },
    /// When it is to begin.
    Due {
        /// The edition.
        version: u64,
        /// Microseconds since 1970.
        at: i64,
    },
    /// The trial has lapsed; the first step follows a span later.
    Begin {
        /// The edition.
        version: u64,
    },
    /// The next step is in force.
    Step {
        /// The edition.
        version: u64,
        /// The step, one above the one before.
        to: u32,
    },
}

impl LapseChange {
    /// The edition that it is about.
    pub fn version(&self) -> u64 {
        match self {
            LapseChange::Renew { version, .. }
            | LapseChange::Due { version, .. }
            | LapseChange::Begin { version }
            | LapseChange::Step { version, .. } => *version,
        }
    }
}

fn refused<T>(conflict: bool, reason: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection { conflict, reason: reason.into() })
}

impl State for LapseState {
    type Change = LapseChange;

    /// What is of a lower edition is overtaken and changes nothing; what is of a higher one waits for its renewal. A step
    /// is taken only from the one before it.
    fn apply(&mut self, change: &LapseChange) -> Result<bool, Rejection> {
        let version = Some(change.version());
        if version < self.version {
            return Ok(false);
        }
        match *change {
            LapseChange::Renew { version, total_steps } => {
                if total_steps == 0 {
                    return refused(false, "a lapse has at least one step");
                }
                if self.version == Some(version) {
                    if self.total_steps != total_steps {
                        return refused(
                            true,
                            format!("edition {version} stands with {} steps", self.total_steps),
                        );
                    }
                    return Ok(false);
                }
                let renewals = self.version.map_or(0, |_| self.renewals.saturating_add(1));
                *self = LapseState { version: Some(version), total_steps, renewals, ..LapseState::default() };
                Ok(true)
            }
            _ if version > self.version => refused(true, "that edition was not begun (renew first)"),
            LapseChange::Due { at, .. } => match self.due {
                Some(due) if due == at => Ok(false),
                Some(_) => refused(true, "another instant stands already"),
                None if self.begun => refused(true, "it has begun already"),
                None => {
                    self.due = Some(at);
                    Ok(true)
                }
            },
            LapseChange::Begin { .. } => {
                let new = !self.begun;
                self.begun = true;
                Ok(new)
            }
            LapseChange::Step { to, .. } if to <= self.step => Ok(false),
            LapseChange::Step { to, .. } if to > self.total_steps => {
                refused(false, format!("step {to} is above the last, {}", self.total_steps))
            }
            LapseChange::Step { .. } if !self.begun => refused(true, "it has not begun"),
            LapseChange::Step { to, .. } if to > self.step + 1 => {
                refused(true, format!("step {to} does not follow {}", self.step))
            }
            LapseChange::Step { to, .. } => {
                self.step = to;
                Ok(true)
            }
        }
    }
}

impl LapseState {
    /// The order in which a lapse's contents follow one another.
    pub(crate) fn rank(&self) -> (Option<u64>, bool, u32, bool) {
        (self.version, self.begun, self.step, self.due.is_some())
    }
}

/// How far a member is slowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ThrottleStep {
    /// The step in force; 0 is not slowed at all.
    pub step: u32,
    /// Steps in all.
    pub total_steps: u32,
}

impl fmt::Display for ThrottleStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.step, self.total_steps)
    }
}

/// How far a node slows a member, by its item and its lapse, as far as the node has them. An item that is newer than the
/// lapse is a renewal that came ahead of it, and holds at once; an item that is older only lags, and the lapse holds. No
/// clock has a say.
pub fn throttle_step(member: &Member, lapse: &LapseState) -> ThrottleStep {
    if member.plan == Plan::Full || lapse.version < Some(member.version) {
        return ThrottleStep { step: 0, total_steps: member.throttle.steps };
    }
    ThrottleStep { step: lapse.step.min(lapse.total_steps), total_steps: lapse.total_steps }
}
