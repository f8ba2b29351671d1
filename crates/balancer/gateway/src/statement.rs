//! A gateway's statement of its offer, in one header line: on each response over the link, and on a call of its own while
//! the link is idle. A statement that can't be parsed completely is rejected.
use silvercross_core::interface::Micros;

/// The header of a statement.
pub const HEADER: &str = "X-Gateway-Offer";
/// Maximum bytes of the header's value.
const MAX_VALUE_BYTES: usize = 256;
/// Maximum slots of a statement.
pub const MAX_SLOTS: u32 = 100_000;
/// Maximum validity of a statement.
pub const MAX_VALIDITY: Micros = 10_000_000;

/// An offer of `slots` requests at a time, valid for `validity` from its receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The incarnation of the stating process: differs after each start.
    pub incarnation: u64,
    /// Sequence number of the statement within the incarnation.
    pub seq: u64,
    /// Maximum number of requests of the other site in flight.
    pub slots: u32,
    /// How long the offer is valid.
    pub validity: Micros,
}

impl Statement {
    /// The value of the header.
    pub fn value(&self) -> String {
        format!(
            "life={:x};seq={};slots={};for_ms={}",
            self.incarnation,
            self.seq,
            self.slots,
            self.validity / 1000
        )
    }

    /// Parses the value of the header. The error says what is wrong with it.
    pub fn read(value: &str) -> Result<Statement, &'static str> {
        if value.len() > MAX_VALUE_BYTES {
            return Err("too long");
        }
        let (mut incarnation, mut seq, mut slots, mut for_ms) = (None, None, None, None);
        for part in value.split(';') {
            let (key, text) = part.trim().split_once('=').ok_or("a field without '='")?;
            // Rust's integer parser accepts a sign, which is not allowed here.
            if !text.bytes().all(|b| b.is_ascii_alphanumeric()) {
                return Err("a value that is not a number");
            }
            let field = match key {
                "life" => &mut incarnation,
                "seq" => &mut seq,
                "slots" => &mut slots,
                "for_ms" => &mut for_ms,
                // A later version may have more fields.
                _ => continue,
            };
            let radix = if key == "life" { 16 } else { 10 };
            let number = u64::from_str_radix(text, radix).map_err(|_| "a value that is not a number")?;
            if field.replace(number).is_some() {
                return Err("a field that occurs twice");
            }
        }
        let (Some(incarnation), Some(seq), Some(slots), Some(for_ms)) = (incarnation, seq, slots, for_ms)
        else {
            return Err("a field is missing");
        };
        let slots = u32::try_from(slots).ok().filter(|s| *s <= MAX_SLOTS).ok_or("too many slots")?;
        let validity = Micros::try_from(for_ms).ok().and_then(|m| m.checked_mul(1000));
        let validity = validity.filter(|h| *h <= MAX_VALIDITY).ok_or("a validity that is too long")?;
        Ok(Statement { incarnation, seq, slots, validity })
    }
}
