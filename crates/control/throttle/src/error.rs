//! What is wrong with what an operator says of members.

use silvercross_config_item::{ItemError, ItemProblem};
use thiserror::Error;

/// What is wrong with a call about members: where, why, and what mends it.
pub type MemberError = ItemError<MemberProblem>;

/// What may be wrong with a member or with how requests name members; in brackets what mends it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MemberProblem {
    /// What may be wrong with any item.
    #[error(transparent)]
    Item(#[from] ItemProblem),
    /// A value must be a string.
    #[error("is not a string (give a string)")]
    NoString,
    /// A value must be a whole number.
    #[error("is not a whole number from 0 on (give one)")]
    NoWholeNumber,
    /// A value must be a number.
    #[error("is not a number (give a number)")]
    NoNumber,
    /// A time is longer than any that is meant.
    #[error("is above {max_seconds} (give seconds, not milliseconds)")]
    TimeTooLong {
        /// The longest time.
        max_seconds: i64,
    },
    /// The plan is none that is known.
    #[error("is not a plan (give trial or full)")]
    UnknownPlan,
    /// A trial has a time of day and a span for its lapse.
    #[error("stands beside lapsesAt (give one of the two)")]
    TwoLapseTimes,
    /// A trial says nothing of its lapse.
    #[error("is missing, and so is lapsesInS (give one of them, or the plan full)")]
    NoLapseTime,
    /// A full plan does not lapse.
    #[error("stands on a full plan (leave it out, or give trial)")]
    FullPlanLapses,
    /// `keys` must be a list.
    #[error("is not a list (send a list of keys, or key)")]
    KeysAreNoList,
    /// There is `key` and `keys`.
    #[error("stands beside key (give one of the two)")]
    KeyAndKeys,
    /// There is neither `key` nor `keys`.
    #[error("is missing, and so is keys (give one of them)")]
    NoKey,
    /// There are no keys, or too many.
    #[error("must name 1 to {max} keys (give so many)")]
    KeyCount {
        /// How many there may be.
        max: usize,
    },
    /// A key is none that a header can carry.
    #[error("must be 1 to {max_bytes} visible ASCII characters (give such a string)")]
    MalformedKey {
        /// The longest key that is taken.
        max_bytes: usize,
    },
    /// A member names a key twice. The key itself is left out: reasons are logged.
    #[error("names one twice (give each once)")]
    KeyTwice,
    /// A key is another member's. The key itself is left out: reasons are logged.
    #[error("names one that is member {member}'s (give each member its own)")]
    KeyOfOtherMember {
        /// That member.
        member: String,
    },
    /// The part of the latency target is out of range.
    #[error("must be above 0 and at most {} (give the share of the target)", f64::from(*max_ppm) / 1e6)]
    DelayOutOfRange {
        /// The greatest part, in millionths.
        max_ppm: u32,
    },
    /// There are no steps, or too many.
    #[error("must be 1 to {max} (give so many)")]
    StepCount {
        /// How many there may be.
        max: u32,
    },
    /// The steps are too short.
    #[error("gives steps shorter than {min_seconds} s (give a longer span or fewer steps)")]
    StepTooShort {
        /// How long each must be.
        min_seconds: i64,
    },
    /// The header can't be one.
    #[error("is no header's name (give up to 64 letters, digits and -)")]
    MalformedHeader,
    /// The header has a meaning of its own.
    #[error("means something else already (give another)")]
    ReservedHeader,
    /// What becomes of requests of no member is none of what is known.
    #[error("is not known (give serve or refuse)")]
    UnknownPolicy,
}
