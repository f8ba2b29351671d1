//! What the system still has to send on a connection. A close with such bytes is safe only while nothing is received on the closed
//! connection: the system answers that with a reset and drops them.
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use std::os::fd::AsFd;

/// Unsent bytes below which a socket counts as writable: with this limit it does only once there are none.
const UNSENT_LIMIT_BYTES: u32 = 1;

/// Whether nothing that was written to a TCP socket waits to be sent, for instance until its reader makes room. Also `true` if
/// that can't be told. To be asked before the write side is shut down, and only of a socket that is written to no more: the limit
/// that is set for it would make further writes slow.
pub fn is_empty(socket: &impl AsFd) -> bool {
    let socket = socket.as_fd();
    if SockRef::from(&socket).set_tcp_notsent_lowat(UNSENT_LIMIT_BYTES).is_err() {
        return true;
    }
    let mut polled = [PollFd::from_borrowed_fd(socket, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    !matches!(poll(&mut polled, Some(&at_once)), Ok(0))
}
