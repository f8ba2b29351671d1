//! What stands under a key of the control store: the configuration, whether a zone is evacuated, or how far a member's lapse has
//! come; and the changes that calls make of it.
//!
//! Both are stored and go between nodes in bitcode: the order and types of variants and fields are the format. Knows nothing of
//! nodes, calls or disks.
use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_mesh_config::{
    Configuration, ConfigurationChange, ConfigurationUpdate, ConfigurationWithMembers,
    VersionedConfiguration, MAX_MEMBER_LIST_BYTES,
};
use silvercross_mesh_membership::MAX_CONTROL_ENTRY_BYTES;
use silvercross_throttle::{LapseChange, LapseState, MemberListChange};

/// The key of the whole configuration: one key, so that a call over many items is one change. Stored data.
pub(crate) const CONFIGURATION_KEY: &str = "configuration";
/// What a list of members takes on nodes, at most: its items as sent, and as they are used.
const MEMBER_LIST_BYTES_BOUND: usize = 3 * MAX_MEMBER_LIST_BYTES;
/// Before a zone's name: the key of its evacuation. Stored data.
const EVACUATION_PREFIX: &str = "evacuation/";

/// The key of a zone's evacuation.
pub(crate) fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// The zone whose evacuation is under a key; `None`: the key is another one.
pub(crate) fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// The content of a key. What was there before members is encoded as it was: a form is only added at the end.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub(crate) enum ControlValue {
    /// Nothing was ever written.
    #[default]
    Blank,
    /// All items, as long as no call has said anything of members.
    Configuration(Configuration),
    /// Whether nothing more is to be sent to the zone's upstreams.
    Evacuation(bool),
    /// All items, members as well.
    WithMembers(Box<ConfigurationWithMembers>),
    /// How far a member's lapse has come.
    Lapse(LapseState),
    /// All items, and the versions that were taken before those that stand. Nodes get what stands alone.
    Versioned(Box<VersionedConfiguration>),
}

/// What a call changes under a key.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ControlChange {
    /// Items set and dropped.
    Patch(ConfigurationChange),
    /// A zone's evacuation begins or ends.
    Evacuate(bool),
    /// Items set and dropped, members among them.
    Call(Box<ConfigurationUpdate>),
    /// A member's lapse goes on.
    Lapse(LapseChange),
}

impl ControlValue {
    /// The keys that exist because of this content, besides those that always do: of members whose slowing has a date.
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

impl State for ControlValue {
    type Change = ControlChange;

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
    /// Sets and drops items, unless nodes could not be given what would stand then. One that is too large already, taken by an older
    /// build, may only shrink.
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

    /// The bytes that nodes are given, at most.
    fn delivered_bytes_bound(&self) -> usize {
        let of_members = |whole: &ConfigurationWithMembers| {
            if whole.member_list == Default::default() {
                0
            } else {
                MEMBER_LIST_BYTES_BOUND
            }
        };
        match self {
            ControlValue::Configuration(configuration) => configuration.delivered_bytes_bound(),
            ControlValue::WithMembers(whole) => {
                whole.configuration.delivered_bytes_bound() + of_members(whole)
            }
            ControlValue::Versioned(versioned) => {
                let whole = &versioned.current;
                whole.configuration.delivered_bytes_bound() + of_members(whole)
            }
            ControlValue::Blank | ControlValue::Evacuation(_) | ControlValue::Lapse(_) => 0,
        }
    }

    /// The bytes that nodes are given.
    fn delivered_bytes(&self) -> usize {
        bitcode::encode(&self.clone().delivered()).len()
    }

    /// Sets and drops items. A form that knows more is taken only when there is more to know: what was taken before once
    /// something was overtaken, members once a call said something of them.
    fn apply_items(
        &mut self,
        change: &ConfigurationChange,
        members: &MemberListChange,
    ) -> Result<bool, Rejection> {
        let before = std::mem::take(self);
        let was_blank = before == ControlValue::Blank;
        let knew_members = matches!(before, ControlValue::WithMembers(_) | ControlValue::Versioned(_));
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
        } else if !knew_members && (!has_changed || members.is_empty()) {
            ControlValue::Configuration(versioned.current.configuration)
        } else {
            ControlValue::WithMembers(Box::new(versioned.current))
        };
        outcome
    }

    /// What nodes and readers get: what stands, without what was taken before.
    pub(crate) fn published(self) -> ControlValue {
        match self {
            ControlValue::Versioned(tracked) if tracked.current.member_list == Default::default() => {
                ControlValue::Configuration(tracked.current.configuration)
            }
            ControlValue::Versioned(tracked) => ControlValue::WithMembers(Box::new(tracked.current)),
            other => other,
        }
    }

    /// What goes down the relay tree: what stands, without the text of routes, destinations and limits as it was sent. Nodes route by the
    /// items as parsed, and the text is most of the bytes; operators' reads are answered from the control store, which has it.
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
