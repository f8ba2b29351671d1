//! What a gateway states of its offer, in one header line: on each answer over the link, and on a call of its own while
//! nothing is asked. Whatever cannot be read in full is no statement.
use silvercross_core::interface::Micros;

/// The header that carries it.
pub const HEADER: &str = "X-Gateway-Offer";
/// The longest value that is read.
const LONGEST: usize = 256;
/// No offer is larger, and none holds for longer.
pub const MAX_SLOTS: u32 = 100_000;
/// See [`MOST_SLOTS`].
pub const MAX_VALIDITY: Micros = 10_000_000;

/// An offer: so many requests at a time, for so long from when it is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The life of the process that states it: another number after each start.
    pub incarnation: u64,
    /// Counts its statements.
    pub seq: u64,
    /// Requests of the other side that may be out at a time.
    pub slots: u32,
    /// For how long.
    pub validity: Micros,
}

impl Statement {
    /// As the header has it.
    pub fn value(&self) -> String {
        format!(
            "life={:x};seq={};slots={};for_ms={}",
            self.incarnation,
            self.seq,
            self.slots,
            self.validity / 1000
        )
    }

    /// Read the header's value. The error says what is wrong with it.
    pub fn read(value: &str) -> Result<Statement, &'static str> {
        if value.len() > LONGEST {
            return Err("too long");
        }
        let (mut incarnation, mut seq, mut slots, mut for_ms) = (None, None, None, None);
        for part in value.split(';') {
            let (key, text) = part.trim().split_once('=').ok_or("a part without '='")?;
            // Rust's integers take a sign in front; a figure here has digits only.
            if !text.bytes().all(|b| b.is_ascii_alphanumeric()) {
                return Err("a figure that is none");
            }
            let slot = match key {
                "life" => &mut incarnation,
                "seq" => &mut seq,
                "slots" => &mut slots,
                "for_ms" => &mut for_ms,
                // A later version may say more.
                _ => continue,
            };
            let radix = if key == "life" { 16 } else { 10 };
            let figure = u64::from_str_radix(text, radix).map_err(|_| "a figure that is none")?;
            if slot.replace(figure).is_some() {
                return Err("a figure that stands twice");
            }
        }
        let (Some(incarnation), Some(seq), Some(slots), Some(for_ms)) = (incarnation, seq, slots, for_ms)
        else {
            return Err("a figure is missing");
        };
        let slots = u32::try_from(slots).ok().filter(|s| *s <= MAX_SLOTS).ok_or("a huge offer")?;
        let validity = Micros::try_from(for_ms).ok().and_then(|m| m.checked_mul(1000));
        let validity = validity.filter(|h| *h <= MAX_VALIDITY).ok_or("an offer that holds for too long")?;
        Ok(Statement { incarnation, seq, slots, validity })
    }
}
