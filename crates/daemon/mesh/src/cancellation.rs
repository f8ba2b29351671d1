//! Tells the tasks that work on a request that it was cancelled. All are of one thread.
use std::cell::Cell;
use tokio::sync::Notify;

/// Whether a request was cancelled.
#[derive(Default)]
pub(crate) struct CancellationToken {
    is_cancelled: Cell<bool>,
    waiters: Notify,
}

impl CancellationToken {
    /// Cancel it; once cancelled it stays so.
    pub(crate) fn cancel(&self) {
        self.is_cancelled.set(true);
        self.waiters.notify_waiters();
    }

    /// Whether it was cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    /// Return once it was cancelled.
    pub(crate) async fn cancelled(&self) {
        // No other task runs between the look and the wait.
        while !self.is_cancelled() {
            self.waiters.notified().await;
        }
    }
}
