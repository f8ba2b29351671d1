//! What an origin tells a gate of a request, and what a gate answers for itself: one header line each way on the hop between
//! two sidecars, by `bitcode`, in hexadecimal.
use bitcode::{Decode, Encode};

/// The form of these words; another one is answered as "not begun".
pub const VERSION: u8 = 2;
/// The `Host` of a question what became of an attempt; another program's request to it is told no more than that it may have run.
pub const ASKED: &str = "gate";
/// No longer than this in the line.
pub(crate) const MOST: usize = 2048;

/// What a gate is to know of a request.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ForwardingHeaders {
    /// [`VERSION`].
    pub version: u8,
    /// The service it is for.
    pub service: String,
    /// It was sent to another upstream before.
    pub further: bool,
    /// Its rank, 0 first.
    pub priority: u32,
    /// It may run more than once.
    pub repeatable: bool,
    /// Time left until its aim, in microseconds; negative: past it.
    pub aim: i64,
    /// Of one that may run once: its own among all attempts of all origins; else 0.
    pub ticket: u64,
    /// It is asked what became of the attempt with this ticket; nothing is to be begun.
    pub asks: bool,
}

/// A gate's own word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum GateStatus {
    /// Nothing was written to the upstream, and nothing will be: the station is not to be had here.
    Absent,
    /// The same: it takes no more work now; come back after so many microseconds.
    Full(i64),
    /// The same: it is to get no more.
    Shut,
    /// It may have run.
    Begun,
    /// To one that asks: nothing of it has come to this process, and it is turned away if it comes. Says something only to who
    /// knows that the request was written to this life of the process.
    Unseen,
}

/// As it stands in a header line.
pub fn write<T: Encode>(what: &T) -> String {
    bitcode::encode(what).iter().map(|b| format!("{b:02x}")).collect()
}

/// Back from a header line.
pub fn read<T: for<'a> Decode<'a>>(text: &str) -> Option<T> {
    if text.len() > MOST || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |i: usize| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    bitcode::decode(&bytes?).ok()
}
