//! The idle timeout of clients' connections between two requests. A change of the configured limit closes no
//! connection early: one that became idle under a longer limit keeps that limit.
//!
//! Independent of connections: `client_listener/idle_wait.rs` applies it.
use silvercross_time::{Duration, Instant};

/// Delay between the advertised idle timeout and the close, since a response and the next request take time to
/// arrive.
pub(crate) const CLOSE_DELAY: Duration = Duration::from_secs(1);

/// An earlier, longer limit that some connections are still idle under.
#[derive(Clone, Copy, Debug)]
struct EarlierLimit {
    limit: Duration,
    applies_until: Instant,
}

/// The limit in force, and an earlier, longer one that some connections are still idle under.
#[derive(Debug, Default)]
pub(crate) struct IdleTimeout {
    limit: Option<Duration>,
    earlier: Option<EarlierLimit>,
}

impl IdleTimeout {
    /// Sets the limit that is in force from `now` on.
    pub(crate) fn set_limit(&mut self, now: Instant, limit: Duration) {
        if let Some(old) = self.limit.replace(limit).filter(|old| *old > limit) {
            let earlier = self
                .earlier
                .filter(|earlier| earlier.applies_until > now)
                .unwrap_or(EarlierLimit { limit: Duration::ZERO, applies_until: Instant::ZERO });
            self.earlier = Some(EarlierLimit {
                limit: earlier.limit.max(old),
                applies_until: earlier.applies_until.max(now + old + CLOSE_DELAY),
            });
        }
    }

    /// Returns the minimum time for which a connection that becomes idle now is kept open; `None` if no limit was
    /// ever set.
    pub(crate) fn advertised(&self) -> Option<Duration> {
        self.limit
    }

    /// Returns the time after which an idle connection is closed. `default` is the limit until one is set.
    pub(crate) fn close_after(&self, now: Instant, default: Duration) -> Duration {
        let earlier = self.earlier.filter(|earlier| earlier.applies_until > now);
        let earlier = earlier.map_or(Duration::ZERO, |earlier| earlier.limit);
        self.limit.unwrap_or(default).max(earlier).max(Duration::ZERO) + CLOSE_DELAY
    }
}

/// Returns the header line that states the idle timeout to a client (RFC 2068, 19.7.1.1); `None` if it is unset or
/// less than a second.
pub(crate) fn keep_alive_header(advertised: Option<Duration>) -> Option<String> {
    let seconds = advertised? / Duration::from_secs(1);
    (seconds > 0).then(|| format!("Keep-Alive: timeout={seconds}\r\n"))
}
