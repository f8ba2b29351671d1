//! A stand-in upstream: works on some requests at a time, queues a few, stamps its answers, beats to the sidecar beside it, and
//! writes down every request that it runs.
use crate::line::{call, Asked, Line};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A beat, or a sign-off, is answered within this.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);

/// Which requests ran, and where. Bounded by the length of a run only: it is the witness's memory.
#[derive(Debug, Default)]
pub struct Runs {
    all: Mutex<BTreeMap<String, Vec<String>>>,
    by_station: Mutex<BTreeMap<String, u64>>,
    working: AtomicUsize,
    plain: AtomicU64,
}

impl Runs {
    pub(crate) fn began(&self, id: &str, station: &str) {
        self.all
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(id.into())
            .or_default()
            .push(station.into());
        let mut by_station = self.by_station.lock().unwrap_or_else(PoisonError::into_inner);
        *by_station.entry(station.into()).or_default() += 1;
    }

    /// At which stations a request ran, in order.
    pub fn of(&self, id: &str) -> Vec<String> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned().unwrap_or_default()
    }

    /// How many requests a station ran.
    pub fn at(&self, station: &str) -> u64 {
        let by_station = self.by_station.lock().unwrap_or_else(PoisonError::into_inner);
        by_station.get(station).copied().unwrap_or(0)
    }

    /// How many requests are at work now.
    pub fn working(&self) -> usize {
        self.working.load(Relaxed)
    }
}

/// How a station works.
#[derive(Clone, Debug)]
pub struct Manner {
    /// Requests at a time.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// Every n-th request runs, but its connection is closed without an answer; 0: none.
    pub cut_every: u64,
    /// After its start it is cold for so long, in seconds.
    pub cold_s: f64,
    /// Runs are written down; not in measurements.
    pub witnessed: bool,
}

impl Default for Manner {
    fn default() -> Self {
        let work = Duration::from_millis(4);
        Manner { slots: 16, queue: 16, work, cut_every: 0, cold_s: 0.0, witnessed: true }
    }
}

/// Where a station stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its address.
    pub at: SocketAddr,
    /// The control address of the sidecar beside it.
    pub control: SocketAddr,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Between two beats.
    pub beat: Duration,
}

struct Inner {
    id: String,
    place: Place,
    manner: Manner,
    runs: Arc<Runs>,
    slots: Semaphore,
    inside: AtomicUsize,
    count: AtomicU64,
    sequence: AtomicU64,
    draining: std::sync::atomic::AtomicBool,
    cold_until: Mutex<Instant>,
}

/// One life of an upstream. Dropping it is a crash.
pub struct Station {
    inner: Arc<Inner>,
    tasks: Vec<AbortHandle>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Drop for Station {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).iter().for_each(AbortHandle::abort);
    }
}

/// What a station answers with: who served what, and what came of the body.
pub fn body(station: &str, asked: &Asked) -> String {
    let (id, sender) = (asked.id.as_deref().unwrap_or("-"), asked.sender.as_deref().unwrap_or("-"));
    let (length, hash) = (asked.body.len(), crate::hash(&asked.body));
    format!("{station} served {id} {} from {sender} with {length} bytes {hash:016x}\n", asked.target)
}

/// The stamp of an answer.
pub fn stamp(station: &str, id: &str, body: &[u8]) -> String {
    format!("{station}.{:08x}.{}.{:016x}", crate::hash(id.as_bytes()) as u32, body.len(), crate::hash(body))
}

impl Station {
    /// Start a life: listen, and beat from now on.
    pub async fn start(place: Place, manner: Manner, runs: Arc<Runs>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(place.at).await?;
        let cold_until = Instant::now() + Duration::from_secs_f64(manner.cold_s.max(0.0));
        let inner = Arc::new(Inner {
            id: format!("i-{:08x}", crate::fresh() as u32),
            slots: Semaphore::new(manner.slots.max(1)),
            inside: AtomicUsize::new(0),
            count: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            draining: false.into(),
            cold_until: Mutex::new(cold_until),
            place,
            manner,
            runs,
        });
        let connections: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
        let (serving, open) = (inner.clone(), connections.clone());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = tokio::spawn(serve(serving.clone(), Line::new(stream)));
                let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                open.retain(|t| !t.is_finished());
                open.push(task.abort_handle());
            }
        });
        let beating = inner.clone();
        let beats = tokio::spawn(async move {
            loop {
                beating.beat().await;
                tokio::time::sleep(beating.place.beat).await;
            }
        });
        Ok(Station { inner, tasks: vec![accepting.abort_handle(), beats.abort_handle()], connections })
    }

    /// The name of this life.
    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.inner.place.service
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.inner.place.zone
    }

    /// It is cold for so long from now on.
    pub fn cool(&self, span: Duration) {
        *self.inner.cold_until.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now() + span;
    }

    /// Say that it drains; whether that was acknowledged. It serves on.
    pub async fn drain(&self) -> bool {
        self.inner.draining.store(true, Relaxed);
        self.inner.beat().await
    }

    /// Sign off and end.
    pub async fn sign_off(self) -> bool {
        let path = format!("/-/Stations.SignOff/{}", self.inner.id);
        let said = call(self.inner.place.control, "POST", &path, b"", ACKNOWLEDGED).await;
        said.is_ok_and(|a| (200..300).contains(&a.status))
    }

    /// A planned end: drains, serves on for `drain` after the acknowledgement and a little longer, signs off, ends.
    pub async fn leave(self, drain: Duration) {
        self.drain().await;
        tokio::time::sleep(drain + Duration::from_millis(200)).await;
        self.sign_off().await;
    }
}

impl Inner {
    fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.saturating_duration_since(Instant::now())
    }

    async fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Relaxed) + 1;
        let state = if self.draining.load(Relaxed) { "draining" } else { "ready" };
        let beat = json!({
            "destination": self.place.service, "address": self.place.at.to_string(), "zone": self.place.zone,
            "edition": "v1", "slots": self.manner.slots, "state": state,
            "coldLeftS": self.cold_left().as_secs_f64(), "sequence": sequence,
        });
        let path = format!("/-/Stations.Heartbeat/{}", self.id);
        let said = call(self.place.control, "POST", &path, beat.to_string().as_bytes(), ACKNOWLEDGED).await;
        said.is_ok_and(|a| (200..300).contains(&a.status))
    }
}

fn answer(status: u16, id: Option<&str>, lines: &str, body: &[u8]) -> Vec<u8> {
    use std::io::Write;
    let mut out = Vec::with_capacity(body.len() + 256);
    let _ = write!(out, "HTTP/1.1 {status} Status\r\n{lines}Content-Length: {}\r\n", body.len());
    if let Some(id) = id {
        let _ = write!(out, "Attempt-Id: {id}\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

fn not_delivered(status: u16, id: Option<&str>) -> Vec<u8> {
    answer(status, id, "Not-Delivered: 1\r\n", b"")
}

/// Counts one inside, or at work, for as long as it is held.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

async fn serve(me: Arc<Inner>, mut line: Line) {
    while let Ok(Some(asked)) = line.request().await {
        let bytes = tokio::select! {
            bytes = one(&me, &asked) => bytes,
            // A request is dropped once its connection closes.
            () = line.closed() => return,
        };
        let Some(bytes) = bytes else { return };
        if line.write(&bytes).await.is_err() || !asked.keep_alive {
            return;
        }
    }
}

/// The answer to one request; `None`: the connection is cut.
async fn one(me: &Inner, asked: &Asked) -> Option<Vec<u8>> {
    let id = asked.id.as_deref();
    let health = asked.method == "GET" && asked.target == "/health";
    if asked.expects.as_ref().is_some_and(|e| *e != me.id) {
        return Some(not_delivered(421, id));
    }
    if id.is_none() && !health {
        return Some(not_delivered(400, id));
    }
    if me.inside.load(Relaxed) >= me.manner.slots + me.manner.queue {
        return Some(not_delivered(503, id));
    }
    let _inside = Counted::new(&me.inside);
    let patience = Duration::from_millis(asked.deadline.unwrap_or(60_000));
    let Ok(Ok(_slot)) = tokio::time::timeout(patience, me.slots.acquire()).await else {
        return Some(not_delivered(503, id));
    };
    if health {
        let status = if me.draining.load(Relaxed) { 503 } else { 200 };
        let lines = format!("Station: {}\r\nCold-Ms: {}\r\n", me.id, me.cold_left().as_millis());
        return Some(answer(status, id, &lines, b""));
    }
    let name = id.unwrap_or_default();
    let _working = Counted::new(&me.runs.working);
    if me.manner.witnessed {
        me.runs.began(name, &me.id);
    } else {
        me.runs.plain.fetch_add(1, Relaxed);
    }
    if !me.manner.work.is_zero() {
        tokio::time::sleep(me.manner.work).await;
    }
    let count = me.count.fetch_add(1, Relaxed) + 1;
    if me.manner.cut_every > 0 && count.is_multiple_of(me.manner.cut_every) {
        return None;
    }
    let body = body(&me.id, asked);
    let lines = format!("Postmark: {}\r\nContent-Type: text/plain\r\n", stamp(&me.id, name, body.as_bytes()));
    Some(answer(200, id, &lines, body.as_bytes()))
}
