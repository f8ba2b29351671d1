//! What becomes of each name of a file.
use crate::items::Item;
use serde_json::Value;

/// A field that changes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FieldChange {
    /// The field, by the mesh's name.
    pub(crate) field: String,
    /// Its value in force.
    pub(crate) before: Value,
    /// Its value in the file.
    pub(crate) after: Value,
}

/// What becomes of a name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// It is in force as it is.
    Same,
    /// It is new.
    New,
    /// It changes in these fields; in none, where only its version is raised.
    Changed(Vec<FieldChange>),
    /// It is withdrawn.
    Withdrawn,
}

/// A name and what becomes of it.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// The item as the file has it.
    pub(crate) item: Item,
    /// What becomes of it.
    pub(crate) step: Step,
    /// The version it takes; that in force where nothing changes.
    pub(crate) version: u64,
    /// The version in force.
    pub(crate) version_before: Option<u64>,
}

/// A file against what is in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Name by name, as in the file.
    pub(crate) lines: Vec<Change>,
}

impl Plan {
    /// What changes.
    pub(crate) fn changes(&self) -> impl Iterator<Item = &Change> {
        self.lines.iter().filter(|change| change.step != Step::Same)
    }
}
