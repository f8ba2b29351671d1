//! A stand-in client: one request at a time on a connection that it keeps, and what came of it.
use crate::line::{Answer, Line};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The host of all routes here.
pub const HOST: &str = "village.example";
/// How long a client waits, in milliseconds.
pub const DEADLINE_MS: u64 = 3000;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// It may.
    Safe,
    /// It must not.
    Unsafe,
    /// It must not, and is large.
    Upload,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 3] = [Kind::Safe, Kind::Unsafe, Kind::Upload];

    /// As operators write it.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Upload => "upload",
        }
    }

    /// The lane of a service for requests of this kind.
    pub fn lane(self, service: &str) -> String {
        format!("/{service}/{}/", self.word())
    }
}

/// How a try ended.
#[derive(Clone, Debug)]
pub enum Came {
    /// A whole answer.
    Answer(Box<Answer>),
    /// No connection: not sent.
    NotSent,
    /// The connection ended, or time did, with no whole answer.
    Lost,
}

impl Came {
    /// Its status, if there was an answer.
    pub fn status(&self) -> Option<u16> {
        match self {
            Came::Answer(a) => Some(a.status),
            _ => None,
        }
    }
}

/// A client on a side machine.
pub struct Client {
    to: SocketAddr,
    line: Option<Line>,
    lines: String,
}

/// A name for a try.
pub fn id() -> String {
    format!("{:016x}", crate::fresh())
}

impl Client {
    /// On the machine with this `outbound` address.
    pub fn new(to: SocketAddr) -> Self {
        Client { to, line: None, lines: String::new() }
    }

    /// The same, with a header on each of its requests.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.lines.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// One try.
    pub async fn ask(&mut self, target: &str, id: &str, body: &[u8]) -> Came {
        let limit = Duration::from_millis(DEADLINE_MS + 300);
        let mut line = match self.line.take() {
            Some(line) => line,
            None => match Line::connect(Some(self.to.ip()), self.to, Duration::from_secs(1)).await {
                Ok(line) => line,
                Err(_) => return Came::NotSent,
            },
        };
        let method = if body.is_empty() { "GET" } else { "POST" };
        let mut bytes = format!(
            "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
             Sender: somebody-else\r\n{}Content-Length: {}\r\n\r\n",
            self.lines,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        let went = async {
            line.write(&bytes).await?;
            line.answer().await
        };
        match timeout(limit, went).await {
            Ok(Ok(answer)) => {
                if answer.keep_alive {
                    self.line = Some(line);
                }
                Came::Answer(Box::new(answer))
            }
            _ => Came::Lost,
        }
    }
}
