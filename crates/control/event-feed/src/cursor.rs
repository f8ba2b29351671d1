//! Cursors: a watermark for each key. Their text form is in `cursor_text`.
use crate::position::Position;
use std::collections::BTreeMap;

/// The most keys in a cursor.
pub const MAX_CURSOR_KEYS: usize = 65_536;

/// How far the history of a key was delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The position up to which it was delivered.
    pub position: Position,
    /// The hash of the state at this position.
    pub state_hash: u32,
    /// Whether the key had ended there. A node that doesn't know an ended key reports no gap for it.
    pub ended: bool,
    /// Whether the reader's filter excluded the key there.
    pub is_filtered_out: bool,
}

/// How far a reader has read. Valid at every node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Watermarks by key.
    pub watermarks: BTreeMap<String, Watermark>,
}

impl Cursor {
    /// A cursor for a single key.
    pub fn for_key(key: &str, watermark: Watermark) -> Self {
        Cursor { watermarks: BTreeMap::from([(key.to_string(), watermark)]) }
    }

    /// Takes over the watermarks in which the other cursor is further. Keys beyond [`MAX_CURSOR_KEYS`] are left out.
    pub fn merge(&mut self, other: Cursor) {
        for (key, watermark) in other.watermarks {
            let old = self.watermarks.get(&key);
            let has_room = old.is_some() || self.watermarks.len() < MAX_CURSOR_KEYS;
            if has_room && old.is_none_or(|old| old.position < watermark.position) {
                self.watermarks.insert(key, watermark);
            }
        }
    }
}
