//! The text form of cursors.
use silvercross_event_feed::{Cursor, CursorError, Position, Watermark};

#[test]
fn parsing_never_panics_and_text_round_trips() {
    bolero::check!().with_type::<String>().with_iterations(5_000).for_each(|text| drop(Cursor::parse(text)));
    let mut cursor = Cursor::default();
    for n in 0..200u64 {
        let position = Position { epoch: n << 40, owner: 7, version: n, is_amended: n % 2 == 0 };
        let watermark =
            Watermark { position, state_hash: n as u32, ended: n % 3 == 0, is_filtered_out: n % 5 == 0 };
        cursor.merge(Cursor::for_key(&format!("node/10.0.0.{n}"), watermark));
    }
    let text = cursor.to_text();
    assert_eq!(Cursor::parse(&text), Ok(cursor));
    assert!(text.len() < 200 * 32, "{} bytes", text.len());
    for cut in [1, text.len() / 2, text.len() - 1] {
        assert!(Cursor::parse(&text[..cut]).is_err());
    }
}

/// Readers store these texts, and nodes of other versions parse them: a text from version 0.1.0 stays valid.
#[test]
fn the_format_is_unchanged_since_version_0_1_0() {
    let mut cursor = Cursor::default();
    let position = Position { epoch: 0, owner: 0, version: 300, is_amended: false };
    let item = Watermark { position, state_hash: 0x0102_0304, ended: true, is_filtered_out: false };
    cursor.merge(Cursor::for_key("item/route/a", item));
    let position = Position { epoch: 1 << 40, owner: 7, version: 3, is_amended: true };
    let node = Watermark { position, state_hash: 0xfeed_beef, ended: false, is_filtered_out: false };
    cursor.merge(Cursor::for_key("node/10.0.0.1", node));
    let position = Position { epoch: u64::MAX, owner: 0, version: 0, is_amended: false };
    let other = Watermark { position, state_hash: 0, ended: false, is_filtered_out: true };
    cursor.merge(Cursor::for_key("node/10.0.0.2", other));
    let text = "AQMADGl0ZW0vcm91dGUvYQAArAICBAMCAQANbm9kZS8xMC4wLjAuMYCAgICAIAcDAe--7f4MATL___________8BAAAEAAAAAK4WOQE";
    assert_eq!(cursor.to_text(), text);
    assert_eq!(Cursor::parse(text), Ok(cursor));
}

#[test]
fn an_error_says_what_is_wrong_with_the_text() {
    let text = Cursor::default().to_text();
    assert_eq!(Cursor::parse("a b"), Err(CursorError::BadCharacter));
    assert_eq!(Cursor::parse("AAA"), Err(CursorError::TooShort));
    assert_eq!(Cursor::parse(&text.replace("AQ", "AB")), Err(CursorError::BadChecksum));
    assert_eq!(Cursor::parse(&"A".repeat((8 << 20) + 1)), Err(CursorError::TooLong));
    // With matching checksums: format version 2, and a key that is counted but missing.
    assert_eq!(Cursor::parse("AgA4Ysi8"), Err(CursorError::UnknownFormat));
    assert_eq!(Cursor::parse("AQFwrce8"), Err(CursorError::Malformed));
}
