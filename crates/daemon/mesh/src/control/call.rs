//! Declaring calls, and finding the call that a request means.
use super::response::CallResponse;
use crate::node_state::NodeState;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// The future of a handler.
pub(super) type HandlerFuture<'c> = Pin<Box<dyn Future<Output = CallResponse> + 'c>>;

/// A call that a listener can serve.
pub(crate) struct Call {
    /// Its HTTP method.
    pub(super) method: &'static str,
    /// Its path; a trailing `{}` stands for a name.
    pub(super) path: &'static str,
    /// Handles the call; gets the name in the path and the body.
    pub(super) handler: for<'c> fn(&'c Rc<NodeState>, &'c str, &'c [u8]) -> HandlerFuture<'c>,
}

/// Declares a call: its constant, method, path and handler.
macro_rules! call {
    ($name:ident, $method:literal, $path:literal, $handler:ident) => {
        #[doc = concat!("`", $method, " ", $path, "`")]
        pub(super) const $name: Call = Call {
            method: $method,
            path: $path,
            handler: |node_state, name, body| Box::pin($handler(node_state, name, body)),
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
