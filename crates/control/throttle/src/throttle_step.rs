//! How far a node throttles a member.

use std::fmt;

use bitcode::{Decode, Encode};

use crate::lapse::LapseState;
use crate::member::{Member, Plan};

/// How far a member is throttled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ThrottleStep {
    /// The step in force; 0 is not throttled at all.
    pub step: u32,
    /// Steps in all.
    pub total_steps: u32,
}

impl fmt::Display for ThrottleStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.step, self.total_steps)
    }
}

/// How far a node throttles a member, by its item and its lapse, as far as the node has them. An item that is newer than
/// the lapse is a renewal that came ahead of it, and counts at once; an item that is older only lags, and the lapse
/// counts. No clock has a say.
pub fn throttle_step(member: &Member, lapse: &LapseState) -> ThrottleStep {
    if member.plan == Plan::Full || lapse.version < Some(member.version) {
        return ThrottleStep { step: 0, total_steps: member.throttle.steps };
    }
    ThrottleStep { step: lapse.step.min(lapse.total_steps), total_steps: lapse.total_steps }
}
