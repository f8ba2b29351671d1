//! A TCP relay that injects one fault into one connection.
use super::case::{Direction, Fault, Interruption, Link, Traffic};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The planned interruption and the observed traffic; shared by all relays of a case.
#[derive(Default)]
pub(super) struct Plan {
    interruption: Option<Interruption>,
    /// Whether a connection may be interrupted.
    pub(super) is_armed: Cell<bool>,
    /// Whether the interruption has taken place.
    pub(super) is_interrupted: Cell<bool>,
    /// The bytes forwarded on the chosen connections.
    pub(super) carried: RefCell<BTreeMap<Traffic, Vec<u8>>>,
    /// For each link, the first connection that carried a request after the plan was armed.
    chosen: RefCell<BTreeMap<Link, u64>>,
    connections: Cell<u64>,
    /// Whether withheld bytes may be forwarded.
    is_resumed: Cell<bool>,
    resumed: Notify,
}

impl Plan {
    /// Creates a plan that the client arms later.
    pub(super) fn new(interruption: Option<Interruption>) -> Plan {
        Plan { interruption, ..Plan::default() }
    }

    /// Lets withheld bytes be forwarded.
    pub(super) fn resume(&self) {
        self.is_resumed.set(true);
        self.resumed.notify_waiters();
    }

    async fn wait_until_resumed(&self) {
        while !self.is_resumed.get() {
            self.resumed.notified().await;
        }
    }
}

/// A response that belongs to none of the case's requests.
const FOREIGN_RESPONSE: &[u8] =
    b"HTTP/1.1 200 X\r\nAttempt-Id: zz\r\nPostmark: zz.1\r\nContent-Length: 4\r\n\r\n#END";

/// A relay in front of an address; its target may be replaced by another process.
#[derive(Clone)]
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    to: Rc<Cell<SocketAddr>>,
    /// The address of the process that replaces a killed one.
    pub(super) next: Rc<Cell<Option<SocketAddr>>>,
    link: Link,
    plan: Rc<Plan>,
}

/// One connection through a relay.
struct RelayedConnection {
    /// `None` after the sender's side was reset while the request is still delivered.
    sender: Option<TcpStream>,
    receiver: TcpStream,
    is_chosen: bool,
    /// Bytes forwarded since the connection was chosen, by direction.
    forwarded: [usize; 2],
    /// The part of the response received so far.
    response: Vec<u8>,
    /// Bytes to send to the client side after the next request was forwarded.
    late: Vec<u8>,
}

impl Relay {
    /// Starts a relay on this loopback address.
    pub(super) async fn start(ip: Ipv4Addr, to: SocketAddr, link: Link, plan: &Rc<Plan>) -> Relay {
        let listener = TcpListener::bind((ip, 0)).await.expect("free port");
        let address = listener.local_addr().expect("bound listener");
        let relay =
            Relay { address, to: Rc::new(Cell::new(to)), next: Rc::default(), link, plan: plan.clone() };
        let accepting = relay.clone();
        tokio::task::spawn_local(async move {
            while let Ok((sender, _)) = listener.accept().await {
                let Ok(receiver) = TcpStream::connect(accepting.to.get()).await else { continue };
                // Disables Nagle's algorithm, so that a write does not wait for an acknowledgement.
                for stream in [&sender, &receiver] {
                    stream.set_nodelay(true).expect("TCP_NODELAY is set");
                }
                tokio::task::spawn_local(accepting.clone().relay(RelayedConnection {
                    sender: Some(sender),
                    receiver,
                    is_chosen: false,
                    forwarded: [0; 2],
                    response: Vec::new(),
                    late: Vec::new(),
                }));
            }
        });
        relay
    }

    async fn relay(self, mut connection: RelayedConnection) {
        let number = self.plan.connections.get();
        self.plan.connections.set(number + 1);
        let (mut requests, mut responses) = (vec![0; 64 * 1024], vec![0; 64 * 1024]);
        loop {
            let Some(sender) = &mut connection.sender else {
                // The sender is gone, so the response is discarded.
                let _ = tokio::io::copy(&mut connection.receiver, &mut tokio::io::sink()).await;
                return;
            };
            let (direction, read) = tokio::select! {
                biased;
                read = sender.read(&mut requests) => (Direction::Request, read),
                read = connection.receiver.read(&mut responses) => (Direction::Response, read),
            };
            let bytes = match read {
                // An orderly close or a reset is propagated to the other side.
                Ok(0) => return,
                Err(_) => return connection.reset(),
                Ok(n) if direction == Direction::Request => requests[..n].to_vec(),
                Ok(n) => responses[..n].to_vec(),
            };
            let may_choose = self.plan.is_armed.get() && direction == Direction::Request;
            if may_choose && !connection.is_chosen {
                let chosen = *self.plan.chosen.borrow_mut().entry(self.link).or_insert(number);
                connection.is_chosen = chosen == number;
                connection.forwarded = [0; 2];
            }
            if self.forward(&mut connection, direction, bytes).await.is_none() {
                return;
            }
        }
    }

    /// The interruption, if it applies to this connection and direction and has not taken place.
    fn pending_interruption(
        &self,
        connection: &RelayedConnection,
        direction: Direction,
    ) -> Option<Interruption> {
        self.plan.interruption.filter(|interruption| {
            connection.is_chosen
                && !self.plan.is_interrupted.get()
                && (interruption.link, interruption.direction) == (self.link, direction)
        })
    }

    /// Forwards bytes and injects the fault at its offset; `None` if the connection has ended.
    async fn forward(
        &self,
        connection: &mut RelayedConnection,
        direction: Direction,
        bytes: Vec<u8>,
    ) -> Option<()> {
        let interruption = self.pending_interruption(connection, direction);
        if connection.is_chosen {
            let traffic = Traffic { link: self.link, direction };
            self.plan.carried.borrow_mut().entry(traffic).or_default().extend_from_slice(&bytes);
        }
        let before = connection.forwarded[direction as usize];
        connection.forwarded[direction as usize] += bytes.len();
        let mut late = Vec::new();
        match direction {
            Direction::Request => {
                late = std::mem::take(&mut connection.late);
                connection.response.clear();
            }
            Direction::Response => connection.response.extend_from_slice(&bytes),
        }
        match interruption {
            Some(interruption) if interruption.fault.adds_surplus() => {
                connection.write(direction, &bytes).await?;
                self.add_surplus(connection, direction, interruption.fault).await?;
            }
            Some(Interruption { offset, fault, .. }) if before + bytes.len() >= offset => {
                self.plan.is_interrupted.set(true);
                let (first, rest) = bytes.split_at(offset - before);
                connection.write(direction, first).await?;
                self.interrupt(connection, fault).await?;
                connection.write(direction, rest).await?;
            }
            _ => connection.write(direction, &bytes).await?,
        }
        match late.is_empty() {
            true => Some(()),
            false => connection.write(Direction::Response, &late).await,
        }
    }

    /// Sends surplus bytes after a complete response, at once or after the next request.
    async fn add_surplus(
        &self,
        connection: &mut RelayedConnection,
        direction: Direction,
        fault: Fault,
    ) -> Option<()> {
        let response = &connection.response;
        if !response.ends_with(b"#END") && !response.ends_with(b"0\r\n\r\n") {
            return Some(());
        }
        self.plan.is_interrupted.set(true);
        let surplus = match fault {
            Fault::SurplusByte | Fault::LateSurplusByte => b"X".to_vec(),
            _ => response.clone(),
        };
        match fault {
            Fault::SurplusByte | Fault::DoubleResponse => connection.write(direction, &surplus).await?,
            _ => connection.late = surplus,
        }
        Some(())
    }

    /// Injects a fault into a connection; `None` if the connection has ended.
    async fn interrupt(&self, connection: &mut RelayedConnection, fault: Fault) -> Option<()> {
        match fault {
            Fault::Silence => std::future::pending().await,
            Fault::Reset => {
                connection.reset();
                None
            }
            Fault::Close => None,
            Fault::Restart => {
                // The kernel of a killed process sends a FIN to its upstream and a reset to the sender.
                connection.sender.as_ref().into_iter().for_each(reset_on_close);
                self.next.take().into_iter().for_each(|next| self.to.set(next));
                None
            }
            Fault::DelayedRequest => {
                connection.sender.take().as_ref().into_iter().for_each(reset_on_close);
                self.plan.wait_until_resumed().await;
                Some(())
            }
            Fault::Freeze => {
                self.plan.wait_until_resumed().await;
                Some(())
            }
            Fault::ForeignResponse => connection.write(Direction::Response, FOREIGN_RESPONSE).await,
            Fault::SurplusByte
            | Fault::DoubleResponse
            | Fault::LateSurplusByte
            | Fault::LateDoubleResponse => Some(()),
        }
    }
}

impl RelayedConnection {
    async fn write(&mut self, direction: Direction, bytes: &[u8]) -> Option<()> {
        let to = match direction {
            Direction::Request => &mut self.receiver,
            Direction::Response => self.sender.as_mut()?,
        };
        to.write_all(bytes).await.ok()
    }

    /// Makes both sides send a reset when they are dropped.
    fn reset(&self) {
        self.sender.as_ref().into_iter().for_each(reset_on_close);
        reset_on_close(&self.receiver);
    }
}

impl Fault {
    /// Whether the fault adds bytes after a complete response.
    fn adds_surplus(self) -> bool {
        matches!(
            self,
            Fault::SurplusByte | Fault::DoubleResponse | Fault::LateSurplusByte | Fault::LateDoubleResponse
        )
    }
}

fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
