//! The operators' side: one call read, one answer written, in small buffers of its own.
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

/// How far a connection has come.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// It waits for the socket.
    Nothing,
    /// A call, which is owed an answer.
    Call(Result<Call, MessageError>),
    /// It is over.
    Ended,
}

impl Conn {
    /// A connection just accepted.
    pub fn new(socket: Watched<TcpStream>, since: Micros) -> Self {
        Conn { socket, since, input: Vec::new(), output: Vec::new(), written: 0, answered: false }
    }

    /// Whether it has been answered.
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Read what has come.
    pub fn read(&mut self) -> Heard {
        let mut piece = [0; 1024];
        // Once it is answered, what still comes is thrown away, and not without end.
        for _ in 0..8 {
            match self.socket.get().read(&mut piece) {
                Ok(0) => return Heard::Ended,
                Ok(_) if self.answered => {}
                Ok(n) => {
                    let room = MAX_CALL_BYTES - self.input.len();
                    self.input.extend_from_slice(&piece[..n.min(room)]);
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

    /// Answer, and write what the socket takes; `false` once the connection is of no further use.
    pub fn answer(&mut self, bytes: Vec<u8>) -> bool {
        (self.output, self.written, self.answered) = (bytes, 0, true);
        self.input = Vec::new();
        self.write()
    }

    /// Write on; `false` once the connection is of no further use.
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
        // Our end is closed; the caller's end comes when it has read, so that no reset overtakes the answer.
        self.output = Vec::new();
        self.socket.get().shutdown(Shutdown::Write).is_ok() && self.socket.set(Interest::Read).is_ok()
    }

    /// Whether there is something left to write.
    pub fn is_writing(&self) -> bool {
        self.written < self.output.len()
    }
}
