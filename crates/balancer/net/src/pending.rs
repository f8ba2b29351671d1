//! Bytes that wait for a stream to take them.
//!
//! Knows no message; what is queued is the caller's, and so is its bound.
use crate::registry::{Interest, Watched};
use std::io::{self, Write};
use std::net::TcpStream;

/// Write as much of `pending` as the stream takes now, and watch the stream accordingly: for reading alone once all is written,
/// for both while something is left.
///
/// # Errors
/// What the stream returns; that it is not connected yet, or can take no more now, is none.
pub fn write_pending(stream: &mut Watched<TcpStream>, pending: &mut Vec<u8>) -> io::Result<()> {
    while !pending.is_empty() {
        match stream.get().write(pending) {
            Ok(written) => drop(pending.drain(..written)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                return stream.set(Interest::Both)
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    stream.set(Interest::Read)
}
