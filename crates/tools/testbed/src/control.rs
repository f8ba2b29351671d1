//! Control machines under the worst days, with the real program and load: a cut, a planned replacement that a second loss meets,
//! a restart after many changes. A plain checker goes by what operators and clients got. Read on at [`ControlPlay`], then
//! `control/plays.rs`.
mod model;
mod play;
mod plays;
mod reads;
mod writer;

pub use model::{ControlPlay, PlayExtent, PlayLoad, PlayResult};
pub use play::{play, run};
