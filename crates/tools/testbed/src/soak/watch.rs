//! A client at each node that asks for the newest route that must be in force there, and for the newest one that must be gone.
use super::changes::{path_prefix, Acknowledged, FIRST_VERSION, LIFETIME};
use crate::client::{Client, Outcome};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A change is in force everywhere so long after its acknowledgement.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// A node counts once it, and all control machines, have been undisturbed for so long.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Between two looks at a node.
const LOOK_INTERVAL: Duration = Duration::from_millis(60);

/// When each machine was disturbed last; the future, while it is.
#[derive(Clone, Debug)]
pub(crate) struct Disturbances {
    until: Arc<Mutex<Vec<Instant>>>,
    spans: Arc<Mutex<Vec<DisturbedSpan>>>,
    control_count: usize,
}

/// A span in which a machine was disturbed.
#[derive(Clone, Copy, Debug)]
struct DisturbedSpan {
    machine: usize,
    from: Instant,
    until: Instant,
}

impl Disturbances {
    pub(crate) fn new(machines: usize, control_count: usize) -> Self {
        let until = Arc::new(Mutex::new(vec![Instant::now(); machines]));
        Disturbances { until, spans: Arc::default(), control_count }
    }

    /// A machine is disturbed until then.
    pub(crate) fn disturb(&self, machine: usize, until: Instant) {
        let mut all = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        all[machine] = all[machine].max(until);
        let span = DisturbedSpan { machine, from: Instant::now(), until };
        self.spans.lock().unwrap_or_else(PoisonError::into_inner).push(span);
    }

    /// Whether a machine was undisturbed in a span and for so long before it, whatever came later.
    pub(crate) fn was_calm(&self, machine: usize, from: Instant, to: Instant) -> bool {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let disturbs =
            |span: &&DisturbedSpan| span.machine == machine && span.from <= to && from < span.until + CONTACT;
        !spans.iter().any(|span| disturbs(&span))
    }

    /// Whether a machine was in touch in a span: it and all control machines were undisturbed then and for so long before.
    pub(crate) fn was_in_touch_throughout(&self, machine: usize, from: Instant, to: Instant) -> bool {
        (0..self.control_count).chain([machine]).all(|machine| self.was_calm(machine, from, to))
    }

    /// Whether a machine, whatever becomes of others, was undisturbed for so long before that moment.
    pub(crate) fn was_undisturbed(&self, machine: usize, moment: Instant) -> bool {
        let all = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        all[machine] + CONTACT <= moment
    }

    /// Whether a node had been in touch at that moment. Those on its way to the control machines may have been disturbed: such a
    /// node has to find another way.
    fn was_in_touch(&self, machine: usize, moment: Instant) -> bool {
        let all = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        let mut concerned = all[..self.control_count].iter().chain([&all[machine]]);
        concerned.all(|until| *until + CONTACT <= moment)
    }
}

/// What the watchers saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations {
    inner: Arc<Mutex<Observed>>,
}

/// Counts, and what was wrong.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observed {
    /// Answers of nodes in touch that were checked.
    pub(crate) checked: u64,
    /// What was wrong.
    pub(crate) faults: Vec<String>,
}

impl Observations {
    fn add(&self, fault: Option<String>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.checked += 1;
        inner.faults.extend(fault);
    }

    pub(crate) fn get(&self) -> Observed {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The node that a watcher watches.
pub(crate) struct WatchedNode {
    pub(crate) machine: usize,
    pub(crate) name: String,
    pub(crate) outbound: SocketAddr,
}

/// A question to a node, and what it must not answer.
struct Question {
    version: u64,
    must_be_routed: bool,
}

/// Asks for as long as the task lives.
pub(crate) async fn watch(
    node: WatchedNode,
    acknowledged: Acknowledged,
    disturbances: Disturbances,
    observations: Observations,
) {
    let mut client = Client::new(node.outbound);
    for number in 0u64.. {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let asked_at = Instant::now();
        let Some(newest) = acknowledged.newest_before(asked_at - IN_FORCE_WITHIN) else { continue };
        let gone = newest.checked_sub(LIFETIME).filter(|version| *version >= FIRST_VERSION);
        let question = match gone.filter(|_| number % 4 == 3) {
            Some(version) => Question { version, must_be_routed: false },
            None => Question { version: newest, must_be_routed: true },
        };
        let target = format!("{}x", path_prefix(question.version));
        let id = format!("{:016x}", (node.machine as u64) << 48 | number);
        let Outcome::Answer(response) = client.send(&target, &id, b"").await else { continue };
        if !disturbances.was_in_touch(node.machine, asked_at)
            || !disturbances.was_in_touch(node.machine, Instant::now())
        {
            continue;
        }
        let is_routed = response.status != 404;
        let fault = (is_routed != question.must_be_routed).then(|| {
            let how = if question.must_be_routed {
                "the change is not in force"
            } else {
                "the withdrawal is not in force"
            };
            format!(
                "{}: {} answered {}: {how} {IN_FORCE_WITHIN:?} after its acknowledgement",
                node.name, target, response.status
            )
        });
        observations.add(fault);
    }
}
