//! Tells a sender's new messages from replayed ones, by their numbers, as the anti-replay window of IPsec does (RFC 4303,
//! section 3.4.3).

/// Which of a process's last messages have come: 64 behind the newest are told apart, older ones are taken for replayed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Whether this number is new; it is seen from then on.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let by = number - self.newest;
            self.seen = if by >= 64 { 0 } else { self.seen << by } | 1;
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
