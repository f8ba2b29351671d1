//! Upstreams that leave while the sidecars that acknowledge it are killed or stopped, and heartbeats from before that arrive late:
//! nothing is sent to them any more, and what is sound is served again.
use silvercross_testbed::mesh::{MeshPlan, DRAIN_S};
use silvercross_testbed::traffic::{start_readers, SentTimes};
use silvercross_testbed::upstream::{HealthAnswers, PreparedCall, UpstreamBehaviour};
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// No request that is sent later than this after the acknowledgement reaches the upstream.
const DRAIN: Duration = Duration::from_millis((DRAIN_S * 1000.0) as u64);
/// From a kill to the next start.
const DOWN: Duration = Duration::from_millis(300);
/// When the heartbeats from before arrive, after the acknowledgement.
const LATE: [Duration; 4] = [
    Duration::from_millis(900),
    Duration::from_millis(2_200),
    Duration::from_millis(3_400),
    Duration::from_millis(4_400),
];
/// When an upstream that was draining signs off, after the acknowledgement.
const SIGNS_OFF_AFTER: Duration = Duration::from_millis(1_500);
/// How long the upstream serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(5_200);
/// Between two looks at a process that is ending.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What an upstream says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Announcement {
    SignOff,
    Draining,
}

/// What happens to its sidecar after the acknowledgement.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Killed {
        after: Duration,
        times: u32,
    },
    Terminated,
    /// It stands still for so long, with what comes meanwhile in its sockets.
    Frozen(Duration),
}

/// Whom it calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Receiver {
    /// The sidecar beside it.
    Own,
    /// Another machine's sidecar.
    OtherSidecar,
    /// A control machine.
    ControlMachine,
}

/// One upstream that leaves.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Its sidecar is killed and started before.
    is_restarted_before: bool,
    announcement: Announcement,
    receiver: Receiver,
    fate: Fate,
    /// It signs off once its sidecar is back.
    signs_off_later: bool,
    health: HealthAnswers,
}

const fn case(name: &'static str, announcement: Announcement, fate: Fate) -> Case {
    let health = HealthAnswers::Truthful;
    let receiver = Receiver::Own;
    Case { name, is_restarted_before: false, announcement, receiver, fate, signs_off_later: false, health }
}

const AT_ONCE: Fate = Fate::Killed { after: Duration::ZERO, times: 1 };
const SOON: Fate = Fate::Killed { after: Duration::from_millis(300), times: 1 };
const FROZEN: Fate = Fate::Frozen(Duration::from_millis(1_500));
const TWICE: Fate = Fate::Killed { after: Duration::ZERO, times: 2 };

const CASES: [Case; 15] = [
    case("sign-off, killed at once", Announcement::SignOff, AT_ONCE),
    case("sign-off, killed soon", Announcement::SignOff, SOON),
    case("sign-off, killed twice", Announcement::SignOff, TWICE),
    case("sign-off, terminated", Announcement::SignOff, Fate::Terminated),
    Case { health: HealthAnswers::AlwaysGood, ..case("sign-off, false health", Announcement::SignOff, SOON) },
    Case { is_restarted_before: true, ..case("sign-off to a new process", Announcement::SignOff, TWICE) },
    case("draining, killed at once", Announcement::Draining, AT_ONCE),
    Case {
        health: HealthAnswers::AlwaysGood,
        ..case("draining, false health", Announcement::Draining, TWICE)
    },
    case("draining, terminated", Announcement::Draining, Fate::Terminated),
    Case { signs_off_later: true, ..case("draining, then sign-off", Announcement::Draining, SOON) },
    Case {
        receiver: Receiver::OtherSidecar,
        ..case("sign-off to another sidecar", Announcement::SignOff, SOON)
    },
    Case {
        receiver: Receiver::OtherSidecar,
        ..case("draining to another sidecar", Announcement::Draining, FROZEN)
    },
    Case {
        receiver: Receiver::ControlMachine,
        ..case("sign-off to a control machine", Announcement::SignOff, FROZEN)
    },
    Case {
        receiver: Receiver::ControlMachine,
        ..case("draining to a control machine", Announcement::Draining, TWICE)
    },
    case("sign-off, frozen", Announcement::SignOff, FROZEN),
];

/// What happens to a machine.
#[derive(Clone)]
enum Step {
    Kill(usize),
    Terminate(usize),
    Freeze(usize),
    Thaw(usize),
    /// Once its process has ended.
    Start(usize),
    Call(PreparedCall),
}

/// What happens, and when.
#[derive(Default)]
struct Timeline {
    steps: Vec<(Instant, Step)>,
}

impl Timeline {
    fn add(&mut self, at: Instant, step: Step) {
        self.steps.push((at, step));
    }

    /// Carry out all steps. None waits for another: calls are answered meanwhile.
    async fn carry_out(mut self, testbed: &mut Testbed) {
        while let Some(next) = (0..self.steps.len()).min_by_key(|index| self.steps[*index].0) {
            let (at, step) = self.steps.swap_remove(next);
            sleep_until(at).await;
            match step {
                Step::Kill(machine) => testbed.mesh.kill(machine).expect("killed"),
                Step::Freeze(machine) => testbed.mesh.freeze(machine).expect("frozen"),
                Step::Thaw(machine) => testbed.mesh.thaw(machine).expect("woken"),
                Step::Terminate(machine) => testbed.mesh.terminate(machine).expect("receiver to end"),
                Step::Start(machine) if testbed.mesh.has_ended(machine) => {
                    testbed.mesh.start(machine, false).expect("started");
                }
                Step::Start(_) => self.add(Instant::now() + END_CHECK_INTERVAL, step),
                Step::Call(call) => drop(tokio::spawn(async move { call.send().await })),
            }
        }
    }
}

/// Kill the process of a machine and start it again, and wait until it has a configuration.
async fn restart(testbed: &mut Testbed, machine: usize) {
    testbed.mesh.kill(machine).expect("killed");
    testbed.mesh.start(machine, false).expect("started");
    testbed
        .wait_for_state("is configured", &[machine], |state| state["configured"] == true)
        .await
        .expect("back");
}

/// Say that an upstream leaves until that is acknowledged; the heartbeats from before.
async fn announce(testbed: &Testbed, machine: usize, case: &Case) -> Vec<PreparedCall> {
    let upstream = &testbed.upstreams[&machine];
    let late = LATE.iter().map(|_| upstream.prepare_heartbeat()).collect();
    upstream.set_health_answers(case.health);
    upstream.stop_heartbeats();
    let receiver = match case.receiver {
        Receiver::Own => machine,
        Receiver::OtherSidecar => testbed.mesh.side_machines().end - 1,
        Receiver::ControlMachine => testbed.mesh.control_machines().start,
    };
    wait_until("acknowledged", WAIT_TIMEOUT, || async {
        let call = match case.announcement {
            Announcement::SignOff => upstream.prepare_sign_off(),
            Announcement::Draining => upstream.prepare_drain(),
        };
        call.at(testbed.mesh.control(receiver)).is_acknowledged().await
    })
    .await
    .expect("acknowledged");
    late
}

/// What happens to the sidecar from now on; a kill at once has happened when this returns.
fn begin_fate(testbed: &mut Testbed, timeline: &mut Timeline, machine: usize, fate: Fate) {
    let now = Instant::now();
    match fate {
        Fate::Killed { after, times } => {
            for number in 0..times {
                let at = now + after + DOWN * 2 * number;
                if at <= now {
                    testbed.mesh.kill(machine).expect("killed");
                } else {
                    timeline.add(at, Step::Kill(machine));
                }
                timeline.add(at + DOWN, Step::Start(machine));
            }
        }
        Fate::Frozen(span) => {
            timeline.add(now, Step::Freeze(machine));
            timeline.add(now + span, Step::Thaw(machine));
        }
        Fate::Terminated => {
            timeline.add(now, Step::Terminate(machine));
            timeline.add(now + END_CHECK_INTERVAL, Step::Start(machine));
        }
    }
}

/// Guards against an acknowledged sign-off or drain that is forgotten with the process that acknowledged it: a heartbeat
/// from before brought the upstream back, and requests were cut off when it ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_acknowledged_departure_outlives_the_process_that_acknowledged_it() {
    let program = program::find().expect("the program is built");
    // Two machines more, one for each service, so that something is left to serve.
    let plan = MeshPlan { side_count: CASES.len() + 2, zone_count: 1, ..MeshPlan::default() };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let sent_times = SentTimes::default();
    let clients = start_readers(&testbed, &sent_times);
    let first = testbed.mesh.side_machines().start;
    for (number, _) in CASES.iter().enumerate().filter(|(_, case)| case.is_restarted_before) {
        restart(&mut testbed, first + number).await;
    }
    let mut timeline = Timeline::default();
    let mut acknowledged = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        let machine = first + number;
        let late = announce(&testbed, machine, case).await;
        let now = Instant::now();
        begin_fate(&mut testbed, &mut timeline, machine, case.fate);
        let upstream = &testbed.upstreams[&machine];
        acknowledged.push((case, upstream.id().to_string(), now));
        for (after, heartbeat) in LATE.iter().zip(late) {
            timeline.add(now + *after, Step::Call(heartbeat));
        }
        if case.signs_off_later {
            timeline.add(now + SIGNS_OFF_AFTER, Step::Call(upstream.prepare_sign_off()));
        }
    }
    let serves_until = Instant::now() + SERVES_ON;
    timeline.carry_out(&mut testbed).await;
    sleep_until(serves_until).await;

    // New upstreams at the same addresses are served, each late word of those before notwithstanding.
    for number in 0..CASES.len() {
        testbed.start_upstream(first + number).await.expect("it starts");
    }
    testbed.wait_until_settled().await.expect("all know the new ones");
    for machine in testbed.mesh.side_machines() {
        let id = testbed.upstreams[&machine].id();
        let is_served = || std::future::ready(testbed.executions.count_at(id) > 0);
        wait_until("the upstream is sent to", WAIT_TIMEOUT, is_served).await.expect("served");
    }
    clients.iter().for_each(JoinHandle::abort);
    testbed.wait_until_idle().await.expect("idle");

    let mut broken = Vec::new();
    for run in testbed.executions.runs() {
        let departed = acknowledged.iter().find(|(_, id, _)| *id == run.upstream);
        let (Some((case, _, at)), Some(sent_at)) = (departed, sent_times.get(&run.attempt)) else { continue };
        if sent_at > *at + DRAIN {
            broken.push(format!("{}: sent {:?} after the acknowledgement", case.name, sent_at - *at));
        }
    }
    assert!(broken.is_empty(), "{} requests, the first: {:?}", broken.len(), &broken[..broken.len().min(20)]);
}

/// How the present upstream of a machine is struck while heartbeats of the one before arrive.
#[derive(Clone, Copy, Debug)]
struct SuccessorCase {
    /// Whether its sidecar is killed and started again.
    is_restarted: bool,
    health: HealthAnswers,
}

const SUCCESSOR_CASES: [SuccessorCase; 4] = [
    SuccessorCase { is_restarted: false, health: HealthAnswers::Truthful },
    SuccessorCase { is_restarted: false, health: HealthAnswers::AlwaysBad },
    SuccessorCase { is_restarted: true, health: HealthAnswers::Truthful },
    SuccessorCase { is_restarted: true, health: HealthAnswers::AlwaysBad },
];

/// Heartbeats of the earlier incarnation that arrive, and the pause between them.
const SUCCESSOR_LATE: u32 = 3;
const SUCCESSOR_LATE_INTERVAL: Duration = Duration::from_millis(350);

/// Wait until an upstream has run so many requests more.
async fn wait_until_served(testbed: &Testbed, machine: usize, more: u64) {
    let id = testbed.upstreams[&machine].id();
    let count = testbed.executions.count_at(id) + more;
    let is_served = || std::future::ready(testbed.executions.count_at(id) >= count);
    wait_until("the upstream is sent to", WAIT_TIMEOUT, is_served).await.expect("served");
}

/// Guards against a late heartbeat of an earlier incarnation that puts the present one on the list of ended ones: its own
/// heartbeats were refused for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_heartbeat_of_an_earlier_incarnation_does_not_shut_out_the_present_one() {
    let program = program::find().expect("the program is built");
    let plan = MeshPlan { side_count: SUCCESSOR_CASES.len(), zone_count: 1, ..MeshPlan::default() };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let clients = start_readers(&testbed, &SentTimes::default());
    let machines: Vec<usize> = testbed.mesh.side_machines().collect();
    // The earlier ones crash: they say nothing.
    let mut late = Vec::new();
    for machine in &machines {
        late.push(testbed.upstreams[machine].prepare_heartbeat());
        testbed.start_upstream(*machine).await.expect("it starts");
    }
    for machine in &machines {
        wait_until_served(&testbed, *machine, 1).await;
    }
    for (case, machine) in SUCCESSOR_CASES.iter().zip(&machines) {
        testbed.upstreams[machine].set_health_answers(case.health);
        if case.is_restarted {
            restart(&mut testbed, *machine).await;
        }
    }
    for _ in 0..SUCCESSOR_LATE {
        for heartbeat in &late {
            assert!(heartbeat.send().await.is_some());
        }
        sleep(SUCCESSOR_LATE_INTERVAL).await;
    }
    for machine in &machines {
        wait_until_served(&testbed, *machine, 10).await;
    }
    clients.iter().for_each(JoinHandle::abort);
}
