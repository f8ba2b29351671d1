//! Which sockets the poller watches. The one file with `unsafe`: polling v3 asks its caller to promise that a
//! source is taken off the poller before it is closed, and [`Watched`] is that promise: it owns both ends of it.
#![allow(unsafe_code)]

use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::sync::Arc;
use std::time::Duration;

/// The poller, shared by all it watches.
#[derive(Clone)]
pub struct Registry {
    poller: Arc<Poller>,
}

/// What a socket is watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Errors and hang-ups only.
    Nothing,
    /// Bytes to read.
    Read,
    /// Room to write.
    Write,
    /// Both.
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
    /// A poller that watches nothing yet.
    pub fn new() -> io::Result<Self> {
        Ok(Registry { poller: Arc::new(Poller::new()?) })
    }

    /// Wait for readiness, at most for `limit`; an interrupted wait is an empty one.
    pub fn wait(&self, events: &mut Events, limit: Option<Duration>) -> io::Result<()> {
        events.clear();
        match self.poller.wait(events, limit) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Watch `source` under `key` for as long as the returned value lives.
    pub fn watch<S: AsFd + AsRawFd>(
        &self,
        source: S,
        key: usize,
        interest: Interest,
    ) -> io::Result<Watched<S>> {
        // SAFETY: the source moves into `Watched`, which never hands it out by value and takes it off the poller in
        // its `drop`, before its field (and with it the descriptor) is dropped.
        unsafe { self.poller.add_with_mode(&source, interest.event(key), PollMode::Level)? };
        Ok(Watched { poller: self.poller.clone(), key, interest, source })
    }
}

/// A watched socket. Dropping it ends the watch, then closes the socket.
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

    /// Watch for something else from now on; costs a system call only when it changes.
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
        // It fails only for a source that is not on the poller, and then there is nothing to undo.
        let _ = self.poller.delete(&self.source);
    }
}
