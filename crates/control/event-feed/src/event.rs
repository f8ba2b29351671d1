//! An event: what its publisher says, and what the feed adds.
use crate::cursor::Watermark;
use crate::position::Position;

/// What happened, as it is published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventContent {
    /// Whose history: its kind, a slash, its name.
    pub key: String,
    /// Where in it.
    pub position: Position,
    /// The service it is about, or empty.
    pub service: String,
    /// The zone it is about, or empty.
    pub zone: String,
    /// The state there, as JSON. It has to be the same at every node for the same position.
    pub state: String,
    /// Nothing follows unless the key begins anew.
    pub ended: bool,
    /// The state never returns to an earlier one: an equal one means that nothing happened in between.
    pub is_monotonic: bool,
}

/// An event of a feed.
#[derive(Debug)]
pub struct Event {
    /// What happened.
    pub content: EventContent,
    /// Of its state.
    pub state_hash: u32,
    /// Its number in this node's own order.
    pub(crate) serial: u64,
    /// The last position seen here before it; up to there, from the event before, nothing changed and nothing was missed.
    pub(crate) seen_before: Option<Position>,
}

impl Event {
    /// What a reader that got this event keeps of it.
    pub fn watermark(&self) -> Watermark {
        let (position, ended) = (self.content.position, self.content.ended);
        Watermark { position, state_hash: self.state_hash, ended, is_filtered_out: false }
    }
}
