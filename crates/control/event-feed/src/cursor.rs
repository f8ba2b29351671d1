//! How far a reader has read: a watermark for each key. Its text form is in `cursor_text`.
use crate::position::Position;
use std::collections::BTreeMap;

/// No cursor has more keys.
pub const MAX_CURSOR_KEYS: usize = 65_536;

/// The last that was delivered of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// Up to where its history is delivered.
    pub position: Position,
    /// Of its state there.
    pub state_hash: u32,
    /// It has ended there: a node that no longer knows the key has nothing to deliver of it.
    pub ended: bool,
    /// The reader's filter left it out there.
    pub is_filtered_out: bool,
}

/// How far a reader has read. Means the same at every node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// By key.
    pub watermarks: BTreeMap<String, Watermark>,
}

impl Cursor {
    /// A cursor of one key.
    pub fn for_key(key: &str, watermark: Watermark) -> Self {
        Cursor { watermarks: BTreeMap::from([(key.to_string(), watermark)]) }
    }

    /// Take over whatever the other is further in. Keys beyond [`MAX_CURSOR_KEYS`] are left out.
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
