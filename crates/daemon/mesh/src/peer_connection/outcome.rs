//! How an exchange ended.
use super::streamed_body::StreamedBody;
use crate::wire::Response;

/// A received response, complete or with a remainder that is still to be received.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    /// The head and the buffered part of the body.
    pub(crate) response: Response,
    /// The rest of the body, which is read while it is forwarded.
    pub(crate) remainder: Option<Box<StreamedBody>>,
}

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// A response was received.
    Response(Box<ReceivedResponse>),
    /// There was no connection, or the request was not written completely: it has not run.
    NotSent,
    /// The request was sent and no valid response was received: it may have run.
    ResponseLost,
}
