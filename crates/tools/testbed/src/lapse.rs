//! A member's trial lapses on a small mesh: every node's step is watched, replies are timed by node and second, and each order
//! is followed through all its attempts. Played in a calm mesh and while something breaks. Read on at [`LapsePlay`], then
//! `lapse/play.rs`.
mod clients;
mod disturbance;
mod model;
mod observation;
mod play;
mod plot;
mod spread;
mod statistics;

pub use model::{LapseOptions, LapsePlay};
pub use play::run;
