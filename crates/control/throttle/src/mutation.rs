//! Rules left out on purpose.

/// How a part is broken on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The owner's own time of day decides, whatever it did and whatever the others say.
    OwnClock,
    /// A node counts steps on by its own clock.
    StepFromLocalTime,
    /// The delay is drawn for each node apart.
    DelayByNode(u32),
    /// What has begun is weighed again and may be refused.
    RefusalMidway,
    /// A new owner counts steps from its own beginning.
    StepLostAtHandOver,
    /// A new owner takes the step's span for over.
    StepDoubledAtHandOver,
}
