//! The log: JSON, one line an entry, on standard error, written by a thread of its own. The loop hands entries over
//! and never waits: when the thread falls behind, entries are dropped and their number is logged.
use silvercross_core::interface::Micros;
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::sync::mpsc;
use std::time::Duration;

/// Entries that may wait for the thread.
const WAITING: usize = 512;
/// How long the end of the process waits for the last entries.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Lines about the same limit come no closer than this.
const PACE: Micros = 10_000_000;

/// Writes out what is waiting when the process ends.
pub struct Flush(AsyncGuard);

/// A log that shows entries of this level and above.
pub fn start(name: &str, level: Level) -> (Logger, Flush) {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let (drain, guard) = Async::new(json)
        .chan_size(WAITING)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(LevelFilter::new(drain, level).fuse(), o!("sidecar" => name.to_string()));
    let panics = log.clone();
    // The usual hook writes to standard error from the thread that panics, and so could block the loop.
    std::panic::set_hook(Box::new(move |info| slog::error!(panics, "panic"; "what" => info.to_string())));
    (log, Flush(guard))
}

/// The level that the environment asks for.
pub fn level(text: Option<&str>) -> Result<Level, String> {
    match text {
        None => Ok(Level::Info),
        Some(text) => text.parse().map_err(|()| format!("SILVERCROSS_LOG {text:?} is no log level")),
    }
}

/// Lets one line of a kind through every so often, so that trouble cannot flood the log.
#[derive(Default)]
pub struct Paced {
    until: Option<Micros>,
    held: u64,
}

impl Paced {
    /// `Some`, with how many were held back since the last, if this one may be logged.
    pub fn pass(&mut self, now: Micros) -> Option<u64> {
        if self.until.is_some_and(|until| now < until) {
            self.held += 1;
            return None;
        }
        self.until = Some(now + PACE);
        Some(std::mem::take(&mut self.held))
    }
}

impl Flush {
    /// Write out what is waiting, but not for long: whoever reads the log may have stopped.
    pub fn finish(self) {
        let (done, wait) = mpsc::channel();
        std::thread::spawn(move || {
            drop(self.0);
            let _ = done.send(());
        });
        let _ = wait.recv_timeout(LAST_WORDS);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_of_a_kind_are_paced_and_counted() {
        let mut paced = Paced::default();
        assert_eq!(paced.pass(5), Some(0));
        assert_eq!([paced.pass(6), paced.pass(PACE)], [None, None]);
        assert_eq!(paced.pass(PACE + 5), Some(2));
        assert_eq!(paced.pass(PACE * 3), Some(0));
    }

    #[test]
    fn an_odd_level_is_told() {
        assert_eq!(level(None), Ok(Level::Info));
        assert_eq!(level(Some("debug")), Ok(Level::Debug));
        assert!(level(Some("loud")).is_err());
    }
}
