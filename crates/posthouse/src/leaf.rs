//! What stands under a key of the ledger: the configuration, or whether a zone is evacuated.
use bitcode::{Decode, Encode};
use silvercross_ledger::{Page, Refusal};
use silvercross_sorting::{Change, Configuration};

/// The key of the whole configuration: one key, so that a call over many items is one change.
pub const CONFIGURATION: &str = "configuration";
/// Before a zone's name: the key of its evacuation.
pub const EVACUATION: &str = "evacuation/";

/// The content of a key.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub enum Leaf {
    /// Nothing was ever written.
    #[default]
    Blank,
    /// All items.
    Configuration(Configuration),
    /// Whether nothing more is to be sent to the zone's upstreams.
    Evacuation(bool),
}

/// A call's change.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Order {
    /// Items set and dropped.
    Patch(Change),
    /// A zone's evacuation begins or ends.
    Evacuate(bool),
}

impl Page for Leaf {
    type Change = Order;

    fn apply(&mut self, order: &Order) -> Result<bool, Refusal> {
        let strange = || Refusal { conflict: false, reason: "the key holds something else".to_string() };
        match order {
            Order::Patch(change) => {
                let mut new = match self {
                    Leaf::Blank => Configuration::default(),
                    Leaf::Configuration(c) => c.clone(),
                    Leaf::Evacuation(_) => return Err(strange()),
                };
                let changed = new.apply(change)?;
                if changed {
                    *self = Leaf::Configuration(new);
                }
                Ok(changed)
            }
            Order::Evacuate(on) => match self {
                Leaf::Configuration(_) => Err(strange()),
                Leaf::Evacuation(was) if was == on => Ok(false),
                _ => {
                    *self = Leaf::Evacuation(*on);
                    Ok(true)
                }
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_takes_only_what_it_holds() {
        let mut zone = Leaf::Blank;
        assert_eq!(zone.apply(&Order::Evacuate(true)), Ok(true));
        assert_eq!(zone.apply(&Order::Evacuate(true)), Ok(false));
        let patch = silvercross_sorting::read_patch(b"{}").expect("well-formed");
        assert!(zone.apply(&Order::Patch(patch)).is_err());
        assert_eq!(zone, Leaf::Evacuation(true));
    }
}
