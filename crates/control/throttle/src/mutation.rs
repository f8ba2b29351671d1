//! Rules changed on purpose, so that tests of the model can see them caught.

/// A rule that is changed; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The owner's own time of day decides, whatever it did and whatever the others say.
    OwnClock,
    /// A node counts steps on by its own clock.
    StepFromLocalTime,
    /// The delay is drawn for each node apart.
    DelayByNode(u32),
    /// What has begun is decided again and may be rejected.
    RefusalMidway,
    /// A new owner counts steps from its own beginning.
    StepLostAtHandOver,
    /// A new owner takes the step in force for over.
    StepDoubledAtHandOver,
}
