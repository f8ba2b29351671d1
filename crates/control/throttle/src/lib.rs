//! Throttling of members whose trial has lapsed, decided without I/O.
//!
//! - [`MemberIndex`]: the member that a request belongs to.
//! - [`LapseState`]: when a trial lapses and which throttle step is reached; changed by the [`LapseTimer`] of the key's
//!   owner, followed by the [`LapseView`] of every node.
//! - [`decide_delay`] and [`DelayQueue`]: how long a read is delayed.
//!
//! # Members in the configuration
//!
//! The configuration package depends on this one. Its parser accepts `members` and `membership` in `deliver` and
//! `members` in `withdraw`, and passes both objects to [`parse_members`]. The [`MemberListChange`] is stored next to
//! the configuration change and the [`MemberList`] next to the configuration, under one key once members were sent.
//! Applying a call checks [`MemberList::would_change`] before it changes any item. [`MemberList::to_json`] adds to
//! the configuration's JSON, and nothing if there are no members. The [`MemberIndex`] is built together with the
//! routing table, once for each change.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod clock_settings;
mod delay;
mod delay_queue;
mod error;
mod lapse;
mod lapse_step;
mod lapse_timer;
mod lapse_view;
mod member;
mod member_index;
mod member_list;
mod mutation;
mod parse;
mod throttle_step;
mod timer_decision;
mod trusted_clock;
mod unix_time;

pub use clock_settings::ClockSettings;
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub use delay::decide_delay_mutated;
pub use delay::{decide_delay, DelayDecision, RequestStage, RequestThrottle, ThrottleRequest};
pub use delay_queue::{DelayQueue, DelayTicket};
pub use error::{MemberError, MemberProblem};
pub use lapse::{lapse_key, member_of_lapse_key, LapseChange, LapseState, LAPSE_KEY_PREFIX};
pub use lapse_step::{CLOCK_RECHECK_INTERVAL, MAX_SLEEP};
pub use lapse_timer::{LapseTimer, PROPOSAL_RETRY_INTERVAL};
pub use lapse_view::{LapseTransition, LapseView, MemberStatus};
pub use member::{
    LapseTime, Member, MemberIdentification, Plan, ThrottleSchedule, UnknownMemberPolicy, MAX_DELAY_PPM,
    MAX_KEYS, MAX_KEY_BYTES, MAX_MEMBERS, MAX_STEPS, MAX_TIME, MIN_STEP,
};
pub use member_index::{MemberIndex, RequestIdentity};
pub use member_list::{MemberItemVersion, MemberList, MemberListChange, MAX_TOMBSTONES};
pub use mutation::Mutation;
pub use parse::parse_members;
pub use silvercross_config_item::{RouteKind, MAX_NAME_BYTES};
pub use throttle_step::{throttle_step, ThrottleStep};
pub use timer_decision::{TimerDecision, WaitingFor};
pub use trusted_clock::{PeerClockReading, TrustedClock, MAX_PEER_CLOCKS};
pub use unix_time::UnixTime;
