//! How long a read waits before it is sent on.

use silvercross_control_store::Micros;

use crate::item::Member;
use crate::lapse::ThrottleStep;
use crate::mutation::Mutation;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteKind {
    /// May run more than once: a read.
    Safe,
    /// Runs at most once for each try.
    Unsafe,
    /// Large bodies; otherwise as `Unsafe`.
    Upload,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Its head is here, nothing of its body was taken, and it was sent nowhere.
    Head,
    /// Its body has begun, or it was sent on.
    BodyStarted,
    /// It is sent a second time, or came from another node of the mesh: it waited already.
    Retried,
}

/// What a request asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottleRequest<'a> {
    /// What may be done with it.
    pub kind: RouteKind,
    /// How far it has come.
    pub stage: RequestStage,
    /// Its own id, as the client sent it.
    pub id: &'a [u8],
    /// The route's target.
    pub latency_target: Micros,
    /// What is left of its deadline.
    pub remaining_deadline: Micros,
}

/// What is done with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayDecision {
    /// It goes on at once.
    Forward,
    /// It goes on after this long.
    Delay(Micros),
    /// Even the least wait doesn't fit into its deadline: it is turned away at once, with a promise that it did not run.
    Reject {
        /// When to come back.
        retry_after: Micros,
    },
}

/// How long a request of a member waits. The same on every node: of the same member, step, id, target and deadline comes
/// the same wait, in whole numbers, whoever asks and whenever.
///
/// Only reads wait, and only at their head. The step's wait is `step / total_steps` of the member's full share of the target; a
/// request waits between half of that and all of it, as its id draws. It never waits longer than half of what its
/// deadline leaves; where even half of the step's wait is more than that, it is refused. As the full share is at most
/// half of the target, that takes a deadline with less than half the target left.
pub fn decide_delay(member: &Member, throttle_step: ThrottleStep, asked: &ThrottleRequest) -> DelayDecision {
    weigh(None, member, throttle_step, asked)
}

/// [`decide_delay`] with a rule left out.
#[cfg(feature = "mutants")]
pub fn decide_delay_mutated(
    mutant: Mutation,
    member: &Member,
    throttle_step: ThrottleStep,
    asked: &ThrottleRequest,
) -> DelayDecision {
    weigh(Some(mutant), member, throttle_step, asked)
}

fn weigh(
    mutant: Option<Mutation>,
    member: &Member,
    throttle_step: ThrottleStep,
    asked: &ThrottleRequest,
) -> DelayDecision {
    let mutant = mutant.filter(|_| cfg!(feature = "mutants"));
    let midway = mutant == Some(Mutation::RefusalMidway);
    if (asked.kind != RouteKind::Safe || asked.stage != RequestStage::Head) && !midway {
        return DelayDecision::Forward;
    }
    if throttle_step.step == 0 || throttle_step.total_steps == 0 || asked.latency_target <= 0 {
        return DelayDecision::Forward;
    }
    let parts = i128::from(member.throttle.max_delay_ppm)
        * i128::from(throttle_step.step.min(throttle_step.total_steps));
    let most = i128::from(asked.latency_target) * parts / (1_000_000 * i128::from(throttle_step.total_steps));
    let Ok(most) = Micros::try_from(most) else { return DelayDecision::Forward };
    let least = most / 2;
    if most == 0 {
        return DelayDecision::Forward;
    }
    let fits = asked.remaining_deadline.max(0) / 2;
    if fits < least {
        return DelayDecision::Reject { retry_after: most };
    }
    let node = match mutant {
        Some(Mutation::DelayByNode(node)) => Some(node),
        _ => None,
    };
    let draw = draw(member, throttle_step.step, asked.id, node);
    let spread = (most - least) as u128 + 1;
    let wait = least + ((u128::from(draw) * spread) >> 64) as Micros;
    DelayDecision::Delay(wait.min(fits).max(1))
}

/// Evenly spread over all numbers: FNV-1a of the parts, each with its length, and a last mixing.
fn draw(member: &Member, step: u32, id: &[u8], node: Option<u32>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    let mut eat = |bytes: &[u8]| {
        for byte in (bytes.len() as u64).to_le_bytes().iter().chain(bytes) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    };
    eat(member.name.as_bytes());
    eat(&step.to_le_bytes());
    eat(id);
    if let Some(node) = node {
        eat(&node.to_le_bytes());
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// What holds for a request from its head to its end: weighed once, kept through every try. It can't be weighed again,
/// so a step that comes meanwhile does not touch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestThrottle {
    throttle_step: ThrottleStep,
    slow: DelayDecision,
}

impl RequestThrottle {
    /// Weigh a request at its head.
    pub fn at_head(
        member: &Member,
        throttle_step: ThrottleStep,
        kind: RouteKind,
        id: &[u8],
        latency_target: Micros,
        remaining_deadline: Micros,
    ) -> RequestThrottle {
        let asked =
            ThrottleRequest { kind, stage: RequestStage::Head, id, latency_target, remaining_deadline };
        RequestThrottle { throttle_step, slow: decide_delay(member, throttle_step, &asked) }
    }

    /// The step that holds for it, for the header of its answer.
    pub fn throttle_step(&self) -> ThrottleStep {
        self.throttle_step
    }

    /// What is done with it before it is first sent on.
    pub fn decision(&self) -> DelayDecision {
        self.slow
    }
}
