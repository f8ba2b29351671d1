//! Connecting, with the system set to notice a peer that vanishes without closing.
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Written bytes that the other end has not acknowledged for this long end a connection: a network partition sends no
/// reset.
const MAX_UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// After this long without input the system probes whether the other end is still there, and again at this interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an acknowledgement that end a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Connect within `connect_timeout`. `from`: the address of this machine.
///
/// # Errors
/// Those of the system; `TimedOut` past the timeout.
pub(crate) async fn connect(
    from: Option<IpAddr>,
    to: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(from) = from.filter(|f| f.is_loopback()) {
        // On loopback the machines of a small mesh are told apart by their addresses alone.
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = timeout(connect_timeout, socket.connect(to)).await.map_err(io::Error::from)??;
    set_liveness_options(&stream);
    Ok(stream)
}

/// Have the system notice a peer that vanishes without closing. Failures are left alone: the connection still works.
pub(crate) fn set_liveness_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED));
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
