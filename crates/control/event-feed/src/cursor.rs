//! How far a reader has been told: a place for each key, written compactly as text that goes into a URL.
use crate::{hash, Place};
use std::collections::BTreeMap;
use std::fmt;

/// The form of what is written. Another one is refused.
const FORM: u8 = 1;
/// No cursor has more keys.
pub const MOST_KEYS: usize = 65_536;
/// No key is longer, in bytes.
const LONGEST_KEY: usize = 1024;
/// No cursor's text is longer, in bytes.
const LONGEST: usize = 8 << 20;

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// What was told last of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Up to where its history is told.
    pub place: Place,
    /// Of its state there.
    pub hash: u32,
    /// It has ended there: a node that no longer knows it has nothing to tell of it.
    pub ended: bool,
    /// The reader's filter left it out there.
    pub out: bool,
}

/// How far a reader has been told. Means the same at every node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// By key.
    pub marks: BTreeMap<String, Mark>,
}

/// A cursor's text that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable(&'static str);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the cursor can't be read: {} (begin without one, from a snapshot)", self.0)
    }
}

impl std::error::Error for Unreadable {}

fn put(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

struct Bytes<'b>(&'b [u8]);

impl Bytes<'_> {
    fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    fn number(&mut self) -> Option<u64> {
        let mut n = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            n |= u64::from(byte & 0x7f).checked_shl(shift)?;
            if byte < 0x80 {
                return Some(n);
            }
        }
        None
    }

    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }
}

impl Cursor {
    /// A cursor of one key.
    pub fn of(key: &str, mark: Mark) -> Self {
        Cursor { marks: BTreeMap::from([(key.to_string(), mark)]) }
    }

    /// Take over whatever the other is further in. Keys beyond the bound of 65,536 are left out.
    pub fn merge(&mut self, other: Cursor) {
        for (key, mark) in other.marks {
            let old = self.marks.get(&key);
            let room = old.is_some() || self.marks.len() < MOST_KEYS;
            if room && old.is_none_or(|old| old.place < mark.place) {
                self.marks.insert(key, mark);
            }
        }
    }

    /// As text: letters, digits, `-` and `_`.
    pub fn write(&self) -> String {
        let mut out = vec![FORM];
        put(&mut out, self.marks.len() as u64);
        let mut before = "";
        for (key, m) in &self.marks {
            let shared = before.bytes().zip(key.bytes()).take_while(|(a, b)| a == b).count();
            put(&mut out, shared as u64);
            put(&mut out, (key.len() - shared) as u64);
            out.extend_from_slice(&key.as_bytes()[shared..]);
            for n in [m.place.epoch, m.place.owner, m.place.version] {
                put(&mut out, n);
            }
            out.push(u8::from(m.place.mark) | u8::from(m.ended) << 1 | u8::from(m.out) << 2);
            out.extend_from_slice(&m.hash.to_le_bytes());
            before = key;
        }
        let sum = hash(&out);
        out.extend_from_slice(&sum.to_le_bytes());
        let mut text = String::with_capacity(out.len() * 4 / 3 + 4);
        for three in out.chunks(3) {
            let n = three.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
            for i in 0..=three.len() {
                text.push(char::from(LETTERS[(n >> (18 - 6 * i)) as usize & 63]));
            }
        }
        text
    }

    /// Read a cursor's text; whatever it is, the outcome is a value.
    pub fn read(text: &str) -> Result<Cursor, Unreadable> {
        if text.is_empty() {
            return Ok(Cursor::default());
        }
        if text.len() > LONGEST {
            return Err(Unreadable("it is too long"));
        }
        let mut bytes = Vec::with_capacity(text.len() * 3 / 4);
        for four in text.as_bytes().chunks(4) {
            let mut n = 0u32;
            for letter in four {
                let value =
                    LETTERS.iter().position(|l| l == letter).ok_or(Unreadable("a letter is foreign"))?;
                n = n << 6 | value as u32;
            }
            n <<= 6 * (4 - four.len());
            bytes.extend_from_slice(&n.to_be_bytes()[1..four.len()]);
        }
        let whole = bytes.len().checked_sub(4).ok_or(Unreadable("it is cut short"))?;
        let (body, sum) = bytes.split_at(whole);
        if sum != hash(body).to_le_bytes() {
            return Err(Unreadable("it is cut short or changed"));
        }
        let mut bytes = Bytes(body);
        if bytes.byte() != Some(FORM) {
            return Err(Unreadable("it is of another version"));
        }
        Self::entries(&mut bytes).ok_or(Unreadable("it does not hold together"))
    }

    fn entries(bytes: &mut Bytes) -> Option<Cursor> {
        let count = usize::try_from(bytes.number()?).ok().filter(|n| *n <= MOST_KEYS)?;
        let mut cursor = Cursor::default();
        let mut before: Vec<u8> = Vec::new();
        for _ in 0..count {
            let shared = usize::try_from(bytes.number()?).ok().filter(|n| *n <= before.len())?;
            let more = usize::try_from(bytes.number()?).ok().filter(|n| shared + *n <= LONGEST_KEY)?;
            before.truncate(shared);
            before.extend_from_slice(bytes.take(more)?);
            let key = String::from_utf8(before.clone()).ok()?;
            let (epoch, owner, version) = (bytes.number()?, bytes.number()?, bytes.number()?);
            let flags = bytes.byte()?;
            let place = Place { epoch, owner, version, mark: flags & 1 > 0 };
            let hash = u32::from_le_bytes(bytes.take(4)?.try_into().ok()?);
            cursor.marks.insert(key, Mark { place, hash, ended: flags & 2 > 0, out: flags & 4 > 0 });
        }
        bytes.0.is_empty().then_some(cursor)
    }
}
