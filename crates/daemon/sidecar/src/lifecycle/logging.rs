//! The log: JSON, one entry per line, on standard error, written by a thread of its own. The event loop queues entries
//! and never blocks: if the thread falls behind, entries are dropped and their number is logged.
use silvercross_core::interface::Micros;
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::sync::mpsc;
use std::time::Duration;

/// Capacity of the queue to the log thread, in entries.
const QUEUE_CAPACITY: usize = 512;
/// Maximum time that the end of the process waits for the queued entries to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum interval between two lines of the same kind.
const MIN_INTERVAL: Micros = 10_000_000;

/// Writes the queued entries when the process ends.
pub struct Flush(AsyncGuard);

/// Starts a log of entries of at least this level.
pub fn start(name: &str, level: Level) -> (Logger, Flush) {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let (drain, guard) = Async::new(json)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(LevelFilter::new(drain, level).fuse(), o!("sidecar" => name.to_string()));
    let panics = log.clone();
    // The default hook writes to standard error from the panicking thread and could block the event loop.
    std::panic::set_hook(Box::new(move |info| slog::error!(panics, "panic"; "what" => info.to_string())));
    (log, Flush(guard))
}

/// Parses the log level; without one it is `Info`.
pub fn level(text: Option<&str>) -> Result<Level, String> {
    match text {
        None => Ok(Level::Info),
        Some(text) => text.parse().map_err(|()| format!("SILVERCROSS_LOG {text:?} is not a log level")),
    }
}

/// Rate limit for log lines of one kind, so that a lasting fault does not flood the log.
#[derive(Default)]
pub struct Paced {
    next_at: Option<Micros>,
    suppressed: u64,
}

impl Paced {
    /// Returns the number of lines suppressed since the last one logged if a line may be logged now, otherwise `None`.
    pub fn pass(&mut self, now: Micros) -> Option<u64> {
        if self.next_at.is_some_and(|next_at| now < next_at) {
            self.suppressed += 1;
            return None;
        }
        self.next_at = Some(now + MIN_INTERVAL);
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Flush {
    /// Writes the queued entries, with a time limit: the reader of standard error may have stopped reading.
    pub fn finish(self) {
        let (done, wait) = mpsc::channel();
        std::thread::spawn(move || {
            drop(self.0);
            let _ = done.send(());
        });
        let _ = wait.recv_timeout(FLUSH_TIMEOUT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_of_a_kind_are_paced_and_counted() {
        let mut paced = Paced::default();
        assert_eq!(paced.pass(5), Some(0));
        assert_eq!([paced.pass(6), paced.pass(MIN_INTERVAL)], [None, None]);
        assert_eq!(paced.pass(MIN_INTERVAL + 5), Some(2));
        assert_eq!(paced.pass(MIN_INTERVAL * 3), Some(0));
    }

    #[test]
    fn an_odd_level_is_told() {
        assert_eq!(level(None), Ok(Level::Info));
        assert_eq!(level(Some("debug")), Ok(Level::Debug));
        assert!(level(Some("loud")).is_err());
    }
}
