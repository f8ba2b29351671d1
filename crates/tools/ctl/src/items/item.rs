//! An item of the configuration, its place in a file, and what can be wrong with it.
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ItemKind {
    /// A service.
    Destination,
    /// What a client may send.
    Limits,
    /// Requests of a virtual host that begin with a path prefix.
    Route,
}

impl ItemKind {
    /// The operators' word for it.
    pub(crate) fn word(self) -> &'static str {
        match self {
            ItemKind::Destination => "destination",
            ItemKind::Limits => "limits",
            ItemKind::Route => "route",
        }
    }

    /// The keys that a file may give it.
    pub(crate) fn file_keys(self) -> &'static [&'static str] {
        match self {
            ItemKind::Destination => {
                &["health_path", "line_cap", "protocol", "sealed", "cold_s", "cold_rate_s", "edition"]
            }
            ItemKind::Limits => &["envelope_bytes", "content_bytes", "envelope_s", "idle_s", "edition"],
            ItemKind::Route => &[
                "depot",
                "lane",
                "kind",
                "deadline_s",
                "target_s",
                "priority",
                "attempts",
                "destination",
                "split",
                "delivery_regions",
                "edition",
            ],
        }
    }
}

/// The file's and the wire's key for a route's virtual host.
pub(crate) const VIRTUAL_HOST_KEY: &str = "depot";

/// A position in a file: line and column, from 1 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    /// The line.
    pub(crate) line: usize,
    /// The column, in characters.
    pub(crate) column: usize,
}

impl Position {
    /// The beginning of a file.
    pub(crate) const START: Position = Position { line: 1, column: 1 };

    /// The position of a byte of a text.
    pub(crate) fn of_byte(text: &str, at: usize) -> Self {
        let before = text.get(..at).unwrap_or(text);
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position { line: before.matches('\n').count() + 1, column: before[start..].chars().count() + 1 }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// An item that is to be in force, or a name that is to be withdrawn.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// What it is.
    pub(crate) kind: ItemKind,
    /// Its name.
    pub(crate) name: String,
    /// A route's virtual host (the file's and the wire's `depot`); empty for other kinds.
    pub(crate) virtual_host: String,
    /// Its fields by the mesh's names, without the version; `None`: it is to be withdrawn.
    pub(crate) fields: Option<Map<String, Value>>,
    /// Its version (the file's and the wire's `edition`), where one is given.
    pub(crate) version: Option<u64>,
    /// Where it stands in the file.
    pub(crate) position: Position,
    /// Where its fields stand, by the mesh's names.
    pub(crate) field_positions: BTreeMap<String, Position>,
}

impl Item {
    /// An item that is withdrawn.
    pub(crate) fn withdrawn(kind: ItemKind, name: String, version: Option<u64>, position: Position) -> Self {
        let (virtual_host, field_positions) = (String::new(), BTreeMap::new());
        Item { kind, name, virtual_host, fields: None, version, position, field_positions }
    }

    /// Where a field stands; where the item does, if the field is not given.
    pub(crate) fn position_of(&self, field: &str) -> Position {
        self.field_positions.get(field).copied().unwrap_or(self.position)
    }

    /// What names the item among all others.
    pub(crate) fn identity(&self) -> ItemIdentity {
        ItemIdentity { kind: self.kind, name: self.name.clone() }
    }
}

/// What names an item among all others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ItemIdentity {
    kind: ItemKind,
    name: String,
}

/// A fault of a file, with the mend.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ItemFault {
    /// Where.
    pub(crate) position: Position,
    /// What is wrong and, in brackets, the mend.
    pub(crate) reason: String,
}
