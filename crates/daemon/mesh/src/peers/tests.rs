//! Tests of the links and of nodes in one process. In the package, for frames, queues and the deciders' cells are private.
mod invariants;
mod isolated_control_node;
mod links;
mod wire_bytes;
