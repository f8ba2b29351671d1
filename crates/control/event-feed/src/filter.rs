//! Filters of readers.
use crate::event::EventContent;
use crate::key::key_kind;

/// Which events a reader wants; an empty list matches everything.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Kinds of keys.
    pub kinds: Vec<String>,
    /// Services. If there are any, events without a service don't match.
    pub services: Vec<String>,
    /// Zones. If there are any, events without a zone don't match.
    pub zones: Vec<String>,
}

impl Filter {
    pub(crate) fn matches_kind_of(&self, key: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == key_kind(key))
    }

    /// Whether it checks more than the kind, so that a key can stop matching.
    pub(crate) fn checks_content(&self) -> bool {
        !self.services.is_empty() || !self.zones.is_empty()
    }

    pub(crate) fn matches_content(&self, content: &EventContent) -> bool {
        let matches = |list: &[String], value: &String| list.is_empty() || list.contains(value);
        matches(&self.services, &content.service) && matches(&self.zones, &content.zone)
    }
}
