//! How long a client's connection may be idle between two requests. A change of the operator's limit closes nothing early:
//! a connection that became idle under a longer limit keeps it.
//!
//! Knows no connection: `client_listener/idle_wait.rs` waits by it.
use silvercross_time::{Duration, Instant};

/// A connection is closed this long after its client may last reuse it: a response takes time to get there, and so does a
/// request.
pub(crate) const CLOSE_DELAY: Duration = Duration::from_secs(1);

/// A longer limit that some connections are still idle under.
#[derive(Clone, Copy, Debug)]
struct EarlierLimit {
    limit: Duration,
    applies_until: Instant,
}

/// The limit in force, and a longer one that some connections are still idle under.
#[derive(Debug, Default)]
pub(crate) struct IdleTimeout {
    limit: Option<Duration>,
    earlier: Option<EarlierLimit>,
}

impl IdleTimeout {
    /// This limit is in force from now on.
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

    /// For how long at least a connection that becomes idle now is kept open. `None`: no limit was ever set.
    pub(crate) fn advertised(&self) -> Option<Duration> {
        self.limit
    }

    /// An idle connection is closed after this. `default`: the limit while none was set.
    pub(crate) fn close_after(&self, now: Instant, default: Duration) -> Duration {
        let earlier = self.earlier.filter(|earlier| earlier.applies_until > now);
        let earlier = earlier.map_or(Duration::ZERO, |earlier| earlier.limit);
        self.limit.unwrap_or(default).max(earlier).max(Duration::ZERO) + CLOSE_DELAY
    }
}

/// The header line that tells a client for how long its connection may be idle (RFC 2068, 19.7.1.1); none where that is no
/// whole second.
pub(crate) fn keep_alive_header(advertised: Option<Duration>) -> Option<String> {
    let seconds = advertised? / Duration::from_secs(1);
    (seconds > 0).then(|| format!("Keep-Alive: timeout={seconds}\r\n"))
}
