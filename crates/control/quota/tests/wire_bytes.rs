//! The encodings of allowances, quota states, changes and answers must match fixed bytes.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::State;
use silvercross_quota::{
    parse, AllowanceSet, Change, Lease, LeasedOrder, OperationId, OrderId, OwnerAnswer, QuotaState,
    RejectionReason, RequestKind,
};
use silvercross_time::Duration;
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const EXPECTED: &str = include_str!("data/wire.hex");

/// Appends the line of a value, after checking that its encoding decodes to the same value.
fn add_line<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("writing to a string succeeds");
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

fn order() -> OrderId {
    OrderId(0x0011_2233_4455_6677_8899_aabb_ccdd_eeff)
}

fn operation_id(number: u64) -> OperationId {
    OperationId { node: 0x7f00_0001, incarnation: 1_700_000_000_000, number }
}

fn lease() -> Lease {
    Lease { kind: RequestKind::Read, window: 2, amount: 100, max_orders: 8, change_number: 4, is_lost: true }
}

#[test]
fn encodings_match_fixed_bytes() {
    let change = parse(CALL).expect("valid");
    let mut set = AllowanceSet::default();
    assert_eq!(set.apply(&change), Ok(true));
    let allowance = set.get("w").expect("in force").clone();
    let leased = LeasedOrder { order: order(), attempt: operation_id(2), units: 3 };
    let changes = [
        ("allow", Change::SetAllowance(allowance)),
        (
            "grant",
            Change::GrantLease { lease: operation_id(1), kind: RequestKind::Read, wanted: 100, minimum: 1 },
        ),
        ("settle", Change::SettleLease { lease: operation_id(1), used: 5, orders: vec![leased] }),
        (
            "charge",
            Change::ChargeOrder {
                order: OrderId(7),
                attempt: operation_id(3),
                kind: RequestKind::Upload,
                units: 2,
            },
        ),
        ("give-back", Change::RefundOrder { order: OrderId(7), attempt: operation_id(3) }),
        ("elapsed", Change::RecordElapsed { window: 0, elapsed: Duration::from_secs(60) }),
        ("turn", Change::EndWindow { window: 0 }),
        ("reclaim", Change::ExpireLease { lease: operation_id(1) }),
        ("withdraw", Change::RemoveAllowance { version: 9 }),
    ];
    let mut lines = String::new();
    add_line(&mut lines, "book-change", change);
    add_line(&mut lines, "book", set);
    let mut state = QuotaState::default();
    for (name, change) in changes {
        // Whether the change was accepted shows in the encoding of the state.
        let _ = state.apply(&change);
        add_line(&mut lines, &format!("change/{name}"), change);
        add_line(&mut lines, &format!("count/after-{name}"), state.clone());
    }
    add_line(&mut lines, "answer/granted", OwnerAnswer::Granted { lease: lease(), free: 12 });
    add_line(&mut lines, "answer/charged", OwnerAnswer::Charged { is_repeat: true, window: 2, free: 300 });
    add_line(&mut lines, "answer/done", OwnerAnswer::Done);
    for (i, reason) in [
        RejectionReason::Exhausted,
        RejectionReason::LeasedElsewhere,
        RejectionReason::NearlyExhausted,
        RejectionReason::LimitReached,
        RejectionReason::NoQuota,
        RejectionReason::Superseded,
        RejectionReason::Invalid,
        RejectionReason::OwnerUnreachable,
        RejectionReason::Overloaded,
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("answer/no-{}", reason.wire_name());
        add_line(
            &mut lines,
            &name,
            OwnerAnswer::Rejected { reason, window: 2, ends_in: Duration::from_secs(1), free: i as u64 },
        );
    }
    assert!(lines == EXPECTED, "the encoding has changed; it is now:\n{lines}");
}
