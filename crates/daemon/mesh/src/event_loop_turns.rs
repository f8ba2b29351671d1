//! The latest turns of the event loop, which bound how long something can have waited in the kernel before this process took
//! it. Independent of connections.
//!
//! A turn is recorded by a timer of the event loop (`periodic.rs`). Whatever the loop finds ready at a poll has arrived after the poll before,
//! and there is a poll between any two turns: what a task takes now has arrived after the third-last turn, however long
//! the process stood still or was slow in between.
use silvercross_time::Instant;

/// The number of turns that are kept: one more than the bound needs.
const KEPT_TURNS: usize = 4;

/// The latest turns of the event loop.
pub(crate) struct EventLoopTurns {
    /// Their times, the oldest first.
    times: [Instant; KEPT_TURNS],
}

impl EventLoopTurns {
    /// Creates it for a process that starts now.
    pub(crate) fn new(started_at: Instant) -> Self {
        EventLoopTurns { times: [started_at; KEPT_TURNS] }
    }

    /// Records a turn.
    pub(crate) fn record(&mut self, now: Instant) {
        self.times.rotate_left(1);
        self.times[KEPT_TURNS - 1] = now;
    }

    /// Returns a time after which everything has arrived that the event loop reports as ready now.
    pub(crate) fn arrived_after(&self) -> Instant {
        self.times[0]
    }
}

#[cfg(test)]
mod tests;
