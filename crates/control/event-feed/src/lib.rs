//! The event feed of the mesh, without I/O, clock or threads. Changes that a node learns of become events with a position in
//! their key's history. Readers continue from a cursor that is valid at every node.
//!
//! - A key's history is ordered by [`Position`], and its state at a position is the same at every node. A cursor therefore
//!   holds, for each key, the [`Watermark`] of the last event delivered, and nothing specific to a node.
//! - An event is delivered to a reader once: only positions above its cursor are delivered, in order.
//! - Events that a node did not see or no longer keeps are reported. Each event has the position that it follows and the
//!   number of versions in between that were not delivered ([`FeedEntry::Event`]). Events that were dropped before a slow
//!   reader got them are counted by kind ([`FeedEntry::Gap`]).
//! - The newest event of every key is kept, so a reader that reads to the end knows the present state.
//!
//! `docs/design/event-feed.md` explains why this holds. Start reading at `feed` (what is kept), then `delivery` (what a
//! reader gets).
//! The JSON form of events and the records that they are made from are outside this package.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod cursor;
mod cursor_text;
mod delivery;
mod entry;
mod error;
mod event;
mod feed;
mod filter;
mod key;
mod limits;
mod position;
mod reader;

pub use cursor::{Cursor, Watermark, MAX_CURSOR_KEYS};
pub use entry::{FeedEntry, GapReason};
pub use error::CursorError;
pub use event::{Event, EventContent};
pub use feed::EventFeed;
pub use filter::Filter;
pub use key::key_kind;
pub use limits::{Limits, Metrics};
pub use position::Position;
pub use reader::Reader;
