//! What nodes know, as tables: one file for each command.
mod control_state;
mod nodes;
mod routes;
mod upstreams;

pub(crate) use control_state::control_state;
pub(crate) use nodes::nodes;
pub(crate) use routes::routes;
pub(crate) use upstreams::upstreams;
