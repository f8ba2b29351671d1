//! What an operator says of members.

use bitcode::{Decode, Encode};
use silvercross_config_item::Versioned;
use silvercross_time::Duration;

use crate::unix_time::UnixTime;

/// No more members stand at a time; a call that would go beyond is rejected whole.
pub const MAX_MEMBERS: usize = 100_000;
/// A longer key is rejected.
pub const MAX_KEY_BYTES: usize = 256;
/// A member with more keys is rejected.
pub const MAX_KEYS: usize = 16;
/// A schedule of more steps is rejected.
pub const MAX_STEPS: u32 = 1_000;
/// A schedule whose steps are shorter is rejected: nodes could not follow it alike.
pub const MIN_STEP: Duration = Duration::from_secs(1);
/// The greatest part of a route's latency target that the full delay may take, in millionths.
pub const MAX_DELAY_PPM: u32 = 500_000;
/// No time in an item is longer (about 317 years, or the year 2286 where it is a time of day): such are rejected.
pub const MAX_TIME: Duration = Duration::from_secs(10_000_000_000);

/// What a member is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Plan {
    /// For a time; then it lapses.
    Trial,
    /// Never throttled.
    Full,
}

/// When a trial lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LapseTime {
    /// At this time of day.
    At(UnixTime),
    /// So long after the owner of the member's key first has this version.
    In(Duration),
}

/// How the throttle closes once the trial has lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ThrottleSchedule {
    /// The part of a route's latency target that a read waits at most at the last step, in millionths; above 0, at most
    /// [`MAX_DELAY_PPM`].
    pub max_delay_ppm: u32,
    /// From no delay to the full one.
    pub ramp: Duration,
    /// In how many equal steps; 1 to [`MAX_STEPS`].
    pub steps: u32,
}

impl Default for ThrottleSchedule {
    /// A quarter of the target, over a day, an hour a step.
    fn default() -> Self {
        ThrottleSchedule { max_delay_ppm: 250_000, ramp: Duration::from_secs(86_400), steps: 24 }
    }
}

/// A member: who sends requests under a key.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Member {
    /// Its identity.
    pub name: String,
    /// The values by which requests name it; 1 to [`MAX_KEYS`]. No two members share one.
    pub keys: Vec<String>,
    /// What it is on.
    pub plan: Plan,
    /// When it lapses; a trial has it and a full plan has not.
    pub lapse_time: Option<LapseTime>,
    /// How it is throttled after that; defaults where none was sent.
    pub throttle: ThrottleSchedule,
    /// The item's version. A higher one renews the member: its throttle opens again.
    pub version: u64,
}

impl Versioned for Member {
    fn version(&self) -> u64 {
        self.version
    }
}

/// What becomes of a request that names no member: no key, several, or one nobody has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum UnknownMemberPolicy {
    /// It is served as of no member.
    #[default]
    Serve,
    /// It is rejected before it is forwarded.
    Reject,
}

/// How requests name their member.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberIdentification {
    /// The header that carries a key, in lower case.
    pub header: String,
    /// What becomes of the others; served where nothing was sent.
    pub unknown: UnknownMemberPolicy,
    /// The item's version.
    pub version: u64,
}

impl Versioned for MemberIdentification {
    fn version(&self) -> u64 {
        self.version
    }
}
