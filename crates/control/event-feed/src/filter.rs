//! Which events a reader wants.
use crate::event::EventContent;
use crate::key::key_kind;

/// Which events a reader wants; empty lists let everything through.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Kinds.
    pub kinds: Vec<String>,
    /// Services. What is about no service is left out.
    pub services: Vec<String>,
    /// Zones. What is about no zone is left out.
    pub zones: Vec<String>,
}

impl Filter {
    pub(crate) fn has_kind_of(&self, key: &str) -> bool {
        self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == key_kind(key))
    }

    /// Whether it looks at more than the kind: then a key can leave it.
    pub(crate) fn is_by_content(&self) -> bool {
        !self.services.is_empty() || !self.zones.is_empty()
    }

    pub(crate) fn has_content(&self, content: &EventContent) -> bool {
        let has = |list: &[String], one: &String| list.is_empty() || list.contains(one);
        has(&self.services, &content.service) && has(&self.zones, &content.zone)
    }
}
