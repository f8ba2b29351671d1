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

#[cfg(test)]
mod tests {
    use crate::trial::{self, bytes, stamped, status, value, SidecarOptions, TestConnection, ID};
    use crate::wire::MAX_BUFFERED_BODY_BYTES;
    use std::cell::Cell;
    use std::rc::Rc;

    const LARGE: usize = 6 * MAX_BUFFERED_BODY_BYTES + 12_345;

    /// An origin that knows of `gates` sidecars, each with its own upstream.
    async fn mesh(gates: u8) -> (trial::Sidecar, Vec<(trial::Sidecar, tokio::net::TcpListener)>) {
        let (_, nobody) = trial::station().await;
        let origin = trial::sidecar(1, nobody, SidecarOptions::default()).await;
        let mut all = Vec::new();
        for last in 2..2 + gates {
            let (listener, at) = trial::station().await;
            let gate = trial::sidecar(last, at, SidecarOptions::default()).await;
            origin.hears_of(&gate);
            all.push((gate, listener));
        }
        (origin, all)
    }

    #[test]
    fn a_large_body_and_a_large_answer_pass_both_hops_in_bounded_memory() {
        trial::run(async {
            for (chunked, here) in [(false, false), (true, false), (false, true)] {
                let (origin, gate, listener) = match here {
                    true => {
                        let (listener, at) = trial::station().await;
                        let origin = trial::sidecar(1, at, SidecarOptions::default()).await;
                        (origin.clone(), origin, listener)
                    }
                    false => {
                        let (origin, mut gates) = mesh(1).await;
                        let (gate, listener) = gates.remove(0);
                        (origin, gate, listener)
                    }
                };
                gate.beat();
                let (sent, back) = (bytes(LARGE), bytes(LARGE - 77));
                let most = Rc::new(Cell::new(0));
                let (stores, peak, answer) = (
                    [origin.node_state.stores.clone(), gate.node_state.stores.clone()],
                    most.clone(),
                    back.clone(),
                );
                let upstream = tokio::task::spawn_local(async move {
                    let (stream, _) = listener.accept().await.expect("a connection");
                    let mut talk = TestConnection::over(stream);
                    let head = talk.head().await;
                    let (body, whole) = talk.body(&head).await;
                    peak.set(stores.iter().map(|s| s.held()).max().unwrap_or(0));
                    let framing = match chunked {
                        true => "Transfer-Encoding: chunked\r\n".to_string(),
                        false => format!("Content-Length: {}\r\n", answer.len()),
                    };
                    talk.say(stamped(&head, 200, &framing).as_bytes()).await;
                    for piece in answer.chunks(100_000) {
                        if chunked {
                            talk.say(format!("{:x}\r\n", piece.len()).as_bytes()).await;
                        }
                        talk.say(piece).await;
                        peak.set(peak.get().max(stores.iter().map(|s| s.held()).max().unwrap_or(0)));
                        if chunked {
                            talk.say(b"\r\n").await;
                        }
                    }
                    if chunked {
                        talk.say(b"0\r\n\r\n").await;
                    }
                    (head, body, whole)
                });
                let mut client = TestConnection::to(origin.at).await;
                let framing = match chunked {
                    true => "Transfer-Encoding: chunked\r\n".to_string(),
                    false => format!("Content-Length: {LARGE}\r\n"),
                };
                client.say(format!("POST /up/x HTTP/1.1\r\nHost: h\r\n{ID}{framing}\r\n").as_bytes()).await;
                if chunked {
                    for piece in sent.chunks(70_000) {
                        client.say(format!("{:x}\r\n", piece.len()).as_bytes()).await;
                        client.say(piece).await;
                        client.say(b"\r\n").await;
                    }
                    client.say(b"0\r\n\r\n").await;
                } else {
                    client.say(&sent).await;
                }
                let head = client.head().await;
                assert_eq!(status(&head), "200", "{head}");
                let (body, whole) = client.body(&head).await;
                assert!(whole && body == back);
                let (head, body, whole) = upstream.await.expect("it ends");
                assert!(whole && body == sent);
                assert_eq!(value(&head, "sender").as_deref(), Some("quotes"));
                assert!(value(&head, "expect").is_none() && value(&head, "waybill").is_none(), "{head}");
                assert!(most.get() <= 2 * (MAX_BUFFERED_BODY_BYTES as u64 + 65_536), "{}", most.get());
                // The same connection serves on.
                client.say(format!("GET /none HTTP/1.1\r\nHost: h\r\n{ID}\r\n").as_bytes()).await;
                assert_eq!(status(&client.head().await), "404");
                assert_eq!((origin.node_state.stores.held(), gate.node_state.stores.held()), (0, 0));
            }
        });
    }

    #[test]
    fn a_large_request_that_a_gate_turns_away_goes_elsewhere_whole() {
        trial::run(async {
            let (origin, gates) = mesh(2).await;
            // The first gate has heard of no upstream, so it turns all away.
            gates[1].0.beat();
            let sent = bytes(LARGE);
            let mut gates = gates.into_iter();
            let ((first, _one), (second, listener)) =
                (gates.next().expect("two"), gates.next().expect("two"));
            let want = sent.clone();
            let upstream = tokio::task::spawn_local(async move {
                for _ in 0..4 {
                    let (stream, _) = listener.accept().await.expect("a connection");
                    let mut talk = TestConnection::over(stream);
                    let head = talk.head().await;
                    let (body, whole) = talk.body(&head).await;
                    assert!(whole && body == want);
                    talk.say(stamped(&head, 200, "Connection: close\r\nContent-Length: 0\r\n").as_bytes())
                        .await;
                }
            });
            for i in 0..4 {
                let mut client = TestConnection::to(origin.at).await;
                let head = format!(
                    "POST /up/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {i}\r\nContent-Length: {LARGE}\r\n\r\n"
                );
                client.say(head.as_bytes()).await;
                client.say(&sent).await;
                let head = client.head().await;
                assert_eq!(status(&head), "200", "{head}");
            }
            upstream.await.expect("it ends");
            assert!(
                first.node_state.stores.held() == 0
                    && second.node_state.counters.delivered_requests.get() == 4
            );
        });
    }

    #[test]
    fn an_answer_that_breaks_off_does_not_appear_whole() {
        trial::run(async {
            for (framing, version) in [
                ("Transfer-Encoding: chunked\r\n", "1.1"),
                ("Content-Length: 9000000\r\n", "1.1"),
                ("Transfer-Encoding: chunked\r\n", "1.0"),
            ] {
                let (origin, mut gates) = mesh(1).await;
                let (gate, listener) = gates.remove(0);
                gate.beat();
                tokio::task::spawn_local(async move {
                    let (stream, _) = listener.accept().await.expect("a connection");
                    let mut talk = TestConnection::over(stream);
                    let head = talk.head().await;
                    talk.say(stamped(&head, 200, framing).as_bytes()).await;
                    let piece = bytes(2 * MAX_BUFFERED_BODY_BYTES);
                    if framing.starts_with('T') {
                        talk.say(format!("{:x}\r\n", piece.len()).as_bytes()).await;
                    }
                    talk.say(&piece).await;
                });
                let mut client = TestConnection::to(origin.at).await;
                let ask = format!("GET /safe/x HTTP/{version}\r\nHost: h\r\n{ID}\r\n");
                client.say(ask.as_bytes()).await;
                let head = client.head().await;
                assert_eq!(status(&head), "200", "{head}");
                if version == "1.0" {
                    // No length and no chunks: only a reset tells.
                    let mut room = vec![0; 1 << 16];
                    let end = loop {
                        match tokio::io::AsyncReadExt::read(&mut client.stream, &mut room).await {
                            Ok(0) => break None,
                            Ok(_) => {}
                            Err(e) => break Some(e.kind()),
                        }
                    };
                    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
                } else {
                    assert!(!client.body(&head).await.1);
                }
            }
        });
    }

    #[test]
    fn bodies_beyond_the_room_for_all_are_told_to_come_back() {
        trial::run(async {
            let (_, nobody) = trial::station().await;
            let terms = SidecarOptions { memory: 4 * 100_000, ..SidecarOptions::default() };
            let origin = trial::sidecar(1, nobody, terms).await;
            for n in [99_000, 200_000, 99_000] {
                let mut client = TestConnection::to(origin.at).await;
                client
                    .say(
                        format!("POST /up/x HTTP/1.1\r\nHost: h\r\n{ID}Content-Length: {n}\r\n\r\n")
                            .as_bytes(),
                    )
                    .await;
                let _ = tokio::io::AsyncWriteExt::write_all(&mut client.stream, &bytes(n)).await;
                let head = client.head().await;
                assert_eq!(status(&head), "503", "{head}");
                assert!(value(&head, "retry-after").is_some());
                let closed = value(&head, "connection").is_some();
                assert_eq!(closed, n > 100_000, "{head}");
            }
            assert_eq!(
                (origin.node_state.counters.rejected_for_memory.get(), origin.node_state.stores.held()),
                (1, 0)
            );
        });
    }
}
