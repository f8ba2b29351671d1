//! Real processes.
use super::{FleetFigures, FleetScript};
use crate::sockets::Program;
use slog::Logger;

/// Play a script on real processes.
pub fn play(_: &FleetScript, _: u64, _: &Program, _: &Logger) -> Result<FleetFigures, String> {
    Err("fleets are played in simulated time only so far".into())
}
