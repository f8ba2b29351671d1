//! The delay of a read before it is forwarded.

use silvercross_config_item::RouteKind;
use silvercross_time::Duration;

use crate::member::Member;
use crate::mutation::Mutation;
use crate::throttle_step::ThrottleStep;

const MILLION: i128 = 1_000_000;

/// The stage of processing that a request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Its head was received; its body was not read and it was not forwarded.
    Head,
    /// Reading of its body has begun, or it was forwarded.
    BodyStarted,
    /// It is retried, or came from another node of the mesh: it was delayed already.
    Retried,
}

/// The properties of a request that its delay depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottleRequest<'a> {
    /// The kind of its route.
    pub kind: RouteKind,
    /// The stage it has reached.
    pub stage: RequestStage,
    /// The request's id as sent by the client.
    pub id: &'a [u8],
    /// The route's latency target.
    pub latency_target: Duration,
    /// Time left until its deadline.
    pub remaining_deadline: Duration,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayDecision {
    /// Forward it at once.
    Forward,
    /// Forward it after this delay.
    Delay(Duration),
    /// Even the shortest delay does not fit into its deadline: reject it at once, and state that it did not run.
    Reject {
        /// Time after which to retry.
        retry_after: Duration,
    },
}

/// Decides how long a member's request is delayed. The result is deterministic: every node computes the same delay, in
/// integer arithmetic, from the same member, step, id, latency target and deadline.
///
/// Only reads are delayed, and only at their head. The maximum delay of a step is `step / total_steps` of the share
/// of the latency target set by [`ThrottleSchedule::max_delay_ppm`](crate::ThrottleSchedule::max_delay_ppm); a
/// request waits between half of that and all of it, chosen by a hash of its id. It never waits longer than half of
/// the time left until its deadline; if even half of the step's maximum exceeds that, it is rejected. As the share is
/// at most half of the target, only requests with less than half of the target left are rejected.
pub fn decide_delay(member: &Member, step: ThrottleStep, request: &ThrottleRequest<'_>) -> DelayDecision {
    decide(None, member, step, request)
}

/// [`decide_delay`] with one rule broken.
#[cfg(feature = "mutants")]
pub fn decide_delay_mutated(
    mutation: Mutation,
    member: &Member,
    step: ThrottleStep,
    request: &ThrottleRequest<'_>,
) -> DelayDecision {
    decide(Some(mutation), member, step, request)
}

fn decide(
    mutation: Option<Mutation>,
    member: &Member,
    step: ThrottleStep,
    request: &ThrottleRequest<'_>,
) -> DelayDecision {
    let mutation = mutation.filter(|_| cfg!(feature = "mutants"));
    let may_wait = request.kind == RouteKind::Safe && request.stage == RequestStage::Head;
    if !may_wait && mutation != Some(Mutation::RejectionMidRequest) {
        return DelayDecision::Forward;
    }
    let Some(max_wait) = max_wait(member, step, request.latency_target) else {
        return DelayDecision::Forward;
    };
    let min_wait = max_wait / 2;
    let wait_limit = request.remaining_deadline.max(Duration::ZERO) / 2;
    if wait_limit < min_wait {
        return DelayDecision::Reject { retry_after: max_wait };
    }
    let node = match mutation {
        Some(Mutation::DelayByNode(node)) => Some(node),
        _ => None,
    };
    let jitter = jitter_hash(member, step.step, request.id, node);
    let spread = (max_wait - min_wait).as_micros() as u128 + 1;
    let wait = min_wait + Duration::from_micros(((u128::from(jitter) * spread) >> 64) as i64);
    DelayDecision::Delay(wait.min(wait_limit).max(Duration::from_micros(1)))
}

/// The maximum delay at a step; `None` if requests are not delayed.
fn max_wait(member: &Member, step: ThrottleStep, latency_target: Duration) -> Option<Duration> {
    if step.step == 0 || step.total_steps == 0 || latency_target <= Duration::ZERO {
        return None;
    }
    let parts = i128::from(member.throttle.max_delay_ppm) * i128::from(step.step.min(step.total_steps));
    let micros = i128::from(latency_target.as_micros()) * parts / (MILLION * i128::from(step.total_steps));
    let micros = i64::try_from(micros).ok()?;
    (micros != 0).then_some(Duration::from_micros(micros))
}

/// A uniformly distributed hash: FNV-1a of the parts, each preceded by its length, then the finalizer of splitmix64.
fn jitter_hash(member: &Member, step: u32, id: &[u8], node: Option<u32>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    let mut add = |bytes: &[u8]| {
        for byte in (bytes.len() as u64).to_le_bytes().iter().chain(bytes) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    };
    add(member.name.as_bytes());
    add(&step.to_le_bytes());
    add(id);
    if let Some(node) = node {
        add(&node.to_le_bytes());
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The decision on a request, made once at its head and kept for all attempts, so that a step that begins meanwhile
/// does not affect the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestThrottle {
    step: ThrottleStep,
    decision: DelayDecision,
}

impl RequestThrottle {
    /// Decides for a request at its head.
    pub fn at_head(
        member: &Member,
        step: ThrottleStep,
        kind: RouteKind,
        id: &[u8],
        latency_target: Duration,
        remaining_deadline: Duration,
    ) -> RequestThrottle {
        let stage = RequestStage::Head;
        let request = ThrottleRequest { kind, stage, id, latency_target, remaining_deadline };
        RequestThrottle { step, decision: decide_delay(member, step, &request) }
    }

    /// The step that applies to the request, for the response header.
    pub fn throttle_step(&self) -> ThrottleStep {
        self.step
    }

    /// The decision to carry out before the request is first forwarded.
    pub fn decision(&self) -> DelayDecision {
        self.decision
    }
}
