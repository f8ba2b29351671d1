//! A request's body: up to [`MAX_BUFFERED_BODY_BYTES`](crate::wire::MAX_BUFFERED_BODY_BYTES) are buffered, and the
//! rest of a larger one is streamed at the pace of its reader.
//!
//! Independent of who sends the body and who receives it. Memory is accounted for in `body_budget.rs`.
use crate::body_budget::BodyReservation;
use crate::wire::{Connection, ReadError};
use bytes::Bytes;
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use tokio::sync::{mpsc, Mutex, Notify};

/// Maximum number of parts of a streamed body that are read ahead.
const MAX_PARTS_AHEAD: usize = 2;

/// A part of a streamed body.
enum Part {
    Bytes(Bytes),
    End,
}

/// The sender of a streamed body stopped before its end, so the request can't be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyInterrupted;

impl fmt::Display for BodyInterrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the body was interrupted before its end (send the request again)")
    }
}

impl std::error::Error for BodyInterrupted {}

/// The streamed rest of a body. One attempt reads it at a time.
pub(crate) struct BodyStream {
    /// The length of the whole body, if it is stated.
    content_length: Option<usize>,
    parts: Mutex<mpsc::Receiver<Part>>,
    requested: Notify,
    is_consumed: Cell<bool>,
    has_ended: Cell<bool>,
}

impl BodyStream {
    /// Returns the next part; `Ok(None)` at the end of the body.
    ///
    /// # Errors
    /// [`BodyInterrupted`] if the sender stopped before the end.
    pub(crate) async fn next(&self) -> Result<Option<Bytes>, BodyInterrupted> {
        if self.has_ended.get() {
            return Ok(None);
        }
        self.requested.notify_one();
        let mut parts = self.parts.lock().await;
        // A part counts as consumed once it is taken out, even if it is then not sent.
        match parts.recv().await {
            Some(Part::Bytes(bytes)) => {
                self.is_consumed.set(true);
                Ok(Some(bytes))
            }
            Some(Part::End) => {
                self.has_ended.set(true);
                Ok(None)
            }
            None => Err(BodyInterrupted),
        }
    }
}

/// Feeds a [`BodyStream`] from the connection on which the body is received.
pub(crate) struct BodyStreamWriter {
    parts: mpsc::Sender<Part>,
    stream: Rc<BodyStream>,
}

impl BodyStreamWriter {
    /// Returns once a reader requests the rest of the body.
    pub(crate) async fn wait_until_requested(&self) {
        self.stream.requested.notified().await;
    }

    /// Reads the rest of a body from its connection, no faster than it is consumed.
    ///
    /// # Errors
    /// [`ReadError::Closed`] if there is no reader any more; nothing further is then read from the connection.
    /// Otherwise those of reading from the connection.
    pub(crate) async fn feed(
        &self,
        connection: &mut Connection,
        decoder: &mut Decoder,
    ) -> Result<(), ReadError> {
        loop {
            let Ok(slot) = self.parts.reserve().await else { return Err(ReadError::Closed) };
            match connection.read_body_part(decoder).await? {
                Some(bytes) => slot.send(Part::Bytes(bytes)),
                None => {
                    slot.send(Part::End);
                    return Ok(());
                }
            }
        }
    }
}

/// A request's body.
pub(crate) struct BodyBuffer {
    /// The buffered start of the body, or all of it.
    prefix: RefCell<Rc<Vec<u8>>>,
    /// The rest of the body, if it is streamed.
    stream: Option<Rc<BodyStream>>,
    reservation: RefCell<BodyReservation>,
}

/// A body that is still being received, and its writer.
pub(crate) struct StreamedBodyBuffer {
    /// The body.
    pub(crate) body: Rc<BodyBuffer>,
    /// Feeds the rest of the body.
    pub(crate) writer: BodyStreamWriter,
}

impl BodyBuffer {
    /// Creates a body that is completely buffered.
    pub(crate) fn complete(bytes: Vec<u8>, reservation: BodyReservation) -> Rc<Self> {
        Rc::new(BodyBuffer {
            prefix: RefCell::new(Rc::new(bytes)),
            stream: None,
            reservation: RefCell::new(reservation),
        })
    }

    /// Creates a body whose rest is still being received. `content_length` is that of the whole body, if it is
    /// stated.
    pub(crate) fn streamed(
        prefix: Vec<u8>,
        content_length: Option<usize>,
        reservation: BodyReservation,
    ) -> StreamedBodyBuffer {
        let (sender, receiver) = mpsc::channel(MAX_PARTS_AHEAD);
        let stream = Rc::new(BodyStream {
            content_length,
            parts: Mutex::new(receiver),
            requested: Notify::new(),
            is_consumed: Cell::new(false),
            has_ended: Cell::new(false),
        });
        let body = Rc::new(BodyBuffer {
            prefix: RefCell::new(Rc::new(prefix)),
            stream: Some(stream.clone()),
            reservation: RefCell::new(reservation),
        });
        StreamedBodyBuffer { body, writer: BodyStreamWriter { parts: sender, stream } }
    }

    /// Returns the buffered start, or all of the body.
    pub(crate) fn prefix(&self) -> Rc<Vec<u8>> {
        self.prefix.borrow().clone()
    }

    /// Returns the rest, if the body is streamed.
    pub(crate) fn stream(&self) -> Option<&BodyStream> {
        self.stream.as_deref()
    }

    /// Returns whether part of the body is streamed.
    pub(crate) fn is_streamed(&self) -> bool {
        self.stream.is_some()
    }

    /// Returns whether a streamed part was consumed, after which the body can't be sent completely again.
    pub(crate) fn is_consumed(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.is_consumed.get())
    }

    /// Returns whether the whole body was consumed.
    pub(crate) fn is_at_end(&self) -> bool {
        self.stream.as_ref().is_none_or(|stream| stream.has_ended.get())
    }

    /// Releases the buffered start, which is no longer needed.
    pub(crate) fn release_prefix(&self) {
        *self.prefix.borrow_mut() = Rc::default();
        self.reservation.borrow_mut().release();
    }

    /// Returns the framing with which the body is sent.
    pub(crate) fn framing(&self) -> Framing {
        match &self.stream {
            None => Framing::Length(self.prefix.borrow().len()),
            Some(stream) => stream.content_length.map_or(Framing::Chunked, Framing::Length),
        }
    }
}
