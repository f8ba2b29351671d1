//! Tests of rings and trees alone. Inside the package, for `Placement` and `ParentCandidates` are private to it.
mod placement;
