//! The identity of a node.
use bitcode::{Decode, Encode};

/// A machine of the mesh, identified by the bits of its IPv4 address.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct Node(pub u32);
