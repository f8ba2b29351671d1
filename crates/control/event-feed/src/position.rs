//! Where an event stands in its key's history.

/// Where an event stands in its key's history. Ordered from the left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The term in which it was written: a node's incarnation, a round of ownership.
    pub epoch: u64,
    /// Who wrote it.
    pub owner: u64,
    /// Which version in that term; 0 in histories of terms alone.
    pub version: u64,
    /// Others amended this version (they found the node gone). The writer knows of no amendment, and its next version takes it back.
    pub is_amended: bool,
}

impl Position {
    /// How many versions lie between this position and a later one; amendments that were taken back in between are not counted.
    /// `None`: not known, for the term is another.
    pub fn versions_between(&self, later: &Position) -> Option<u64> {
        if (self.epoch, self.owner) == (later.epoch, later.owner) {
            // An amended version was there without the amendment before.
            let unamended = u64::from(later.is_amended && later.version > self.version);
            Some(later.version.saturating_sub(self.version).saturating_sub(1) + unamended)
        } else if self.version == 0 && later.version == 0 {
            Some(later.epoch.saturating_sub(self.epoch).saturating_sub(1))
        } else {
            None
        }
    }
}
