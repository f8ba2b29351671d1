//! What a gate remembers of requests that may run once, so that an origin whose hop broke can ask what became of one: at work, its
//! answer, or that it was never begun here. A request that was asked for before it came is barred.
use crate::mutation::{self, Mutation};
use rand_core::RngCore;
use silvercross_facade::Clock;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// Requests remembered, those at work too. While there are as many, others are not remembered, and for [`SPAN`] from then on
/// nothing is said of what is not known.
const MOST: usize = 65_536;
/// A request is remembered so long after its end, in microseconds.
pub const SPAN: i64 = 60_000_000;
/// Its answer is kept so long, in microseconds, or until the origin has shown that it has it.
const KEPT: i64 = 10_000_000;
/// Answers kept; the oldest goes first.
const ANSWERS: usize = 4096;
/// Their bytes, as a part of the process's memory.
const PART: u64 = 32;

/// An answer's bytes as they went on the hop.
#[derive(Clone)]
pub struct Kept {
    /// The bytes.
    pub bytes: Rc<Vec<u8>>,
    /// They name this process's life.
    pub lived: bool,
}

enum State {
    /// It waits or is at the upstream.
    Working,
    /// This was answered.
    Answered(Kept),
    /// It may have run, and there is no answer (any more).
    Begun,
    /// It was not begun, and will not be.
    Off,
}

/// What is known of a request.
#[derive(Clone)]
pub enum Known {
    /// It was answered so.
    Answered(Kept),
    /// It may have run.
    Begun,
    /// It came, was not begun, and will not be.
    Off,
    /// It has not come to this process, and will be turned away if it does.
    Unseen,
}

struct Inner {
    states: BTreeMap<u64, State>,
    /// Those that ended, in order.
    ended: VecDeque<(i64, u64)>,
    /// Those whose answer is kept, in order; some may have let go of it.
    kept: VecDeque<(i64, u64)>,
    bytes: u64,
    blind_until: i64,
}

/// The receipts of one gate.
pub struct ResponseReplayCache {
    /// Tells this process from those before it.
    pub life: u64,
    clock: Clock,
    most: u64,
    inner: RefCell<Inner>,
    ends: Notify,
}

impl ResponseReplayCache {
    /// With nothing remembered, for a process of so many bytes of memory.
    pub fn new(clock: Clock, chance: &mut impl RngCore, memory: u64) -> Rc<Self> {
        let inner = Inner {
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            bytes: 0,
            blind_until: i64::MIN,
        };
        let ends = Notify::new();
        let (life, most, inner) = (chance.next_u64(), memory / PART, RefCell::new(inner));
        Rc::new(ResponseReplayCache { life, clock, most, inner, ends })
    }

    /// A request has come; `Err` if it was asked for before, or is known already: it must not begin.
    pub fn enter(self: &Rc<Self>, ticket: u64) -> Result<ReplayEntry, ()> {
        let now = self.remove_expired();
        let mut inner = self.inner.borrow_mut();
        if inner.states.contains_key(&ticket) {
            return Err(());
        }
        let written = inner.states.len() < MOST;
        if written {
            inner.states.insert(ticket, State::Working);
        } else {
            inner.blind_until = now + SPAN;
        }
        Ok(ReplayEntry { all: self.clone(), ticket, written, begun: Cell::new(false) })
    }

    /// What became of a request; waits for its end while it is at work.
    pub async fn ask(&self, ticket: u64) -> Known {
        loop {
            let ends = self.ends.notified();
            tokio::pin!(ends);
            // In line before it is looked at, so that no end is missed.
            ends.as_mut().enable();
            let now = self.remove_expired();
            {
                let mut inner = self.inner.borrow_mut();
                match inner.states.get(&ticket) {
                    Some(State::Working) => {}
                    Some(State::Answered(kept)) => return Known::Answered(kept.clone()),
                    Some(State::Begun) => return Known::Begun,
                    Some(State::Off) => return Known::Off,
                    None if now < inner.blind_until || inner.states.len() >= MOST => return Known::Begun,
                    None => {
                        if mutation::is_active(Mutation::LateStartAllowed) {
                            return Known::Unseen;
                        }
                        // It may still be on its way.
                        inner.states.insert(ticket, State::Off);
                        inner.ended.push_back((now, ticket));
                        return Known::Unseen;
                    }
                }
            }
            ends.await;
        }
    }

    /// The origin has shown that it has the answer.
    pub fn taken(&self, ticket: u64) {
        self.inner.borrow_mut().let_go(ticket);
    }

    /// How many are remembered, and the bytes of their answers.
    pub fn load(&self) -> (usize, u64) {
        let inner = self.inner.borrow();
        (inner.states.len(), inner.bytes)
    }

    fn end(&self, ticket: u64, state: State) {
        let now = self.clock.now();
        {
            let mut inner = self.inner.borrow_mut();
            if let State::Answered(kept) = &state {
                inner.bytes += kept.bytes.len() as u64;
                inner.kept.push_back((now, ticket));
            }
            inner.states.insert(ticket, state);
            inner.ended.push_back((now, ticket));
            while inner.bytes > self.most || inner.kept.len() > ANSWERS {
                let Some((_, oldest)) = inner.kept.pop_front() else { break };
                inner.let_go(oldest);
            }
        }
        self.ends.notify_waiters();
    }

    /// Forget what is old enough; the time it is.
    pub fn remove_expired(&self) -> i64 {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        while let Some((_, ticket)) = inner.kept.pop_front_if(|k| k.0 + KEPT <= now) {
            inner.let_go(ticket);
        }
        let span = if mutation::is_active(Mutation::ReplayEntryForgotten) { 0 } else { SPAN };
        while let Some((_, ticket)) = inner.ended.pop_front_if(|e| e.0 + span <= now) {
            inner.let_go(ticket);
            inner.states.remove(&ticket);
        }
        now
    }
}

impl Inner {
    fn let_go(&mut self, ticket: u64) {
        if let Some(state @ State::Answered(_)) = self.states.get_mut(&ticket) {
            if let State::Answered(kept) = std::mem::replace(state, State::Begun) {
                self.bytes -= kept.bytes.len() as u64;
            }
        }
    }
}

/// One request's entry. Dropped without an answer it says whether it may have run.
pub struct ReplayEntry {
    all: Rc<ResponseReplayCache>,
    /// The request's ticket.
    pub ticket: u64,
    written: bool,
    begun: Cell<bool>,
}

impl ReplayEntry {
    /// From now on it may have run.
    pub fn begun(&self) {
        self.begun.set(true);
    }

    /// It was answered so.
    pub fn answered(mut self, kept: Kept) {
        if std::mem::take(&mut self.written) {
            self.all.end(self.ticket, State::Answered(kept));
        }
    }
}

impl Drop for ReplayEntry {
    fn drop(&mut self) {
        if self.written {
            let state = if self.begun.get() { State::Begun } else { State::Off };
            self.all.end(self.ticket, state);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::trial::{self, stamped, status, Relay, Sidecar, SidecarOptions, TestConnection, Way};
    use rand_core::SeedableRng;
    use std::net::SocketAddr;
    use tokio::sync::Semaphore;

    /// An upstream that runs requests one at a time, each once it is let.
    struct Upstream {
        at: SocketAddr,
        ran: Rc<RefCell<Vec<String>>>,
        came: Rc<Semaphore>,
        go: Rc<Semaphore>,
    }

    async fn upstream() -> Upstream {
        let (listener, at) = trial::station().await;
        let (ran, came, go) =
            (Rc::new(RefCell::default()), Rc::new(Semaphore::new(0)), Rc::new(Semaphore::new(0)));
        let up = Upstream { at, ran, came, go };
        let (ran, came, go) = (up.ran.clone(), up.came.clone(), up.go.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (ran, came, go) = (ran.clone(), came.clone(), go.clone());
                tokio::task::spawn_local(async move {
                    let mut talk = TestConnection::over(stream);
                    loop {
                        let head = talk.head().await;
                        if head.is_empty() {
                            return;
                        }
                        ran.borrow_mut().push(trial::value(&head, "attempt-id").unwrap_or_default());
                        came.add_permits(1);
                        go.acquire().await.expect("open").forget();
                        talk.say(stamped(&head, 200, "Content-Length: 2\r\n").as_bytes()).await;
                        talk.say(b"ok").await;
                    }
                });
            }
        });
        up
    }

    struct Mesh {
        origin: Sidecar,
        gate: Sidecar,
        relay: Relay,
        up: Upstream,
    }

    async fn mesh() -> Mesh {
        let (_, nobody) = trial::station().await;
        let up = upstream().await;
        let origin = trial::sidecar(1, nobody, SidecarOptions::default()).await;
        let gate = trial::sidecar(2, up.at, SidecarOptions::default()).await;
        gate.beat();
        let relay = Relay::between(&origin, &gate).await;
        Mesh { origin, gate, relay, up }
    }

    impl Mesh {
        async fn ask(&self, id: &str) -> TestConnection {
            let mut client = TestConnection::to(self.origin.at).await;
            client
                .say(
                    format!(
                        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    )
                    .as_bytes(),
                )
                .await;
            client
        }

        /// One request goes well; the origin then knows the gate's life, and its next hop is a new connection.
        async fn met(&self) {
            self.up.go.add_permits(1);
            assert_eq!(status(&self.ask("first").await.head().await), "200");
            self.up.came.acquire().await.expect("open").forget();
            self.origin.node_state.pool.close_idle(self.relay.at);
        }

        fn ran(&self, id: &str) -> usize {
            self.up.ran.borrow().iter().filter(|r| *r == id).count()
        }
    }

    #[test]
    fn an_answer_is_had_though_its_hop_breaks() {
        trial::run(async {
            for way in [Way::CutWhenTold, Way::SwallowAnswer] {
                let m = mesh().await;
                m.relay.ways.borrow_mut().push_back(way);
                let mut client = m.ask("a").await;
                m.up.came.acquire().await.expect("open").forget();
                if way == Way::CutWhenTold {
                    m.relay.cut.notify_one();
                    // It goes on, and the origin's question waits for it.
                    while m.gate.node_state.counters.orphaned_requests.get() == 0
                        || m.origin.node_state.counters.outcome_queries.get() == 0
                    {
                        tokio::task::yield_now().await;
                    }
                }
                m.up.go.add_permits(1);
                let head = client.head().await;
                assert_eq!(status(&head), "200", "{head}");
                assert!(trial::value(&head, "waybill-life").is_none());
                assert_eq!((client.bytes(2).await, m.ran("a")), (b"ok".to_vec(), 1));
                assert_eq!(m.origin.node_state.counters.recovered_requests.get(), 1);
            }
        });
    }

    #[test]
    fn what_never_came_to_the_same_life_goes_again_and_is_barred_if_it_comes_late() {
        trial::run(async {
            let m = mesh().await;
            m.met().await;
            m.relay.ways.borrow_mut().push_back(Way::KeepRequest);
            let mut client = m.ask("b").await;
            m.up.go.add_permits(1);
            let head = client.head().await;
            // Nothing ran, so it may have been placed again; else it is a promise.
            assert!(matches!(status(&head), "200" | "503"), "{head}");
            let ran = m.ran("b");
            assert_eq!(ran, usize::from(status(&head) == "200"));
            // The request itself, late.
            let mut late = TestConnection::to(m.gate.inbound).await;
            let kept = m.relay.kept.borrow().clone();
            assert!(!kept.is_empty());
            late.say(&kept).await;
            assert_eq!(late.head().await, "");
            assert_eq!(m.ran("b"), ran);
            assert_eq!(m.origin.node_state.counters.recovered_requests.get(), 1);
        });
    }

    #[test]
    fn another_life_or_an_unknown_one_proves_nothing() {
        trial::run(async {
            for known in [false, true] {
                let m = mesh().await;
                if known {
                    m.met().await;
                }
                m.relay.ways.borrow_mut().push_back(Way::KeepRequest);
                // Another process has taken the gate's place.
                let other = trial::sidecar(2, m.up.at, SidecarOptions::default()).await;
                other.beat();
                if known {
                    m.relay.to.set(other.inbound);
                }
                let mut client = m.ask("c").await;
                m.up.go.add_permits(1);
                let head = client.head().await;
                assert_eq!((status(&head), m.ran("c")), ("502", 0), "{head}");
            }
        });
    }

    #[test]
    fn what_the_origin_calls_off_is_not_run_on() {
        trial::run(async {
            let m = mesh().await;
            let bill = crate::forwarding_headers::ForwardingHeaders {
                version: crate::forwarding_headers::VERSION,
                service: "quotes".into(),
                further: false,
                priority: 1,
                repeatable: false,
                aim: 1_000_000,
                ticket: 9,
                asks: false,
            };
            let ask = |asks: bool| {
                let bill = crate::forwarding_headers::write(&crate::forwarding_headers::ForwardingHeaders {
                    asks,
                    ..bill.clone()
                });
                format!("GET /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: d\r\nWaybill: {bill}\r\n\r\n")
            };
            let mut hop = TestConnection::to(m.gate.inbound).await;
            hop.say(ask(false).as_bytes()).await;
            m.up.came.acquire().await.expect("open").forget();
            drop(hop);
            while m.gate.node_state.gate.with_admission(|w| w.load()).0 > 0 {
                tokio::task::yield_now().await;
            }
            let mut asking = TestConnection::to(m.gate.inbound).await;
            asking.say(ask(true).as_bytes()).await;
            let head = asking.head().await;
            let word =
                trial::value(&head, "waybill-return").and_then(|t| crate::forwarding_headers::read(&t));
            assert_eq!(
                (word, m.gate.node_state.counters.orphaned_requests.get()),
                (Some(crate::forwarding_headers::GateStatus::Begun), 0)
            );
        });
    }

    #[test]
    fn answers_are_kept_within_their_bound_and_the_rest_may_have_run() {
        trial::run(async {
            let clock = silvercross_facade::Clock::system();
            let all = ResponseReplayCache::new(clock, &mut rand_pcg::Pcg64Mcg::seed_from_u64(1), 100 * PART);
            for ticket in 1..=3 {
                let replay_entry = all.enter(ticket).unwrap_or_else(|()| panic!("known"));
                replay_entry.begun();
                replay_entry.answered(Kept { bytes: Rc::new(vec![0; 40]), lived: false });
            }
            assert_eq!(all.load(), (3, 80));
            assert!(matches!(all.ask(1).await, Known::Begun));
            assert!(matches!(all.ask(3).await, Known::Answered(_)));
            all.taken(3);
            assert!(matches!(all.ask(3).await, Known::Begun));
            assert!(all.enter(2).is_err());
            drop(all.enter(4).unwrap_or_else(|()| panic!("known")));
            assert!(matches!(all.ask(4).await, Known::Off));
            assert!(matches!(all.ask(5).await, Known::Unseen));
            assert!(all.enter(5).is_err());
            assert_eq!(all.load(), (5, 40));
        });
    }
}
