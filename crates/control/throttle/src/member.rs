//! Members as configured by operators.

use bitcode::{Decode, Encode};
use silvercross_config_item::Versioned;
use silvercross_time::Duration;

use crate::unix_time::UnixTime;

/// Most members at a time; a call that would exceed it is rejected as a whole.
pub const MAX_MEMBERS: usize = 100_000;
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Most keys of a member.
pub const MAX_KEYS: usize = 16;
/// Most steps of a schedule.
pub const MAX_STEPS: u32 = 1_000;
/// Shortest step of a schedule: nodes could not follow shorter steps in unison.
pub const MIN_STEP: Duration = Duration::from_secs(1);
/// Largest maximum delay, in parts per million of a route's latency target.
pub const MAX_DELAY_PPM: u32 = 500_000;
/// Longest time in an item: about 317 years as a duration, the year 2286 as a time since the Unix epoch.
pub const MAX_TIME: Duration = Duration::from_secs(10_000_000_000);

/// A member's plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Plan {
    /// Unthrottled for a limited time; then it lapses.
    Trial,
    /// Never throttled.
    Full,
}

/// When a trial lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LapseTime {
    /// At this wall clock time.
    At(UnixTime),
    /// This long after the owner of the member's lapse key first processes this version.
    In(Duration),
}

/// How the delay increases after the trial has lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ThrottleSchedule {
    /// Maximum delay of a read at the last step, in parts per million of the route's latency target; above 0, at most
    /// [`MAX_DELAY_PPM`].
    pub max_delay_ppm: u32,
    /// Time from the lapse to the last step.
    pub ramp: Duration,
    /// Number of steps of equal length; 1 to [`MAX_STEPS`].
    pub steps: u32,
}

impl Default for ThrottleSchedule {
    /// A quarter of the latency target, over a day in steps of an hour.
    fn default() -> Self {
        ThrottleSchedule { max_delay_ppm: 250_000, ramp: Duration::from_secs(86_400), steps: 24 }
    }
}

/// A sender of requests, identified by its keys.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Member {
    /// The unique name.
    pub name: String,
    /// The header values that identify the member; 1 to [`MAX_KEYS`]. No two members share a key.
    pub keys: Vec<String>,
    /// The plan.
    pub plan: Plan,
    /// When the trial lapses; `None` for a full plan.
    pub lapse_time: Option<LapseTime>,
    /// How the member is throttled after the lapse; the default if none was sent.
    pub throttle: ThrottleSchedule,
    /// The item's version. A higher version renews the member and ends the throttling.
    pub version: u64,
}

impl Versioned for Member {
    fn version(&self) -> u64 {
        self.version
    }
}

/// Handling of a request that identifies no member: it has no key, several keys, or an unknown key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum UnknownMemberPolicy {
    /// It is served as an anonymous request.
    #[default]
    Serve,
    /// It is rejected before it is forwarded.
    Reject,
}

/// How requests identify their member.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberIdentification {
    /// The header that carries a key, in lower case.
    pub header: String,
    /// Handling of requests that identify no member.
    pub unknown: UnknownMemberPolicy,
    /// The item's version.
    pub version: u64,
}

impl Versioned for MemberIdentification {
    fn version(&self) -> u64 {
        self.version
    }
}
