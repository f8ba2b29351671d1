//! What a call is, and how a request finds the one that it means.
use super::response::CallResponse;
use crate::node_state::NodeState;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// A handler at work.
pub(super) type Handling<'c> = Pin<Box<dyn Future<Output = CallResponse> + 'c>>;

/// A call that may be made.
pub(crate) struct Call {
    /// Its HTTP method.
    pub(super) method: &'static str,
    /// Its path, with `{}` at the end where a name stands.
    pub(super) path: &'static str,
    /// Who answers: gets the name in the path and the body.
    pub(super) handler: for<'c> fn(&'c Rc<NodeState>, &'c str, &'c [u8]) -> Handling<'c>,
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

/// A call, and the name in the path.
pub(super) struct FoundCall<'c> {
    pub(super) call: &'c Call,
    pub(super) name: String,
}

/// Why a request means no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoSuchCall {
    /// No call has this path.
    Path,
    /// The calls of this path have other methods.
    Method,
}

impl NoSuchCall {
    /// The HTTP status that says so.
    pub(super) fn status(self) -> u16 {
        match self {
            NoSuchCall::Path => 404,
            NoSuchCall::Method => 405,
        }
    }
}

/// The call that a method and target mean.
///
/// # Errors
/// [`NoSuchCall`].
pub(super) fn find<'c>(
    calls: &'c [&'c Call],
    method: &str,
    target: &str,
) -> Result<FoundCall<'c>, NoSuchCall> {
    let path = target.split('?').next().unwrap_or("");
    let mut error = NoSuchCall::Path;
    for call in calls {
        let name = match call.path.strip_suffix("{}") {
            Some(before) => path.strip_prefix(before).filter(|name| !name.is_empty() && !name.contains('/')),
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
