//! The requests that are being served: what further attempts need of them, and who waits for them.
use silvercross_core::interface::Micros;
use silvercross_facade::Request as Placed;
use silvercross_net::buffers::Buffer;
use silvercross_net::stream::Decoder;
use silvercross_net::table::Handle;

/// What is kept of a request that has come over a gateway's link.
#[derive(Clone, Copy, Debug)]
pub struct Guest {
    /// When it came.
    pub began: Micros,
    /// How much work its sender expected, in microseconds.
    pub expected: f64,
    /// How much time it had left.
    pub left: Micros,
}

/// The body of a request that is passed on as it comes.
pub struct Upload {
    /// What is still to come of it.
    pub body: Decoder,
    /// It goes on in chunks.
    pub chunked: bool,
    /// The attempt that has been given more than `Request::bytes` holds: no other one can have the whole any more.
    pub by: Option<u32>,
    /// When something of it last went on.
    pub moved: Micros,
}

/// How far a request of a held class has come with the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its key is asked for.
    Asking,
    /// Somebody else has its key; it is asked for again.
    Waiting,
    /// The key is this sidecar's: it may be sent.
    Taken,
    /// Its answer is being held.
    Holding,
    /// The records have no more to do with it.
    Free,
}

/// What is kept of a request of a held class.
pub struct Held {
    /// Class and key.
    pub key: String,
    /// Which of the held classes.
    pub class: usize,
    /// How far it has come.
    pub phase: Phase,
    /// Since when it waits.
    pub since: Micros,
    /// Until when its client does.
    pub until: Micros,
    /// What is to be placed.
    pub placed: Option<Placed>,
    /// Its answer, until it goes out: header lines and body.
    pub answer: Option<(Vec<u8>, Vec<u8>)>,
}

/// A request taken from an application.
pub struct Request {
    /// The connection that waits for the answer; `None` once answered, or when the client hung up.
    pub client: Option<Handle>,
    /// The head as it goes on, less its last lines, then the body. Given back with the answer.
    pub bytes: Option<Buffer>,
    /// Its body, where that is larger than a buffer.
    pub upload: Option<Upload>,
    /// Its correlation id.
    pub id: Box<str>,
    /// How many of these bytes are head.
    pub head: usize,
    /// An attempt of it was written whole and not sent back unseen: it may have run.
    pub may_have_run: bool,
    /// It has come over the link.
    pub guest: Option<Guest>,
    /// What the records have to do with it.
    pub held: Option<Box<Held>>,
    /// The connection of each attempt, by its number; `None` once that has ended.
    pub attempts: Vec<Option<Handle>>,
}

impl Request {
    /// Whether more of its body is still to come.
    pub fn is_coming(&self) -> bool {
        self.upload.as_ref().is_some_and(|u| !u.body.is_done())
    }

    /// The records are still to say something of it.
    fn is_awaited(&self) -> bool {
        let awaited = |h: &Held| matches!(h.phase, Phase::Asking | Phase::Waiting | Phase::Holding);
        self.held.as_ref().is_some_and(|h| awaited(h))
    }

    /// Nobody waits for it and nothing is out for it.
    pub fn is_done(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(Option::is_none) && !self.is_awaited()
    }
}
