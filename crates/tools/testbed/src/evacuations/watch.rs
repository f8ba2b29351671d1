//! Clients at each side, and what must not have reached an evacuated zone.
use super::orders::Acknowledged;
use crate::client::{Client, RequestKind};
use crate::execution_log::ExecutionLog;
use crate::soak::Disturbances;
use crate::testbed::Testbed;
use crate::traffic;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Nothing reaches a zone later than this after its evacuation was acknowledged, as the settings of these meshes say.
pub(super) const EVACUATE: Duration = Duration::from_secs(5);
/// Between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// A request and where it began.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    machine: usize,
    sent_at: Instant,
}

/// Requests by their attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct SentRequests {
    by_attempt: Arc<Mutex<BTreeMap<String, SentRequest>>>,
}

/// An evacuation that was acknowledged, until the order that ends it was sent.
#[derive(Clone, Debug)]
pub(super) struct Evacuation {
    pub(super) zone: String,
    pub(super) start: Acknowledged,
    pub(super) ended_at: Instant,
}

/// What was checked.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdict {
    /// Requests of machines in touch that ran elsewhere while a zone had to be empty.
    pub(super) checked: usize,
    pub(super) faults: Vec<String>,
}

/// Clients of all services at each side, until they are aborted.
pub(super) fn start_clients(testbed: &Testbed, sent: &SentRequests) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for machine in testbed.mesh.side_machines() {
        for service in testbed.services() {
            let mut client = Client::new(testbed.mesh.outbound(machine));
            let (service, sent) = (service.clone(), sent.clone());
            let sender = testbed.mesh.machines[machine].service.clone();
            tasks.push(tokio::spawn(async move {
                for number in 0usize.. {
                    let sent_at = Instant::now();
                    let kind = RequestKind::ALL[number % 2];
                    let attempt = traffic::attempt(&mut client, kind, &service, &sender).await;
                    let request = SentRequest { machine, sent_at };
                    sent.by_attempt
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .insert(attempt.id, request);
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            }));
        }
    }
    tasks
}

/// Holds what ran against the evacuations.
pub(super) fn check(
    evacuations: &[Evacuation],
    zone_of: &BTreeMap<String, String>,
    sent: &SentRequests,
    executions: &ExecutionLog,
    disturbances: &Disturbances,
) -> Verdict {
    let sent = sent.by_attempt.lock().unwrap_or_else(PoisonError::into_inner);
    let mut verdict = Verdict::default();
    for run in executions.runs() {
        let Some(request) = sent.get(&run.attempt) else { continue };
        let must_be_empty = |evacuation: &&Evacuation| {
            request.sent_at > evacuation.start.at + EVACUATE && run.began < evacuation.ended_at
        };
        let in_force: Vec<&Evacuation> = evacuations.iter().filter(must_be_empty).collect();
        if in_force.is_empty() {
            continue;
        }
        if !disturbances.was_in_touch_throughout(request.machine, request.sent_at, run.began) {
            continue;
        }
        verdict.checked += 1;
        let is_there = |evacuation: &&&Evacuation| zone_of.get(&run.upstream) == Some(&evacuation.zone);
        if let Some(evacuation) = in_force.iter().find(is_there) {
            let late = run.began - evacuation.start.at;
            verdict.faults.push(format!(
                "{} of machine {} reached {} in {} {late:?} after its evacuation was acknowledged by machine {}",
                run.attempt, request.machine, run.upstream, evacuation.zone, evacuation.start.by
            ));
        }
    }
    verdict
}
