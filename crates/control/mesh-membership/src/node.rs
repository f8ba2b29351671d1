//! The identity of a node. Knows nothing of zones, roles or records; for these go on with `record`.
use bitcode::{Decode, Encode};

/// A machine of the mesh, by the bits of its IPv4 address.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct Node(pub u32);
