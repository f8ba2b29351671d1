//! Compares the encoding of every datagram and exchange with recorded bytes, since members of different builds communicate.

use silvercross_swim::drains::Drain;
use silvercross_swim::identity::{Identity, Incarnation};
use silvercross_swim::table::{MemberRecord, State};
use silvercross_swim::updates::MembershipUpdate;
use silvercross_swim::wire::{Fleet, FullState, Message, Packet, Sender};
use std::fmt::Write;

/// One line per value: its name, then its bytes in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

fn add(lines: &mut String, name: &str, bytes: &[u8]) {
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("written to a string");
}

fn sender() -> Sender {
    Sender { id: Identity(7), incarnation: Incarnation(1 << 32), nonce: 1 << 50, number: 300 }
}

fn record(at: &str) -> MemberRecord {
    MemberRecord {
        id: Identity(8),
        incarnation: Incarnation(2 << 32),
        nonce: 9,
        born_ms: 1_700_000_000_000,
        moved: true,
        name: "sidecar-8".to_string(),
        zone: "zone-a".to_string(),
        at: at.parse().expect("an address"),
    }
}

fn drain() -> Drain {
    Drain { host: "upstream-1".to_string(), born_ms: 1_700_000_000_000, seq: 12 }
}

#[test]
fn datagrams_and_exchanges_match_the_recorded_bytes() {
    let fleet = Fleet::new("fleet-a", 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff);
    let v4 = "127.0.0.1:9001".parse().expect("an address");
    let v6 = "[::1]:9002".parse().expect("an address");
    let held = |state| Some((state, Incarnation(5)));
    let (to, probe, digest) = (Identity(8), 4, 1 << 60);
    let messages = [
        ("ping", Message::Ping { probe, to, at: v4, held: None, digest }),
        ("ping-held-suspect", Message::Ping { probe, to, at: v6, held: held(State::Suspect), digest }),
        ("ack", Message::Ack { probe, digest }),
        (
            "ping-req",
            Message::PingReq { probe, target: to, target_at: v6, at: v4, held: held(State::Failed) },
        ),
        ("nack", Message::Nack { probe }),
        ("gossip", Message::Gossip),
    ];
    let (id, incarnation, by) = (Identity(8), Incarnation(2 << 32), Identity(9));
    let updates = vec![
        MembershipUpdate::Alive(record("127.0.0.1:9001")),
        MembershipUpdate::Suspect { id, incarnation, by },
        MembershipUpdate::Confirm { id, incarnation, by },
        MembershipUpdate::Left { id, incarnation },
        MembershipUpdate::Drain(drain()),
    ];
    let mut lines = String::new();
    for (name, message) in messages {
        let updates = if matches!(message, Message::Gossip) { updates.clone() } else { Vec::new() };
        let packet = Packet { from: sender(), message, updates };
        let bytes = fleet.encode_packet(&packet);
        assert_eq!(fleet.decode_packet(&bytes), Ok(packet), "{name}");
        add(&mut lines, &format!("datagram/{name}"), &bytes);
    }
    let states = [State::Alive, State::Suspect, State::Failed, State::Left];
    let members = states.map(|state| (record("[::1]:9002"), state)).to_vec();
    let full_state = FullState { from: sender(), members, drains: vec![drain()] };
    let bytes = fleet.encode_exchange(&full_state);
    assert_eq!(fleet.decode_exchange(&bytes), Ok(full_state));
    add(&mut lines, "exchange", &bytes);
    let bytes = fleet.encode_batch(&(7u32, "said".to_string()));
    assert_eq!(fleet.decode_batch(&bytes), Ok((7u32, "said".to_string())));
    add(&mut lines, "batch", &bytes);
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
