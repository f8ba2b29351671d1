//! Upstreams whose departure was acknowledged before all processes, or all of a kind, are killed, with a disk lost or not, and
//! heartbeats from before that arrive late: nothing in touch sends to them any more, and what is sound is served again.
use serde_json::Value;
use silvercross_testbed::mesh::{MeshPlan, DRAIN_S};
use silvercross_testbed::traffic::{start_readers, SentTimes};
use silvercross_testbed::upstream::{HealthAnswers, PreparedCall, UpstreamBehaviour};
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// No request that is sent later than this after the acknowledgement reaches the upstream.
const DRAIN: Duration = Duration::from_millis((DRAIN_S * 1000.0) as u64);
/// Machines are in touch so long after the start of all.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// When the heartbeats from before arrive, after the start of all.
const LATE: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(1_500),
    Duration::from_millis(3_200),
    Duration::from_millis(4_500),
];
/// Requests are watched for so long after the start of all.
const WATCHED_FOR: Duration = Duration::from_millis(7_000);
/// Between two processes that are killed one after the other.
const ROLLING_INTERVAL: Duration = Duration::from_millis(700);
/// The upstream that leaves is at the first side.
const SIDE_COUNT: usize = 4;

/// Which processes are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    All,
    /// All at once, and again right after their start.
    AllTwice,
    Sides,
    ControlMachines,
    /// One after the other, so that no process lives through it.
    Rolling,
}

/// One mesh, and an upstream that leaves it.
#[derive(Clone, Copy, Debug)]
struct Case {
    says_draining: bool,
    /// The control machine that it calls; otherwise the sidecar beside it.
    control_machine: Option<usize>,
    /// Its sidecar is killed and started before.
    is_restarted_before: bool,
    loss: Loss,
    /// A control machine is replaced by another one, in plan, between the acknowledgement and the loss.
    is_control_replaced: bool,
    /// From the acknowledgement, or the replacement, to the loss.
    after: Duration,
    /// From the loss to the start of all.
    down: Duration,
    /// The control machine that loses its disk.
    wiped: Option<usize>,
    health: HealthAnswers,
}

const SIGN_OFF: Case = Case {
    says_draining: false,
    control_machine: None,
    is_restarted_before: false,
    loss: Loss::All,
    is_control_replaced: false,
    after: Duration::from_millis(500),
    down: Duration::from_millis(900),
    wiped: None,
    health: HealthAnswers::Truthful,
};
const DRAINING: Case = Case { says_draining: true, ..SIGN_OFF };
const AT_ONCE: Duration = Duration::ZERO;
const FALSE_HEALTH: HealthAnswers = HealthAnswers::AlwaysGood;

const CASES: [Case; 14] = [
    SIGN_OFF,
    Case { after: AT_ONCE, health: FALSE_HEALTH, ..SIGN_OFF },
    Case { after: AT_ONCE, wiped: Some(0), health: FALSE_HEALTH, ..SIGN_OFF },
    Case { control_machine: Some(1), after: AT_ONCE, wiped: Some(1), ..SIGN_OFF },
    Case { is_restarted_before: true, loss: Loss::AllTwice, ..SIGN_OFF },
    Case { after: Duration::from_secs(4), down: Duration::from_secs(4), wiped: Some(2), ..SIGN_OFF },
    Case { after: AT_ONCE, health: FALSE_HEALTH, ..DRAINING },
    Case { wiped: Some(2), health: FALSE_HEALTH, ..DRAINING },
    Case { control_machine: Some(0), wiped: Some(0), ..DRAINING },
    Case { loss: Loss::Sides, health: FALSE_HEALTH, ..SIGN_OFF },
    Case { loss: Loss::ControlMachines, wiped: Some(1), health: FALSE_HEALTH, ..DRAINING },
    Case { loss: Loss::Rolling, health: FALSE_HEALTH, ..SIGN_OFF },
    Case { is_control_replaced: true, after: AT_ONCE, ..SIGN_OFF },
    Case { is_control_replaced: true, wiped: Some(1), health: FALSE_HEALTH, ..DRAINING },
];

/// Say that the upstream leaves until that is acknowledged; the heartbeats from before.
async fn announce(testbed: &Testbed, machine: usize, case: &Case) -> Vec<PreparedCall> {
    let upstream = &testbed.upstreams[&machine];
    let late = LATE.iter().map(|_| upstream.prepare_heartbeat()).collect();
    upstream.set_health_answers(case.health);
    upstream.stop_heartbeats();
    let receiver = testbed.mesh.control(case.control_machine.unwrap_or(machine));
    wait_until("acknowledged", WAIT_TIMEOUT, || async {
        let call = if case.says_draining { upstream.prepare_drain() } else { upstream.prepare_sign_off() };
        call.at(receiver).is_acknowledged().await
    })
    .await
    .expect("acknowledged");
    late
}

async fn restart(testbed: &mut Testbed, machines: &[usize], case: &Case, down: Duration) {
    for machine in machines {
        testbed.mesh.kill(*machine).expect("killed");
    }
    for machine in case.wiped.iter().filter(|wiped| machines.contains(wiped)) {
        testbed.mesh.wipe(*machine).expect("wiped");
    }
    sleep(down).await;
    for machine in machines {
        testbed.mesh.start(*machine, false).expect("started");
    }
}

/// Replaces the first control machine by the spare one; the control machines that there are then.
async fn replace_control_machine(testbed: &mut Testbed) -> Vec<usize> {
    let mut control: Vec<usize> = testbed.mesh.control_machines().collect();
    let (leaver, newcomer) = (control.remove(0), testbed.mesh.spare_machines().start);
    testbed.mesh.start(newcomer, false).expect("started");
    let address = testbed.mesh.machines[newcomer].address.to_string();
    let knows = |state: &Value| {
        let nodes = state["nodes"].as_array().into_iter().flatten();
        nodes.into_iter().any(|node| node["node"] == address && node["holders"] != Value::Array(Vec::new()))
    };
    testbed.wait_for_state("the newcomer is known", &control, knows).await.expect("known");
    testbed.mesh.terminate(leaver).expect("told to end");
    let mesh = &mut testbed.mesh;
    let has_ended = || std::future::ready(mesh.has_ended(leaver));
    wait_until("the leaver ends", WAIT_TIMEOUT, has_ended).await.expect("ended");
    control.push(newcomer);
    control
}

async fn lose(testbed: &mut Testbed, case: &Case) {
    let control: Vec<usize> = match case.is_control_replaced {
        true => replace_control_machine(testbed).await,
        false => testbed.mesh.control_machines().collect(),
    };
    sleep(case.after).await;
    let sides: Vec<usize> = testbed.mesh.side_machines().collect();
    let all: Vec<usize> = control.iter().chain(&sides).copied().collect();
    match case.loss {
        Loss::All => restart(testbed, &all, case, case.down).await,
        Loss::AllTwice => {
            restart(testbed, &all, case, case.down).await;
            restart(testbed, &all, case, case.down).await;
        }
        Loss::Sides => restart(testbed, &sides, case, case.down).await,
        Loss::ControlMachines => restart(testbed, &control, case, case.down).await,
        Loss::Rolling => {
            for machine in all {
                restart(testbed, &[machine], case, Duration::ZERO).await;
                sleep(ROLLING_INTERVAL).await;
            }
        }
    }
}

/// Plays a case; the requests that reached the upstream and should not have.
async fn play(program: PathBuf, case: Case) -> Vec<String> {
    let plan = MeshPlan { side_count: SIDE_COUNT, zone_count: 1, spare_count: 1, ..MeshPlan::default() };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let sent_times = SentTimes::default();
    let clients = start_readers(&testbed, &sent_times);
    let leaver = testbed.mesh.side_machines().start;
    if case.is_restarted_before {
        restart(&mut testbed, &[leaver], &case, Duration::ZERO).await;
        testbed.wait_until_settled().await.expect("settled");
    }
    let late = announce(&testbed, leaver, &case).await;
    let acknowledged_at = Instant::now();
    let departed = testbed.upstreams[&leaver].id().to_string();
    lose(&mut testbed, &case).await;
    let started_at = Instant::now();
    for (after, heartbeat) in LATE.iter().zip(late) {
        sleep_until(started_at + *after).await;
        tokio::spawn(async move { heartbeat.send().await });
    }
    sleep_until(started_at + WATCHED_FOR).await;
    // What is sound is sent to, and so is a new upstream at the same address.
    testbed.start_upstream(leaver).await.expect("it starts");
    for machine in testbed.mesh.side_machines() {
        let id = testbed.upstreams[&machine].id();
        let count = testbed.executions.count_at(id);
        let is_served = || std::future::ready(testbed.executions.count_at(id) > count);
        wait_until("the upstream is sent to", WAIT_TIMEOUT, is_served).await.expect("served");
    }
    clients.iter().for_each(JoinHandle::abort);
    testbed.wait_until_idle().await.expect("idle");
    let judged_from = (acknowledged_at + DRAIN).max(started_at + IN_TOUCH);
    let runs = testbed.executions.runs();
    let of_departed = runs.into_iter().filter(|run| run.upstream == departed);
    let sent = of_departed.filter_map(|run| sent_times.get(&run.attempt));
    let late = sent.filter(|sent_at| *sent_at > judged_from);
    late.map(|sent_at| format!("sent {:?} after the acknowledgement", sent_at - acknowledged_at)).collect()
}

/// Guards against an acknowledged departure that is forgotten with the last process that remembered it: a heartbeat from before
/// brought the upstream back, and requests were cut off when it ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_acknowledged_departure_outlives_the_loss_of_all_processes() {
    let program = program::find().expect("the program is built");
    let mut broken = Vec::new();
    // Half of the meshes at a time.
    for cases in CASES.chunks(CASES.len() / 2) {
        let plays: Vec<_> = cases.iter().map(|case| tokio::spawn(play(program.clone(), *case))).collect();
        for (case, played) in cases.iter().zip(plays) {
            let late = played.await.expect("it ends");
            if let Some(first) = late.first() {
                broken.push(format!("{case:?}: {} requests, the first {first}", late.len()));
            }
        }
    }
    assert!(broken.is_empty(), "{} of {} cases: {broken:#?}", broken.len(), CASES.len());
}

/// Guards against a departure that is acknowledged although the loss of all processes would end it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_that_no_majority_has_on_disk_is_not_acknowledged() {
    let program = program::find().expect("the program is built");
    let plan = MeshPlan { side_count: 2, zone_count: 1, ..MeshPlan::default() };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let control: Vec<usize> = testbed.mesh.control_machines().collect();
    let leaver = testbed.mesh.side_machines().start;
    for machine in &control[1..] {
        testbed.mesh.kill(*machine).expect("killed");
    }
    for receiver in [leaver, control[0]] {
        let call = testbed.upstreams[&leaver].prepare_sign_off().at(testbed.mesh.control(receiver));
        assert!(!call.is_acknowledged().await, "machine {receiver} acknowledges it");
    }
    testbed.mesh.start(control[1], false).expect("started");
    wait_until("acknowledged", WAIT_TIMEOUT, || async {
        let call = testbed.upstreams[&leaver].prepare_sign_off();
        call.at(testbed.mesh.control(leaver)).is_acknowledged().await
    })
    .await
    .expect("acknowledged once two of three have it");
}
