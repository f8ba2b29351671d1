//! Sends a body while its response is awaited.
use super::connect::{allow_slow_reader, bound_unacknowledged};
use crate::body_buffer::BodyBuffer;
use crate::wire::{write_body_part, PeerKind, LAST_CHUNK};
use silvercross_net::http::Framing;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinHandle;

/// A task that sends a body. It is aborted on drop.
pub(super) struct BodySender {
    task: JoinHandle<Option<OwnedWriteHalf>>,
    /// Who is at the other end.
    peer: PeerKind,
}

impl BodySender {
    /// Starts sending a body on a connection's write half.
    pub(super) fn spawn(write: OwnedWriteHalf, peer: PeerKind, body: Rc<BodyBuffer>) -> Self {
        allow_slow_reader(write.as_ref());
        BodySender { task: tokio::task::spawn_local(send(write, body)), peer }
    }

    /// Starts sending the rest of a request on a connection's write half.
    pub(super) fn spawn_rest(mut write: OwnedWriteHalf, peer: PeerKind, rest: Vec<u8>) -> Self {
        allow_slow_reader(write.as_ref());
        let task = async move {
            write.write_all(&rest).await.ok()?;
            Some(write)
        };
        BodySender { task: tokio::task::spawn_local(task), peer }
    }

    /// Returns the write half, for further requests, if the whole body has been sent.
    pub(super) async fn finished(&mut self) -> Option<OwnedWriteHalf> {
        if !self.task.is_finished() {
            return None;
        }
        let write = (&mut self.task).await.ok().flatten()?;
        if self.peer == PeerKind::Sidecar {
            bound_unacknowledged(write.as_ref());
        }
        Some(write)
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn send(mut write: OwnedWriteHalf, body: Rc<BodyBuffer>) -> Option<OwnedWriteHalf> {
    let framing = body.framing();
    let prefix = body.prefix();
    write_body_part(&mut write, &prefix, framing).await.ok()?;
    drop(prefix);
    if let Some(stream) = body.stream() {
        while let Some(bytes) = stream.next().await.ok()? {
            body.release_prefix();
            write_body_part(&mut write, &bytes, framing).await.ok()?;
        }
    }
    if framing == Framing::Chunked {
        write.write_all(LAST_CHUNK).await.ok()?;
    }
    Some(write)
}
