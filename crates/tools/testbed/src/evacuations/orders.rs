//! Orders of an operator for a zone.
use crate::http_connection::HttpConnection;
use crate::testbed::Testbed;
use anyhow::{bail, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A control machine is connected to within this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// An order is acknowledged by some control machine within this.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Between two calls of an order that was not acknowledged.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Start or end the evacuation of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Nothing more is to be sent to its upstreams.
    Start,
    /// That is taken back.
    End,
}

/// An order that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acknowledged {
    /// The control machine that answered.
    pub(super) by: usize,
    /// When it was first sent.
    pub(super) sent_at: Instant,
    /// When its acknowledgement came.
    pub(super) at: Instant,
}

fn path(zone: &str, order: Order) -> String {
    format!("/-/Evacuate.{order:?}/{zone}")
}

/// Sends an order to a control machine and hangs up after a time without an answer.
///
/// # Errors
/// Those of the connection.
pub async fn abandon(to: SocketAddr, zone: &str, order: Order, patience: Duration) -> std::io::Result<()> {
    let mut connection = HttpConnection::connect(None, to, CONNECT_TIMEOUT).await?;
    let head = format!("POST {} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\n\r\n", path(zone, order));
    connection.write(head.as_bytes()).await?;
    tokio::time::sleep(patience).await;
    Ok(())
}

/// Gives an order to these control machines in turn until one acknowledges it.
pub(super) async fn give(
    testbed: &Testbed,
    zone: &str,
    order: Order,
    machines: &[usize],
) -> Result<Acknowledged> {
    let sent_at = Instant::now();
    let mut last = String::new();
    for machine in machines.iter().cycle() {
        if sent_at.elapsed() > ORDER_TIMEOUT {
            bail!("{order:?} of {zone}: not acknowledged within {ORDER_TIMEOUT:?} ({last})");
        }
        let address = testbed.mesh.control(*machine);
        last = match testbed.operator.call_once(address, "POST", &path(zone, order), b"").await {
            Ok(response) if response.status == 200 => {
                return Ok(Acknowledged { by: *machine, sent_at, at: Instant::now() });
            }
            Ok(response) => response.status.to_string(),
            Err(error) => error.to_string(),
        };
        tokio::time::sleep(ORDER_RETRY_DELAY).await;
    }
    bail!("no control machine to call")
}
