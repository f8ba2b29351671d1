//! What is wrong with long requests: one that reached an upstream and whose response its client has not whole, with nothing to blame.
use super::super::clients::CheckedMesh;
use super::attempt::{LongAttempt, LongLog, LongOutcome, DEADLINE_MS};
use crate::checker::is_rejection;
use crate::client::RequestKind;
use crate::execution_log::Run;
use crate::http_connection::Response;
use crate::upstream::{long_body, stamp, LongResponsePlan};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::Instant;

/// A process that is told to end has so long.
const GRACE: Duration = Duration::from_secs(4);
/// What an upstream is still at work on so long after the signal may be given up: the last sixth of the grace.
const LAST_SIXTH: Duration = Duration::from_micros(GRACE.as_micros() as u64 * 5 / 6);
/// That holds for requests that were sent up to this after the signal.
const EXCUSED_SENT_WITHIN: Duration = Duration::from_secs(3);

/// When machines' processes were told to end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stops {
    all: Arc<Mutex<Vec<Stop>>>,
}

#[derive(Clone, Copy, Debug)]
struct Stop {
    machine: usize,
    at: Instant,
}

impl Stops {
    /// A machine's process is told to end now.
    pub(crate) fn record(&self, machine: usize) {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).push(Stop { machine, at: Instant::now() });
    }

    /// When a machine's process was told to end last.
    pub(crate) fn last(&self, machine: usize) -> Option<Instant> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().rev().find(|stop| stop.machine == machine).map(|stop| stop.at)
    }

    /// The stops of a machine that were going on in a span.
    fn during(&self, machine: usize, from: Instant, to: Instant) -> Vec<Instant> {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let concerned = |stop: &&Stop| stop.machine == machine && stop.at <= to && from <= stop.at + GRACE;
        all.iter().filter(concerned).map(|stop| stop.at).collect()
    }
}

/// How a request ended, of which `received` bytes came.
pub(super) fn outcome(
    result: Result<io::Result<Response>, Elapsed>,
    plan: &LongResponsePlan,
    id: &str,
    received: u64,
) -> LongOutcome {
    let response = match result {
        Err(_) => return LongOutcome::GivenUp,
        Ok(Err(_)) => return LongOutcome::Cut { received },
        Ok(Ok(response)) => response,
    };
    if response.status != 200 {
        return LongOutcome::Status(response.status);
    }
    let given = response.stamp.unwrap_or_default();
    let upstream = given.split('.').next().unwrap_or_default();
    let wanted = long_body(id, plan.body_bytes);
    if response.body.len() < wanted.len() && wanted.starts_with(&response.body) {
        // Without a length the end of the connection is the end of the response.
        return LongOutcome::Cut { received };
    }
    if response.body != wanted || given != stamp(upstream, id, &wanted) {
        return LongOutcome::Wrong(format!("stamp {given:?}, {} bytes", response.body.len()));
    }
    LongOutcome::Served
}

/// What the checker found.
#[derive(Clone, Debug, Default)]
pub(crate) struct LongVerdict {
    /// Long requests.
    pub(crate) asked: usize,
    /// Those that had reached an upstream while the process of their client's machine was told to end, with nothing unplanned beside.
    pub(crate) through_stop: usize,
    /// The same for the process beside their upstream.
    pub(crate) through_upstream_stop: usize,
    /// What was wrong.
    pub(crate) faults: Vec<String>,
}

/// The runs of an attempt and what stands beside them.
struct Judged<'j> {
    attempt: &'j LongAttempt,
    runs: &'j [&'j Run],
    /// The upstreams that the head of the request reached.
    reached: Vec<String>,
    mesh: &'j CheckedMesh<'j>,
    stops: &'j Stops,
}

impl Judged<'_> {
    /// Whether nothing unplanned had struck a machine on its way.
    fn was_undisturbed(&self) -> bool {
        let LongAttempt { machine, sent_at, ended_at, .. } = *self.attempt;
        self.machines().all(|machine| self.mesh.unplanned.was_calm(machine, sent_at, ended_at))
            && self.mesh.unplanned.was_calm(machine, sent_at, ended_at)
    }

    /// The machines of the upstreams that it reached.
    fn machines(&self) -> impl Iterator<Item = usize> + '_ {
        self.reached.iter().filter_map(|upstream| self.mesh.machine_of.get(upstream).copied())
    }

    /// The stops of these machines that were going on while it was open.
    fn stops_of(&self, machine: usize) -> Vec<Instant> {
        self.stops.during(machine, self.attempt.sent_at, self.attempt.ended_at)
    }

    /// Whether the process that was told to end at that moment may have given it up: with its upstream at work in the last sixth of
    /// the grace, or with a slow reader that had not taken all.
    fn is_excused_by(&self, stop: Instant) -> bool {
        let last_sixth = stop + LAST_SIXTH;
        // An upload that has reached an upstream and does not run yet is still coming in there.
        let at_work = self.runs.is_empty()
            || self.runs.iter().any(|run| run.ended.is_none_or(|ended| ended >= last_sixth));
        self.attempt.ended_at >= last_sixth
            && (at_work && self.attempt.sent_at <= stop + EXCUSED_SENT_WITHIN || self.attempt.is_slow_reader)
    }

    fn is_excused(&self) -> bool {
        let timed_out = self.attempt.ended_at - self.attempt.sent_at >= Duration::from_millis(DEADLINE_MS);
        let machines = self.machines().chain([self.attempt.machine]);
        let ended_at = self.attempt.ended_at;
        let upstream_ended =
            self.reached.iter().any(|upstream| self.mesh.departures.has_ended(upstream, ended_at));
        timed_out
            || upstream_ended
            || machines.flat_map(|machine| self.stops_of(machine)).any(|stop| self.is_excused_by(stop))
    }

    fn fault(&self) -> Option<String> {
        let LongAttempt { id, kind, machine, outcome, .. } = self.attempt;
        let kind_name = kind.word();
        if *kind != RequestKind::Safe && self.runs.len() > 1 {
            return Some(format!("{id} ({kind_name}, long) ran {} times", self.runs.len()));
        }
        match outcome {
            LongOutcome::Wrong(why) => Some(format!("{id} ({kind_name}, long): {why}")),
            LongOutcome::Status(status)
                if *kind != RequestKind::Safe && is_rejection(*status) && !self.runs.is_empty() =>
            {
                Some(format!("{id} ({kind_name}, long): {status} but it ran"))
            }
            LongOutcome::Cut { received }
                if !self.reached.is_empty() && self.was_undisturbed() && !self.is_excused() =>
            {
                Some(format!(
                    "{id} ({kind_name}, long) reached an upstream, and machine {machine} ended its connection after {received} bytes: {}",
                    self.story()
                ))
            }
            _ => None,
        }
    }

    /// When what happened, from the request on.
    fn story(&self) -> String {
        let sent_at = self.attempt.sent_at;
        let after = |moment: Instant| match moment.checked_duration_since(sent_at) {
            Some(span) => format!("+{:.2} s", span.as_secs_f64()),
            None => format!("-{:.2} s", (sent_at - moment).as_secs_f64()),
        };
        let runs = self.runs.iter().map(|run| {
            let machine = self.mesh.machine_of.get(&run.upstream);
            format!("at machine {machine:?} from {} to {:?}", after(run.began), run.ended.map(after))
        });
        let stops = self
            .machines()
            .chain([self.attempt.machine])
            .flat_map(|machine| self.stops_of(machine).into_iter().map(move |stop| (machine, stop)));
        let stops = stops.map(|(machine, stop)| format!("SIGTERM of {machine} {}", after(stop)));
        let parts: Vec<String> = runs.chain(stops).collect();
        format!(
            "ended {}, slow reader {}, {}",
            after(self.attempt.ended_at),
            self.attempt.is_slow_reader,
            parts.join(", ")
        )
    }
}

/// Hold what clients of long requests got against what upstreams ran.
pub(crate) fn check_long_requests(log: &LongLog, mesh: &CheckedMesh<'_>, stops: &Stops) -> LongVerdict {
    let runs = mesh.executions.runs();
    let mut by_attempt: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    runs.iter().for_each(|run| by_attempt.entry(&run.attempt).or_default().push(run));
    let attempts = log.get();
    let mut verdict = LongVerdict { asked: attempts.len(), ..LongVerdict::default() };
    for attempt in &attempts {
        let runs = by_attempt.get(attempt.id.as_str()).map(Vec::as_slice).unwrap_or_default();
        let reached = mesh.executions.arrivals_of(&attempt.id);
        let judged = Judged { attempt, runs, reached, mesh, stops };
        if !judged.reached.is_empty() && judged.was_undisturbed() {
            verdict.through_stop += usize::from(!judged.stops_of(attempt.machine).is_empty());
            let at_upstream = judged.machines().any(|machine| !judged.stops_of(machine).is_empty());
            verdict.through_upstream_stop += usize::from(at_upstream);
        }
        verdict.faults.extend(judged.fault());
    }
    verdict
}

#[cfg(test)]
mod tests;
