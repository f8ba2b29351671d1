//! The state of a member's lapse in the control store, and its changes.

use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};

use thiserror::Error;

use crate::unix_time::UnixTime;

/// Prefix of the control store key of a member's [`LapseState`]; the member's name follows.
pub const LAPSE_KEY_PREFIX: &str = "lapse/";

/// The control store key of a member's lapse.
pub fn lapse_key(name: &str) -> String {
    format!("{LAPSE_KEY_PREFIX}{name}")
}

/// The member whose lapse a key holds.
pub fn member_of_lapse_key(key: &str) -> Option<&str> {
    key.strip_prefix(LAPSE_KEY_PREFIX).filter(|name| !name.is_empty())
}

/// Progress of a member's lapse. Within a version it never goes backwards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LapseState {
    /// The version of the member's item that the lapse belongs to; `None` if nothing was ever written.
    pub version: Option<u64>,
    /// When the lapse is to begin, if the item has `lapsesInS`; set once per version.
    pub due: Option<UnixTime>,
    /// Whether the lapse has begun.
    pub begun: bool,
    /// The current step, 0 to `total_steps`.
    pub step: u32,
    /// Number of steps in the schedule.
    pub total_steps: u32,
    /// Number of renewals after the first.
    pub renewals: u32,
}

/// A change of a lapse. Each has the item's version, so that late changes of a former owner do not affect a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LapseChange {
    /// The member's item has a higher version: the lapse starts over.
    Renew {
        /// The version of the item.
        version: u64,
        /// Number of steps in the schedule.
        total_steps: u32,
    },
    /// Sets when the lapse is to begin.
    Due {
        /// The version of the item.
        version: u64,
        /// When the lapse is to begin.
        at: UnixTime,
    },
    /// The trial has lapsed; the first step follows one step length later.
    Begin {
        /// The version of the item.
        version: u64,
    },
    /// The next step begins.
    Step {
        /// The version of the item.
        version: u64,
        /// The new step, one above the previous one.
        to: u32,
    },
}

impl LapseChange {
    /// The version of the item that the change belongs to.
    pub fn version(&self) -> u64 {
        match self {
            LapseChange::Renew { version, .. }
            | LapseChange::Due { version, .. }
            | LapseChange::Begin { version }
            | LapseChange::Step { version, .. } => *version,
        }
    }
}

/// Why a change of a lapse is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum LapseRejection {
    #[error("a lapse has at least one step")]
    NoSteps,
    #[error("edition {version} stands with {total_steps} steps")]
    DifferentStepCount { version: u64, total_steps: u32 },
    #[error("that edition was not begun (renew first)")]
    NotRenewed,
    #[error("another instant stands already")]
    DifferentDueTime,
    #[error("it has begun already")]
    AlreadyBegun,
    #[error("step {to} is above the last, {total_steps}")]
    AboveLastStep { to: u32, total_steps: u32 },
    #[error("it has not begun")]
    NotBegun,
    #[error("step {to} does not follow {step}")]
    StepSkipped { to: u32, step: u32 },
}

impl LapseRejection {
    /// Whether the change is valid on its own and is rejected only because of the current state.
    fn is_conflict(&self) -> bool {
        !matches!(self, LapseRejection::NoSteps | LapseRejection::AboveLastStep { .. })
    }
}

impl State for LapseState {
    type Change = LapseChange;

    /// A change of a lower version is superseded and changes nothing; one of a higher version is rejected until its
    /// renewal was applied. A step is accepted only after the previous step.
    fn apply(&mut self, change: &LapseChange) -> Result<bool, Rejection> {
        self.apply_change(change).map_err(|rejection| Rejection {
            conflict: rejection.is_conflict(),
            reason: rejection.to_string(),
        })
    }
}

impl LapseState {
    /// Whether this state is later than the other.
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
                return Err(LapseRejection::DifferentStepCount { version, total_steps: self.total_steps });
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
            Some(_) => Err(LapseRejection::DifferentDueTime),
            None if self.begun => Err(LapseRejection::AlreadyBegun),
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
            return Err(LapseRejection::StepSkipped { to, step: self.step });
        }
        self.step = to;
        Ok(true)
    }
}
