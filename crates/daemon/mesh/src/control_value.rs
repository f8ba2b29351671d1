//! Values of the control store (the configuration, whether a zone is evacuated, the state of a member's lapse) and the
//! changes that calls make to them.
//!
//! Both are stored and sent between nodes in bitcode: the order and types of variants and fields are the format.
//! Independent of nodes, calls and disks.
use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_mesh_config::{
    Configuration, ConfigurationChange, ConfigurationUpdate, ConfigurationWithMembers,
    VersionedConfiguration, MAX_MEMBER_LIST_BYTES,
};
use silvercross_mesh_membership::MAX_CONTROL_ENTRY_BYTES;
use silvercross_throttle::{LapseChange, LapseState, MemberListChange};

/// Key of the whole configuration: a single key, so that a call on many items is one change. Stored data.
pub(crate) const CONFIGURATION_KEY: &str = "configuration";
/// Upper bound of a delivered member list, in bytes: its items as sent and as parsed.
const MEMBER_LIST_BYTES_BOUND: usize = 3 * MAX_MEMBER_LIST_BYTES;
/// Prefix of the key of a zone's evacuation, before the zone's name. Stored data.
const EVACUATION_PREFIX: &str = "evacuation/";

/// The key of a zone's evacuation.
pub(crate) fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// The zone whose evacuation a key holds; `None` for any other key.
pub(crate) fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// The value of a key. Variants are only added at the end, so that older stored data keeps its encoding.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) enum ControlValue {
    /// Never written.
    #[default]
    Blank,
    /// All items, as long as no call has changed members.
    Configuration(Configuration),
    /// Whether the zone is evacuated: its upstreams get no further requests.
    Evacuation(bool),
    /// All items, including members.
    WithMembers(Box<ConfigurationWithMembers>),
    /// The state of a member's lapse.
    Lapse(LapseState),
    /// All items, and the history of superseded versions. Nodes get only the current items.
    Versioned(Box<VersionedConfiguration>),
}

/// A change of a key's value by a call.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ControlChange {
    /// Sets and withdraws items.
    Patch(ConfigurationChange),
    /// Starts or ends a zone's evacuation.
    Evacuate(bool),
    /// Sets and withdraws items, including members.
    Call(Box<ConfigurationUpdate>),
    /// Advances a member's lapse.
    Lapse(LapseChange),
}

impl ControlValue {
    /// The keys that exist because of this value: the lapse keys of members with a lapse time.
    pub(crate) fn named_keys(&self) -> Vec<String> {
        match self {
            ControlValue::WithMembers(whole) => {
                let lapsing = whole.member_list.members().filter(|member| member.lapse_time.is_some());
                lapsing.map(|member| silvercross_throttle::lapse_key(&member.name)).collect()
            }
            _ => Vec::new(),
        }
    }
}

impl ControlValue {
    /// Whether an order would reverse the one that this value holds.
    pub(crate) fn is_reversed_by(&self, change: &ControlChange) -> bool {
        matches!((self, change), (ControlValue::Evacuation(is), ControlChange::Evacuate(on)) if is != on)
    }
}

impl State for ControlValue {
    type Change = ControlChange;

    fn is_unversioned(change: &ControlChange) -> bool {
        matches!(change, ControlChange::Evacuate(_))
    }

    fn apply(&mut self, change: &ControlChange) -> Result<bool, Rejection> {
        match change {
            ControlChange::Patch(change) => {
                self.apply_items_if_deliverable(change, &MemberListChange::default())
            }
            ControlChange::Call(call) => self.apply_items_if_deliverable(&call.configuration, &call.members),
            ControlChange::Evacuate(on) => match self {
                ControlValue::Configuration(_)
                | ControlValue::WithMembers(_)
                | ControlValue::Versioned(_)
                | ControlValue::Lapse(_) => Err(wrong_kind()),
                ControlValue::Evacuation(was) if was == on => Ok(false),
                _ => {
                    *self = ControlValue::Evacuation(*on);
                    Ok(true)
                }
            },
            ControlChange::Lapse(change) => {
                let mut new = match self {
                    ControlValue::Blank => LapseState::default(),
                    ControlValue::Lapse(lapse) => lapse.clone(),
                    _ => return Err(wrong_kind()),
                };
                let changed = new.apply(change)?;
                if changed {
                    *self = ControlValue::Lapse(new);
                }
                Ok(changed)
            }
        }
    }
}

fn too_large(bytes: usize) -> Rejection {
    let reason = format!(
        "the configuration would take {bytes} bytes on every node, and {MAX_CONTROL_ENTRY_BYTES} at most are delivered \
         (withdraw items that are not used)"
    );
    Rejection { conflict: false, reason }
}

fn wrong_kind() -> Rejection {
    Rejection { conflict: false, reason: "the key holds something else".to_string() }
}

impl ControlValue {
    /// Sets and withdraws items, unless the result would be too large to be delivered to nodes. A configuration that is too
    /// large already, accepted by an older build, may only shrink.
    fn apply_items_if_deliverable(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<bool, Rejection> {
        if self.delivered_bytes_bound() + change.delivered_bytes_bound() <= MAX_CONTROL_ENTRY_BYTES {
            return self.apply_items(change, members);
        }
        let before = self.clone();
        let has_changed = self.apply_items(change, members)?;
        let bytes = self.delivered_bytes();
        if bytes > MAX_CONTROL_ENTRY_BYTES && bytes > before.delivered_bytes() {
            *self = before;
            return Err(too_large(bytes));
        }
        Ok(has_changed)
    }

    /// Upper bound of the bytes delivered to nodes.
    fn delivered_bytes_bound(&self) -> usize {
        let member_list_bound = |whole: &ConfigurationWithMembers| {
            if whole.member_list == Default::default() {
                0
            } else {
                MEMBER_LIST_BYTES_BOUND
            }
        };
        match self {
            ControlValue::Configuration(configuration) => configuration.delivered_bytes_bound(),
            ControlValue::WithMembers(whole) => {
                whole.configuration.delivered_bytes_bound() + member_list_bound(whole)
            }
            ControlValue::Versioned(versioned) => {
                let whole = &versioned.current;
                whole.configuration.delivered_bytes_bound() + member_list_bound(whole)
            }
            ControlValue::Blank | ControlValue::Evacuation(_) | ControlValue::Lapse(_) => 0,
        }
    }

    /// The bytes delivered to nodes.
    fn delivered_bytes(&self) -> usize {
        bitcode::encode(&self.clone().delivered()).len()
    }

    /// Sets and withdraws items. A richer variant is used only when needed: `Versioned` once a version was superseded,
    /// `WithMembers` once a call changed members.
    fn apply_items(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<bool, Rejection> {
        let before = std::mem::take(self);
        let was_blank = before == ControlValue::Blank;
        let had_members = matches!(before, ControlValue::WithMembers(_) | ControlValue::Versioned(_));
        let mut versioned = match before {
            ControlValue::Blank => VersionedConfiguration::default(),
            ControlValue::Configuration(configuration) => VersionedConfiguration {
                current: ConfigurationWithMembers { configuration, ..ConfigurationWithMembers::default() },
                ..VersionedConfiguration::default()
            },
            ControlValue::WithMembers(current) => {
                VersionedConfiguration { current: *current, ..VersionedConfiguration::default() }
            }
            ControlValue::Versioned(versioned) => *versioned,
            other => {
                *self = other;
                return Err(wrong_kind());
            }
        };
        let outcome = versioned.merge(change, members);
        let has_changed = outcome == Ok(true);
        *self = if !versioned.history.is_empty() {
            ControlValue::Versioned(Box::new(versioned))
        } else if was_blank && !has_changed {
            ControlValue::Blank
        } else if !had_members && (!has_changed || members.is_empty()) {
            ControlValue::Configuration(versioned.current.configuration)
        } else {
            ControlValue::WithMembers(Box::new(versioned.current))
        };
        outcome
    }

    /// The value as nodes and readers get it: the current items without the history.
    pub(crate) fn published(self) -> ControlValue {
        match self {
            ControlValue::Versioned(versioned) if versioned.current.member_list == Default::default() => {
                ControlValue::Configuration(versioned.current.configuration)
            }
            ControlValue::Versioned(versioned) => ControlValue::WithMembers(Box::new(versioned.current)),
            other => other,
        }
    }

    /// The value as sent down the relay tree: the current items without the raw JSON of routes, destinations and limits.
    /// Nodes use the parsed items, and the raw JSON is most of the bytes; operators' reads are served from the control
    /// store, which keeps it.
    pub(crate) fn delivered(self) -> ControlValue {
        let mut delivered = self.published();
        match &mut delivered {
            ControlValue::Configuration(configuration) => configuration.clear_raw_json(),
            ControlValue::WithMembers(whole) => whole.configuration.clear_raw_json(),
            _ => {}
        }
        delivered
    }
}

#[cfg(test)]
mod tests;
