//! Errors in a settings file, each with its key and how to fix it.
use std::fmt;
use std::path::PathBuf;

/// The environment variable that names the settings file.
pub(crate) const SETTINGS_FILE_VARIABLE: &str = "SILVERCROSS_NODE_FILE";

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SettingsError {
    /// The file can't be read.
    Unreadable { path: PathBuf, cause: String },
    /// The content of the file is invalid.
    InFile { path: PathBuf, fault: Box<SettingsError> },
    /// Not YAML, or a key that is missing or of the wrong type. `key` is empty if the error concerns no key.
    Malformed { key: String, cause: String },
    /// `internalPorts` is empty.
    NoPorts,
    /// `internalPorts` ends below its first port.
    PortsReversed { first: u16, last: u16 },
    /// `zone` is empty.
    NoZone,
    /// `heartbeatS` is out of range.
    HeartbeatOutOfRange { seconds: f64 },
    /// A key of `countersAt` that a sidecar needs is missing.
    MissingAddress { key: &'static str, machine_class: String },
    /// An entry of `bounds` without `=`.
    LimitWithoutValue { entry: String },
    /// An entry of `bounds` whose value is not a non-negative number.
    LimitNotANumber { entry: String },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { path, cause } => write!(
                f,
                "{}: {cause} (name a readable settings file in {SETTINGS_FILE_VARIABLE})",
                path.display()
            ),
            SettingsError::InFile { path, fault } => write!(f, "{}: {fault}", path.display()),
            SettingsError::Malformed { key, cause } if key.is_empty() => {
                write!(f, "{cause} (see docs/operators/mesh.md)")
            }
            SettingsError::Malformed { key, cause } => {
                write!(f, "{key}: {cause} (see docs/operators/mesh.md)")
            }
            SettingsError::NoPorts => {
                write!(f, "internalPorts: empty (give the first and the last free port)")
            }
            SettingsError::PortsReversed { first, last } => {
                write!(f, "internalPorts: {first} is above {last} (give the lower one first)")
            }
            SettingsError::NoZone => write!(f, "zone: empty (name the machine's zone)"),
            SettingsError::HeartbeatOutOfRange { seconds } => {
                write!(f, "heartbeatS: {seconds} is not between 0 and 3600 seconds")
            }
            SettingsError::MissingAddress { key, machine_class } => {
                write!(f, "countersAt.{key}: missing on a {machine_class} machine")
            }
            SettingsError::LimitWithoutValue { entry } => {
                write!(f, "bounds: {entry:?} has no = (write name=number)")
            }
            SettingsError::LimitNotANumber { entry } => {
                write!(f, "bounds: {entry:?} is not a non-negative number (write name=number)")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
