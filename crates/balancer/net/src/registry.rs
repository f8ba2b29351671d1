//! Registration of sockets with the poller. The only file with `unsafe`: polling v3 requires its caller to remove a source
//! from the poller before the source is closed. [`Watched`] guarantees this, since it owns the source and the registration.
#![allow(unsafe_code)]

use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::sync::Arc;
use std::time::Duration;

/// The poller, shared by the sockets that it watches.
#[derive(Clone)]
pub struct Registry {
    poller: Arc<Poller>,
}

/// What a socket is watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Errors and hang-ups only.
    Nothing,
    /// Readable.
    Read,
    /// Writable.
    Write,
    /// Readable or writable.
    Both,
}

impl Interest {
    fn event(self, key: usize) -> Event {
        match self {
            Interest::Nothing => Event::none(key),
            Interest::Read => Event::readable(key),
            Interest::Write => Event::writable(key),
            Interest::Both => Event::all(key),
        }
    }
}

impl Registry {
    /// Creates a poller that watches no socket.
    pub fn new() -> io::Result<Self> {
        Ok(Registry { poller: Arc::new(Poller::new()?) })
    }

    /// Waits for events, at most for `limit`; an interrupted wait returns none.
    pub fn wait(&self, events: &mut Events, limit: Option<Duration>) -> io::Result<()> {
        events.clear();
        match self.poller.wait(events, limit) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Watches `source` under `key` until the returned value is dropped.
    pub fn watch<S: AsFd + AsRawFd>(
        &self,
        source: S,
        key: usize,
        interest: Interest,
    ) -> io::Result<Watched<S>> {
        // SAFETY: the source moves into `Watched`, which never returns it by value and removes it from the poller in
        // its `drop`, before its field (and with it the descriptor) is dropped.
        unsafe { self.poller.add_with_mode(&source, interest.event(key), PollMode::Level)? };
        Ok(Watched { poller: self.poller.clone(), key, interest, source })
    }
}

/// A watched socket. Dropping it removes it from the poller, then closes it.
pub struct Watched<S: AsFd> {
    poller: Arc<Poller>,
    key: usize,
    interest: Interest,
    source: S,
}

impl<S: AsFd> Watched<S> {
    /// The socket.
    pub fn get(&self) -> &S {
        &self.source
    }

    /// Changes the interest; makes a system call only if it differs.
    pub fn set(&mut self, interest: Interest) -> io::Result<()> {
        if self.interest != interest {
            self.poller.modify_with_mode(&self.source, interest.event(self.key), PollMode::Level)?;
            self.interest = interest;
        }
        Ok(())
    }
}

impl<S: AsFd> Drop for Watched<S> {
    fn drop(&mut self) {
        // Fails only if the source is not registered, in which case there is nothing to undo.
        let _ = self.poller.delete(&self.source);
    }
}
