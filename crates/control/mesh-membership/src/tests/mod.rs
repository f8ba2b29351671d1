//! Tests of the ring and the tree, inside the package because `Placement` and `ParentCandidates` are
//! private.
mod placement;
