//! Tests of links, and of several nodes in one process. They are unit tests because frames, queues and the
//! cells of the decision modules are private.
mod departure_log;
mod held_confirmations;
mod invariants;
mod isolated_control_node;
mod links;
mod wire_bytes;
