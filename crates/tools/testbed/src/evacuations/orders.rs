//! Orders of an operator for a zone.
use crate::http_connection::HttpConnection;
use crate::testbed::{Testbed, STATE_PATH};
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

impl Order {
    /// The path of its call.
    pub fn path(self, zone: &str) -> String {
        format!("/-/Evacuate.{self:?}/{zone}")
    }
}

/// How a caller leaves an order at a control machine that stands still, and goes on elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abandonment {
    /// It hangs up after a time without an answer.
    HangsUp,
    /// It keeps the connection for a late answer.
    KeepsConnection,
    /// The same, and the first half of the order was sent while the machine ran.
    HalfSentBefore,
    /// The same, and the connection was used for another call while the machine ran.
    OnUsedConnection,
}

impl Abandonment {
    /// All of them.
    pub const ALL: [Abandonment; 4] = [
        Abandonment::HangsUp,
        Abandonment::KeepsConnection,
        Abandonment::HalfSentBefore,
        Abandonment::OnUsedConnection,
    ];
}

/// An order that is left at a control machine.
pub struct AbandonedOrder {
    abandonment: Abandonment,
    to: SocketAddr,
    unsent: Vec<u8>,
    connection: Option<HttpConnection>,
}

impl AbandonedOrder {
    /// Begins while the machine runs.
    ///
    /// # Errors
    /// Those of the connection.
    pub async fn begin(to: SocketAddr, path: &str, abandonment: Abandonment) -> std::io::Result<Self> {
        let head = format!("POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\n\r\n");
        let mut unsent = head.into_bytes();
        let connection = match abandonment {
            Abandonment::HangsUp | Abandonment::KeepsConnection => None,
            Abandonment::HalfSentBefore => {
                let mut connection = HttpConnection::connect(None, to, CONNECT_TIMEOUT).await?;
                let rest = unsent.split_off(unsent.len() / 2);
                connection.write(&unsent).await?;
                unsent = rest;
                Some(connection)
            }
            Abandonment::OnUsedConnection => {
                let mut connection = HttpConnection::connect(None, to, CONNECT_TIMEOUT).await?;
                let call = format!("GET {STATE_PATH} HTTP/1.1\r\nHost: {to}\r\n\r\n");
                connection.write(call.as_bytes()).await?;
                connection.read_response().await?;
                Some(connection)
            }
        };
        Ok(AbandonedOrder { abandonment, to, unsent, connection })
    }

    /// Sends the order, or its rest, to the machine that stands still, and goes on after a time without an answer. Returns
    /// the connection if it is kept.
    ///
    /// # Errors
    /// Those of the connection.
    pub async fn leave(self, patience: Duration) -> std::io::Result<Option<HttpConnection>> {
        let mut connection = match self.connection {
            Some(connection) => connection,
            None => HttpConnection::connect(None, self.to, CONNECT_TIMEOUT).await?,
        };
        connection.write(&self.unsent).await?;
        tokio::time::sleep(patience).await;
        Ok((self.abandonment != Abandonment::HangsUp).then_some(connection))
    }
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
        last = match testbed.operator.call_once(address, "POST", &order.path(zone), b"").await {
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
