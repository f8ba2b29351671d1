//! What a check found: for people a sentence and the likely reason, for scripts a name.
use serde_json::{json, Value};

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Severity {
    /// Requests or operators' calls suffer, or will with one fault more.
    Bad,
    /// Good to know.
    Note,
}

/// What is not as it should be. Ordered by severity, then by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Finding {
    /// How bad it is.
    pub(crate) severity: Severity,
    /// A short name for scripts.
    pub(crate) name: &'static str,
    /// Node, zone, service or key.
    pub(crate) about: String,
    /// What is seen.
    pub(crate) seen: String,
    /// The likely reason, and what to do.
    pub(crate) likely: String,
}

/// What names a finding: two looks that find the same one may see it in other words.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FindingKey {
    name: &'static str,
    about: String,
}

impl Finding {
    /// A finding that is to be mended.
    pub(crate) fn bad(
        name: &'static str,
        about: impl Into<String>,
        seen: impl Into<String>,
        likely: &str,
    ) -> Self {
        let (about, seen, likely) = (about.into(), seen.into(), likely.to_string());
        Finding { severity: Severity::Bad, name, about, seen, likely }
    }

    /// A finding that is good to know.
    pub(crate) fn note(
        name: &'static str,
        about: impl Into<String>,
        seen: impl Into<String>,
        likely: &str,
    ) -> Self {
        Finding { severity: Severity::Note, ..Finding::bad(name, about, seen, likely) }
    }

    /// What names it.
    pub(crate) fn key(&self) -> FindingKey {
        FindingKey { name: self.name, about: self.about.clone() }
    }

    /// For scripts.
    pub(crate) fn json(&self) -> Value {
        let severity = if self.severity == Severity::Bad { "bad" } else { "note" };
        json!({ "weight": severity, "name": self.name, "about": self.about, "seen": self.seen, "likely": self.likely })
    }

    /// For people.
    pub(crate) fn text(&self) -> String {
        let mark = if self.severity == Severity::Bad { "!" } else { "-" };
        format!("{mark} {}: {}: {}\n    likely: {}", self.name, self.about, self.seen, self.likely)
    }
}
