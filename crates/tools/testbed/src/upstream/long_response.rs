//! Responses longer than any buffer on their way, which an upstream sends evenly over some time. The request's path says how.
use super::stamp::{stamp, STAMP_HEADER};
use crate::http_connection::HttpConnection;
use crate::identifiers::hash;
use silvercross_test_rng::Rng;
use std::io;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// What the path of such a request ends with.
const LONG_SUFFIX: &str = "long";
/// Parts that a body is sent in.
const PARTS: usize = 40;

/// The response that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LongResponsePlan {
    /// Bytes of its body.
    pub(crate) body_bytes: usize,
    /// How long it is sent for.
    pub(crate) span: Duration,
    /// Whether its body is sent in chunks; else its length is stated.
    pub(crate) is_chunked: bool,
}

impl LongResponsePlan {
    /// The end of the path that asks for it.
    pub(crate) fn path_suffix(&self) -> String {
        let framing = if self.is_chunked { "chunked" } else { "length" };
        format!("{}/{}/{framing}/{LONG_SUFFIX}", self.body_bytes, self.span.as_millis())
    }

    /// What a path asks for; `None`: an ordinary response.
    pub(super) fn of_target(target: &str) -> Option<Self> {
        let mut parts = target.rsplit('/');
        if parts.next()? != LONG_SUFFIX {
            return None;
        }
        let is_chunked = parts.next()? == "chunked";
        let span = Duration::from_millis(parts.next()?.parse().ok()?);
        Some(LongResponsePlan { body_bytes: parts.next()?.parse().ok()?, span, is_chunked })
    }
}

/// The body of the response to an attempt: bytes of which none can be missing or misplaced unseen.
pub(crate) fn long_body(attempt_id: &str, body_bytes: usize) -> Vec<u8> {
    let mut rng = Rng::new(hash(attempt_id.as_bytes()));
    let mut body: Vec<u8> = (0..body_bytes.div_ceil(8)).flat_map(|_| rng.next_u64().to_le_bytes()).collect();
    body.truncate(body_bytes);
    body
}

/// A response that is to be sent.
pub(super) struct LongResponse {
    plan: LongResponsePlan,
    head: Vec<u8>,
    body: Vec<u8>,
}

impl LongResponse {
    /// An upstream's response to an attempt.
    pub(super) fn new(plan: LongResponsePlan, upstream: &str, attempt_id: &str) -> Self {
        let body = long_body(attempt_id, plan.body_bytes);
        let framing = match plan.is_chunked {
            true => "Transfer-Encoding: chunked".to_string(),
            false => format!("Content-Length: {}", plan.body_bytes),
        };
        let stamp = stamp(upstream, attempt_id, &body);
        let head = format!(
            "HTTP/1.1 200 Status\r\n{STAMP_HEADER}: {stamp}\r\n{framing}\r\nAttempt-Id: {attempt_id}\r\n\r\n"
        );
        LongResponse { plan, head: head.into_bytes(), body }
    }

    /// Send it evenly.
    pub(super) async fn send(self, connection: &mut HttpConnection) -> io::Result<()> {
        let began = Instant::now();
        connection.write(&self.head).await?;
        let part_bytes = self.body.len().div_ceil(PARTS).max(1);
        for (number, part) in (1u32..).zip(self.body.chunks(part_bytes)) {
            sleep_until(began + self.plan.span * number / PARTS as u32).await;
            match self.plan.is_chunked {
                true => {
                    let size = format!("{:x}\r\n", part.len());
                    connection.write(&[size.as_bytes(), part, b"\r\n"].concat()).await?;
                }
                false => connection.write(part).await?,
            }
        }
        if self.plan.is_chunked {
            connection.write(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}
