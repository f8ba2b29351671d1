//! A token that notifies the tasks of a request that it was cancelled. All of them run on one thread.
use std::cell::Cell;
use tokio::sync::Notify;

/// The cancellation state of a request.
#[derive(Default)]
pub(crate) struct CancellationToken {
    is_cancelled: Cell<bool>,
    waiters: Notify,
}

impl CancellationToken {
    /// Cancels the request. This can't be undone.
    pub(crate) fn cancel(&self) {
        self.is_cancelled.set(true);
        self.waiters.notify_waiters();
    }

    /// Returns whether the request has been cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    /// Returns once the request has been cancelled.
    pub(crate) async fn cancelled(&self) {
        // No other task runs between the check and the wait, so no notification is missed.
        while !self.is_cancelled() {
            self.waiters.notified().await;
        }
    }
}
