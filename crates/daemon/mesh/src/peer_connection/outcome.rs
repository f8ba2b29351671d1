//! How an exchange ended.
use super::streamed_body::StreamedBody;
use crate::wire::Response;

/// A response that was received: complete, or with a remainder that is still to come.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    /// Its head and the buffered part of its body.
    pub(crate) response: Response,
    /// The rest of its body, read as it is forwarded.
    pub(crate) remainder: Option<Box<StreamedBody>>,
}

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// There is a response.
    Response(Box<ReceivedResponse>),
    /// There was no connection, or the request was not written whole: it has not run.
    NotSent,
    /// The request was sent and no response was received: it may have run.
    ResponseLost,
}
