//! The checker: what clients got is held against what upstreams ran.
use crate::client::{Outcome, RequestKind};
use crate::execution_log::ExecutionLog;
use crate::http_connection::{Request, Response};
use crate::upstream::{response_body, stamp};

/// One attempt and what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The header `Attempt-Id`.
    pub id: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Its path.
    pub target: String,
    /// The service on the machine where it began.
    pub sender: String,
    /// What it carried.
    pub body: Vec<u8>,
    /// How it ended.
    pub outcome: Outcome,
}

/// The verdict over many attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Attempts.
    pub attempts: usize,
    /// Answers 2xx, complete, with the right stamp.
    pub served: usize,
    /// Rejected with a promise (429, 503, 408, 421), and never ran.
    pub rejected: usize,
    /// Ended with no promise.
    pub failed: usize,
    /// Never sent: no connection.
    pub not_sent: usize,
    /// Faults, in words: run twice, a promise broken, an answer that is wrong.
    pub faults: Vec<String>,
}

impl Verdict {
    /// One about nothing but a fault.
    pub(crate) fn of_fault(fault: String) -> Self {
        Verdict { faults: vec![fault], ..Verdict::default() }
    }

    /// It in a word or two, for a table.
    pub(crate) fn summary(&self) -> String {
        match self.faults.len() {
            0 => "kept".to_string(),
            count => format!("{count} BROKEN"),
        }
    }
}

/// Whether a status promises that the request did not run.
pub(crate) fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503 | 408 | 421)
}

/// Why a 2xx is not the right answer, if it is not.
fn wrong_answer(attempt: &Attempt, response: &Response) -> Option<String> {
    let given = response.stamp.clone().unwrap_or_default();
    let upstream = given.split('.').next().unwrap_or_default();
    if given.is_empty() || given != stamp(upstream, &attempt.id, &response.body) {
        return Some(format!("stamp {given:?}"));
    }
    let request = Request {
        attempt_id: Some(attempt.id.clone()),
        sender: Some(attempt.sender.clone()),
        target: attempt.target.clone(),
        body: attempt.body.clone(),
        ..Request::default()
    };
    let wanted = response_body(upstream, &request);
    (response.body != wanted.as_bytes())
        .then(|| format!("{:?} instead of {wanted:?}", String::from_utf8_lossy(&response.body)))
}

impl Verdict {
    fn add(&mut self, attempt: &Attempt, ran_at: &[String]) {
        let (id, kind) = (&attempt.id, attempt.kind.word());
        if attempt.kind != RequestKind::Safe && ran_at.len() > 1 {
            self.faults.push(format!("{id} ({kind}) ran at {ran_at:?}"));
        }
        let response = match &attempt.outcome {
            Outcome::Answer(response) => response,
            Outcome::NotSent => {
                self.not_sent += 1;
                return;
            }
            Outcome::Lost => {
                self.failed += 1;
                return;
            }
        };
        let status = response.status;
        if (200..300).contains(&status) {
            match wrong_answer(attempt, response) {
                Some(reason) => self.faults.push(format!("{id} ({kind}): {reason}")),
                None => self.served += 1,
            }
            if ran_at.is_empty() {
                self.faults.push(format!("{id}: {status} without a run"));
            }
        } else if is_rejection(status) {
            self.rejected += 1;
            if attempt.kind != RequestKind::Safe && !ran_at.is_empty() {
                self.faults.push(format!("{id} ({kind}): {status} but it ran"));
            }
        } else {
            self.failed += 1;
        }
    }
}

/// Check all attempts, once nothing is at work any more.
pub fn check_attempts(attempts: &[Attempt], executions: &ExecutionLog) -> Verdict {
    let mut verdict = Verdict { attempts: attempts.len(), ..Verdict::default() };
    for attempt in attempts {
        verdict.add(attempt, &executions.upstreams_of(&attempt.id));
    }
    verdict
}
