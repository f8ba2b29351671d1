//! A stand-in upstream: works on some requests at a time, queues a few, stamps its answers, sends heartbeats to the sidecar beside
//! it, and writes down every request that it runs.
mod long_response;
mod server;
mod stamp;
mod state;

pub(crate) use long_response::{long_body, LongResponsePlan};
pub(crate) use server::SLOW_SUFFIX;
pub use stamp::{response_body, stamp};
pub use state::{HealthAnswers, PreparedCall, UpstreamBehaviour, UpstreamPlace};

use crate::execution_log::ExecutionLog;
use crate::http_connection::HttpConnection;
use state::State;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// How much longer than it has to an upstream serves on when it leaves.
const LEAVE_SLACK: Duration = Duration::from_millis(200);

/// A running upstream. Dropping it ends it and its connections at once.
pub struct Upstream {
    state: Arc<State>,
    tasks: Vec<AbortHandle>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).iter().for_each(AbortHandle::abort);
    }
}

impl Upstream {
    /// Start one; it sends heartbeats from now on.
    ///
    /// # Errors
    /// When its address is taken.
    pub async fn start(
        place: UpstreamPlace,
        behaviour: UpstreamBehaviour,
        executions: Arc<ExecutionLog>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(place.address).await?;
        let state = Arc::new(State::new(place, behaviour, executions));
        let connections: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
        let (serving, open) = (state.clone(), connections.clone());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = tokio::spawn(server::serve(serving.clone(), HttpConnection::new(stream)));
                let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                open.retain(|task| !task.is_finished());
                open.push(task.abort_handle());
            }
        });
        let sending = state.clone();
        let heartbeats = tokio::spawn(async move {
            loop {
                if sending.sends_heartbeats() {
                    sending.send_heartbeat().await;
                }
                tokio::time::sleep(sending.place.heartbeat_interval).await;
            }
        });
        Ok(Upstream { state, tasks: vec![accepting.abort_handle(), heartbeats.abort_handle()], connections })
    }

    /// The name of this incarnation.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.state.place.service
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.state.place.zone
    }

    /// Warm up for so long from now on.
    pub fn begin_warm_up(&self, span: Duration) {
        self.state.begin_warm_up(span);
    }

    /// Say that it drains; whether that was acknowledged. It serves on.
    pub async fn drain(&self) -> bool {
        self.prepare_drain().is_acknowledged().await
    }

    /// The heartbeat that says that it drains, from now on; it serves on.
    pub fn prepare_drain(&self) -> PreparedCall {
        self.state.begin_draining();
        self.state.prepare_heartbeat()
    }

    /// The next heartbeat, with what is so now; it is sent by whoever has it.
    pub fn prepare_heartbeat(&self) -> PreparedCall {
        self.state.prepare_heartbeat()
    }

    /// Send no further heartbeats.
    pub fn stop_heartbeats(&self) {
        self.state.stop_heartbeats();
    }

    /// What it says from now on when it is asked for its health.
    pub fn set_health_answers(&self, answers: HealthAnswers) {
        self.state.set_health_answers(answers);
    }

    /// Its sign-off; it serves on.
    pub fn prepare_sign_off(&self) -> PreparedCall {
        self.state.prepare_sign_off()
    }

    /// Sign off and end; whether that was acknowledged.
    pub async fn sign_off(self) -> bool {
        self.state.prepare_sign_off().is_acknowledged().await
    }

    /// A planned end: drains, serves on for `drain` after the acknowledgement and a little longer, signs off, ends.
    pub async fn leave(self, drain: Duration) {
        self.drain().await;
        tokio::time::sleep(drain + LEAVE_SLACK).await;
        self.sign_off().await;
    }
}
