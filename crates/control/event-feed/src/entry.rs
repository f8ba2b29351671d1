//! Feed entries: events, and gaps between them.
use crate::cursor::Watermark;
use crate::event::Event;
use crate::position::Position;
use std::rc::Rc;

/// Why events are not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GapReason {
    /// This node did not see them: newer ones arrived first.
    Unseen,
    /// The reader was too slow: they are no longer kept.
    Dropped,
    /// The cursor has keys that are not known at this node.
    UnknownKeys,
    /// There are more keys than are kept.
    TooManyKeys,
}

impl GapReason {
    /// The reason as it is sent on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            GapReason::Unseen => "not seen here",
            GapReason::Dropped => "the reader was too slow",
            GapReason::UnknownKeys => "keys of the cursor are not known here",
            GapReason::TooManyKeys => "more keys than are kept",
        }
    }
}

/// An entry of the feed.
#[derive(Clone, Debug)]
pub enum FeedEntry {
    /// Events that are not delivered; a snapshot has the present state.
    Gap {
        /// The kind of their keys.
        kind: String,
        /// The number of versions for `Unseen` (an upper bound) and `Dropped`; the number of keys otherwise.
        count: u64,
        /// Whether there are more, of unknown number.
        has_more: bool,
        /// Why they are not delivered.
        reason: GapReason,
    },
    /// An event.
    Event {
        /// The event.
        event: Rc<Event>,
        /// The key's history was delivered or had no changes up to this position; `None`: nothing was delivered before.
        after: Option<Position>,
        /// An upper bound on the versions in between that are not delivered; `None`: unknown, because the epoch or owner
        /// differs or nothing was delivered before.
        missed: Option<u64>,
        /// The key's watermark after this event, for the reader's cursor.
        watermark: Watermark,
    },
}
