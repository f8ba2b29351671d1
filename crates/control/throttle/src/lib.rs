//! The mesh's members, decided without I/O: who a request is of ([`MemberList`], [`MemberIndex`]), when a member's trial lapses
//! and how far its slowing has come ([`LapseState`], written by the [`LapseTimer`] of the key's owner, followed by every node's
//! [`LapseView`]), and how long a read waits for it ([`decide_delay`], [`DelayQueue`]).
//!
//! # How the configuration carries members
//!
//! The package for the configuration depends on this one, not the other way round, and therefore [`MemberError`] and [`RouteKind`]
//! stand here a second time. Its reader lets the lists `members` and `identification` pass in `deliver` and `members` in
//! `withdraw`, and hands both objects to [`read`], whose fault it passes on field by field. The [`MemberListChange`] goes beside its
//! change and the [`MemberList`] beside its configuration, under one key once members were sent. Applying a call asks
//! [`MemberList::would_change`] before any item is put in force; [`MemberList::to_json`] adds to what is read back and adds nothing where
//! there are no members. The [`MemberIndex`] is made beside the routing table, once for each change.
#![forbid(unsafe_code)]

mod delay_queue;
mod item;
mod lapse;
mod lapse_timer;
mod lapse_view;
mod member_list;
mod mutation;
mod read;
mod throttle;
mod trusted_clock;

pub use delay_queue::{DelayQueue, DelayTicket};
pub use item::{
    LapseTime, Member, MemberError, MemberIdentification, Plan, ThrottleSchedule, UnknownMemberPolicy,
};
pub use item::{
    MAX_DELAY_PPM, MAX_KEYS, MAX_KEY_BYTES, MAX_MEMBERS, MAX_NAME_BYTES, MAX_STEPS, MAX_TIME, MIN_STEP,
};
pub use lapse::{
    lapse_key, member_of_lapse_key, throttle_step, LapseChange, LapseState, ThrottleStep, LAPSE_KEY_PREFIX,
};
pub use lapse_timer::{
    LapseTimer, TimerDecision, WaitingFor, CLOCK_RECHECK_INTERVAL, MAX_SLEEP, PROPOSAL_RETRY_INTERVAL,
};
pub use lapse_view::{LapseTransition, LapseView, MemberStatus};
pub use member_list::{
    MemberIndex, MemberItemVersion, MemberList, MemberListChange, RequestIdentity, MAX_TOMBSTONES,
};
pub use mutation::Mutation;
pub use read::read;
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub use throttle::decide_delay_mutated;
pub use throttle::{decide_delay, DelayDecision, RequestStage, RequestThrottle, RouteKind, ThrottleRequest};
pub use trusted_clock::{ClockSettings, PeerClockReading, TrustedClock, MAX_PEER_CLOCKS};

pub use silvercross_control_store::Micros;
