//! How long a read waits before it is sent on.

use silvercross_control_store::Micros;

use crate::items::Member;
use crate::lapse::Standing;
use crate::mutant::Mutant;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// May run more than once: a read.
    Safe,
    /// Runs at most once for each try.
    Unsafe,
    /// Large bodies; otherwise as `Unsafe`.
    Upload,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its head is here, nothing of its body was taken, and it was sent nowhere.
    Head,
    /// Its body has begun, or it was sent on.
    Begun,
    /// It is sent a second time, or came from another node of the mesh: it waited already.
    Again,
}

/// What a request asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked<'a> {
    /// What may be done with it.
    pub kind: Kind,
    /// How far it has come.
    pub stage: Stage,
    /// Its own id, as the client sent it.
    pub id: &'a [u8],
    /// The route's target.
    pub target_us: Micros,
    /// What is left of its deadline.
    pub deadline_left_us: Micros,
}

/// What is done with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slow {
    /// It goes on at once.
    None,
    /// It goes on after this long.
    For(Micros),
    /// Even the least wait doesn't fit into its deadline: it is turned away at once, with a promise that it did not run.
    Refuse {
        /// When to come back.
        retry_after: Micros,
    },
}

/// How long a request of a member waits. The same on every node: of the same member, step, id, target and deadline comes
/// the same wait, in whole numbers, whoever asks and whenever.
///
/// Only reads wait, and only at their head. The step's wait is `step / of` of the member's full share of the target; a
/// request waits between half of that and all of it, as its id draws. It never waits longer than half of what its
/// deadline leaves; where even half of the step's wait is more than that, it is refused. As the full share is at most
/// half of the target, that takes a deadline with less than half the target left.
pub fn delay(member: &Member, standing: Standing, asked: &Asked) -> Slow {
    weigh(None, member, standing, asked)
}

/// [`delay`] with a rule left out.
#[cfg(feature = "mutants")]
pub fn delay_broken(mutant: Mutant, member: &Member, standing: Standing, asked: &Asked) -> Slow {
    weigh(Some(mutant), member, standing, asked)
}

fn weigh(mutant: Option<Mutant>, member: &Member, standing: Standing, asked: &Asked) -> Slow {
    let mutant = mutant.filter(|_| cfg!(feature = "mutants"));
    let midway = mutant == Some(Mutant::RefusalMidway);
    if (asked.kind != Kind::Safe || asked.stage != Stage::Head) && !midway {
        return Slow::None;
    }
    if standing.step == 0 || standing.of == 0 || asked.target_us <= 0 {
        return Slow::None;
    }
    let parts = i128::from(member.slowing.full_ppm) * i128::from(standing.step.min(standing.of));
    let most = i128::from(asked.target_us) * parts / (1_000_000 * i128::from(standing.of));
    let Ok(most) = Micros::try_from(most) else { return Slow::None };
    let least = most / 2;
    if most == 0 {
        return Slow::None;
    }
    let fits = asked.deadline_left_us.max(0) / 2;
    if fits < least {
        return Slow::Refuse { retry_after: most };
    }
    let node = match mutant {
        Some(Mutant::DelayByNode(node)) => Some(node),
        _ => None,
    };
    let draw = draw(member, standing.step, asked.id, node);
    let spread = (most - least) as u128 + 1;
    let wait = least + ((u128::from(draw) * spread) >> 64) as Micros;
    Slow::For(wait.min(fits).max(1))
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
pub struct Terms {
    standing: Standing,
    slow: Slow,
}

impl Terms {
    /// Weigh a request at its head.
    pub fn at_head(
        member: &Member,
        standing: Standing,
        kind: Kind,
        id: &[u8],
        target_us: Micros,
        deadline_left_us: Micros,
    ) -> Terms {
        let asked = Asked { kind, stage: Stage::Head, id, target_us, deadline_left_us };
        Terms { standing, slow: delay(member, standing, &asked) }
    }

    /// The step that holds for it, for the header of its answer.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// What is done with it before it is first sent on.
    pub fn slow(&self) -> Slow {
        self.slow
    }
}
