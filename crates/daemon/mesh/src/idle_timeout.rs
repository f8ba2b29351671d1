//! How long a client's connection may rest between two requests. A change of the operator's limit cuts nothing: who began to
//! rest under a longer one keeps it.
use crate::node_state::NodeState;
use crate::wire::{Connection, ConnectionEvent};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A connection is closed so long after its client may no longer take it up, in microseconds: an answer takes its time to get
/// there, and so does a request.
const LATE: i64 = 1_000_000;

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
    fn span(&self, now: i64, default: i64) -> i64 {
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
    let (began, at) = (node_state.now(), Instant::now());
    while !line.has_surplus() {
        let span = |now: i64| {
            node_state.idle_timeout.borrow().span(now, node_state.routing_table().limits().idle_us)
        };
        let idle_timeout = span(node_state.now());
        tokio::select! {
            biased;
            // What has come by its end is looked at first.
            came = timeout_at(at + Duration::from_micros(idle_timeout as u64), line.stirs()) => match came {
                Ok(ConnectionEvent::More) => return true,
                Ok(ConnectionEvent::Closed | ConnectionEvent::Broke) => return false,
                // A longer limit may hold by now.
                Err(_) if node_state.now() - began < span(node_state.now()) => {}
                Err(_) => return false,
            },
            // Between two requests a process that stops closes at once; clients open new ones.
            _ = node_state.idle_connections_closing() => return line.has_surplus(),
        }
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::trial::{self, SidecarOptions, TestConnection};

    const S: i64 = 1_000_000;

    /// Limits set when; looked at when; closed after.
    type Case<'c> = (&'c [(i64, i64)], i64, i64);

    #[test]
    fn who_began_to_rest_under_a_longer_limit_keeps_it() {
        let cases: [Case; 7] = [
            (&[], 5 * S, 60 * S),
            (&[(0, 15 * S)], 5 * S, 15 * S),
            (&[(0, 15 * S), (4 * S, 2 * S)], 14 * S, 15 * S),
            (&[(0, 15 * S), (4 * S, 2 * S)], 21 * S, 2 * S),
            (&[(0, 15 * S), (4 * S, 2 * S), (5 * S, 4 * S), (6 * S, 3 * S)], 19 * S, 15 * S),
            (&[(0, 2 * S), (4 * S, 15 * S)], 5 * S, 15 * S),
            (&[(0, 9 * S), (S, 15 * S), (2 * S, 9 * S), (16 * S, 3 * S)], 24 * S, 15 * S),
        ];
        for (n, (set, now, span)) in cases.into_iter().enumerate() {
            let mut idle_timeout = IdleTimeout::default();
            set.iter().for_each(|(at, idle)| idle_timeout.set_limit(*at, *idle));
            assert_eq!(idle_timeout.span(now, 60 * S), span + LATE, "case {n}");
        }
        for (idle, said) in [(None, None), (Some(900_000), None), (Some(15_700_000), Some(15))] {
            assert_eq!(line(idle), said.map(|s| format!("Keep-Alive: timeout={s}\r\n")));
        }
    }

    async fn asked(talk: &mut TestConnection, filler: usize) -> (String, Option<String>) {
        let filler = "x".repeat(filler);
        talk.say(
            format!("GET /none HTTP/1.1\r\nHost: h\r\nFiller: {filler}\r\n{}\r\n", trial::ID).as_bytes(),
        )
        .await;
        let said = talk.head().await;
        talk.body(&said).await;
        (trial::status(&said).to_string(), trial::value(&said, "keep-alive"))
    }

    /// The next request on a connection that rested goes by the limits in force as it comes.
    #[test]
    fn a_connection_that_rests_is_not_cut_by_a_shorter_limit_and_goes_by_the_newest() {
        trial::run(async {
            let (_, nobody) = trial::station().await;
            let sidecar = trial::sidecar(1, nobody, SidecarOptions::default()).await;
            sidecar.limits(2, 15.0, 300);
            let mut talk = TestConnection::to(sidecar.at).await;
            assert_eq!(asked(&mut talk, 1).await, ("404".into(), Some("timeout=15".into())));
            assert!(talk.is_open().await);
            for (edition, idle) in [(3, 0.001), (4, 30.0)] {
                sidecar.limits(edition, idle, 16384);
                assert!(talk.is_open().await);
            }
            assert_eq!(asked(&mut talk, 4000).await, ("404".into(), Some("timeout=30".into())));
        });
    }

    /// Two connections rest under a short limit, one at a sidecar where a longer one comes meanwhile.
    #[test]
    fn a_connection_that_rests_is_closed_in_time_and_kept_by_a_longer_limit() {
        trial::run(async {
            let (_, nobody) = trial::station().await;
            let (one, other) = (
                trial::sidecar(1, nobody, SidecarOptions::default()).await,
                trial::sidecar(2, nobody, SidecarOptions::default()).await,
            );
            for sidecar in [&one, &other] {
                *sidecar.node_state.idle_timeout.borrow_mut() = IdleTimeout::default();
                sidecar.limits(2, 0.05, 16384);
            }
            let (mut kept, mut ends) = (TestConnection::to(one.at).await, TestConnection::to(other.at).await);
            for talk in [&mut kept, &mut ends] {
                assert_eq!(asked(talk, 1).await, ("404".into(), None));
            }
            one.limits(3, 30.0, 16384);
            assert_eq!(ends.more().await, 0);
            assert!(kept.is_open().await);
            assert_eq!(asked(&mut kept, 1).await, ("404".into(), Some("timeout=30".into())));
        });
    }
}
