//! Whether a client has left while its request is served: its connection is read on meanwhile.
//!
//! A client that closes its sending direction counts as one that has left: a closed connection looks the same until something is
//! written to it. Bytes of further requests that come first are kept.
use crate::wire::{Connection, ConnectionEvent};

/// Bytes of further requests that are received while one is served. A client that has sent more is not watched any further: its
/// leaving is noticed with the response, at the request's deadline at the latest.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Return once the client has closed its connection, or that has broken.
pub(super) async fn wait_until_left(connection: &mut Connection) {
    while connection.unread_length() < MAX_PIPELINED_BYTES {
        match connection.wait_for_event().await {
            ConnectionEvent::Received => {}
            ConnectionEvent::Closed | ConnectionEvent::Broken => return,
        }
    }
    std::future::pending().await
}
