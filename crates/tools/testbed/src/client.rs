//! A stand-in client: one request at a time on a connection that it keeps, and what came of it.
use crate::http_connection::{HttpConnection, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The host of all routes here.
pub const HOST: &str = "testbed.example";
/// How long a client waits, in milliseconds.
pub const DEADLINE_MS: u64 = 3000;
/// How long after its deadline a client gives up, in milliseconds.
const DEADLINE_SLACK_MS: u64 = 300;
/// A connection is up within this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// It may.
    Safe,
    /// It must not.
    Unsafe,
    /// It must not, and is large.
    Upload,
}

impl RequestKind {
    /// All of them.
    pub const ALL: [RequestKind; 3] = [RequestKind::Safe, RequestKind::Unsafe, RequestKind::Upload];

    /// As operators write it.
    pub fn word(self) -> &'static str {
        match self {
            RequestKind::Safe => "safe",
            RequestKind::Unsafe => "unsafe",
            RequestKind::Upload => "upload",
        }
    }

    /// The path prefix of a service for requests of this kind.
    pub fn path_prefix(self, service: &str) -> String {
        format!("/{service}/{}/", self.word())
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete answer.
    Answer(Box<Response>),
    /// No connection: not sent.
    NotSent,
    /// The connection or the time ended, with no complete answer.
    Lost,
}

impl Outcome {
    /// Its status, if there was an answer.
    pub fn status(&self) -> Option<u16> {
        match self {
            Outcome::Answer(response) => Some(response.status),
            _ => None,
        }
    }
}

/// A client on a side machine.
pub struct Client {
    to: SocketAddr,
    connection: Option<HttpConnection>,
    header_lines: String,
}

impl Client {
    /// On the machine with this `outbound` address.
    pub fn new(to: SocketAddr) -> Self {
        Client { to, connection: None, header_lines: String::new() }
    }

    /// The same, with a header on each of its requests.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.header_lines.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// One attempt.
    pub async fn send(&mut self, target: &str, attempt_id: &str, body: &[u8]) -> Outcome {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match HttpConnection::connect(Some(self.to.ip()), self.to, CONNECT_TIMEOUT).await {
                Ok(connection) => connection,
                Err(_) => return Outcome::NotSent,
            },
        };
        let method = if body.is_empty() { "GET" } else { "POST" };
        let (header_lines, length) = (&self.header_lines, body.len());
        // A sidecar has to replace the sender that a client claims to be.
        let mut bytes = format!(
            "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
             Sender: somebody-else\r\n{header_lines}Content-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        let exchange = async {
            connection.write(&bytes).await?;
            connection.read_response().await
        };
        let limit = Duration::from_millis(DEADLINE_MS + DEADLINE_SLACK_MS);
        match timeout(limit, exchange).await {
            Ok(Ok(response)) => {
                if response.keep_alive {
                    self.connection = Some(connection);
                }
                Outcome::Answer(Box::new(response))
            }
            _ => Outcome::Lost,
        }
    }
}
