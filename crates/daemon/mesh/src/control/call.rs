//! Declaring calls, and finding the call that a request means.
use super::response::CallResponse;
use crate::node_state::NodeState;
use crate::wire::Connection;
use silvercross_time::Instant as LocalInstant;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::Instant;

/// The future of a handler.
pub(super) type HandlerFuture<'c> = Pin<Box<dyn Future<Output = CallResponse> + 'c>>;

/// A call that was received.
pub(crate) struct ReceivedCall<'c> {
    /// The name in its path.
    pub(super) name: String,
    /// Its target: the path and the query.
    pub(super) target: &'c str,
    /// Its body.
    pub(super) body: Vec<u8>,
    /// Its connection.
    pub(super) connection: &'c Connection,
    /// The connection was opened after this.
    pub(super) opened_after: LocalInstant,
    /// When it had been read.
    pub(super) received_at: Instant,
}

impl ReceivedCall<'_> {
    /// The address of the caller, if it can still be determined.
    pub(super) fn caller(&self) -> Option<SocketAddr> {
        self.connection.peer_address()
    }

    /// Whether the caller has closed its connection, so that nobody waits for the response.
    pub(super) fn caller_has_left(&self) -> bool {
        self.connection.is_closed_by_peer()
    }
}

/// A call that a listener can serve.
pub(crate) struct Call {
    /// Its HTTP method.
    pub(super) method: &'static str,
    /// Its path; a trailing `{}` stands for a name.
    pub(super) path: &'static str,
    /// Handles the call.
    pub(super) handler: for<'c> fn(&'c Rc<NodeState>, &'c ReceivedCall<'c>) -> HandlerFuture<'c>,
    /// Whether it is given up once its caller has left: a later call may already contradict it.
    pub(super) ends_with_caller: bool,
}

/// Declares a call: its constant, method, path and handler.
macro_rules! call {
    ($name:ident, $method:literal, $path:literal, $handler:ident) => {
        call!($name, $method, $path, $handler, ends_with_caller: false);
    };
    ($name:ident, $method:literal, $path:literal, $handler:ident, ends_with_caller: $ends:literal) => {
        #[doc = concat!("`", $method, " ", $path, "`")]
        pub(super) const $name: Call = Call {
            method: $method,
            path: $path,
            handler: |node_state, call| Box::pin($handler(node_state, call)),
            ends_with_caller: $ends,
        };
    };
}
pub(super) use call;

/// The call that a request means and the name in its path.
pub(super) struct FoundCall<'c> {
    pub(super) call: &'c Call,
    pub(super) name: String,
}

/// Why no call was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoSuchCall {
    /// No call has this path.
    Path,
    /// The calls with this path have other methods.
    Method,
}

impl NoSuchCall {
    /// The HTTP status of the response.
    pub(super) fn status(self) -> u16 {
        match self {
            NoSuchCall::Path => 404,
            NoSuchCall::Method => 405,
        }
    }
}

/// Find the call for a method and target.
///
/// # Errors
/// [`NoSuchCall`] if no call has this path, or none with this path has this method.
pub(super) fn find<'c>(
    calls: &'c [&'c Call],
    method: &str,
    target: &str,
) -> Result<FoundCall<'c>, NoSuchCall> {
    let path = target.split('?').next().unwrap_or("");
    let mut error = NoSuchCall::Path;
    for call in calls {
        let name = match call.path.strip_suffix("{}") {
            Some(prefix) => path.strip_prefix(prefix).filter(|name| !name.is_empty() && !name.contains('/')),
            None => (path == call.path).then_some(""),
        };
        let Some(name) = name else { continue };
        if call.method == method {
            return Ok(FoundCall { call, name: name.to_string() });
        }
        error = NoSuchCall::Method;
    }
    Err(error)
}
