//! The messages of the records from one member to another: batches, each sent as one HTTP/1.1 request on a persistent
//! connection. One batch is in flight at a time; messages queued meanwhile go with the next. When the queue is full, the
//! oldest message is dropped: the protocol tolerates lost messages.
use silvercross_core::interface::Micros;
use silvercross_idempotency_store::StoreMessage;
use silvercross_net::http;
use silvercross_net::registry::{Interest, Watched};
use silvercross_swim::Identity;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Path to which batches are posted.
pub const PATH: &str = "/fleet/records";
/// Maximum number of messages queued for one peer.
const MAX_QUEUED: usize = 2048;
/// Approximate maximum size of a batch; it has at least one message, whatever its size.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// A connection is closed if connecting, or a request and its response, takes longer.
const REQUEST_TIMEOUT: Micros = 3_000_000;
/// A connection without traffic is closed after this.
const IDLE_TIMEOUT: Micros = 15_000_000;
/// Delay before the next attempt to connect after a connection failed.
const RECONNECT_DELAY: Micros = 50_000;

/// The outgoing connection and queue for one peer.
pub struct Link {
    /// The peer.
    pub to: Identity,
    socket: Option<Watched<TcpStream>>,
    queue: VecDeque<(usize, StoreMessage)>,
    /// When the current request began, the last one ended, or the connection was opened.
    pub since: Micros,
    /// Earliest time of the next attempt to connect.
    pub reconnect_at: Micros,
    calling: bool,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    /// Messages dropped because the queue was full.
    pub lost: u64,
}

/// Approximate encoded size of a message in bytes.
fn size(said: &StoreMessage) -> usize {
    match said {
        StoreMessage::Replica(e) => 32 + e.message.bytes(),
        StoreMessage::Ask { .. } | StoreMessage::Told { .. } => 512,
        _ => 256,
    }
}

impl Link {
    /// A link without a connection and with an empty queue.
    pub fn new(to: Identity, now: Micros) -> Self {
        Link {
            to,
            socket: None,
            queue: VecDeque::new(),
            since: now,
            reconnect_at: now,
            calling: false,
            output: Vec::new(),
            written: 0,
            input: Vec::new(),
            lost: 0,
        }
    }

    /// Queues a message; drops the oldest one if the queue is full.
    pub fn enqueue(&mut self, said: StoreMessage) {
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_front();
            self.lost += 1;
        }
        self.queue.push_back((size(&said), said));
    }

    /// Whether a connection should be opened now.
    pub fn needs_connection(&self, now: Micros) -> bool {
        self.socket.is_none() && !self.queue.is_empty() && now >= self.reconnect_at
    }

    /// Takes the connection being opened, or the error if it could not be created.
    pub fn connected(&mut self, now: Micros, socket: io::Result<Watched<TcpStream>>) {
        match socket {
            Ok(socket) => (self.socket, self.since) = (Some(socket), now),
            Err(_) => self.fail(now),
        }
    }

    fn fail(&mut self, now: Micros) {
        self.socket = None;
        (self.calling, self.written) = (false, 0);
        self.output.clear();
        self.input.clear();
        // The queued messages are delayed by now: only the newest are kept, which are the most useful.
        let excess = self.queue.len().saturating_sub(64);
        self.queue.drain(..excess);
        self.reconnect_at = now + RECONNECT_DELAY;
    }

    /// Closes the connection if its timeout has passed.
    pub fn tick(&mut self, now: Micros) {
        let limit = if self.calling || !self.queue.is_empty() { REQUEST_TIMEOUT } else { IDLE_TIMEOUT };
        if self.socket.is_some() && now >= self.since + limit {
            self.fail(now);
        }
    }

    /// Whether the queue is empty and no connection is open.
    pub fn is_idle(&self) -> bool {
        self.socket.is_none() && self.queue.is_empty()
    }

    /// Writes and reads as far as the socket allows; `seal` encodes a batch.
    pub fn advance(&mut self, now: Micros, seal: &mut dyn FnMut(Vec<StoreMessage>) -> Vec<u8>) {
        if self.step(now, seal).is_err() {
            self.fail(now);
        }
    }

    fn step(&mut self, now: Micros, seal: &mut dyn FnMut(Vec<StoreMessage>) -> Vec<u8>) -> io::Result<()> {
        loop {
            if self.socket.is_none() {
                return Ok(());
            }
            if !self.calling {
                let (mut batch, mut bytes) = (Vec::new(), 0);
                while let Some((size, _)) = self.queue.front() {
                    if !batch.is_empty() && bytes + size > MAX_BATCH_BYTES {
                        break;
                    }
                    bytes += size;
                    batch.extend(self.queue.pop_front().map(|s| s.1));
                }
                if batch.is_empty() {
                    // The close of an idle connection is reported as readiness to read.
                    return self.check_open();
                }
                let body = seal(batch);
                let head =
                    format!("POST {PATH} HTTP/1.1\r\nHost: fleet\r\nContent-Length: {}\r\n\r\n", body.len());
                self.output = [head.as_bytes(), &body].concat();
                (self.written, self.calling, self.since) = (0, true, now);
            }
            let Some(socket) = &mut self.socket else { return Ok(()) };
            while self.written < self.output.len() {
                match socket.get().write(&self.output[self.written..]) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(n) => self.written += n,
                    Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                        return socket.set(Interest::Both);
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) => return Err(e),
                }
            }
            socket.set(Interest::Read)?;
            if !self.read()? {
                return Ok(());
            }
            (self.calling, self.since) = (false, now);
        }
    }

    fn check_open(&mut self) -> io::Result<()> {
        let Some(socket) = &mut self.socket else { return Ok(()) };
        socket.set(Interest::Read)?;
        match socket.get().read(&mut [0; 16]) {
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Reads the response; `true` once it is complete.
    fn read(&mut self) -> io::Result<bool> {
        let Some(socket) = &mut self.socket else { return Ok(false) };
        let mut chunk = [0; 1024];
        loop {
            match socket.get().read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if self.input.len() + n <= 4096 => self.input.extend_from_slice(&chunk[..n]),
                Ok(_) => return Err(io::ErrorKind::InvalidData.into()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let mut lines = http::empty_headers();
        let bad = |b: http::MessageError| io::Error::other(format!("{b:?}"));
        match http::response_head(&self.input, &mut lines).map_err(bad)? {
            None => Ok(false),
            Some(head) if head.status == 204 && self.input.len() == head.len => {
                self.input.clear();
                Ok(true)
            }
            Some(_) => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}
