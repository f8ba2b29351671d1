//! The settings file that a machine hands its process, and what of it can change while the process runs.
//!
//! `node_settings.rs` holds the values as the rest of the process gets them, `file.rs` reads and checks them, `error.rs` says
//! what is wrong and how to mend it, `watched_file.rs` notices that the file has changed. Keys are the operators' and stay as
//! they are (`docs/operators/mesh.md`).
mod error;
mod file;
mod node_settings;
#[cfg(test)]
mod tests;
mod watched_file;

pub(crate) use error::{SettingsError, SETTINGS_FILE_VARIABLE};
#[cfg(test)]
pub(crate) use file::parse;
pub(crate) use file::read;
pub(crate) use node_settings::{NodeSettings, ReloadableSettings};
pub(crate) use watched_file::WatchedSettingsFile;
