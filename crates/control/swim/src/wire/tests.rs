// Beside the source since a test needs a private item: the encoder of a packet with further fields.
use super::*;

fn packet() -> Packet {
    Packet {
        from: Sender { id: Identity(7), incarnation: Incarnation(1 << 32), nonce: 9, number: 3 },
        message: Message::Ack { probe: 4, digest: 5 },
        updates: vec![MembershipUpdate::Left { id: Identity(8), incarnation: Incarnation(2) }],
    }
}

#[test]
fn what_is_written_is_read_and_nothing_else() {
    let fleet = Fleet::new("a", 1);
    let bytes = fleet.encode_packet(&packet());
    assert_eq!(fleet.decode_packet(&bytes), Ok(packet()));
    for n in 0..bytes.len() {
        assert!(fleet.decode_packet(&bytes[..n]).is_err(), "cut at {n}");
        for bit in 0..8 {
            let mut spoilt = bytes.clone();
            spoilt[n] ^= 1 << bit;
            assert!(fleet.decode_packet(&spoilt).is_err(), "byte {n} bit {bit}");
        }
    }
    assert_eq!(Fleet::new("b", 1).decode_packet(&bytes), Err(DecodeError::Foreign));
    assert_eq!(Fleet::new("a", 2).decode_packet(&bytes), Err(DecodeError::Foreign));
    let mut other = bytes.clone();
    other[3] = 2;
    assert_eq!(fleet.decode_packet(&other), Err(DecodeError::Version(2)));
    assert_eq!(fleet.decode_exchange(&bytes), Err(DecodeError::Corrupt), "a datagram is no exchange");
    assert!(fleet.decode_packet(&vec![0; MAX_DATAGRAM_BYTES + 1]).is_err());
}

#[test]
fn what_a_later_version_adds_is_passed_over() {
    let fleet = Fleet::new("a", 1);
    let bytes = fleet.encode(b'd', &(packet(), 77u64));
    assert_eq!(fleet.decode_packet(&bytes), Ok(packet()));
}
