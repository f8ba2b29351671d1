//! What one member says to another beside membership: batches, each one HTTP/1.1 call on a connection that stays. One is under
//! way at a time; what comes meanwhile goes with the next, and what is too much is lost, as it may be.
use silvercross_core::interface::Micros;
use silvercross_idempotency_store::StoreMessage;
use silvercross_net::http;
use silvercross_net::registry::{Interest, Watched};
use silvercross_swim::Identity;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Where batches are taken.
pub const PATH: &str = "/fleet/records";
/// What waits for one peer, at most.
const QUEUE: usize = 2048;
/// What goes into one batch: so many bytes, about, and one thing always.
const BATCH: usize = 256 * 1024;
/// A call that takes longer is given up with its connection, in microseconds.
const CALL: Micros = 3_000_000;
/// A connection on which nothing was said for so long is closed.
const IDLE: Micros = 15_000_000;
/// After a connection that failed, the next is tried so much later.
const AGAIN: Micros = 50_000;

/// The way to one peer.
pub struct Link {
    /// Which peer.
    pub to: Identity,
    socket: Option<Watched<TcpStream>>,
    queue: VecDeque<(usize, StoreMessage)>,
    /// When the call under way began, or the last one ended.
    pub since: Micros,
    /// When a connection may be tried.
    pub again: Micros,
    calling: bool,
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    /// Things that were lost for want of room.
    pub lost: u64,
}

/// About how many bytes something takes.
fn size(said: &StoreMessage) -> usize {
    match said {
        StoreMessage::Replica(e) => 32 + e.message.bytes(),
        StoreMessage::Ask { .. } | StoreMessage::Told { .. } => 512,
        _ => 256,
    }
}

impl Link {
    /// A way with nothing on it.
    pub fn new(to: Identity, now: Micros) -> Self {
        Link {
            to,
            socket: None,
            queue: VecDeque::new(),
            since: now,
            again: now,
            calling: false,
            output: Vec::new(),
            written: 0,
            input: Vec::new(),
            lost: 0,
        }
    }

    /// Have something said.
    pub fn say(&mut self, said: StoreMessage) {
        if self.queue.len() >= QUEUE {
            self.queue.pop_front();
            self.lost += 1;
        }
        self.queue.push_back((size(&said), said));
    }

    /// Whether it wants a connection now.
    pub fn wants(&self, now: Micros) -> bool {
        self.socket.is_none() && !self.queue.is_empty() && now >= self.again
    }

    /// It has one, on its way up; or none could be made.
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
        // What was to go is late by now; the newest is worth the most.
        let late = self.queue.len().saturating_sub(64);
        self.queue.drain(..late);
        self.again = now + AGAIN;
    }

    /// Let time pass.
    pub fn tick(&mut self, now: Micros) {
        let limit = if self.calling || !self.queue.is_empty() { CALL } else { IDLE };
        if self.socket.is_some() && now >= self.since + limit {
            self.fail(now);
        }
    }

    /// Whether nothing is to be said and nothing is open.
    pub fn is_idle(&self) -> bool {
        self.socket.is_none() && self.queue.is_empty()
    }

    /// Go on as far as the socket allows; `seal` makes bytes of what is to be said.
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
                    if !batch.is_empty() && bytes + size > BATCH {
                        break;
                    }
                    bytes += size;
                    batch.extend(self.queue.pop_front().map(|s| s.1));
                }
                if batch.is_empty() {
                    // The end of an idle connection shows as a readiness.
                    return self.listen();
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

    fn listen(&mut self) -> io::Result<()> {
        let Some(socket) = &mut self.socket else { return Ok(()) };
        socket.set(Interest::Read)?;
        match socket.get().read(&mut [0; 16]) {
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Whether the answer is whole.
    fn read(&mut self) -> io::Result<bool> {
        let Some(socket) = &mut self.socket else { return Ok(false) };
        let mut piece = [0; 1024];
        loop {
            match socket.get().read(&mut piece) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if self.input.len() + n <= 4096 => self.input.extend_from_slice(&piece[..n]),
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
