//! The text form of a cursor, which goes into a URL. Readers keep it, so a change of it is a new [`FORMAT_VERSION`].
//!
//! Unpadded base64url (RFC 4648, section 5) of: the format's version; the number of keys; for each key, in their order, how many
//! bytes it shares with the one before, how many follow, these, epoch, owner, version, a byte of flags and the state's hash; and
//! over all a check sum. Numbers are LEB128, hashes are little-endian.
use crate::cursor::{Cursor, Watermark, MAX_CURSOR_KEYS};
use crate::error::CursorError;
use crate::key::short_hash;
use crate::position::Position;

/// The format that is written. Another one is refused.
const FORMAT_VERSION: u8 = 1;
/// No key is longer.
const MAX_KEY_BYTES: usize = 1024;
/// No cursor's text is longer.
const MAX_TEXT_BYTES: usize = 8 << 20;
/// The alphabet of base64url.
const BASE64_URL: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const AMENDED_FLAG: u8 = 1;
const ENDED_FLAG: u8 = 2;
const FILTERED_OUT_FLAG: u8 = 4;

fn append_number(output: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        output.push(number as u8 | 0x80);
        number >>= 7;
    }
    output.push(number as u8);
}

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for three in bytes.chunks(3) {
        let bits =
            three.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for i in 0..=three.len() {
            text.push(char::from(BASE64_URL[(bits >> (18 - 6 * i)) as usize & 63]));
        }
    }
    text
}

fn decode_base64(text: &str) -> Result<Vec<u8>, CursorError> {
    let mut bytes = Vec::with_capacity(text.len() * 3 / 4);
    for four in text.as_bytes().chunks(4) {
        let mut bits = 0u32;
        for character in four {
            let value = BASE64_URL.iter().position(|known| known == character);
            bits = bits << 6 | value.ok_or(CursorError::BadCharacter)? as u32;
        }
        bits <<= 6 * (4 - four.len());
        bytes.extend_from_slice(&bits.to_be_bytes()[1..four.len()]);
    }
    Ok(bytes)
}

/// What is left of a cursor's bytes. `None` from its functions: they end too early, or hold no such thing.
struct Decoder<'b>(&'b [u8]);

impl Decoder<'_> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    fn number(&mut self) -> Option<u64> {
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
        let count = usize::try_from(self.number()?).ok().filter(|n| *n <= MAX_CURSOR_KEYS)?;
        let mut cursor = Cursor::default();
        let mut key_bytes: Vec<u8> = Vec::new();
        for _ in 0..count {
            let shared = usize::try_from(self.number()?).ok().filter(|n| *n <= key_bytes.len())?;
            let more = usize::try_from(self.number()?).ok().filter(|n| shared + *n <= MAX_KEY_BYTES)?;
            key_bytes.truncate(shared);
            key_bytes.extend_from_slice(self.take(more)?);
            let key = String::from_utf8(key_bytes.clone()).ok()?;
            cursor.watermarks.insert(key, self.watermark()?);
        }
        self.0.is_empty().then_some(cursor)
    }

    fn watermark(&mut self) -> Option<Watermark> {
        let (epoch, owner, version) = (self.number()?, self.number()?, self.number()?);
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
    /// As text: letters, digits, `-` and `_`.
    pub fn to_text(&self) -> String {
        let mut output = vec![FORMAT_VERSION];
        append_number(&mut output, self.watermarks.len() as u64);
        let mut key_before = "";
        for (key, watermark) in &self.watermarks {
            let shared = key_before.bytes().zip(key.bytes()).take_while(|(a, b)| a == b).count();
            append_number(&mut output, shared as u64);
            append_number(&mut output, (key.len() - shared) as u64);
            output.extend_from_slice(&key.as_bytes()[shared..]);
            let Position { epoch, owner, version, .. } = watermark.position;
            for number in [epoch, owner, version] {
                append_number(&mut output, number);
            }
            output.push(flags(watermark));
            output.extend_from_slice(&watermark.state_hash.to_le_bytes());
            key_before = key;
        }
        let checksum = short_hash(&output);
        output.extend_from_slice(&checksum.to_le_bytes());
        encode_base64(&output)
    }

    /// Read a cursor's text; an empty one is an empty cursor.
    ///
    /// # Errors
    /// For any text that [`Cursor::to_text`] does not write, what is wrong with it.
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
