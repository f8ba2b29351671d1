//! Positions in the history of a key.

/// The position of an event in its key's history. Ordered by the fields from first to last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The epoch in which it was written, such as a node's incarnation or a round of ownership.
    pub epoch: u64,
    /// The owner that wrote it.
    pub owner: u64,
    /// The version within the epoch; 0 in histories in which every change starts a new epoch.
    pub version: u64,
    /// Whether other nodes amended this version because they found the owner gone. The owner doesn't know of the amendment, and
    /// its next version reverts it.
    pub is_amended: bool,
}

impl Position {
    /// The number of versions between this position and a later one, without amendments that were reverted in between.
    /// `None`: unknown, because the epoch or owner differs.
    pub fn versions_between(&self, later: &Position) -> Option<u64> {
        if (self.epoch, self.owner) == (later.epoch, later.owner) {
            // The later version existed before it was amended, which counts as one.
            let unamended = u64::from(later.is_amended && later.version > self.version);
            Some(later.version.saturating_sub(self.version).saturating_sub(1) + unamended)
        } else if self.version == 0 && later.version == 0 {
            Some(later.epoch.saturating_sub(self.epoch).saturating_sub(1))
        } else {
            None
        }
    }
}
