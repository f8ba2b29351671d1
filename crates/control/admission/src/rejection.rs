//! Why a request is rejected.

/// Why a request is rejected. Every reason but `Duplicate` guarantees that the request was not begun here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejection {
    /// No upstream has sent a heartbeat yet, or it is silent or has signed off.
    NoUpstream,
    /// The request is for another upstream or another service.
    WrongUpstream,
    /// The upstream is draining, and its time for new requests is over.
    Draining,
    /// The upstream's zone is evacuated.
    Evacuated,
    /// The upstream is warming up, and the limits for that don't admit the request in time.
    WarmingUp,
    /// The upstream, the queue or the memory for attempt ids has no capacity in time.
    AtCapacity,
    /// An attempt with this id is pending or in flight and one of the two is not idempotent, a non-idempotent attempt with
    /// it was begun here, or the number is in use. No guarantee: the earlier attempt may have run.
    Duplicate,
    /// The request's deadline has passed.
    DeadlinePassed,
}

impl Rejection {
    /// The number of reasons.
    pub const COUNT: usize = 8;
}
