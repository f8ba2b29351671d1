//! The settings file of a process, and which settings can be reloaded while it runs.
//!
//! `node_settings.rs` holds the validated values, `file.rs` parses and validates the file, `error.rs` describes errors and how
//! to fix them, `watched_file.rs` detects changes of the file. The keys are a public interface and must not be renamed
//! (`docs/operators/mesh.md`).
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
