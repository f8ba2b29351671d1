//! Replay detection by message numbers, with a sliding window as in IPsec (RFC 4303, section 3.4.3).

/// The message numbers received from one process. It tracks the newest number and the 63 before it; older numbers count as
/// replayed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Records a message number. Returns whether it is new.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let shift = number - self.newest;
            self.seen = if shift >= 64 { 0 } else { self.seen << shift } | 1;
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        let new = behind < 64 && self.seen & (1 << behind) == 0;
        if new {
            self.seen |= 1 << behind;
        }
        new
    }
}
