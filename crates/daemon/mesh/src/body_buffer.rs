//! Bodies: a request's is held whole up to [`wire::MAX_BUFFERED_BODY_BYTES`], the rest of a larger one passed on as it comes, at the pace of
//! whoever takes it. What is held by all requests together is bounded.
use crate::wire::{self, Connection, ReadError};
use bytes::Bytes;
use silvercross_net::stream::Decoder;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, Mutex, Notify};

/// Bodies held by all requests may take this part of the process's memory.
const PART: u64 = 4;
/// Pieces read ahead of whoever takes them.
const AHEAD: usize = 2;

/// What all bodies held here take together.
#[derive(Debug, Default)]
pub struct BodyBudget {
    most: Cell<u64>,
    held: Cell<u64>,
}

impl BodyBudget {
    /// For a process of so many bytes of memory.
    pub fn new(memory: u64) -> Rc<Self> {
        Rc::new(BodyBudget { most: Cell::new(memory / PART), held: Cell::new(0) })
    }

    /// Bytes held now.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    /// Room for one body, none of it taken yet.
    pub fn share(self: &Rc<Self>) -> BodyReservation {
        BodyReservation { stores: self.clone(), bytes: 0 }
    }
}

/// One body's part of the stores; given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    stores: Rc<BodyBudget>,
    bytes: u64,
}

impl BodyReservation {
    /// Take so many bytes more; `false`, and nothing taken, if there is no room.
    pub fn more(&mut self, bytes: u64) -> bool {
        let held = self.stores.held.get() + bytes;
        if held > self.stores.most.get() {
            return false;
        }
        self.stores.held.set(held);
        self.bytes += bytes;
        true
    }

    /// Give all back.
    pub fn empty(&mut self) {
        self.stores.held.set(self.stores.held.get() - self.bytes);
        self.bytes = 0;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.empty();
    }
}

/// A part of a body that comes.
enum Piece {
    Bytes(Bytes),
    End,
}

/// What is still to come of a body, taken by one attempt at a time.
pub struct BodyStream {
    /// Bytes of the whole body, where that is stated.
    pub length: Option<u64>,
    pieces: Mutex<mpsc::Receiver<Piece>>,
    wanted: Notify,
    spent: Cell<bool>,
    ended: Cell<bool>,
}

impl BodyStream {
    /// Whether any of it was taken: from then on it can't be sent again.
    pub fn spent(&self) -> bool {
        self.spent.get()
    }

    /// The next piece: `Ok(None)` at the body's end, `Err` if it broke off.
    pub async fn next(&self) -> Result<Option<Bytes>, ()> {
        if self.ended.get() {
            return Ok(None);
        }
        self.wanted.notify_one();
        let mut pieces = self.pieces.lock().await;
        // What is taken out counts as gone, whatever becomes of it.
        match pieces.recv().await {
            Some(Piece::Bytes(bytes)) => {
                self.spent.set(true);
                Ok(Some(bytes))
            }
            Some(Piece::End) => {
                self.ended.set(true);
                Ok(None)
            }
            None => Err(()),
        }
    }
}

/// Brings what [`BodyStream`] hands out.
pub struct BodyStreamWriter {
    to: mpsc::Sender<Piece>,
    rest: Rc<BodyStream>,
}

impl BodyStreamWriter {
    /// Returns once somebody wants the rest.
    pub async fn wanted(&self) {
        self.rest.wanted.notified().await;
    }

    /// Read the rest of a body from its connection, no faster than it is taken.
    pub async fn bring(&self, line: &mut Connection, decoder: &mut Decoder) -> Result<(), ReadError> {
        loop {
            // Nobody takes any more: the connection is left as it is.
            let Ok(room) = self.to.reserve().await else { return Err(ReadError::Closed) };
            match line.next(decoder).await? {
                Some(bytes) => room.send(Piece::Bytes(bytes)),
                None => {
                    room.send(Piece::End);
                    return Ok(());
                }
            }
        }
    }
}

/// A request's body.
pub struct BodyBuffer {
    /// Its first part, or all of it.
    pub held: RefCell<Rc<Vec<u8>>>,
    /// What comes behind that.
    pub rest: Option<Rc<BodyStream>>,
    share: RefCell<BodyReservation>,
}

impl BodyBuffer {
    /// One that is here whole.
    pub fn whole(held: Vec<u8>, share: BodyReservation) -> Rc<Self> {
        Rc::new(BodyBuffer { held: RefCell::new(Rc::new(held)), rest: None, share: RefCell::new(share) })
    }

    /// One that is still coming; the second part brings the rest.
    pub fn coming(
        held: Vec<u8>,
        length: Option<u64>,
        share: BodyReservation,
    ) -> (Rc<Self>, BodyStreamWriter) {
        let (to, pieces) = mpsc::channel(AHEAD);
        let rest = Rc::new(BodyStream {
            length,
            pieces: Mutex::new(pieces),
            wanted: Notify::new(),
            spent: Cell::new(false),
            ended: Cell::new(false),
        });
        let (held, share) = (RefCell::new(Rc::new(held)), RefCell::new(share));
        (Rc::new(BodyBuffer { held, rest: Some(rest.clone()), share }), BodyStreamWriter { to, rest })
    }

    /// What is held.
    pub fn held(&self) -> Rc<Vec<u8>> {
        self.held.borrow().clone()
    }

    /// Whether it can't be sent (again) whole: a part that is not held has gone.
    pub fn spent(&self) -> bool {
        self.rest.as_ref().is_some_and(|r| r.spent())
    }

    /// Whether all of it was taken.
    pub fn at_end(&self) -> bool {
        self.rest.as_ref().is_none_or(|r| r.ended.get())
    }

    /// What was held is of no more use.
    pub fn let_go(&self) {
        *self.held.borrow_mut() = Rc::default();
        self.share.borrow_mut().empty();
    }

    /// How its end is told to whoever gets it.
    pub fn size(&self) -> wire::Size {
        match &self.rest {
            None => wire::Size::Length(self.held().len() as u64),
            Some(rest) => rest.length.map_or(wire::Size::Chunks, wire::Size::Length),
        }
    }
}
