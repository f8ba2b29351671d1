//! The event feed of the mesh, decided without I/O, clock or threads: what a node was told becomes events with a place in their
//! key's history, and readers take them from a cursor that means the same at every node.
//!
//! - A key's history is ordered by [`Place`], and its state at a place is the same wherever it is seen. So a cursor is, for each
//!   key, the place that was told last; nothing in it belongs to the node it was got from.
//! - An event is told to a reader once: only places above its cursor are, in order.
//! - What a node did not see, or keeps no more, is told: each event says after which place it comes and how many versions lie
//!   between that were not told ([`Line::Event`]), and what was dropped before a slow reader came is counted by kind
//!   ([`Line::Gap`]).
//! - The newest event of every key is kept, so whoever reads to the end knows the present state.
//!
//! Why this holds: `docs/design/event-feed.md`.
#![forbid(unsafe_code)]

mod cursor;
mod feed;

pub use cursor::{Cursor, Mark, Unreadable};
pub use feed::{Bounds, Event, EventFeed, Figures, Filter, Line, Reader, Told, Why};

/// Where an event stands in its key's history. Ordered from the left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The term in which it was written: a node's life, a round of ownership.
    pub epoch: u64,
    /// Who wrote it.
    pub owner: u64,
    /// Which version in that term; 0 in histories of terms alone.
    pub version: u64,
    /// What others added to this version (that the node is gone).
    pub mark: bool,
}

impl Place {
    /// How many versions lie between this place and a later one; marks that were taken back in between are not counted. `None`:
    /// not known, for the term is another.
    pub fn between(&self, later: &Place) -> Option<u64> {
        if (self.epoch, self.owner) == (later.epoch, later.owner) {
            // A marked version came unmarked before.
            let unmarked = u64::from(later.mark && later.version > self.version);
            Some(later.version.saturating_sub(self.version).saturating_sub(1) + unmarked)
        } else if self.version == 0 && later.version == 0 {
            Some(later.epoch.saturating_sub(self.epoch).saturating_sub(1))
        } else {
            None
        }
    }
}

/// A short hash of a text (FNV-1a, folded).
pub(crate) fn hash(bytes: &[u8]) -> u32 {
    let whole = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    (whole ^ (whole >> 32)) as u32
}

/// The kind of a key: what stands before its first slash.
pub fn kind(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}
