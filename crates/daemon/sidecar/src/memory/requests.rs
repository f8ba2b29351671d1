//! The requests in progress: what further attempts need, and who waits for their responses.
use silvercross_core::interface::Micros;
use silvercross_facade::Request as Placed;
use silvercross_net::buffers::Buffer;
use silvercross_net::stream::Decoder;
use silvercross_net::table::Handle;

/// State of a request that arrived over a gateway's link.
#[derive(Clone, Copy, Debug)]
pub struct Guest {
    /// When it arrived.
    pub began: Micros,
    /// Work that its sender estimated, in microseconds.
    pub expected: f64,
    /// Time that it had left on arrival.
    pub left: Micros,
}

/// The body of a request that is forwarded as it arrives.
pub struct Upload {
    /// Decoder of the rest of it.
    pub body: Decoder,
    /// It is forwarded with chunked encoding.
    pub chunked: bool,
    /// Number of the attempt that was given bytes which are no longer in `Request::bytes`: no other attempt can send the
    /// complete body.
    pub by: Option<u32>,
    /// When bytes of it were last forwarded.
    pub moved: Micros,
}

/// Phase of a request whose response is stored in the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The claim of its key is sent.
    Asking,
    /// Another sidecar has claimed its key; the claim is retried.
    Waiting,
    /// This sidecar has claimed its key: it may be sent.
    Taken,
    /// Its response is being stored.
    Holding,
    /// It doesn't wait for the records any more.
    Free,
}

/// State of a request of a class whose responses are stored.
pub struct Held {
    /// Class and key.
    pub key: String,
    /// Index of its class among those whose responses are stored.
    pub class: usize,
    /// Its phase.
    pub phase: Phase,
    /// Since when it waits for the records.
    pub since: Micros,
    /// Until when its client waits.
    pub until: Micros,
    /// The request for the balancer, until it is passed on.
    pub placed: Option<Placed>,
    /// Its response until it is sent: header lines and body.
    pub answer: Option<(Vec<u8>, Vec<u8>)>,
}

/// A request accepted from an application.
pub struct Request {
    /// The connection that waits for the response; `None` once it has it, or after the client disconnected.
    pub client: Option<Handle>,
    /// The head as it is forwarded, without its last lines, then the body. Returned to the pool with the response.
    pub bytes: Option<Buffer>,
    /// Its body, if that is larger than a buffer.
    pub upload: Option<Upload>,
    /// Its correlation id.
    pub id: Box<str>,
    /// Length of the head in `bytes`.
    pub head: usize,
    /// An attempt was sent completely and not rejected unprocessed: the request may have been executed.
    pub may_have_run: bool,
    /// Its state if it arrived over the link.
    pub guest: Option<Guest>,
    /// Its state if its response is stored in the records.
    pub held: Option<Box<Held>>,
    /// The connection of each attempt, by number; `None` once the attempt has ended.
    pub attempts: Vec<Option<Handle>>,
}

impl Request {
    /// Whether more of its body is still to come.
    pub fn is_coming(&self) -> bool {
        self.upload.as_ref().is_some_and(|u| !u.body.is_done())
    }

    /// Whether it waits for the records.
    fn awaits_records(&self) -> bool {
        let waits = |h: &Held| matches!(h.phase, Phase::Asking | Phase::Waiting | Phase::Holding);
        self.held.as_ref().is_some_and(|h| waits(h))
    }

    /// Whether no client, no attempt and no command of the records refers to it any more.
    pub fn is_done(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(Option::is_none) && !self.awaits_records()
    }
}
