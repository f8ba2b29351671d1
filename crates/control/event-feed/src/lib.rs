//! The event feed of the mesh, decided without I/O, clock or threads: what a node learns becomes events with a position in their
//! key's history, and readers take them from a cursor that means the same at every node.
//!
//! - A key's history is ordered by [`Position`], and its state at a position is the same wherever it is seen. So a cursor is, for
//!   each key, the [`Watermark`] of the last event delivered; nothing in it belongs to the node that wrote it.
//! - An event is delivered to a reader once: only positions above its cursor are, in order.
//! - What a node did not see, or no longer keeps, is reported: each event says after which position it comes and how many versions
//!   lie between that were not delivered ([`FeedEntry::Event`]), and what was dropped before a slow reader came is counted by kind
//!   ([`FeedEntry::Gap`]).
//! - The newest event of every key is kept, so a reader that reads to the end knows the present state.
//!
//! Why this holds: `docs/design/event-feed.md`. Go on reading at `feed` (what is kept), then `delivery` (what a reader gets).
//! This package knows nothing of the JSON in which events travel, nor of the records they are made of.
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
