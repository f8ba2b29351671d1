//! The encoding of allowances, counts, their changes and answers, held to fixed bytes.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::State;
use silvercross_quota::{read, Answer, Book, Change, Count, Kind, Mark, Order, Part, Slip, Why};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

/// Adds the line of a value to `lines`, after reading the value back from its encoding.
fn add<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("a string grows");
}

const CALL: &[u8] = br#"{
    "deliver": {"allowances": [
        {"name": "w", "edition": 3, "windowS": 604800, "orderHeader": "X-Order", "away": "refuse", "kinds": [
            {"kind": "read", "amount": 1000, "spent": "slow"},
            {"kind": "confirmation", "amount": 50, "strict": true},
            {"kind": "upload", "amount": 9, "unitBytes": 65536}]},
        {"name": "v", "edition": 1, "windowS": 3600, "kinds": [{"kind": "read", "amount": 5}]}]},
    "withdraw": {"allowances": [{"name": "old", "edition": 4}]}
}"#;

fn order() -> Order {
    Order(0x0011_2233_4455_6677_8899_aabb_ccdd_eeff)
}

fn mark(number: u64) -> Mark {
    Mark { node: 0x7f00_0001, life: 1_700_000_000_000, number }
}

fn part() -> Part {
    Part { kind: Kind::Read, window: 2, amount: 100, slots: 8, fence: 4, lost: true }
}

#[test]
fn allowances_and_counts_are_encoded_as_they_always_were() {
    let change = read(CALL).expect("valid");
    let mut book = Book::default();
    assert_eq!(book.apply(&change), Ok(true));
    let allowance = book.get("w").expect("it stands").clone();
    let slip = Slip { order: order(), claim: mark(2), units: 3 };
    let changes = [
        ("allow", Change::Allow(allowance)),
        ("grant", Change::Grant { part: mark(1), kind: Kind::Read, want: 100, least: 1 }),
        ("settle", Change::Settle { part: mark(1), used: 5, orders: vec![slip] }),
        ("charge", Change::Charge { order: Order(7), claim: mark(3), kind: Kind::Upload, units: 2 }),
        ("give-back", Change::GiveBack { order: Order(7), claim: mark(3) }),
        ("elapsed", Change::Elapsed { window: 0, us: 60_000_000 }),
        ("turn", Change::Turn { window: 0 }),
        ("reclaim", Change::Reclaim { part: mark(1) }),
        ("withdraw", Change::Withdraw { edition: 9 }),
    ];
    let mut lines = String::new();
    add(&mut lines, "book-change", change);
    add(&mut lines, "book", book);
    let mut count = Count::default();
    for (name, change) in changes {
        // Whether it is taken says the encoding of the count that follows.
        let _ = count.apply(&change);
        add(&mut lines, &format!("change/{name}"), change);
        add(&mut lines, &format!("count/after-{name}"), count.clone());
    }
    add(&mut lines, "answer/granted", Answer::Granted { part: part(), left: 12 });
    add(&mut lines, "answer/charged", Answer::Charged { repeat: true, window: 2, left: 300 });
    add(&mut lines, "answer/done", Answer::Done);
    for (i, why) in [
        Why::Spent,
        Why::Busy,
        Why::Near,
        Why::Full,
        Why::Unset,
        Why::Stale,
        Why::Invalid,
        Why::Away,
        Why::Crowded,
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("answer/no-{}", why.word());
        add(&mut lines, &name, Answer::No { why, window: 2, ends_in: 1_000_000, left: i as u64 });
    }
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
