//! Upstreams that leave: who acknowledged it and when, and whether anything was sent to them later.
use super::schedule::{Announcement, Departure};
use super::watch::Disturbances;
use crate::execution_log::ExecutionLog;
use crate::mesh::DRAIN_S;
use crate::testbed::Testbed;
use crate::upstream::{HealthAnswers, PreparedCall};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{sleep, Instant};

/// Calls of an upstream that leaves until one is acknowledged.
const MAX_CALLS: usize = 4;
/// Between two of them.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// An upstream that said that it leaves.
#[derive(Clone, Copy, Debug)]
struct DepartedUpstream {
    machine: usize,
    acknowledged_at: Option<Instant>,
    ended_at: Option<Instant>,
}

/// All upstreams that said that they leave, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartureLog {
    upstreams: Arc<Mutex<BTreeMap<String, DepartedUpstream>>>,
}

impl DepartureLog {
    fn begin(&self, id: &str, machine: usize) {
        let upstream = DepartedUpstream { machine, acknowledged_at: None, ended_at: None };
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_string(), upstream);
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut DepartedUpstream)) {
        let mut upstreams = self.upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream) = upstreams.get_mut(id) {
            change(upstream);
        }
    }

    /// It ends now.
    pub(crate) fn end(&self, id: &str) {
        self.update(id, |upstream| upstream.ended_at = Some(Instant::now()));
    }

    /// Whether it had ended at that moment.
    pub(crate) fn has_ended(&self, id: &str, moment: Instant) -> bool {
        let upstreams = self.upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        upstreams.get(id).and_then(|upstream| upstream.ended_at).is_some_and(|ended_at| ended_at <= moment)
    }

    /// The machine of each.
    pub(crate) fn machines(&self) -> BTreeMap<String, usize> {
        let upstreams = self.upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        upstreams.iter().map(|(id, upstream)| (id.clone(), upstream.machine)).collect()
    }

    /// How many were acknowledged.
    pub(crate) fn acknowledged_count(&self) -> usize {
        let upstreams = self.upstreams.lock().unwrap_or_else(PoisonError::into_inner);
        upstreams.values().filter(|upstream| upstream.acknowledged_at.is_some()).count()
    }
}

/// A departure that has been acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledgement {
    /// The number of the departure in the schedule.
    pub(crate) number: usize,
}

/// Say that a machine's upstream leaves, and let heartbeats from before arrive. Nothing is waited for.
pub(crate) fn begin_departure(
    testbed: &Testbed,
    number: usize,
    departure: &Departure,
    log: &DepartureLog,
    acknowledgements: UnboundedSender<Acknowledgement>,
) {
    let Some(upstream) = testbed.upstreams.get(&departure.machine) else { return };
    for after in departure.late.iter().copied() {
        send_after(upstream.prepare_heartbeat(), after);
    }
    if departure.has_false_health {
        upstream.set_health_answers(HealthAnswers::AlwaysGood);
    }
    let receiver = testbed.mesh.control(departure.receiver);
    let calls: Vec<PreparedCall> = (0..MAX_CALLS)
        .map(|_| match departure.announcement {
            Announcement::SignOff => upstream.prepare_sign_off(),
            Announcement::Draining { .. } => upstream.prepare_drain(),
        })
        .map(|call| call.at(receiver))
        .collect();
    match departure.announcement {
        Announcement::SignOff => upstream.stop_heartbeats(),
        Announcement::Draining { sign_off_after } => sign_off_after
            .into_iter()
            .for_each(|after| send_after(upstream.prepare_sign_off().at(receiver), after)),
    }
    let (id, log) = (upstream.id().to_string(), log.clone());
    log.begin(&id, departure.machine);
    tokio::spawn(async move {
        for call in calls {
            if call.is_acknowledged().await {
                log.update(&id, |upstream| upstream.acknowledged_at = Some(Instant::now()));
                // The schedule may be over.
                let _ = acknowledgements.send(Acknowledgement { number });
                return;
            }
            sleep(CALL_INTERVAL).await;
        }
    });
}

fn send_after(call: PreparedCall, after: Duration) {
    tokio::spawn(async move {
        sleep(after).await;
        call.send().await
    });
}

/// A request, and the machine of its client.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) machine: usize,
    pub(crate) sent_at: Instant,
}

/// What reached upstreams that had left, and was sent by machines in touch.
pub(crate) fn check_departures(
    log: &DepartureLog,
    requests: impl Iterator<Item = SentRequest>,
    executions: &ExecutionLog,
    disturbances: &Disturbances,
) -> Vec<String> {
    let upstreams = log.upstreams.lock().unwrap_or_else(PoisonError::into_inner);
    let requests: BTreeMap<String, SentRequest> =
        requests.map(|request| (request.id.clone(), request)).collect();
    let mut faults = Vec::new();
    for run in executions.runs() {
        let departed = upstreams.get(&run.upstream).and_then(|upstream| upstream.acknowledged_at);
        let (Some(acknowledged_at), Some(request)) = (departed, requests.get(&run.attempt)) else { continue };
        let closed_at = acknowledged_at + Duration::from_secs_f64(DRAIN_S);
        let SentRequest { id, machine, sent_at } = request;
        // A request that was sent ahead on its connection counts as sent once the one before it has ended, and may have run before.
        let is_late = *sent_at > closed_at && run.began >= *sent_at;
        if is_late && disturbances.was_in_touch_throughout(*machine, *sent_at, run.began) {
            faults.push(format!(
                "{id} of machine {machine} was sent {:?} after the departure of {} was acknowledged, and ran there",
                *sent_at - acknowledged_at,
                run.upstream
            ));
        }
    }
    faults
}

#[cfg(test)]
mod tests;
