//! One case: a request, how its upstream behaves, and where it is interrupted.

/// The request that is interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A request that may run more than once.
    Safe,
    /// A request that may run at most once.
    Once,
    /// An upload whose body is withheld until the gate asks for it.
    HeldBackUpload,
    /// An upload whose body is streamed.
    LargeUpload,
}

/// How the first upstream that receives the request answers; later ones serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamBehaviour {
    Serves,
    Fails,
    Rejects,
    /// Serves the request with a streamed response.
    ServesLong,
}

/// The link on which the interruption occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Link {
    /// Between an origin and a gate.
    Sidecars,
    /// Between a gate and its upstream.
    Upstream,
}

/// The direction of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Direction {
    Request,
    Response,
}

/// The fault injected into a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Forwarding stops in both directions, and the connection stays open.
    Silence,
    /// Both sides are reset.
    Reset,
    /// Both sides are closed with a FIN.
    Close,
    /// Forwarding pauses until the client has its response, then resumes.
    Freeze,
    /// The gate's process is killed and replaced by another one at the same address.
    Restart,
    /// The sender's side is reset; the rest of the request is delivered only once the client has its response.
    DelayedRequest,
    /// The sender receives the response to another request.
    ForeignResponse,
    /// One extra byte follows the response.
    SurplusByte,
    /// The response is sent twice.
    DoubleResponse,
    /// One extra byte follows the response, after the next request was forwarded.
    LateSurplusByte,
    /// The response is sent again after the next request was forwarded.
    LateDoubleResponse,
}

/// Where and how a request is interrupted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Interruption {
    pub(crate) link: Link,
    pub(crate) direction: Direction,
    /// Bytes forwarded before the interruption.
    pub(crate) offset: usize,
    pub(crate) fault: Fault,
}

/// One test case: a request, its path and at most one interruption.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) request: RequestKind,
    pub(crate) upstream: UpstreamBehaviour,
    /// Earlier requests were sent, so that connections are reused and incarnations are known.
    pub(crate) is_warm: bool,
    /// The upstream is attached to the origin itself.
    pub(crate) is_local: bool,
    pub(crate) interruption: Option<Interruption>,
}

/// Identifies the traffic of one direction on one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Traffic {
    pub(crate) link: Link,
    pub(crate) direction: Direction,
}
