//! Verifies the encoding of everything that daemons send to each other and store. Daemons of different builds
//! communicate, and each reads what an earlier build stored. Encodings of the inner messages are verified in
//! the packages that define them.
use super::super::frame::{encode_frame, Frame, PROTOCOL_VERSION};
use super::super::record::{RecordBody, UpstreamRecord};
use crate::control_value::{ControlChange, ControlValue};
use crate::disk::StoredDeparture;
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus};
use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::{Epoch, Message, Request, Revision, State, StoredKey};
use silvercross_mesh_config::{parse_change, parse_update};
use silvercross_mesh_membership::{MembershipMessage, NodeRecord, TreePosition};
use silvercross_throttle::{LapseChange, LapseState};
use silvercross_time::{Duration, Instant};
use std::fmt::{Debug, Write};

/// The expected encodings: each line has the name of a value and its bytes in hexadecimal.
const TABLE: &str = include_str!("../../../tests/data/wire.hex");

/// A patch with a destination and a route, a patch with a later version of the destination, and a member
/// list.
const PATCH: &[u8] = include_bytes!("../../../tests/data/patch.json");
const LATER_PATCH: &[u8] = include_bytes!("../../../tests/data/later.json");
const MEMBERS: &[u8] = include_bytes!("../../../tests/data/members.json");

fn add_bytes(lines: &mut String, name: &str, bytes: &[u8]) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("writing to a string");
}

/// Appends the line of a value, after verifying that decoding its encoding returns an equal value.
fn add<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    add_bytes(lines, name, &bytes);
}

fn epoch() -> Epoch {
    Epoch { round: 300, owner: 0x7f00_0001 }
}

fn revision() -> Revision {
    Revision { epoch: epoch(), sequence: 70_000 }
}

fn body() -> RecordBody {
    let upstream = UpstreamRecord {
        id: "life-1".to_string(),
        service: "bakery".to_string(),
        slots: 8,
        draining: true,
        silent: false,
        warm_ups: 2,
        warm_up_left: Duration::from_micros(1_500_000),
    };
    RecordBody {
        inbound_port: 9_004,
        control_port: 9_000,
        stopping: true,
        replica_set: vec![1, 0x7f00_0001],
        upstream: Some(upstream),
    }
}

fn changes() -> Vec<(&'static str, ControlChange)> {
    vec![
        ("patch", ControlChange::Patch(parse_change(PATCH).expect("valid"))),
        ("evacuate", ControlChange::Evacuate(true)),
        ("call", ControlChange::Call(Box::new(parse_update(MEMBERS).expect("valid")))),
        ("lapse", ControlChange::Lapse(LapseChange::Step { version: 2, to: 4 })),
    ]
}

fn values() -> Vec<(&'static str, ControlValue)> {
    let mut configuration = ControlValue::Blank;
    assert_eq!(configuration.apply(&ControlChange::Patch(parse_change(PATCH).expect("valid"))), Ok(true));
    let mut whole = configuration.clone();
    let members = ControlChange::Call(Box::new(parse_update(MEMBERS).expect("valid")));
    assert_eq!(whole.apply(&members), Ok(true));
    assert!(matches!(whole, ControlValue::WithMembers(_)));
    let mut tracked = configuration.clone();
    assert_eq!(tracked.apply(&ControlChange::Patch(parse_change(LATER_PATCH).expect("valid"))), Ok(true));
    assert!(matches!(tracked, ControlValue::Versioned(_)));
    let lapse = LapseState {
        version: Some(2),
        due: Some(silvercross_throttle::UnixTime::from_micros(7)),
        begun: true,
        step: 3,
        total_steps: 6,
        renewals: 1,
    };
    vec![
        ("blank", ControlValue::Blank),
        ("configuration", configuration),
        ("evacuation", ControlValue::Evacuation(true)),
        ("whole", whole),
        ("lapse", ControlValue::Lapse(lapse)),
        ("tracked", tracked),
    ]
}

fn frames() -> Vec<(&'static str, Frame)> {
    let record = NodeRecord {
        node: silvercross_mesh_membership::Node(0x7f00_0001),
        incarnation: 1_700_000_000_000,
        sequence: 300,
        zone: "zone-a".to_string(),
        is_control: true,
        gone: false,
        body: body(),
    };
    let hello =
        MembershipMessage::Hello { record, digest: 5, known_items: 12, position: TreePosition::default() };
    let copy = Message::Append {
        key: "configuration".to_string(),
        epoch: epoch(),
        revision: revision(),
        base: revision(),
        changes: changes().into_iter().map(|(_, change)| change).collect(),
        more: false,
    };
    let key = || "evacuation/a".to_string();
    let request = Request::Change(ControlChange::Evacuate(false));
    let requested_at = Instant::from_micros(-5);
    let store = |message| Frame::ControlStore { replica_set_version: 4, message };
    vec![
        ("hello", Frame::Hello { version: PROTOCOL_VERSION, node: 0x7f00_0001 }),
        ("membership-hello", Frame::Membership(hello)),
        ("membership-sums", Frame::Membership(MembershipMessage::BucketDigests { digests: vec![1, 2] })),
        ("store-claim", store(Message::Claim { key: key(), epoch: epoch() })),
        ("store-copy", store(copy)),
        ("store-forward", store(Message::Forward { id: 5, key: key(), epoch: epoch(), request })),
        ("time", Frame::WallClockRequest { requested_at }),
        ("told", Frame::WallClockReply { requested_at, wall_micros: 1_700_000_000_000_000, stepped: true }),
    ]
}

#[test]
fn frames_and_stored_values_have_the_bytes_they_always_had() {
    let mut lines = String::new();
    for (name, frame) in frames() {
        let bytes = encode_frame(&frame);
        let again: Frame = bitcode::decode(&bytes[4..]).expect("a valid frame");
        assert_eq!(encode_frame(&again), bytes, "{name}");
        add_bytes(&mut lines, &format!("frame/{name}"), &bytes);
    }
    add(&mut lines, "body", body());
    add(
        &mut lines,
        "body/none",
        RecordBody { upstream: None, stopping: false, replica_set: Vec::new(), ..body() },
    );
    for (name, change) in changes() {
        add(&mut lines, &format!("change/{name}"), change);
    }
    for (name, value) in values() {
        add(&mut lines, &format!("value/{name}"), value.clone());
        let (promised, accepted) = (epoch(), revision());
        let stored = StoredKey { key: format!("key-{name}"), promised, accepted, value };
        add(&mut lines, &format!("disk/{name}"), stored);
    }
    let headers = ForwardingHeaders {
        version: forwarding_headers::ENCODING_VERSION,
        service: "bakery".to_string(),
        is_retry: true,
        priority: 3,
        is_idempotent: false,
        latency_target: silvercross_time::Duration::from_micros(-5),
        replay_key: 1 << 60,
        is_query: true,
    };
    // The header value is hexadecimal as well.
    writeln!(lines, "header/request {}", forwarding_headers::encode(&headers)).expect("a string grows");
    add(&mut lines, "request", headers);
    for (name, status) in [
        ("absent", GateStatus::Unavailable),
        ("full", GateStatus::Overloaded(silvercross_time::Duration::from_micros(1_500_000))),
        ("shut", GateStatus::Draining),
        ("begun", GateStatus::MayHaveRun),
        ("unseen", GateStatus::NeverReceived),
    ] {
        writeln!(lines, "header/{name} {}", forwarding_headers::encode(&status)).expect("a string grows");
        add(&mut lines, &format!("answer/{name}"), status);
    }
    let departure = StoredDeparture {
        id: "life-1".to_string(),
        sidecar: 0x7f00_0001,
        incarnation: 1_700_000_000_000,
        sequence: 300,
        has_ended: true,
    };
    add(&mut lines, "disk/departure", departure);
    assert!(lines == TABLE, "the encodings have changed. New encodings:\n{lines}");
}
