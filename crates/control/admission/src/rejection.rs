//! Why a request is rejected.

/// Why a request is rejected. Each but `Duplicate` is a promise that it was not begun here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejection {
    /// There is no upstream, or it is silent or has signed off.
    NoUpstream,
    /// Another upstream or another service was asked for.
    WrongUpstream,
    /// The upstream drains and its time for new requests is over.
    Draining,
    /// The zone is evacuated.
    Evacuated,
    /// The upstream warms up and bears no more in time.
    WarmingUp,
    /// The upstream has no capacity in time.
    AtCapacity,
    /// The id may run only once, by its own word or that of the one before, and is pending here, in flight, or was sent.
    /// No promise: it may have run.
    Duplicate,
    /// Its deadline has passed.
    DeadlinePassed,
}

impl Rejection {
    /// How many reasons there are.
    pub const COUNT: usize = 8;
}
