//! A request's body: buffered whole up to [`MAX_BUFFERED_BODY_BYTES`](crate::wire::MAX_BUFFERED_BODY_BYTES), the rest of
//! a larger one streamed at the pace of whoever reads it.
//!
//! Knows neither who sends the body nor who gets it. Memory is accounted for in `body_budget.rs`.
use crate::body_budget::BodyReservation;
use crate::wire::{Connection, ReadError};
use bytes::Bytes;
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use tokio::sync::{mpsc, Mutex, Notify};

/// Parts of a streamed body that are read ahead of whoever takes them.
const MAX_PARTS_AHEAD: usize = 2;

/// A part of a streamed body.
enum Part {
    Bytes(Bytes),
    End,
}

/// The sender of a streamed body broke off before its end; the request can't be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyInterrupted;

impl fmt::Display for BodyInterrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the body broke off before its end (send the request again)")
    }
}

impl std::error::Error for BodyInterrupted {}

/// The streamed rest of a body, read by one attempt at a time.
pub(crate) struct BodyStream {
    /// Bytes of the whole body, where that is stated.
    content_length: Option<usize>,
    parts: Mutex<mpsc::Receiver<Part>>,
    requested: Notify,
    is_consumed: Cell<bool>,
    has_ended: Cell<bool>,
}

impl BodyStream {
    /// The next part; `Ok(None)` at the body's end.
    ///
    /// # Errors
    /// [`BodyInterrupted`] if the body's sender broke off.
    pub(crate) async fn next(&self) -> Result<Option<Bytes>, BodyInterrupted> {
        if self.has_ended.get() {
            return Ok(None);
        }
        self.requested.notify_one();
        let mut parts = self.parts.lock().await;
        // What is taken out counts as consumed, whatever becomes of it.
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

/// Feeds a [`BodyStream`] from the connection that the body is received on.
pub(crate) struct BodyStreamWriter {
    parts: mpsc::Sender<Part>,
    stream: Rc<BodyStream>,
}

impl BodyStreamWriter {
    /// Return once somebody wants the rest of the body.
    pub(crate) async fn wait_until_requested(&self) {
        self.stream.requested.notified().await;
    }

    /// Read the rest of a body from its connection, no faster than it is taken.
    ///
    /// # Errors
    /// [`ReadError::Closed`] if nobody takes it any more: the connection is then left as it is.
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
    /// Its beginning, or all of it.
    prefix: RefCell<Rc<Vec<u8>>>,
    /// What comes behind that.
    stream: Option<Rc<BodyStream>>,
    reservation: RefCell<BodyReservation>,
}

/// A body that is still being received, and what feeds it.
pub(crate) struct StreamedBodyBuffer {
    /// The body.
    pub(crate) body: Rc<BodyBuffer>,
    /// Feeds its rest.
    pub(crate) writer: BodyStreamWriter,
}

impl BodyBuffer {
    /// A body that is buffered whole.
    pub(crate) fn complete(bytes: Vec<u8>, reservation: BodyReservation) -> Rc<Self> {
        Rc::new(BodyBuffer {
            prefix: RefCell::new(Rc::new(bytes)),
            stream: None,
            reservation: RefCell::new(reservation),
        })
    }

    /// A body whose rest is still being received. `content_length`: of the whole body, where it is stated.
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

    /// The buffered beginning, or all of it.
    pub(crate) fn prefix(&self) -> Rc<Vec<u8>> {
        self.prefix.borrow().clone()
    }

    /// The rest, if the body is streamed.
    pub(crate) fn stream(&self) -> Option<&BodyStream> {
        self.stream.as_deref()
    }

    /// Whether there is a rest to be streamed.
    pub(crate) fn is_streamed(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether a part that is not buffered was taken: from then on the body can't be sent (again) whole.
    pub(crate) fn is_consumed(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.is_consumed.get())
    }

    /// Whether all of it was taken.
    pub(crate) fn is_at_end(&self) -> bool {
        self.stream.as_ref().is_none_or(|stream| stream.has_ended.get())
    }

    /// Release the buffered beginning: it is of no more use.
    pub(crate) fn release_prefix(&self) {
        *self.prefix.borrow_mut() = Rc::default();
        self.reservation.borrow_mut().release();
    }

    /// How its end is stated to whoever gets it.
    pub(crate) fn framing(&self) -> Framing {
        match &self.stream {
            None => Framing::Length(self.prefix.borrow().len()),
            Some(stream) => stream.content_length.map_or(Framing::Chunked, Framing::Length),
        }
    }
}
