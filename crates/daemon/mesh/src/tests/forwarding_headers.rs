//! What sidecars tell each other of a request, as it stands in header lines.
use crate::forwarding_headers::{read, write, ForwardingHeaders, GateStatus, MOST, VERSION};

#[test]
fn encoded_values_are_decoded_unchanged_and_garbage_is_rejected() {
    let bill = ForwardingHeaders {
        version: VERSION,
        service: "s".into(),
        further: true,
        priority: 3,
        repeatable: false,
        aim: -5,
        ticket: u64::MAX,
        asks: true,
    };
    assert_eq!(read(&write(&bill)), Some(bill));
    for word in
        [GateStatus::Absent, GateStatus::Full(7), GateStatus::Shut, GateStatus::Begun, GateStatus::Unseen]
    {
        assert_eq!(read(&write(&word)), Some(word));
    }
    for text in ["", "0", "zz", "ffffffffffffffff", "é0", &"0".repeat(MOST + 2)] {
        assert_eq!(read::<ForwardingHeaders>(text), None, "{text}");
    }
}
