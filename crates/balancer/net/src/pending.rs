//! Non-blocking writes of queued bytes. The caller owns the queue and bounds it.
use crate::registry::{Interest, Watched};
use std::io::{self, Write};
use std::net::TcpStream;

/// Writes as much of `pending` as the stream accepts now and sets the stream's interest: reading alone once everything is
/// written, reading and writing otherwise.
///
/// # Errors
/// Any error of the stream, except that it is not connected yet or would block.
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
