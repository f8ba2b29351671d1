//! The encoding of the forwarding headers between sidecars.
use crate::forwarding_headers::{
    decode, encode, ForwardingHeaders, GateStatus, ENCODING_VERSION, MAX_ENCODED_LENGTH,
};
use silvercross_time::Duration;

fn retry_query() -> ForwardingHeaders {
    ForwardingHeaders {
        version: ENCODING_VERSION,
        service: "quotes".into(),
        is_retry: true,
        priority: 3,
        is_idempotent: false,
        latency_target: Duration::from_micros(-5),
        replay_key: u64::MAX,
        is_query: true,
    }
}

#[test]
fn encoded_values_are_decoded_unchanged_and_garbage_is_rejected() {
    let headers = retry_query();
    assert_eq!(decode(&encode(&headers)), Some(headers));
    for status in [
        GateStatus::Unavailable,
        GateStatus::Overloaded(Duration::from_micros(7)),
        GateStatus::Draining,
        GateStatus::MayHaveRun,
        GateStatus::NeverReceived,
    ] {
        assert_eq!(decode(&encode(&status)), Some(status));
    }
    for text in ["", "0", "zz", "ffffffffffffffff", "é0", &"0".repeat(MAX_ENCODED_LENGTH + 2)] {
        assert_eq!(decode::<ForwardingHeaders>(text), None, "{text}");
    }
}

/// Compatibility with earlier versions: the order of fields, and times as integer microseconds.
#[test]
fn encoded_bytes_are_those_of_earlier_versions() {
    let first = ForwardingHeaders {
        version: ENCODING_VERSION,
        service: String::new(),
        is_retry: false,
        priority: 0,
        is_idempotent: true,
        latency_target: Duration::from_micros(1_234_567),
        replay_key: 0,
        is_query: false,
    };
    assert_eq!(encode(&first), "0200000400010287d61200060000");
    assert_eq!(encode(&retry_query()), "020671756f7465730104030000fbffffffffffffff00ffffffffffffffff01");
    for (status, bytes) in [
        (GateStatus::Unavailable, "00"),
        (GateStatus::Overloaded(Duration::from_micros(7)), "010607"),
        (GateStatus::Overloaded(Duration::from_millis(250)), "010290d00300"),
        (GateStatus::Draining, "02"),
        (GateStatus::MayHaveRun, "03"),
        (GateStatus::NeverReceived, "04"),
    ] {
        assert_eq!(encode(&status), bytes, "{status:?}");
    }
}
