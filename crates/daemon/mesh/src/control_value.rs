//! What stands under a key of the ledger: the configuration, whether a zone is evacuated, or how far a member's lapse has come.
use bitcode::{Decode, Encode};
use silvercross_control_store::{Rejection, State};
use silvercross_mesh_config::{
    Configuration, ConfigurationChange, ConfigurationUpdate, ConfigurationWithMembers, VersionedConfiguration,
};
use silvercross_throttle::{LapseState, MemberListChange};

/// The key of the whole configuration: one key, so that a call over many items is one change.
pub const CONFIGURATION: &str = "configuration";
/// Before a zone's name: the key of its evacuation.
pub const EVACUATION: &str = "evacuation/";

/// The content of a key. What was there before members is encoded as it was: a form is only added at the end.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub enum ControlValue {
    /// Nothing was ever written.
    #[default]
    Blank,
    /// All items, as long as no call has said anything of members.
    Configuration(Configuration),
    /// Whether nothing more is to be sent to the zone's upstreams.
    Evacuation(bool),
    /// All items, members as well.
    Whole(Box<ConfigurationWithMembers>),
    /// How far a member's lapse has come.
    Lapse(LapseState),
    /// All items, and the versions that were taken before those that stand. Nodes get what stands alone.
    Tracked(Box<VersionedConfiguration>),
}

/// A call's change.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControlChange {
    /// Items set and dropped.
    Patch(ConfigurationChange),
    /// A zone's evacuation begins or ends.
    Evacuate(bool),
    /// Items set and dropped, members among them.
    Call(Box<ConfigurationUpdate>),
    /// A member's lapse goes on.
    Lapse(silvercross_throttle::LapseChange),
}

impl ControlValue {
    /// The keys that exist because of this content, besides those that always do: of members whose slowing has a date.
    pub fn names(&self) -> Vec<String> {
        match self {
            ControlValue::Whole(whole) => {
                let lapsing = whole.member_list.members().filter(|member| member.lapse_time.is_some());
                lapsing.map(|member| silvercross_throttle::lapse_key(&member.name)).collect()
            }
            _ => Vec::new(),
        }
    }
}

impl State for ControlValue {
    type Change = ControlChange;

    fn apply(&mut self, order: &ControlChange) -> Result<bool, Rejection> {
        match order {
            ControlChange::Patch(change) => self.take(change, &MemberListChange::default()),
            ControlChange::Call(call) => self.take(&call.configuration, &call.members),
            ControlChange::Evacuate(on) => match self {
                ControlValue::Configuration(_)
                | ControlValue::Whole(_)
                | ControlValue::Tracked(_)
                | ControlValue::Lapse(_) => Err(strange()),
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
                    _ => return Err(strange()),
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

fn strange() -> Rejection {
    Rejection { conflict: false, reason: "the key holds something else".to_string() }
}

impl ControlValue {
    /// Sets and drops items. A form that knows more is taken only when there is more to know: what was taken before once
    /// something was overtaken, members once a call said something of them.
    fn take(&mut self, change: &ConfigurationChange, members: &MemberListChange) -> Result<bool, Rejection> {
        let whole =
            |configuration| ConfigurationWithMembers { configuration, ..ConfigurationWithMembers::default() };
        let before = std::mem::take(self);
        let (form, mut tracked) = match before {
            ControlValue::Blank => (0, VersionedConfiguration::default()),
            ControlValue::Configuration(c) => {
                (1, VersionedConfiguration { current: whole(c), ..VersionedConfiguration::default() })
            }
            ControlValue::Whole(w) => {
                (2, VersionedConfiguration { current: *w, ..VersionedConfiguration::default() })
            }
            ControlValue::Tracked(tracked) => (3, *tracked),
            other => {
                *self = other;
                return Err(strange());
            }
        };
        let outcome = tracked.take(change, members);
        let changed = outcome == Ok(true);
        *self = match form {
            _ if !tracked.history.is_empty() => ControlValue::Tracked(Box::new(tracked)),
            0 if !changed => ControlValue::Blank,
            0 | 1 if !changed || members.is_empty() => {
                ControlValue::Configuration(tracked.current.configuration)
            }
            _ => ControlValue::Whole(Box::new(tracked.current)),
        };
        outcome
    }

    /// What nodes and readers get: what stands, without what was taken before.
    pub fn published(self) -> ControlValue {
        match self {
            ControlValue::Tracked(tracked) if tracked.current.member_list == Default::default() => {
                ControlValue::Configuration(tracked.current.configuration)
            }
            ControlValue::Tracked(tracked) => ControlValue::Whole(Box::new(tracked.current)),
            other => other,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use silvercross_control_store::StoredKey;

    #[test]
    fn a_key_takes_only_what_it_holds() {
        let mut zone = ControlValue::Blank;
        assert_eq!(zone.apply(&ControlChange::Evacuate(true)), Ok(true));
        assert_eq!(zone.apply(&ControlChange::Evacuate(true)), Ok(false));
        let patch = silvercross_mesh_config::parse_change(b"{}").expect("well-formed");
        assert!(zone.apply(&ControlChange::Patch(patch)).is_err());
        assert!(zone
            .apply(&ControlChange::Lapse(silvercross_throttle::LapseChange::Begin { version: 1 }))
            .is_err());
        assert!(zone.apply(&ControlChange::Call(Box::default())).is_err());
        assert_eq!(zone, ControlValue::Evacuation(true));
    }

    /// Orders for a zone carry no version: one that comes again while it holds changes nothing, and one that comes after its
    /// opposite is a new one, for nothing tells it from a late one.
    #[test]
    fn an_evacuation_again_is_acknowledged_and_the_last_order_holds() {
        let mut zone = ControlValue::Blank;
        for (on, changed) in [(true, true), (true, false), (false, true), (false, false), (true, true)] {
            assert_eq!(zone.apply(&ControlChange::Evacuate(on)), Ok(changed));
            assert_eq!(zone, ControlValue::Evacuation(on));
        }
    }

    /// Disks that were written before there were members are read, and without members nothing is written differently.
    #[test]
    fn without_members_disk_and_links_hold_the_bytes_they_held_before_there_were_any() {
        let patch = br#"{"withdraw":{"routes":[{"name":"r","edition":2}]}}"#;
        let patch = silvercross_mesh_config::parse_change(patch).expect("well-formed");
        let mut page = ControlValue::Blank;
        page.apply(&ControlChange::Patch(patch.clone())).expect("valid");
        let before: [(ControlValue, &[u8]); 3] = [
            (ControlValue::Blank, &[1, 107, 6, 0, 4, 0, 6, 0, 4, 0, 6, 0, 0]),
            (ControlValue::Evacuation(true), &[1, 107, 6, 0, 4, 0, 6, 0, 4, 0, 6, 0, 2, 1]),
            (page, &[1, 107, 6, 0, 4, 0, 6, 0, 4, 0, 6, 0, 1, 1, 1, 114, 1, 6, 2, 6, 1, 0, 0, 6, 1]),
        ];
        for (page, bytes) in before {
            let (promised, accepted) = Default::default();
            let stored = StoredKey { key: "k".to_string(), promised, accepted, value: page };
            assert_eq!(bitcode::encode(&stored), bytes, "{:?}", stored.value);
            assert_eq!(bitcode::decode::<StoredKey<ControlValue>>(bytes).ok(), Some(stored));
        }
        assert_eq!(bitcode::encode(&ControlChange::Evacuate(true)), [1, 1]);
        assert_eq!(bitcode::encode(&ControlChange::Patch(patch)), [0, 1, 1, 114, 1, 6, 2, 6, 0, 0, 0]);
    }

    /// What was overtaken is kept where the key is, and nobody else gets it.
    #[test]
    fn nodes_get_what_stands_alone() {
        let patch = |body: &str| {
            ControlChange::Patch(silvercross_mesh_config::parse_change(body.as_bytes()).expect("well-formed"))
        };
        let at = |edition: u64, path: &str| {
            patch(&format!(
                r#"{{"deliver":{{"destinations":[{{"name":"d","healthPath":"{path}","edition":{edition}}}]}}}}"#
            ))
        };
        let mut control_value = ControlValue::Blank;
        assert_eq!(control_value.apply(&patch("{}")), Ok(false));
        assert_eq!(control_value, ControlValue::Blank);
        assert_eq!(control_value.apply(&at(1, "/a")), Ok(true));
        assert!(matches!(control_value, ControlValue::Configuration(_)));
        assert_eq!(control_value.apply(&at(2, "/b")), Ok(true));
        assert!(matches!(control_value, ControlValue::Tracked(_)));
        let mut plain = ControlValue::Blank;
        assert_eq!(plain.apply(&at(2, "/b")), Ok(true));
        assert_eq!(bitcode::encode(&control_value.clone().published()), bitcode::encode(&plain));
        // On disk it is one value.
        let mut again: ControlValue =
            bitcode::decode(&bitcode::encode(&control_value)).expect("as it was written");
        assert_eq!(again, control_value);
        assert_eq!(again.apply(&at(1, "/a")), Ok(false));
        assert!(again.apply(&at(1, "/c")).expect_err("another content").conflict);
        assert_eq!(again, control_value);
        // Members, sent later.
        let members = br#"{"deliver":{"members":[{"name":"ana","key":"k","plan":"full","edition":1}]}}"#;
        let members = silvercross_mesh_config::parse_update(members).expect("well-formed");
        assert_eq!(control_value.apply(&ControlChange::Call(Box::new(members))), Ok(true));
        assert!(matches!(control_value.published(), ControlValue::Whole(_)));
    }
}
