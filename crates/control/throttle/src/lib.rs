//! The mesh's members, decided without I/O: who a request is of ([`Roll`], [`Directory`]), when a member's trial lapses
//! and how far its slowing has come ([`Lapse`], written by the [`Clerk`] of the key's owner, followed by every node's
//! [`Board`]), and how long a read waits for it ([`delay`], [`Parked`]).
//!
//! # How the configuration carries members
//!
//! The package for the configuration depends on this one, not the other way round, and therefore [`Fault`] and [`Kind`]
//! stand here a second time. Its reader lets the lists `members` and `membership` pass in `deliver` and `members` in
//! `withdraw`, and hands both objects to [`read`], whose fault it passes on field by field. The [`Sent`] goes beside its
//! change and the [`Roll`] beside its configuration, under one key once members were sent. Applying a call asks
//! [`Roll::would`] before any item is put in force; [`Roll::to_json`] adds to what is read back and adds nothing where
//! there are no members. The [`Directory`] is made beside the routing table, once for each change.
#![forbid(unsafe_code)]

mod board;
mod clerk;
mod clock;
mod items;
mod lapse;
mod mutant;
mod parked;
mod read;
mod roll;
mod slow;

pub use board::{Board, Row, Turn};
pub use clerk::{Advice, Clerk, Waits, AGAIN_US, RECHECK_US, REST_US};
pub use clock::{Clock, Guard, Voice, MAX_VOICES};
pub use items::{Fault, Lapses, Member, Membership, Plan, Slowing, Unknown};
pub use items::{
    MAX_KEY, MAX_KEYS, MAX_MEMBERS, MAX_NAME, MAX_SHARE_PPM, MAX_STEPS, MAX_TIME_US, MIN_STEP_US,
};
pub use lapse::{key, name_of, standing, Change, Lapse, Standing, LAPSE};
pub use mutant::Mutant;
pub use parked::{Parked, Ticket};
pub use read::read;
pub use roll::{Directory, Roll, Sent, Stated, Whose, MAX_DROPPED};
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub use slow::delay_broken;
pub use slow::{delay, Asked, Kind, Slow, Stage, Terms};

pub use silvercross_control_store::Micros;
