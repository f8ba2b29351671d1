//! Result of a [`LapseTimer`](crate::LapseTimer) decision.

use silvercross_time::Instant;

use crate::lapse::LapseChange;

/// What the next change of a lapse waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// Nothing: the last step is reached, or the member has no trial.
    Nothing,
    /// A newer item that has not arrived at this node.
    Item,
    /// The time of the lapse.
    LapseTime,
    /// A trusted wall clock time.
    TrustedTime,
    /// The end of the current step.
    Step,
    /// The commit of a proposed change.
    Commit,
}

/// What the owner does next for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimerDecision {
    /// The change to propose to the control store, under the epoch passed to the decision.
    pub proposal: Option<LapseChange>,
    /// When to decide again at the latest; earlier if the key's state, the item or the epoch changes.
    pub next_deadline: Option<Instant>,
    /// What the lapse waits for.
    pub waiting_for: WaitingFor,
}

impl TimerDecision {
    /// Proposes a change.
    pub(crate) fn propose(change: LapseChange) -> TimerDecision {
        TimerDecision { proposal: Some(change), next_deadline: None, waiting_for: WaitingFor::Commit }
    }

    /// Does nothing until something changes.
    pub(crate) fn rest(waiting_for: WaitingFor) -> TimerDecision {
        TimerDecision { proposal: None, next_deadline: None, waiting_for }
    }

    /// Does nothing until `at`, unless something changes earlier.
    pub(crate) fn rest_until(at: Instant, waiting_for: WaitingFor) -> TimerDecision {
        TimerDecision { proposal: None, next_deadline: Some(at), waiting_for }
    }
}
