//! Rules of items: when two contents are equal, which version wins, which tombstones are removed.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use silvercross_config_item::{
    canonical_json, forget_tombstones, insert_entry, newer_entries, newer_item, resulting_items,
    store_entries, Entries, Entry, Item, ItemError, ItemProblem, RouteKind, Tombstone, Versioned,
};

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct Number(u64);

impl Versioned for Number {
    fn version(&self) -> u64 {
        self.0
    }
}

fn item(version: u64, raw_json: &str) -> Entry<Number> {
    Entry::set(Number(version), raw_json.to_string())
}

fn entries(list: impl IntoIterator<Item = (&'static str, Entry<Number>)>) -> Entries<Number> {
    list.into_iter().map(|(name, entry)| (name.to_string(), entry)).collect()
}

/// Applies a call in the way that the packages defining kinds of items do.
fn merge(current: &mut Entries<Number>, sent: &Entries<Number>, withdrawals: &mut u64) -> Result<bool, u64> {
    let newer = newer_entries(current, sent, |_, version| Err(version))?;
    let is_changed = !newer.is_empty();
    store_entries(current, newer, withdrawals);
    Ok(is_changed)
}

#[test]
fn content_is_equal_in_any_notation() {
    assert_eq!(
        canonical_json(r#"{"b":[4.0,1e2],"a":null}"#),
        canonical_json(r#"{ "a": null, "b": [4, 100] }"#)
    );
    for (one, other) in
        [("4", "5"), ("[1,2]", "[2,1]"), ("0.1", "0.10000001"), ("9007199254740993", "9007199254740992.0")]
    {
        assert_ne!(canonical_json(one), canonical_json(other), "{one} and {other}");
    }
    assert_eq!(canonical_json("{"), None);
    assert_eq!(item(1, r#"{"a":1,"b":2}"#), item(1, r#"{"b":2.0,"a":1}"#));
    assert_ne!(item(1, r#"{"a":1}"#), item(1, r#"{"a":2}"#));
}

#[test]
fn the_highest_version_of_a_name_wins_and_a_withdrawn_item_does_not_come_back() {
    let (mut current, mut withdrawals) = (Entries::new(), 0);
    let mut apply = |entry: Entry<Number>| merge(&mut current, &entries([("a", entry)]), &mut withdrawals);
    assert_eq!(apply(item(2, "2")), Ok(true));
    assert_eq!(apply(item(2, "2.0")), Ok(false), "a repeat");
    assert_eq!(apply(item(2, "3")), Err(2), "same version, different content");
    assert_eq!(apply(item(1, "1")), Ok(false), "an older version");
    assert_eq!(apply(Entry::withdrawal(3)), Ok(true));
    assert_eq!(apply(item(2, "2")), Ok(false), "withdrawn");
    assert_eq!(apply(item(4, "4")), Ok(true));
    assert_eq!(current, entries([("a", item(4, "4"))]));
}

#[test]
fn an_item_without_a_name_is_merged_by_version() {
    let item = |version, raw_json: &str| Item { parsed: Number(version), raw_json: raw_json.to_string() };
    let (old, new, other) = (item(1, "1"), item(2, "2"), item(1, "3"));
    let newer = |current, sent| newer_item(current, sent, |version| version);
    assert_eq!(newer(None, Some(&old)), Ok(Some(&old)));
    assert_eq!(newer(Some(&old), None), Ok(None));
    assert_eq!(newer(Some(&old), Some(&new)), Ok(Some(&new)));
    assert_eq!(newer(Some(&new), Some(&old)), Ok(None));
    assert_eq!(newer(Some(&old), Some(&other)), Err(1));
}

#[test]
fn resulting_items_are_the_current_ones_with_newer_ones_replaced() {
    let current = entries([("a", item(1, "1")), ("b", item(1, "1")), ("c", Entry::withdrawal(1))]);
    let sent = entries([("a", Entry::withdrawal(2)), ("d", item(7, "7"))]);
    let newer = newer_entries(&current, &sent, |_, version| Err(version)).expect("no conflict");
    let versions: Vec<u64> = resulting_items(&current, &newer).map(|number| number.0).collect();
    assert_eq!(versions, [1, 7]);
}

#[test]
fn tombstones_are_removed_in_the_order_of_withdrawal() {
    let (mut current, mut withdrawals) = (Entries::new(), 0);
    for (name, version) in [("z", 5), ("a", 6), ("m", 7)] {
        let sent = entries([(name, Entry::withdrawal(version))]);
        assert_eq!(merge(&mut current, &sent, &mut withdrawals), Ok(true));
    }
    assert_eq!(withdrawals, 3);
    let forgotten = forget_tombstones(&mut current, 2);
    assert_eq!(forgotten, [Tombstone { name: "z".to_string(), version: 5 }]);
    assert_eq!(current.keys().collect::<Vec<_>>(), ["a", "m"]);
}

#[test]
fn one_call_may_set_and_withdraw_a_name_at_different_versions() {
    let insert = |list: [Entry<Number>; 2]| -> Result<Entries<Number>, ItemError<ItemProblem>> {
        let mut entries = BTreeMap::new();
        for entry in list {
            insert_entry(&mut entries, "a".to_string(), entry)?;
        }
        Ok(entries)
    };
    let problem = |list| insert(list).map_err(|error| *error.problem);
    assert_eq!(problem([item(1, "1"), Entry::withdrawal(2)]), Ok(entries([("a", Entry::withdrawal(2))])));
    assert_eq!(problem([Entry::withdrawal(2), item(1, "1")]), Ok(entries([("a", Entry::withdrawal(2))])));
    assert_eq!(problem([item(1, "1"), item(1, "1.0")]), Ok(entries([("a", item(1, "1"))])));
    assert_eq!(problem([item(1, "1"), item(2, "2")]), Err(ItemProblem::ConflictingContent));
    assert_eq!(problem([item(1, "1"), Entry::withdrawal(1)]), Err(ItemProblem::SetAndWithdrawn));
}

#[test]
fn an_error_names_item_and_key_and_a_fix() {
    let error: ItemError<ItemProblem> =
        ItemError::new("a", "name", ItemProblem::NameTooLong { max_bytes: 256 });
    assert_eq!(error.to_string(), "item a, key name: is above 256 bytes (give a shorter one)");
}

#[test]
fn route_kinds_are_parsed_from_their_names() {
    for kind in [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload] {
        assert_eq!(RouteKind::parse(kind.as_str()), Some(kind));
        assert_eq!(kind.is_idempotent(), kind == RouteKind::Safe);
    }
    assert_eq!(RouteKind::parse("Safe"), None);
}
