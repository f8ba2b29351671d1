//! The text form of a cursor, for use in URLs. Readers store it, so a change of the format needs a new [`FORMAT_VERSION`].
//!
//! The text is unpadded base64url (RFC 4648, section 5) of the format version, the number of keys, an entry for each key in
//! ascending order, and a checksum of all this. An entry consists of the number of bytes that the key shares with the
//! previous one, the number of further bytes, these bytes, epoch, owner, version, a byte of flags and the state's hash.
//! Numbers are LEB128, hashes are little-endian.
use crate::cursor::{Cursor, Watermark, MAX_CURSOR_KEYS};
use crate::error::CursorError;
use crate::key::short_hash;
use crate::position::Position;

/// The format version that is written; others are rejected.
const FORMAT_VERSION: u8 = 1;
/// The longest key.
const MAX_KEY_BYTES: usize = 1024;
/// The longest text of a cursor.
const MAX_TEXT_BYTES: usize = 8 << 20;
/// The alphabet of base64url.
const BASE64_URL: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const AMENDED_FLAG: u8 = 1;
const ENDED_FLAG: u8 = 2;
const FILTERED_OUT_FLAG: u8 = 4;

fn append_leb128(output: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        output.push(number as u8 | 0x80);
        number >>= 7;
    }
    output.push(number as u8);
}

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let bits =
            chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for i in 0..=chunk.len() {
            text.push(char::from(BASE64_URL[(bits >> (18 - 6 * i)) as usize & 63]));
        }
    }
    text
}

fn decode_base64(text: &str) -> Result<Vec<u8>, CursorError> {
    let mut bytes = Vec::with_capacity(text.len() * 3 / 4);
    for chunk in text.as_bytes().chunks(4) {
        let mut bits = 0u32;
        for character in chunk {
            let value = BASE64_URL.iter().position(|known| known == character);
            bits = bits << 6 | value.ok_or(CursorError::BadCharacter)? as u32;
        }
        bits <<= 6 * (4 - chunk.len());
        bytes.extend_from_slice(&bits.to_be_bytes()[1..chunk.len()]);
    }
    Ok(bytes)
}

/// The remaining bytes of a cursor. Its functions return `None` if the bytes end too early or don't encode such a value.
struct Decoder<'b>(&'b [u8]);

impl Decoder<'_> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    fn leb128(&mut self) -> Option<u64> {
        let mut number = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            number |= u64::from(byte & 0x7f).checked_shl(shift)?;
            if byte < 0x80 {
                return Some(number);
            }
        }
        None
    }

    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }

    fn cursor(&mut self) -> Option<Cursor> {
        let count = usize::try_from(self.leb128()?).ok().filter(|n| *n <= MAX_CURSOR_KEYS)?;
        let mut cursor = Cursor::default();
        let mut key_bytes: Vec<u8> = Vec::new();
        for _ in 0..count {
            let shared_len = usize::try_from(self.leb128()?).ok().filter(|n| *n <= key_bytes.len())?;
            let suffix_len =
                usize::try_from(self.leb128()?).ok().filter(|n| shared_len + *n <= MAX_KEY_BYTES)?;
            key_bytes.truncate(shared_len);
            key_bytes.extend_from_slice(self.take(suffix_len)?);
            let key = String::from_utf8(key_bytes.clone()).ok()?;
            cursor.watermarks.insert(key, self.watermark()?);
        }
        self.0.is_empty().then_some(cursor)
    }

    fn watermark(&mut self) -> Option<Watermark> {
        let (epoch, owner, version) = (self.leb128()?, self.leb128()?, self.leb128()?);
        let flags = self.byte()?;
        let state_hash = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        let position = Position { epoch, owner, version, is_amended: flags & AMENDED_FLAG > 0 };
        let ended = flags & ENDED_FLAG > 0;
        Some(Watermark { position, state_hash, ended, is_filtered_out: flags & FILTERED_OUT_FLAG > 0 })
    }
}

fn flags(watermark: &Watermark) -> u8 {
    let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
    flag(watermark.position.is_amended, AMENDED_FLAG)
        | flag(watermark.ended, ENDED_FLAG)
        | flag(watermark.is_filtered_out, FILTERED_OUT_FLAG)
}

impl Cursor {
    /// Encodes the cursor as text: letters, digits, `-` and `_`.
    pub fn to_text(&self) -> String {
        let mut output = vec![FORMAT_VERSION];
        append_leb128(&mut output, self.watermarks.len() as u64);
        let mut previous_key = "";
        for (key, watermark) in &self.watermarks {
            let shared_len = previous_key.bytes().zip(key.bytes()).take_while(|(a, b)| a == b).count();
            append_leb128(&mut output, shared_len as u64);
            append_leb128(&mut output, (key.len() - shared_len) as u64);
            output.extend_from_slice(&key.as_bytes()[shared_len..]);
            let Position { epoch, owner, version, .. } = watermark.position;
            for number in [epoch, owner, version] {
                append_leb128(&mut output, number);
            }
            output.push(flags(watermark));
            output.extend_from_slice(&watermark.state_hash.to_le_bytes());
            previous_key = key;
        }
        let checksum = short_hash(&output);
        output.extend_from_slice(&checksum.to_le_bytes());
        encode_base64(&output)
    }

    /// Parses a cursor's text; an empty text is an empty cursor.
    ///
    /// # Errors
    /// What is wrong with a text that is not a valid cursor.
    pub fn parse(text: &str) -> Result<Cursor, CursorError> {
        if text.is_empty() {
            return Ok(Cursor::default());
        }
        if text.len() > MAX_TEXT_BYTES {
            return Err(CursorError::TooLong);
        }
        let bytes = decode_base64(text)?;
        let body_len = bytes.len().checked_sub(4).ok_or(CursorError::TooShort)?;
        let (body, checksum) = bytes.split_at(body_len);
        if checksum != short_hash(body).to_le_bytes() {
            return Err(CursorError::BadChecksum);
        }
        let mut decoder = Decoder(body);
        if decoder.byte() != Some(FORMAT_VERSION) {
            return Err(CursorError::UnknownFormat);
        }
        decoder.cursor().ok_or(CursorError::Malformed)
    }
}
