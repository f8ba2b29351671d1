//! The remainder of a response's body that is too large to be buffered. It is read while it is forwarded.
use super::body_sender::BodySender;
use super::pool::ConnectionPool;
use crate::wire::{write_body_part, Connection, LAST_CHUNK};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use std::any::Any;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout_at, Instant};

/// Time limit for forwarding a remainder without a deadline.
const MAX_FORWARD_TIME: Duration = Duration::from_secs(600);

/// The remainder of a response's body.
pub(crate) struct StreamedBody {
    pub(super) connection: Connection,
    pub(super) decoder: Decoder,
    /// Sends the request's body, if that was not complete when the response arrived.
    pub(super) sender: Option<BodySender>,
    pub(super) address: SocketAddr,
    pub(super) keep_alive: bool,
    pub(super) idle_timeout_seconds: Option<u64>,
    /// Forwarding is aborted if it is not complete by then.
    pub(crate) deadline: Option<Instant>,
    /// Guards that are dropped together with the remainder.
    pub(crate) guards: Vec<Box<dyn Any>>,
}

impl std::fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "StreamedBody({})", self.address)
    }
}

impl StreamedBody {
    /// Forwards the remainder to its end, then returns the connection to its pool. Returns `false` if forwarding was
    /// interrupted on either side or the deadline has passed.
    pub(crate) async fn forward(
        mut self,
        pool: &ConnectionPool,
        to: &mut (impl AsyncWriteExt + Unpin),
        framing: Framing,
    ) -> bool {
        let deadline = self.deadline.unwrap_or_else(|| Instant::now() + MAX_FORWARD_TIME);
        let forward = async {
            while let Some(bytes) = self.connection.read_body_part(&mut self.decoder).await.ok()? {
                write_body_part(to, &bytes, framing).await.ok()?;
            }
            if framing == Framing::Chunked {
                to.write_all(LAST_CHUNK).await.ok()?;
            }
            Some(())
        };
        if !matches!(timeout_at(deadline, forward).await, Ok(Some(()))) {
            return false;
        }
        if let Some(sender) = &mut self.sender {
            if let Some(write) = sender.finished().await {
                self.connection.restore_write_half(write);
            }
        }
        if self.keep_alive && !self.connection.has_unread_bytes() && self.connection.has_both_halves() {
            pool.release(self.address, self.connection, self.idle_timeout_seconds);
        }
        true
    }
}
