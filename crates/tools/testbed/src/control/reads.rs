//! What a control machine answers to a read and to a change, and whether that holds all that was acknowledged before.
use crate::client::RequestKind;
use crate::http_connection::call;
use crate::operator::{patch, Operator, Route};
use crate::testbed::{get_json, Testbed, STATE_PATH};
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{Context, Result};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The platform asks and the operator sends within this, or goes elsewhere.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two looks at a machine that was cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The version of the prober's first change: those below are the first configuration's.
const FIRST_VERSION: u64 = 10;

/// What a machine answered to a read.
struct Read {
    answer: String,
    faults: Vec<String>,
}

impl Read {
    fn is_complete(&self) -> bool {
        self.answer == "read 200" && self.faults.is_empty()
    }
}

/// What a machine answers to a read: 200 only with all that was acknowledged before it was asked.
async fn read_at(address: SocketAddr, operator: &Operator) -> Read {
    let before = operator.snapshot();
    let response = match call(address, "GET", "/-/Config.Get", b"", CALL_TIMEOUT).await {
        Ok(response) => response,
        Err(_) => return Read { answer: "read: no answer".to_string(), faults: Vec::new() },
    };
    let mut faults = Vec::new();
    if response.status == 200 {
        faults = match serde_json::from_slice(&response.body) {
            Ok(configuration) => before.missing_from(&configuration),
            Err(error) => vec![error.to_string()],
        };
        faults.iter_mut().for_each(|fault| *fault = format!("a stale read at {address}: {fault}"));
    }
    Read { answer: format!("read {}", response.status), faults }
}

/// What a machine answered while it was probed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeResult {
    /// Answers, and how often each came.
    pub(crate) answers: BTreeMap<String, u64>,
    /// What was wrong with them.
    pub(crate) faults: Vec<String>,
}

/// Asks one machine to read and to change, for as long as it lives.
pub(crate) struct Prober {
    result: Arc<Mutex<ProbeResult>>,
    task: JoinHandle<()>,
}

impl Drop for Prober {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn change_at(address: SocketAddr, operator: &Operator, change: &Value) -> String {
    let body = change.to_string();
    match call(address, "POST", "/-/Config.Patch", body.as_bytes(), CALL_TIMEOUT).await {
        Ok(response) => {
            // What is acknowledged has to be read back, whoever did so.
            if response.status == 200 {
                operator.record_acknowledged(change);
            }
            format!("order {}", response.status)
        }
        Err(_) => "order: no answer".to_string(),
    }
}

impl Prober {
    pub(crate) fn start(testbed: &Testbed, machine: usize) -> Self {
        let result: Arc<Mutex<ProbeResult>> = Arc::default();
        let (address, operator) = (testbed.mesh.control(machine), testbed.operator.clone());
        let (service, notes) = (testbed.services()[0].clone(), result.clone());
        let task = tokio::spawn(async move {
            for version in FIRST_VERSION.. {
                let mut read = read_at(address, &operator).await;
                let route = Route {
                    name: "r-apart".into(),
                    path_prefix: "/apart/".into(),
                    ..Route::of(&service, RequestKind::Safe)
                };
                let order = change_at(address, &operator, &patch(&[route], &[], version)).await;
                {
                    let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
                    for answer in [read.answer, order] {
                        *notes.answers.entry(answer).or_default() += 1;
                    }
                    notes.faults.append(&mut read.faults);
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        Prober { result, task }
    }

    /// What was answered so far, and what was wrong with it.
    pub(crate) fn result(&self) -> ProbeResult {
        self.result.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Whether a control machine believes that it owns the configuration; the names are the wire's.
async fn owns_configuration(address: SocketAddr) -> bool {
    let state = get_json(address, STATE_PATH).await;
    let mut keys = state["ledger"]["keys"].as_array().into_iter().flatten();
    keys.any(|key| key["key"] == "configuration" && key["role"] == "owner")
}

/// The control machine that owns the configuration.
pub(crate) async fn configuration_owner(testbed: &Testbed) -> Result<usize> {
    let found = Mutex::new(None);
    wait_until("a control machine owns the configuration", WAIT_TIMEOUT, || async {
        for machine in testbed.mesh.control_machines() {
            if owns_configuration(testbed.mesh.control(machine)).await {
                found.lock().unwrap_or_else(PoisonError::into_inner).replace(machine);
                return true;
            }
        }
        false
    })
    .await?;
    let owner = *found.lock().unwrap_or_else(PoisonError::into_inner);
    owner.context("an owner")
}

/// Wait until a machine answers a read itself with all that was acknowledged before; how long that took. Reads with less are
/// added to `faults`.
pub(crate) async fn wait_for_complete_read(
    testbed: &Testbed,
    machine: usize,
    what: &str,
    faults: &mut Vec<String>,
) -> Result<Duration> {
    let (began, address) = (Instant::now(), testbed.mesh.control(machine));
    let wrong = Mutex::new(Vec::new());
    wait_until(what, WAIT_TIMEOUT, || async {
        let mut read = read_at(address, &testbed.operator).await;
        let is_complete = read.is_complete();
        wrong.lock().unwrap_or_else(PoisonError::into_inner).append(&mut read.faults);
        is_complete
    })
    .await?;
    faults.append(&mut wrong.into_inner().unwrap_or_else(PoisonError::into_inner));
    Ok(began.elapsed())
}

/// Wait until a machine answers a read with all that was acknowledged so far, itself or through another: one that holds no control
/// state redirects the caller; what is read there counts as well.
pub(crate) async fn wait_for_read_back(testbed: &Testbed, machine: usize, what: &str) -> Result<()> {
    let (address, operator) = (testbed.mesh.control(machine), testbed.operator.snapshot());
    wait_until(what, WAIT_TIMEOUT, || async {
        let answer = operator.call_once(address, "GET", "/-/Config.Get", b"").await;
        answer.is_ok_and(|response| {
            response.status == 200
                && serde_json::from_slice(&response.body)
                    .is_ok_and(|configuration| operator.missing_from(&configuration).is_empty())
        })
    })
    .await
}
