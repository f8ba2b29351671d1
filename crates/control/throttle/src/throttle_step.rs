//! The step at which a node throttles a member.

use std::fmt;

use bitcode::{Decode, Encode};

use crate::lapse::LapseState;
use crate::member::{Member, Plan};

/// A member's position on its throttle schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ThrottleStep {
    /// The current step; 0 is not throttled.
    pub step: u32,
    /// Number of steps in the schedule.
    pub total_steps: u32,
}

impl fmt::Display for ThrottleStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.step, self.total_steps)
    }
}

/// The step at which a node throttles a member, from the item and the lapse that the node knows. An item newer than the
/// lapse is a renewal that arrived first and applies at once; if the item is older, the lapse applies. It does not
/// depend on any clock, so nodes with the same item and lapse agree.
pub fn throttle_step(member: &Member, lapse: &LapseState) -> ThrottleStep {
    if member.plan == Plan::Full || lapse.version < Some(member.version) {
        return ThrottleStep { step: 0, total_steps: member.throttle.steps };
    }
    ThrottleStep { step: lapse.step.min(lapse.total_steps), total_steps: lapse.total_steps }
}
