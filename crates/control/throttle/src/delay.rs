//! How long a read waits before it is forwarded.

use silvercross_config_item::RouteKind;
use silvercross_time::Duration;

use crate::member::Member;
use crate::mutation::Mutation;
use crate::throttle_step::ThrottleStep;

const MILLION: i128 = 1_000_000;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Its head is here, nothing of its body was taken, and it was sent nowhere.
    Head,
    /// Its body has begun, or it was forwarded.
    BodyStarted,
    /// It is sent a second time, or came from another node of the mesh: it waited already.
    Retried,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottleRequest<'a> {
    /// What may be done with it.
    pub kind: RouteKind,
    /// How far it has come.
    pub stage: RequestStage,
    /// Its own id, as the client sent it.
    pub id: &'a [u8],
    /// The route's latency target.
    pub latency_target: Duration,
    /// What is left of its deadline.
    pub remaining_deadline: Duration,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayDecision {
    /// It goes on at once.
    Forward,
    /// It goes on after this long.
    Delay(Duration),
    /// Even the least wait doesn't fit into its deadline: it is rejected at once, with a promise that it did not run.
    Reject {
        /// When to come back.
        retry_after: Duration,
    },
}

/// How long a request of a member waits. The same on every node: of the same member, step, id, target and deadline comes
/// the same wait, in whole numbers, whoever asks and whenever.
///
/// Only reads wait, and only at their head. The step's wait is `step / total_steps` of the member's full part of the
/// target; a request waits between half of that and all of it, as its id draws. It never waits longer than half of what its
/// deadline leaves; where even half of the step's wait is more than that, it is rejected. As the full part is at most half
/// of the target, that takes a deadline with less than half the target left.
pub fn decide_delay(member: &Member, step: ThrottleStep, request: &ThrottleRequest<'_>) -> DelayDecision {
    decide(None, member, step, request)
}

/// [`decide_delay`] with a rule changed on purpose.
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
    if !may_wait && mutation != Some(Mutation::RefusalMidway) {
        return DelayDecision::Forward;
    }
    let Some(max_wait) = max_wait(member, step, request.latency_target) else {
        return DelayDecision::Forward;
    };
    let min_wait = max_wait / 2;
    let affordable = request.remaining_deadline.max(Duration::ZERO) / 2;
    if affordable < min_wait {
        return DelayDecision::Reject { retry_after: max_wait };
    }
    let node = match mutation {
        Some(Mutation::DelayByNode(node)) => Some(node),
        _ => None,
    };
    let drawn = draw(member, step.step, request.id, node);
    let spread = (max_wait - min_wait).as_micros() as u128 + 1;
    let wait = min_wait + Duration::from_micros(((u128::from(drawn) * spread) >> 64) as i64);
    DelayDecision::Delay(wait.min(affordable).max(Duration::from_micros(1)))
}

/// The longest wait of a step; `None` where nothing waits.
fn max_wait(member: &Member, step: ThrottleStep, latency_target: Duration) -> Option<Duration> {
    if step.step == 0 || step.total_steps == 0 || latency_target <= Duration::ZERO {
        return None;
    }
    let parts = i128::from(member.throttle.max_delay_ppm) * i128::from(step.step.min(step.total_steps));
    let micros = i128::from(latency_target.as_micros()) * parts / (MILLION * i128::from(step.total_steps));
    let micros = i64::try_from(micros).ok()?;
    (micros != 0).then_some(Duration::from_micros(micros))
}

/// Evenly spread over all numbers: FNV-1a of the parts, each with its length, and the last mixing of splitmix64.
fn draw(member: &Member, step: u32, id: &[u8], node: Option<u32>) -> u64 {
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

/// What is decided for a request from its head to its end: decided once, kept through every attempt. It can't be decided
/// again, so a step that comes meanwhile does not touch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestThrottle {
    step: ThrottleStep,
    decision: DelayDecision,
}

impl RequestThrottle {
    /// Decide for a request at its head.
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

    /// The step in force for it, for the header of its answer.
    pub fn throttle_step(&self) -> ThrottleStep {
        self.step
    }

    /// What is done with it before it is first forwarded.
    pub fn decision(&self) -> DelayDecision {
        self.decision
    }
}
