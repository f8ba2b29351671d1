//! A relay of bytes between two ends, which strikes one connection once.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Between which two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// An origin and a gate.
    Hop,
    /// A gate and its upstream.
    Station,
}

/// In which direction the bytes go that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    Request,
    Answer,
}

/// What is done to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing goes on any more, in either direction, and nobody is told.
    Silence,
    /// Both sides are reset.
    Reset,
    /// Both sides are closed in order.
    Close,
    /// Nothing goes on until the client has its answer; then all of it does.
    Frozen,
    /// The gate's process is killed, and another one stands at its address.
    Restart,
    /// Who asked is reset; the rest of the request comes only once the client has its answer.
    Torn,
    /// Another request's answer goes to who asked.
    Other,
    /// A byte goes on behind the answer.
    Byte,
    /// The answer goes on twice.
    Double,
    /// The byte comes only once the next request has gone on.
    LateByte,
    /// The second answer does.
    LateDouble,
}

/// Where the strike falls, and what was seen of it.
#[derive(Default)]
pub struct Plan {
    pub strike: Option<(Link, Way, usize, Cut)>,
    /// From now on a connection may be struck.
    pub armed: Cell<bool>,
    /// On each link the first connection that carried a request since then.
    pub chosen: RefCell<BTreeMap<Link, u64>>,
    pub connections: Cell<u64>,
    pub struck: Cell<bool>,
    /// What is frozen goes on.
    pub awake: Cell<bool>,
    pub wake: Notify,
    /// The bytes of the chosen connections.
    pub carried: RefCell<BTreeMap<(Link, Way), Vec<u8>>>,
}

/// An answer that belongs to no request here.
pub const OTHER: &[u8] =
    b"HTTP/1.1 200 X\r\nAttempt-Id: zz\r\nPostmark: zz.1\r\nContent-Length: 4\r\n\r\n#END";

/// A relay before an address, which may come to stand for another process.
#[derive(Clone)]
pub struct Relay {
    pub at: SocketAddr,
    pub to: Rc<Cell<SocketAddr>>,
    /// Where the process stands that takes the place of a killed one.
    pub next: Rc<Cell<Option<SocketAddr>>>,
    link: Link,
    plan: Rc<Plan>,
}

/// One connection through a relay.
struct Carried {
    /// Gone where it was torn off.
    from: Option<TcpStream>,
    on: TcpStream,
    chosen: bool,
    /// Bytes passed since it was chosen, by way.
    passed: [usize; 2],
    answer: Vec<u8>,
    late: Vec<u8>,
}

impl Relay {
    pub async fn before(ip: Ipv4Addr, to: SocketAddr, link: Link, plan: &Rc<Plan>) -> Relay {
        let listener = TcpListener::bind((ip, 0)).await.expect("a port");
        let at = listener.local_addr().expect("bound");
        let relay = Relay { at, to: Rc::new(Cell::new(to)), next: Rc::default(), link, plan: plan.clone() };
        let own = relay.clone();
        tokio::task::spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                let Ok(on) = TcpStream::connect(own.to.get()).await else { continue };
                // Each write goes out at once, not only with the next request's acknowledgement.
                for stream in [&from, &on] {
                    stream.set_nodelay(true).expect("an option");
                }
                let (passed, answer, late) = ([0; 2], Vec::new(), Vec::new());
                let carried = Carried { from: Some(from), on, chosen: false, passed, answer, late };
                tokio::task::spawn_local(own.clone().carry(carried));
            }
        });
        relay
    }

    async fn carry(self, mut c: Carried) {
        let number = self.plan.connections.get();
        self.plan.connections.set(number + 1);
        let (mut asks, mut answers) = (vec![0; 64 * 1024], vec![0; 64 * 1024]);
        loop {
            let Some(from) = &mut c.from else {
                // Whatever is answered, nobody is there to hear it.
                let _ = tokio::io::copy(&mut c.on, &mut tokio::io::sink()).await;
                return;
            };
            let (way, came) = tokio::select! {
                biased;
                came = from.read(&mut asks) => (Way::Request, came),
                came = c.on.read(&mut answers) => (Way::Answer, came),
            };
            let bytes = match came {
                // Ends are passed on as they are.
                Ok(0) => return,
                Err(_) => return reset(&c),
                Ok(n) => if way == Way::Request { &asks[..n] } else { &answers[..n] }.to_vec(),
            };
            if self.plan.armed.get() && way == Way::Request && !c.chosen {
                c.chosen = *self.plan.chosen.borrow_mut().entry(self.link).or_insert(number) == number;
                c.passed = [0; 2];
            }
            if self.pass(&mut c, way, bytes).await.is_none() {
                return;
            }
        }
    }

    /// Pass bytes on, struck if it is time; `None`: the connection has ended.
    async fn pass(&self, c: &mut Carried, way: Way, bytes: Vec<u8>) -> Option<()> {
        let strike = self
            .plan
            .strike
            .filter(|s| c.chosen && !self.plan.struck.get() && (s.0, s.1) == (self.link, way));
        if c.chosen {
            self.plan.carried.borrow_mut().entry((self.link, way)).or_default().extend_from_slice(&bytes);
        }
        let before = c.passed[way as usize];
        c.passed[way as usize] += bytes.len();
        let mut late = Vec::new();
        match way {
            Way::Request => {
                late = std::mem::take(&mut c.late);
                c.answer.clear();
            }
            Way::Answer => c.answer.extend_from_slice(&bytes),
        }
        match strike {
            Some((.., cut @ (Cut::Byte | Cut::Double | Cut::LateByte | Cut::LateDouble))) => {
                self.write(c, way, &bytes).await?;
                if c.answer.ends_with(b"#END") || c.answer.ends_with(b"0\r\n\r\n") {
                    self.plan.struck.set(true);
                    let more = match cut {
                        Cut::Byte | Cut::LateByte => b"X".to_vec(),
                        _ => c.answer.clone(),
                    };
                    match cut {
                        Cut::Byte | Cut::Double => self.write(c, way, &more).await?,
                        _ => c.late = more,
                    }
                }
            }
            Some((.., at, cut)) if before + bytes.len() >= at => {
                self.plan.struck.set(true);
                let (first, rest) = bytes.split_at(at - before);
                self.write(c, way, first).await?;
                self.strike(c, cut).await?;
                self.write(c, way, rest).await?;
            }
            _ => self.write(c, way, &bytes).await?,
        }
        match late.is_empty() {
            true => Some(()),
            false => self.write(c, Way::Answer, &late).await,
        }
    }

    async fn write(&self, c: &mut Carried, way: Way, bytes: &[u8]) -> Option<()> {
        let to = if way == Way::Request { &mut c.on } else { c.from.as_mut()? };
        to.write_all(bytes).await.ok()
    }

    async fn strike(&self, c: &mut Carried, cut: Cut) -> Option<()> {
        match cut {
            Cut::Silence => std::future::pending().await,
            Cut::Reset => {
                reset(c);
                None
            }
            Cut::Close => None,
            Cut::Restart => {
                // The system of a killed process closes in order towards its upstream, and resets who asks.
                c.from.as_ref().into_iter().for_each(linger);
                self.next.take().into_iter().for_each(|next| self.to.set(next));
                None
            }
            Cut::Torn => {
                c.from.take().as_ref().into_iter().for_each(linger);
                while !self.plan.awake.get() {
                    self.plan.wake.notified().await;
                }
                Some(())
            }
            Cut::Frozen => {
                while !self.plan.awake.get() {
                    self.plan.wake.notified().await;
                }
                Some(())
            }
            Cut::Other => self.write(c, Way::Answer, OTHER).await,
            Cut::Byte | Cut::Double | Cut::LateByte | Cut::LateDouble => Some(()),
        }
    }
}

fn linger(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn reset(c: &Carried) {
    c.from.as_ref().into_iter().for_each(linger);
    linger(&c.on);
}
