//! Headers between sidecars: what an origin states of a request, and a gate's own status. Each is one header line,
//! encoded with `bitcode` and written in hexadecimal. A response may carry a third line, the gate's incarnation.
//!
//! Sidecars of other versions decode both types. The order and the types of their fields and variants must not change
//! without a new [`ENCODING_VERSION`]. The header names are in `wire/header_names.rs`.
use bitcode::{Decode, Encode};
use silvercross_time::Duration;
use std::fmt::Write;

/// The version of the encoding. A request of another version is answered as not begun.
pub(crate) const ENCODING_VERSION: u8 = 2;
/// The `Host` of an attempt query. If a request to this host can't be decoded, the answer is only that the attempt
/// may have run.
pub(crate) const ATTEMPT_QUERY_HOST: &str = "gate";
/// Maximum number of characters of an encoded value.
pub(crate) const MAX_ENCODED_LENGTH: usize = 2048;

/// What an origin states of a request.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct ForwardingHeaders {
    /// [`ENCODING_VERSION`].
    pub(crate) version: u8,
    /// The service that the request is for.
    pub(crate) service: String,
    /// Whether the request was sent to another upstream before.
    pub(crate) is_retry: bool,
    /// The priority; 0 is the highest.
    pub(crate) priority: u32,
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Time left until the latency target; negative if that has passed.
    pub(crate) latency_target: Duration,
    /// For non-idempotent requests a number that no other attempt of any origin has; else 0.
    pub(crate) replay_key: u64,
    /// Whether this is a query for the outcome of the attempt with this replay key, which begins nothing.
    pub(crate) is_query: bool,
}

/// A gate's own status for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum GateStatus {
    /// Nothing was written to the upstream and nothing will be: the upstream is not available here.
    Unavailable,
    /// Nothing was written and nothing will be: the upstream accepts no more requests now. Retry after this long.
    Overloaded(Duration),
    /// Nothing was written and nothing will be: the upstream is draining, or its zone is evacuated.
    Draining,
    /// The request may have run.
    MayHaveRun,
    /// Answer to a query: this process has not received the attempt, and will reject it if it arrives. This is proof
    /// only for an origin that knows that the request was written to this incarnation of the process.
    NeverReceived,
}

/// Encodes a value for a header line.
pub(crate) fn encode<T: Encode>(value: &T) -> String {
    let bytes = bitcode::encode(value);
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing into a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Decodes a value from a header line; `None` if it is not valid.
pub(crate) fn decode<T: for<'a> Decode<'a>>(text: &str) -> Option<T> {
    if text.len() > MAX_ENCODED_LENGTH || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    bitcode::decode(&bytes?).ok()
}
