//! One case: a request, how its upstream behaves, and where it is interrupted.

/// The request that is interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// It may run more than once.
    Safe,
    /// It may run once.
    Once,
    /// An upload that is held back until its gate asks for it.
    HeldBackUpload,
    /// An upload that is streamed.
    LargeUpload,
}

/// What the first upstream that it reaches answers; later ones serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamBehaviour {
    Serves,
    Fails,
    Rejects,
    /// It serves with a response that is streamed.
    ServesLong,
}

/// Between which two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Link {
    /// An origin and a gate.
    Sidecars,
    /// A gate and its upstream.
    Upstream,
}

/// Which way the bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Direction {
    Request,
    Response,
}

/// What is done to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing is forwarded any more, in either direction, and nobody is told.
    Silence,
    /// Both sides are reset.
    Reset,
    /// Both sides are closed in order.
    Close,
    /// Nothing is forwarded until the client has its response; then all of it is.
    Freeze,
    /// The gate's process is killed, and another one stands at its address.
    Restart,
    /// The sender is reset; the rest of the request arrives only once the client has its response.
    DelayedRequest,
    /// The sender gets the response of another request.
    ForeignResponse,
    /// A byte is sent behind the response.
    SurplusByte,
    /// The response is sent twice.
    DoubleResponse,
    /// The byte arrives only once the next request was forwarded.
    LateSurplusByte,
    /// The second response does.
    LateDoubleResponse,
}

/// Where a request is interrupted, and how.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Interruption {
    pub(crate) link: Link,
    pub(crate) direction: Direction,
    /// Bytes that are forwarded before.
    pub(crate) offset: usize,
    pub(crate) fault: Fault,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) request: RequestKind,
    pub(crate) upstream: UpstreamBehaviour,
    /// Other requests went before it, so that connections are reused and incarnations known.
    pub(crate) is_warm: bool,
    /// The upstream is beside the origin itself.
    pub(crate) is_local: bool,
    pub(crate) interruption: Option<Interruption>,
}

/// The bytes of one direction of one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Traffic {
    pub(crate) link: Link,
    pub(crate) direction: Direction,
}
