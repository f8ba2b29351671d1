//! Errors of an operator's call about members.

use silvercross_config_item::{ItemError, ItemProblem};
use thiserror::Error;

/// Why a call about members is invalid: where, why, and how to fix it.
pub type MemberError = ItemError<MemberProblem>;

/// Problems of a member or of the identification. The text ends with the remedy in parentheses.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MemberProblem {
    /// A problem that any kind of item can have.
    #[error(transparent)]
    Item(#[from] ItemProblem),
    /// A value is not a string.
    #[error("is not a string (give a string)")]
    NoString,
    /// A value is not a whole number.
    #[error("is not a whole number from 0 on (give one)")]
    NoWholeNumber,
    /// A value is not a number.
    #[error("is not a number (give a number)")]
    NoNumber,
    /// A time is above [`MAX_TIME`](crate::MAX_TIME), probably given in milliseconds.
    #[error("is above {max_seconds} (give seconds, not milliseconds)")]
    TimeTooLong {
        /// The longest time allowed.
        max_seconds: i64,
    },
    /// The plan is unknown.
    #[error("is not a plan (give trial or full)")]
    UnknownPlan,
    /// A trial has both `lapsesAt` and `lapsesInS`.
    #[error("stands beside lapsesAt (give one of the two)")]
    TwoLapseTimes,
    /// A trial has neither `lapsesAt` nor `lapsesInS`.
    #[error("is missing, and so is lapsesInS (give one of them, or the plan full)")]
    NoLapseTime,
    /// A full plan has a lapse time.
    #[error("stands on a full plan (leave it out, or give trial)")]
    FullPlanLapses,
    /// `keys` is not a list.
    #[error("is not a list (send a list of keys, or key)")]
    KeysAreNoList,
    /// There are both `key` and `keys`.
    #[error("stands beside key (give one of the two)")]
    KeyAndKeys,
    /// There is neither `key` nor `keys`.
    #[error("is missing, and so is keys (give one of them)")]
    NoKey,
    /// There are no keys, or too many.
    #[error("must name 1 to {max} keys (give so many)")]
    KeyCount {
        /// Most keys allowed.
        max: usize,
    },
    /// A key cannot be a header's value.
    #[error("must be 1 to {max_bytes} visible ASCII characters (give such a string)")]
    MalformedKey {
        /// The longest key allowed, in bytes.
        max_bytes: usize,
    },
    /// A member has a key twice. The text omits the key because reasons are logged.
    #[error("names one twice (give each once)")]
    KeyTwice,
    /// A key belongs to another member. The text omits the key because reasons are logged.
    #[error("names one that is member {member}'s (give each member its own)")]
    KeyOfOtherMember {
        /// The other member.
        member: String,
    },
    /// The maximum delay, as a share of the latency target, is out of range.
    #[error("must be above 0 and at most {} (give the share of the target)", f64::from(*max_ppm) / 1e6)]
    DelayOutOfRange {
        /// The largest share, in parts per million.
        max_ppm: u32,
    },
    /// There are no steps, or too many.
    #[error("must be 1 to {max} (give so many)")]
    StepCount {
        /// Most steps allowed.
        max: u32,
    },
    /// The steps would be too short.
    #[error("gives steps shorter than {min_seconds} s (give a longer span or fewer steps)")]
    StepTooShort {
        /// Shortest step allowed.
        min_seconds: i64,
    },
    /// The header's name is malformed.
    #[error("is no header's name (give up to 64 letters, digits and -)")]
    MalformedHeader,
    /// The header is used for another purpose.
    #[error("means something else already (give another)")]
    ReservedHeader,
    /// The policy for requests of no member is unknown.
    #[error("is not known (give serve or refuse)")]
    UnknownPolicy,
}
