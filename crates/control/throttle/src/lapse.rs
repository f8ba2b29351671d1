//! What stands under a member's key in the control store, and how it changes.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};

use thiserror::Error;

use crate::unix_time::UnixTime;

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

/// How far a member's lapse has come. Within a version nothing of it goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LapseState {
    /// The version of the member's item that it is about; nothing was ever written where there is none.
    pub version: Option<u64>,
    /// When it is to begin, where the item says `lapsesInS`; set once for a version.
    pub due: Option<UnixTime>,
    /// Whether it has begun.
    pub begun: bool,
    /// The step in force, 0 to `total_steps`.
    pub step: u32,
    /// Steps in all.
    pub total_steps: u32,
    /// How often it was renewed after the first.
    pub renewals: u32,
}

/// A change of a lapse. Each names its version, so that what a late owner still sends does not touch a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LapseChange {
    /// A higher version of the member's item: all begins anew.
    Renew {
        /// The version of the item.
        version: u64,
        /// Steps in all.
        total_steps: u32,
    },
    /// When it is to begin.
    Due {
        /// The version of the item.
        version: u64,
        /// That time.
        at: UnixTime,
    },
    /// The trial has lapsed; the first step follows a part of the ramp later.
    Begin {
        /// The version of the item.
        version: u64,
    },
    /// The next step is in force.
    Step {
        /// The version of the item.
        version: u64,
        /// The step, one above the one before.
        to: u32,
    },
}

impl LapseChange {
    /// The version of the item that it is about.
    pub fn version(&self) -> u64 {
        match self {
            LapseChange::Renew { version, .. }
            | LapseChange::Due { version, .. }
            | LapseChange::Begin { version }
            | LapseChange::Step { version, .. } => *version,
        }
    }
}

/// Why a change of a lapse is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum LapseRejection {
    #[error("a lapse has at least one step")]
    NoSteps,
    #[error("edition {version} stands with {total_steps} steps")]
    OtherSteps { version: u64, total_steps: u32 },
    #[error("that edition was not begun (renew first)")]
    NotRenewed,
    #[error("another instant stands already")]
    OtherDueTime,
    #[error("it has begun already")]
    Begun,
    #[error("step {to} is above the last, {total_steps}")]
    AboveLastStep { to: u32, total_steps: u32 },
    #[error("it has not begun")]
    NotBegun,
    #[error("step {to} does not follow {step}")]
    StepLeftOut { to: u32, step: u32 },
}

impl LapseRejection {
    /// Whether the change would be valid had another not come first.
    fn is_conflict(&self) -> bool {
        !matches!(self, LapseRejection::NoSteps | LapseRejection::AboveLastStep { .. })
    }
}

impl State for LapseState {
    type Change = LapseChange;

    /// What is of a lower version is superseded and changes nothing; what is of a higher one waits for its renewal. A step
    /// is taken only from the one before it.
    fn apply(&mut self, change: &LapseChange) -> Result<bool, Rejection> {
        self.apply_change(change).map_err(|rejection| Rejection {
            conflict: rejection.is_conflict(),
            reason: rejection.to_string(),
        })
    }
}

impl LapseState {
    /// Whether this content of the key follows the other.
    pub(crate) fn is_newer_than(&self, other: &LapseState) -> bool {
        let rank = |state: &LapseState| (state.version, state.begun, state.step, state.due.is_some());
        rank(self) > rank(other)
    }

    fn apply_change(&mut self, change: &LapseChange) -> Result<bool, LapseRejection> {
        let version = Some(change.version());
        if version < self.version {
            return Ok(false);
        }
        match *change {
            LapseChange::Renew { version, total_steps } => self.renew(version, total_steps),
            _ if version > self.version => Err(LapseRejection::NotRenewed),
            LapseChange::Due { at, .. } => self.set_due(at),
            LapseChange::Begin { .. } => {
                let is_new = !self.begun;
                self.begun = true;
                Ok(is_new)
            }
            LapseChange::Step { to, .. } => self.step_to(to),
        }
    }

    fn renew(&mut self, version: u64, total_steps: u32) -> Result<bool, LapseRejection> {
        if total_steps == 0 {
            return Err(LapseRejection::NoSteps);
        }
        if self.version == Some(version) {
            if self.total_steps != total_steps {
                return Err(LapseRejection::OtherSteps { version, total_steps: self.total_steps });
            }
            return Ok(false);
        }
        let renewals = self.version.map_or(0, |_| self.renewals.saturating_add(1));
        *self = LapseState { version: Some(version), total_steps, renewals, ..LapseState::default() };
        Ok(true)
    }

    fn set_due(&mut self, at: UnixTime) -> Result<bool, LapseRejection> {
        match self.due {
            Some(due) if due == at => Ok(false),
            Some(_) => Err(LapseRejection::OtherDueTime),
            None if self.begun => Err(LapseRejection::Begun),
            None => {
                self.due = Some(at);
                Ok(true)
            }
        }
    }

    fn step_to(&mut self, to: u32) -> Result<bool, LapseRejection> {
        if to <= self.step {
            return Ok(false);
        }
        if to > self.total_steps {
            return Err(LapseRejection::AboveLastStep { to, total_steps: self.total_steps });
        }
        if !self.begun {
            return Err(LapseRejection::NotBegun);
        }
        if to > self.step + 1 {
            return Err(LapseRejection::StepLeftOut { to, step: self.step });
        }
        self.step = to;
        Ok(true)
    }
}
