//! Rules broken on purpose, so that tests can show that the model detects each. Without the feature `mutants` they
//! have no effect.

/// A rule to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The owner trusts its own wall clock, regardless of steps and of the peers' clocks.
    OwnClock,
    /// A node advances steps by its own clock.
    StepFromLocalTime,
    /// The delay also depends on the node with this number.
    DelayByNode(u32),
    /// Requests past their head, or of kinds that never wait, are decided like reads and may be rejected.
    RejectionMidRequest,
    /// A new owner counts steps from the start of its ownership.
    StepLostAtHandOver,
    /// A new owner treats the current step as already over.
    StepDoubledAtHandOver,
}
