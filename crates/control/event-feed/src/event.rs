//! Events: the content from the publisher, and what the feed adds.
use crate::cursor::Watermark;
use crate::position::Position;

/// The content of an event, as it is published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventContent {
    /// The key: its kind, a slash and its name.
    pub key: String,
    /// The position in the key's history.
    pub position: Position,
    /// The service it is about, or empty.
    pub service: String,
    /// The zone it is about, or empty.
    pub zone: String,
    /// The key's state at this position, as JSON. It has to be the same at every node for the same position.
    pub state: String,
    /// Whether the key has ended; further events follow only if it starts again.
    pub ended: bool,
    /// Whether the key's state never returns to an earlier one, so that equal states mean that nothing happened in between.
    pub is_monotonic: bool,
}

/// An event in a node's feed.
#[derive(Debug)]
pub struct Event {
    /// The published content.
    pub content: EventContent,
    /// The hash of the state.
    pub state_hash: u32,
    /// Its sequence number at this node.
    pub(crate) serial: u64,
    /// The last position seen here before this event. From the key's previous event up to there, nothing changed and nothing
    /// was missed.
    pub(crate) seen_before: Option<Position>,
}

impl Event {
    /// The key's watermark after this event.
    pub fn watermark(&self) -> Watermark {
        let (position, ended) = (self.content.position, self.content.ended);
        Watermark { position, state_hash: self.state_hash, ended, is_filtered_out: false }
    }
}
