//! What a file changes of the configuration in force: the versions it takes, the call, and a diff for people. Checked as a
//! whole, by the same code as on the control nodes. Read on at [`change`], then [`compare`].
mod change;
mod compare;
mod diff;
mod patch;

pub(crate) use change::Plan;
pub(crate) use compare::plan;
