//! How long a client's connection may rest between two requests. A change of the operator's limit cuts nothing: who began to
//! rest under a longer one keeps it.
use crate::node_state::NodeState;
use crate::wire::{Connection, ConnectionEvent};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A connection is closed so long after its client may no longer take it up, in microseconds: an answer takes its time to get
/// there, and so does a request.
pub(crate) const LATE: i64 = 1_000_000;

/// The limit in force, and a longer one that some still rest under.
#[derive(Debug, Default)]
pub struct IdleTimeout {
    idle: Option<i64>,
    before: Option<(i64, i64)>,
}

impl IdleTimeout {
    /// This limit holds from now on, in microseconds.
    pub fn set_limit(&mut self, now: i64, idle: i64) {
        if let Some(old) = self.idle.replace(idle).filter(|old| *old > idle) {
            let (span, until) = self.before.filter(|b| b.1 > now).unwrap_or((0, 0));
            self.before = Some((span.max(old), until.max(now + old + LATE)));
        }
    }

    /// What a client may be told now: so long at least its connection will be there. `None`: no limit was ever set.
    pub fn stated(&self) -> Option<i64> {
        self.idle
    }

    /// A connection that has rested for so long is closed.
    pub(crate) fn span(&self, now: i64, default: i64) -> i64 {
        let before = self.before.filter(|b| b.1 > now).map_or(0, |b| b.0);
        self.idle.unwrap_or(default).max(before).max(0) + LATE
    }
}

/// The header line that tells a client how long it may rest; none where that is no whole second.
pub fn line(idle: Option<i64>) -> Option<String> {
    let seconds = idle? / 1_000_000;
    (seconds > 0).then(|| format!("Keep-Alive: timeout={seconds}\r\n"))
}

/// Wait for a client's next request; `false`: none comes on this connection.
pub async fn taken_up(node_state: &Rc<NodeState>, line: &mut Connection) -> bool {
    let (began, at) = (node_state.now().as_micros(), Instant::now());
    while !line.has_surplus() {
        let span = |now: i64| {
            node_state.idle_timeout.borrow().span(now, node_state.routing_table().limits().idle_timeout)
        };
        let idle_timeout = span(node_state.now().as_micros());
        tokio::select! {
            biased;
            // What has come by its end is looked at first.
            came = timeout_at(at + Duration::from_micros(idle_timeout as u64), line.stirs()) => match came {
                Ok(ConnectionEvent::More) => return true,
                Ok(ConnectionEvent::Closed | ConnectionEvent::Broke) => return false,
                // A longer limit may hold by now.
                Err(_) if node_state.now().as_micros() - began < span(node_state.now().as_micros()) => {}
                Err(_) => return false,
            },
            // Between two requests a process that stops closes at once; clients open new ones.
            _ = node_state.idle_connections_closing() => return line.has_surplus(),
        }
    }
    true
}
