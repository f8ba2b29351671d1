//! A member's view of the fleet as a whole, and what a sidecar derives from it.
use serde::{Deserialize, Serialize};

/// A view of the fleet.
///
/// | view | condition | requests | drains reported by others | number of senders | failed members removed |
/// | --- | --- | --- | --- | --- | --- |
/// | whole | no member is failed | served | applied | all live members | - |
/// | part | some members are failed | served | applied | live and failed members | after `forget_after`, by members that see a majority |
/// | alone | all other known members are failed | served | known ones still hold | live and failed members | never |
/// | single | no other member is known | served | none | configured number | - |
/// | out | stood down for another process with its name or identity | served | known ones still hold | the last one | never |
///
/// Requests are served in every view: each sidecar enforces the four rules of the service by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum View {
    /// No member is failed.
    Whole,
    /// Some members are failed.
    Part,
    /// All other known members are failed.
    Alone,
    /// No other member is known.
    Single,
    /// This member has stood down.
    Out,
}

impl View {
    /// The view of a member that sees so many live and failed others.
    pub fn of(live_others: usize, failed: usize) -> View {
        match (live_others, failed) {
            (0, 0) => View::Single,
            (0, _) => View::Alone,
            (_, 0) => View::Whole,
            _ => View::Part,
        }
    }

    /// The name used in output.
    pub fn name(self) -> &'static str {
        match self {
            View::Whole => "whole",
            View::Part => "part",
            View::Alone => "alone",
            View::Single => "single",
            View::Out => "out",
        }
    }

    /// Whether failed members may be removed here: only if the live members are more than half of the known ones, so that a
    /// minority partition forgets nobody.
    pub fn may_forget(live_with_me: usize, failed: usize) -> bool {
        live_with_me > failed
    }

    /// Number of sidecars that send requests, by which shared budgets are divided. A failed member may be partitioned and still
    /// sending, so it counts until it is removed. `None`: the number in
    /// force stays, at first the configured one.
    pub fn senders(self, live_with_me: usize, failed: usize) -> Option<usize> {
        match self {
            View::Single | View::Out => None,
            View::Whole | View::Part | View::Alone => Some(live_with_me + failed),
        }
    }
}
