//! What the owner of a member's key is to do next.

use silvercross_time::Instant;

use crate::lapse::LapseChange;

/// What a lapse waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// For nothing: it is over, or the member has no trial.
    Nothing,
    /// For a newer item to arrive here.
    Item,
    /// For the time of its lapse.
    LapseTime,
    /// For a time of day that can be trusted.
    TrustedTime,
    /// For the time of the step in force to pass.
    Step,
    /// For a change that was proposed.
    Commit,
}

/// What the owner is to do for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimerDecision {
    /// The change to propose to the control store, under the epoch that was handed in.
    pub proposal: Option<LapseChange>,
    /// When to look again at the latest; earlier when the key's content, the item or the epoch change.
    pub next_deadline: Option<Instant>,
    /// Why.
    pub waiting_for: WaitingFor,
}

impl TimerDecision {
    /// A change is to be proposed.
    pub(crate) fn propose(change: LapseChange) -> TimerDecision {
        TimerDecision { proposal: Some(change), next_deadline: None, waiting_for: WaitingFor::Commit }
    }

    /// Nothing is to be done until something changes.
    pub(crate) fn rest(waiting_for: WaitingFor) -> TimerDecision {
        TimerDecision { proposal: None, next_deadline: None, waiting_for }
    }

    /// Nothing is to be done until this moment.
    pub(crate) fn rest_until(at: Instant, waiting_for: WaitingFor) -> TimerDecision {
        TimerDecision { proposal: None, next_deadline: Some(at), waiting_for }
    }
}
