//! Operators' connections: one call is read and one response written, with their own small buffers.
use silvercross_core::interface::Micros;
use silvercross_management::{parse_call, Call, MAX_CALL_BYTES};
use silvercross_net::http::MessageError;
use silvercross_net::registry::{Interest, Watched};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};

/// An operator's connection.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// When it was accepted.
    pub since: Micros,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    answered: bool,
}

/// Result of [`Conn::read`].
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// Waiting for the socket.
    Nothing,
    /// A call to respond to, or why it is invalid.
    Call(Result<Call, MessageError>),
    /// The connection has ended.
    Ended,
}

impl Conn {
    /// A newly accepted connection.
    pub fn new(socket: Watched<TcpStream>, since: Micros) -> Self {
        Conn { socket, since, input: Vec::new(), output: Vec::new(), written: 0, answered: false }
    }

    /// Whether the response was given to it.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Reads and parses what has arrived.
    pub fn read(&mut self) -> Heard {
        let mut chunk = [0; 1024];
        // After the response further bytes are discarded; the number of reads is bounded.
        for _ in 0..8 {
            match self.socket.get().read(&mut chunk) {
                Ok(0) => return Heard::Ended,
                Ok(_) if self.answered => {}
                Ok(n) => {
                    let room = MAX_CALL_BYTES - self.input.len();
                    self.input.extend_from_slice(&chunk[..n.min(room)]);
                    match parse_call(&self.input) {
                        Ok(None) => {}
                        Ok(Some(call)) => return Heard::Call(Ok(call)),
                        Err(bad) => return Heard::Call(Err(bad)),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Heard::Nothing,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Heard::Ended,
            }
        }
        Heard::Nothing
    }

    /// Sets the response and writes as far as the socket allows; `false` if the connection has failed.
    pub fn answer(&mut self, bytes: Vec<u8>) -> bool {
        (self.output, self.written, self.answered) = (bytes, 0, true);
        self.input = Vec::new();
        self.write()
    }

    /// Writes the response as far as the socket allows; `false` if the connection has failed.
    pub fn write(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.socket.get().write(&self.output[self.written..]) {
                Ok(0) => return false,
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.socket.set(Interest::Write).is_ok();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        // The write side is shut down, and the caller closes after it has read the response: a close from here with unread
        // bytes would reset the connection, and the response could be lost.
        self.output = Vec::new();
        self.socket.get().shutdown(Shutdown::Write).is_ok() && self.socket.set(Interest::Read).is_ok()
    }

    /// Whether part of the response is not written yet.
    pub fn is_writing(&self) -> bool {
        self.written < self.output.len()
    }
}
