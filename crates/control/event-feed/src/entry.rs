//! What a reader gets: events, and gaps between them.
use crate::cursor::Watermark;
use crate::event::Event;
use crate::position::Position;
use std::rc::Rc;

/// Why something is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GapReason {
    /// This node did not see it: it was overtaken on its way.
    Unseen,
    /// The reader came too late: it is no longer kept.
    Dropped,
    /// This node knows nothing of keys that the cursor has.
    UnknownKeys,
    /// More keys than are kept.
    TooManyKeys,
}

impl GapReason {
    /// Its text, which is a value of the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            GapReason::Unseen => "not seen here",
            GapReason::Dropped => "the reader was too slow",
            GapReason::UnknownKeys => "keys of the cursor are not known here",
            GapReason::TooManyKeys => "more keys than are kept",
        }
    }
}

/// What a reader gets.
#[derive(Clone, Debug)]
pub enum FeedEntry {
    /// Something is not delivered; a snapshot has the present state.
    Gap {
        /// Of which kind.
        kind: String,
        /// How many: versions where unseen (at most) or dropped, keys otherwise.
        count: u64,
        /// And some more whose number is not known.
        has_more: bool,
        /// Why.
        reason: GapReason,
    },
    /// An event.
    Event {
        /// What happened.
        event: Rc<Event>,
        /// Up to here its history was delivered or brought nothing; `None`: nothing of it was delivered before.
        after: Option<Position>,
        /// How many versions at most lie between that are not delivered; `None`: not known, for the term is another.
        missed: Option<u64>,
        /// What the reader keeps of it, for its cursor.
        watermark: Watermark,
    },
}
