//! What an upstream is and does now, and the heartbeats that say so.
use crate::execution_log::ExecutionLog;
use crate::http_connection::{call, ReadPace};
use crate::identifiers::unique_number;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// A heartbeat, or a sign-off, is answered within this.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// `POST`, followed by the upstream's name: it is there. A name of the wire.
const HEARTBEAT_PATH: &str = "/-/Stations.Heartbeat";
/// `POST`, followed by the upstream's name: it ends. A name of the wire.
const SIGN_OFF_PATH: &str = "/-/Stations.SignOff";

/// How an upstream works.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Requests at a time.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// Time that a request takes whose path ends with `/slow`.
    pub slow_work: Duration,
    /// Every n-th request runs, but its connection is closed without an answer; 0: none.
    pub cut_every: u64,
    /// After its start it warms up for so long, in seconds.
    pub warm_up_s: f64,
    /// Executions are written down; not in measurements.
    pub is_recorded: bool,
    /// How it reads the body of a request.
    pub read_pace: ReadPace,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        let work = Duration::from_millis(4);
        UpstreamBehaviour {
            slots: 16,
            queue: 16,
            work,
            slow_work: work,
            cut_every: 0,
            warm_up_s: 0.0,
            is_recorded: true,
            read_pace: ReadPace::Eager,
        }
    }
}

/// Where an upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamPlace {
    /// Its address.
    pub address: SocketAddr,
    /// The control address of the sidecar beside it.
    pub control: SocketAddr,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Between two heartbeats.
    pub heartbeat_interval: Duration,
}

/// What an upstream says when it is asked for its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthAnswers {
    /// Good unless it is draining.
    #[default]
    Truthful,
    /// Good, whatever it does.
    AlwaysGood,
    /// Bad, whatever it does.
    AlwaysBad,
}

/// A call to a sidecar whose content was taken when it was prepared, and that may be sent much later.
#[derive(Clone, Debug)]
pub struct PreparedCall {
    control: SocketAddr,
    path: String,
    body: String,
}

impl PreparedCall {
    /// The same call to another node.
    pub fn at(self, control: SocketAddr) -> Self {
        PreparedCall { control, ..self }
    }

    /// Send it; the status of the answer, if there was one.
    pub async fn send(&self) -> Option<u16> {
        let answer = call(self.control, "POST", &self.path, self.body.as_bytes(), HEARTBEAT_TIMEOUT).await;
        answer.ok().map(|response| response.status)
    }

    /// Send it; whether it was acknowledged.
    pub async fn is_acknowledged(&self) -> bool {
        self.send().await.is_some_and(|status| (200..300).contains(&status))
    }
}

/// What an upstream's tasks share.
pub(crate) struct State {
    pub(crate) id: String,
    pub(crate) place: UpstreamPlace,
    pub(crate) behaviour: UpstreamBehaviour,
    pub(crate) executions: Arc<ExecutionLog>,
    pub(crate) slots: Semaphore,
    /// Requests that wait or are at work.
    pub(crate) admitted: AtomicUsize,
    /// Requests that ran.
    pub(crate) executed: AtomicU64,
    sequence: AtomicU64,
    draining: AtomicBool,
    is_silent: AtomicBool,
    health_answers: Mutex<HealthAnswers>,
    warm_up_end: Mutex<Instant>,
}

impl State {
    pub(crate) fn new(
        place: UpstreamPlace,
        behaviour: UpstreamBehaviour,
        executions: Arc<ExecutionLog>,
    ) -> Self {
        State {
            id: format!("i-{:08x}", unique_number() as u32),
            slots: Semaphore::new(behaviour.slots.max(1)),
            admitted: AtomicUsize::new(0),
            executed: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            health_answers: Mutex::default(),
            warm_up_end: Mutex::new(Instant::now() + Duration::from_secs_f64(behaviour.warm_up_s.max(0.0))),
            place,
            behaviour,
            executions,
        }
    }

    pub(crate) fn begin_warm_up(&self, span: Duration) {
        *self.warm_up_end.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now() + span;
    }

    /// How long it still warms up.
    pub(crate) fn warm_up_left(&self) -> Duration {
        let end = *self.warm_up_end.lock().unwrap_or_else(PoisonError::into_inner);
        end.saturating_duration_since(Instant::now())
    }

    pub(crate) fn begin_draining(&self) {
        self.draining.store(true, Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Relaxed)
    }

    pub(crate) fn stop_heartbeats(&self) {
        self.is_silent.store(true, Relaxed);
    }

    pub(crate) fn sends_heartbeats(&self) -> bool {
        !self.is_silent.load(Relaxed)
    }

    pub(crate) fn set_health_answers(&self, answers: HealthAnswers) {
        *self.health_answers.lock().unwrap_or_else(PoisonError::into_inner) = answers;
    }

    /// Whether it says that it is well.
    pub(crate) fn says_healthy(&self) -> bool {
        match *self.health_answers.lock().unwrap_or_else(PoisonError::into_inner) {
            HealthAnswers::Truthful => !self.is_draining(),
            HealthAnswers::AlwaysGood => true,
            HealthAnswers::AlwaysBad => false,
        }
    }

    /// The next heartbeat, with what is so now. The names in it are the wire's.
    pub(crate) fn prepare_heartbeat(&self) -> PreparedCall {
        let sequence = self.sequence.fetch_add(1, Relaxed) + 1;
        let state = if self.is_draining() { "draining" } else { "ready" };
        let heartbeat = json!({
            "destination": self.place.service, "address": self.place.address.to_string(), "zone": self.place.zone,
            "edition": "v1", "slots": self.behaviour.slots, "state": state,
            "coldLeftS": self.warm_up_left().as_secs_f64(), "sequence": sequence,
        });
        let (control, path) = (self.place.control, format!("{HEARTBEAT_PATH}/{}", self.id));
        PreparedCall { control, path, body: heartbeat.to_string() }
    }

    /// Its sign-off.
    pub(crate) fn prepare_sign_off(&self) -> PreparedCall {
        let path = format!("{SIGN_OFF_PATH}/{}", self.id);
        PreparedCall { control: self.place.control, path, body: String::new() }
    }

    /// Send a heartbeat; whether it was acknowledged.
    pub(crate) async fn send_heartbeat(&self) -> bool {
        self.prepare_heartbeat().is_acknowledged().await
    }
}
