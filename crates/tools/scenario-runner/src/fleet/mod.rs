//! Rehearsals of a fleet of processes: a script ([`script`]) played in simulated time on the deciding code alone ([`sim`]), or
//! with real processes and links of their own on loopback ([`sockets`]); schedules of faults drawn by seed and shrunk
//! ([`hunt`]). Both drivers write a history for the judge, `silvercross-history-checker`, and [`figures`] say what came of it.
pub mod commands;
pub mod figures;
pub mod hunt;
pub mod links;
pub mod relay;
pub mod script;
pub mod sim;
pub mod sockets;
pub mod stand_ins;

pub use figures::FleetFigures;
pub use script::FleetScript;
