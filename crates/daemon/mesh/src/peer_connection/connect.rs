//! Connects, with socket options that detect a peer that disappears without closing.
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// A connection to another machine is closed when written bytes stay unacknowledged for this long, since a network partition
/// causes no reset. The system counts bytes that the peer has no room for as well.
pub(crate) const MAX_UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects within `connect_timeout`. `from` is the address of this machine.
///
/// # Errors
/// Those of the system; `TimedOut` after the timeout.
pub(crate) async fn connect(
    from: Option<IpAddr>,
    to: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(from) = from.filter(|f| f.is_loopback()) {
        // On loopback the machines of a mesh are distinguished only by their addresses.
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = timeout(connect_timeout, socket.connect(to)).await.map_err(io::Error::from)??;
    set_liveness_options(&stream);
    Ok(stream)
}

/// Sets socket options that detect a peer that disappears without closing. Failures are ignored: the connection works
/// without them.
pub(crate) fn set_liveness_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    bound_unacknowledged(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// Closes the connection if written bytes stay unacknowledged for [`MAX_UNACKNOWLEDGED`].
pub(super) fn bound_unacknowledged(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED));
}

/// Lifts that bound: who reads a streamed body may be slow, or pass it on to somebody slow, and no partition separates this
/// process from the upstream on its machine. The deadline of the request bounds the wait.
pub(crate) fn allow_slow_reader(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(None);
}
