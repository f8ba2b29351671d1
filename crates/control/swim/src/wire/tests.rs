// Unit tests, since one needs a private function: the encoder, for a packet with additional fields.
use super::*;

fn packet() -> Packet {
    Packet {
        from: Sender { id: Identity(7), incarnation: Incarnation(1 << 32), nonce: 9, number: 3 },
        message: Message::Ack { probe: 4, digest: 5 },
        updates: vec![MembershipUpdate::Left { id: Identity(8), incarnation: Incarnation(2) }],
    }
}

#[test]
fn encoded_packets_are_decoded_and_changed_bytes_are_rejected() {
    let fleet = Fleet::new("a", 1);
    let bytes = fleet.encode_packet(&packet());
    assert_eq!(fleet.decode_packet(&bytes), Ok(packet()));
    for n in 0..bytes.len() {
        assert!(fleet.decode_packet(&bytes[..n]).is_err(), "truncated to {n} bytes");
        for bit in 0..8 {
            let mut corrupt = bytes.clone();
            corrupt[n] ^= 1 << bit;
            assert!(fleet.decode_packet(&corrupt).is_err(), "byte {n} bit {bit}");
        }
    }
    assert_eq!(Fleet::new("b", 1).decode_packet(&bytes), Err(DecodeError::Foreign));
    assert_eq!(Fleet::new("a", 2).decode_packet(&bytes), Err(DecodeError::Foreign));
    let mut other = bytes.clone();
    other[3] = 2;
    assert_eq!(fleet.decode_packet(&other), Err(DecodeError::Version(2)));
    assert_eq!(
        fleet.decode_exchange(&bytes),
        Err(DecodeError::Corrupt),
        "a datagram is not accepted as an exchange"
    );
    assert!(fleet.decode_packet(&vec![0; MAX_DATAGRAM_BYTES + 1]).is_err());
}

#[test]
fn fields_appended_by_a_later_build_are_ignored() {
    let fleet = Fleet::new("a", 1);
    let bytes = fleet.encode(b'd', &(packet(), 77u64));
    assert_eq!(fleet.decode_packet(&bytes), Ok(packet()));
}
