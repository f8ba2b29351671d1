//! What an origin tells a gate of a request, and the status that a gate answers for itself: a header line each way between
//! two sidecars, encoded by `bitcode` and written in hexadecimal. A response may carry a third line, the gate's incarnation.
//!
//! Both structures are read by sidecars of other versions: the order and the types of their fields and variants stay, and
//! a change of them needs another [`ENCODING_VERSION`]. The names of the headers are in `wire/header_names.rs`.
use bitcode::{Decode, Encode};
use silvercross_time::Duration;
use std::fmt::Write;

/// The version of these structures. A request of another version is answered as not begun.
pub(crate) const ENCODING_VERSION: u8 = 2;
/// The `Host` of an attempt query. A request to it that can't be decoded is told no more than that the attempt may have
/// run.
pub(crate) const ATTEMPT_QUERY_HOST: &str = "gate";
/// An encoded value has no more characters than this.
pub(crate) const MAX_ENCODED_LENGTH: usize = 2048;

/// What a gate needs to know of a request.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct ForwardingHeaders {
    /// [`ENCODING_VERSION`].
    pub(crate) version: u8,
    /// The service it is for.
    pub(crate) service: String,
    /// It was sent to another upstream before.
    pub(crate) is_retry: bool,
    /// Its priority, 0 first.
    pub(crate) priority: u32,
    /// It may run more than once.
    pub(crate) is_idempotent: bool,
    /// Time left until its latency target; negative: past it.
    pub(crate) latency_target: Duration,
    /// Of a request that may run once: a number that no other attempt of any origin has; else 0.
    pub(crate) replay_key: u64,
    /// It asks what became of the attempt with this replay key; nothing is to be begun.
    pub(crate) is_query: bool,
}

/// A gate's own status for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum GateStatus {
    /// Nothing was written to the upstream and nothing will be: the upstream is not available here.
    Unavailable,
    /// Nothing was written and nothing will be: the upstream takes no more work now; retry after this long.
    Overloaded(Duration),
    /// Nothing was written and nothing will be: the upstream is draining, or its zone is evacuated.
    Draining,
    /// The request may have run.
    MayHaveRun,
    /// To a query: nothing of the attempt has come to this process, and it is rejected if it comes. Proves something only
    /// to an origin that knows that the request was written to this incarnation of the process.
    NeverReceived,
}

/// Encode a value for a header line.
pub(crate) fn encode<T: Encode>(value: &T) -> String {
    let bytes = bitcode::encode(value);
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing into a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Decode a value from a header line; `None`: it is not one.
pub(crate) fn decode<T: for<'a> Decode<'a>>(text: &str) -> Option<T> {
    if text.len() > MAX_ENCODED_LENGTH || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    bitcode::decode(&bytes?).ok()
}
