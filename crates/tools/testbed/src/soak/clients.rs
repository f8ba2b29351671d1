//! Clients of two kinds. Some leave while their request is at work, and what was begun for them has to end. Others go on using their
//! open connections until the process is gone, whatever it told the platform, and what an upstream has run for them has to be answered.
use super::departures::{DepartureLog, SentRequest};
use super::watch::Disturbances;
use crate::checker::{check_attempts, Attempt};
use crate::client::{Client, Outcome, RequestKind, DEADLINE_MS, HOST};
use crate::execution_log::{ExecutionLog, Run};
use crate::http_connection::HttpConnection;
use crate::identifiers::attempt_id;
use crate::traffic;
use crate::upstream::SLOW_SUFFIX;
use silvercross_test_rng::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Work for a client that has left ends, on all hops, within this; nothing reaches an upstream later.
const LEFT_WORK_ENDS_WITHIN: Duration = Duration::from_millis(1_000);
/// A request that nobody cuts off takes so long: longer than any client here stays, and than the bound.
pub(super) const SLOW_WORK: Duration = Duration::from_millis(2_500);
/// A client leaves so long after it has sent its request, at most.
const MAX_STAY_MS: u64 = 400;
/// Between two requests of a client that leaves.
const LEAVER_INTERVAL: Duration = Duration::from_millis(150);
/// Between two requests of one that stays.
const STAYER_INTERVAL: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The side that a client is at.
#[derive(Clone, Debug)]
pub(super) struct ClientPlace {
    pub(super) machine: usize,
    pub(super) outbound: SocketAddr,
    /// The service on the machine.
    pub(super) sender: String,
    /// The service that it asks.
    pub(super) service: String,
}

/// A request that may be repeated and whose client has left.
#[derive(Clone, Debug)]
struct LeftRequest {
    id: String,
    machine: usize,
    sent_at: Instant,
    left_at: Instant,
}

/// A request of a client that stays.
#[derive(Clone, Debug)]
struct StayersAttempt {
    machine: usize,
    sent_at: Instant,
    ended_at: Instant,
    attempt: Attempt,
}

/// What all clients did.
#[derive(Clone, Debug, Default)]
pub(super) struct ClientLog {
    left: Arc<Mutex<Vec<LeftRequest>>>,
    stayed: Arc<Mutex<Vec<StayersAttempt>>>,
}

impl ClientLog {
    /// All requests.
    pub(super) fn requests(&self) -> Vec<SentRequest> {
        let left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        let stayed = self.stayed.lock().unwrap_or_else(PoisonError::into_inner);
        let left = left.iter().map(|left| SentRequest {
            id: left.id.clone(),
            machine: left.machine,
            sent_at: left.sent_at,
        });
        let stayed = stayed.iter().map(|stayed| SentRequest {
            id: stayed.attempt.id.clone(),
            machine: stayed.machine,
            sent_at: stayed.sent_at,
        });
        left.chain(stayed).collect()
    }
}

/// What the checker found.
#[derive(Clone, Debug, Default)]
pub(super) struct ClientVerdict {
    /// Requests whose clients had left while an upstream was at work, at machines that nothing had struck.
    pub(super) left: usize,
    /// Requests of clients that stayed.
    pub(super) stayed: usize,
    /// What was wrong.
    pub(super) faults: Vec<String>,
}

/// Send requests and leave while they are at work, for as long as the task lives.
pub(super) async fn leave_again_and_again(place: ClientPlace, seed: u64, log: ClientLog) {
    let mut rng = Rng::new(seed);
    let target = format!("{}x{SLOW_SUFFIX}", RequestKind::Safe.path_prefix(&place.service));
    loop {
        tokio::time::sleep(LEAVER_INTERVAL).await;
        let from = Some(place.outbound.ip());
        let Ok(mut connection) = HttpConnection::connect(from, place.outbound, CONNECT_TIMEOUT).await else {
            continue;
        };
        let (id, sent_at) = (attempt_id(), Instant::now());
        let head = format!(
            "GET {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
        );
        if connection.write(head.as_bytes()).await.is_err() {
            continue;
        }
        tokio::time::sleep(Duration::from_millis(rng.below(MAX_STAY_MS))).await;
        let left = LeftRequest { id, machine: place.machine, sent_at, left_at: Instant::now() };
        log.left.lock().unwrap_or_else(PoisonError::into_inner).push(left);
        if rng.one_in(2) {
            connection.reset();
        }
    }
}

/// Send requests on a connection for as long as it is open, and on another one then, for as long as the task lives.
pub(super) async fn stay(place: ClientPlace, log: ClientLog) {
    let mut client = Client::new(place.outbound);
    for number in 0usize.. {
        tokio::time::sleep(STAYER_INTERVAL).await;
        let kind = RequestKind::ALL[number % 2];
        let sent_at = Instant::now();
        let attempt = traffic::attempt(&mut client, kind, &place.service, &place.sender).await;
        let stayed = StayersAttempt { machine: place.machine, sent_at, ended_at: Instant::now(), attempt };
        log.stayed.lock().unwrap_or_else(PoisonError::into_inner).push(stayed);
    }
}

/// Where everything ran, for the checker.
pub(super) struct CheckedMesh<'j> {
    pub(super) executions: &'j ExecutionLog,
    /// The machine of each upstream.
    pub(super) machine_of: &'j BTreeMap<String, usize>,
    /// Kills, pauses and cuts of each machine.
    pub(super) unplanned: &'j Disturbances,
    /// Upstreams that have left.
    pub(super) departures: &'j DepartureLog,
}

impl CheckedMesh<'_> {
    /// Whether nothing unplanned had struck the machine of an upstream.
    fn upstream_was_undisturbed(&self, upstream: &str, moment: Instant) -> bool {
        self.machine_of.get(upstream).is_some_and(|machine| self.unplanned.was_undisturbed(*machine, moment))
    }

    /// What is wrong with a run for a client that has left, if anything is.
    fn outlived(&self, left: &LeftRequest, run: &Run) -> Option<String> {
        let bound = left.left_at + LEFT_WORK_ENDS_WITHIN;
        let LeftRequest { id, machine, .. } = left;
        if run.began > bound {
            let late = run.began - left.left_at;
            return Some(format!(
                "{id} reached {} {late:?} after its client had left machine {machine}",
                run.upstream
            ));
        }
        let went_on = run.ended.unwrap_or_else(Instant::now) - left.left_at.min(run.began);
        let ended_late = run.ended.is_none_or(|ended| ended > bound);
        ended_late.then(|| {
            format!(
                "{id} was at work at {} for {went_on:?} after its client had left machine {machine}",
                run.upstream
            )
        })
    }

    /// Whether a request of a client that stayed ran, and its connection ended without an answer, with nothing to blame.
    fn is_cut_off(&self, stayed: &StayersAttempt) -> bool {
        let ran_at = self.executions.upstreams_of(&stayed.attempt.id);
        let timed_out = stayed.ended_at - stayed.sent_at >= Duration::from_millis(DEADLINE_MS);
        matches!(stayed.attempt.outcome, Outcome::Lost)
            && !timed_out
            && !ran_at.is_empty()
            && self.unplanned.was_undisturbed(stayed.machine, stayed.ended_at)
            && !ran_at.iter().any(|upstream| self.departures.has_ended(upstream, stayed.ended_at))
            && ran_at.iter().all(|upstream| self.upstream_was_undisturbed(upstream, stayed.ended_at))
    }
}

/// Hold what clients did against what upstreams ran, once nothing is at work any more.
pub(super) fn check_clients(log: &ClientLog, mesh: &CheckedMesh<'_>) -> ClientVerdict {
    let left = log.left.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let stayed = log.stayed.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let by_id: BTreeMap<&str, &LeftRequest> = left.iter().map(|left| (left.id.as_str(), left)).collect();
    let mut verdict = ClientVerdict { stayed: stayed.len(), ..ClientVerdict::default() };
    for run in mesh.executions.runs() {
        let Some(left) = by_id.get(run.attempt.as_str()) else { continue };
        let checked_at = left.left_at + LEFT_WORK_ENDS_WITHIN;
        let is_checked = run.ended.is_none_or(|ended| ended > left.left_at)
            && mesh.unplanned.was_undisturbed(left.machine, checked_at)
            && mesh.upstream_was_undisturbed(&run.upstream, checked_at);
        if is_checked {
            verdict.left += 1;
            verdict.faults.extend(mesh.outlived(left, &run));
        }
    }
    let cut_off = stayed.iter().filter(|stayed| mesh.is_cut_off(stayed));
    verdict.faults.extend(cut_off.map(|stayed| {
        format!("{} ran, and machine {} closed unanswered", stayed.attempt.id, stayed.machine)
    }));
    let attempts: Vec<Attempt> = stayed.into_iter().map(|stayed| stayed.attempt).collect();
    verdict.faults.extend(check_attempts(&attempts, mesh.executions).faults);
    verdict
}

#[cfg(test)]
mod tests;
