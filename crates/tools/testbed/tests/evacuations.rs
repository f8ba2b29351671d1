//! Orders for a zone that lie at a control process which stands still, while newer ones are acknowledged by the others.
use silvercross_testbed::evacuations::{
    play as play_seed, AbandonedOrder, Abandonment, EvacuationOptions, Order,
};
use silvercross_testbed::mesh::MeshPlan;
use silvercross_testbed::testbed::{get_json, STATE_PATH};
use silvercross_testbed::upstream::UpstreamBehaviour;
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::time::Duration;

/// A caller that gives up an order does so after this.
const CALLER_PATIENCE: Duration = Duration::from_millis(300);
/// Calls that a process answers after it goes on: those that lay there came before.
const CALLS_AFTER_THAW: usize = 20;

/// Orders of one operator for one zone.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Acknowledged before.
    before: &'static [Order],
    /// Sent to the process that stands still, and given up.
    abandoned: &'static [Order],
    /// Acknowledged by another process afterwards.
    after: &'static [Order],
}

use Order::{End, Start};
const CASES: [Case; 7] = [
    Case { before: &[Start], abandoned: &[End], after: &[End, Start] },
    Case { before: &[Start], abandoned: &[End], after: &[Start] },
    Case { before: &[], abandoned: &[Start], after: &[Start, End] },
    Case { before: &[Start, End], abandoned: &[Start], after: &[End] },
    Case { before: &[Start], abandoned: &[End, End], after: &[End, Start] },
    Case { before: &[], abandoned: &[Start, End], after: &[Start] },
    Case { before: &[Start], abandoned: &[End, Start, End], after: &[Start, End, Start] },
];

async fn acknowledge(testbed: &Testbed, through: usize, zone: &str, order: Order) {
    let operator = testbed.operator.beginning_at(through);
    operator.set_evacuated(zone, order == Start).await.expect("acknowledged");
}

/// What is wrong with a zone's state at all machines.
async fn differing(testbed: &Testbed, zone: &str, is_evacuated: bool) -> Vec<String> {
    let mut wrong = Vec::new();
    for machine in testbed.mesh.control_machines().chain(testbed.mesh.side_machines()) {
        let state = get_json(testbed.mesh.control(machine), STATE_PATH).await;
        let zones = state["evacuated"].as_array().into_iter().flatten();
        if zones.filter(|known| **known == *zone).count() != usize::from(is_evacuated) {
            wrong.push(format!("{}: {}", testbed.mesh.machines[machine].name, state["evacuations"]));
        }
    }
    wrong
}

/// Plays a case with one control process standing still; what is wrong at the end.
async fn play(
    testbed: &Testbed,
    frozen: usize,
    zone: &str,
    case: &Case,
    abandonment: Abandonment,
) -> Vec<String> {
    let others: Vec<usize> = testbed.mesh.control_machines().filter(|machine| *machine != frozen).collect();
    for order in case.before {
        acknowledge(testbed, frozen, zone, *order).await;
    }
    let address = testbed.mesh.control(frozen);
    let mut begun = Vec::new();
    for order in case.abandoned {
        begun.push(AbandonedOrder::begin(address, &order.path(zone), abandonment).await.expect("connected"));
    }
    testbed.mesh.freeze(frozen).expect("frozen");
    let mut kept_connections = Vec::new();
    for order in begun {
        kept_connections.extend(order.leave(CALLER_PATIENCE).await.expect("written"));
    }
    for (number, order) in case.after.iter().enumerate() {
        acknowledge(testbed, others[number % others.len()], zone, *order).await;
    }
    testbed.mesh.thaw(frozen).expect("thawed");
    for _ in 0..CALLS_AFTER_THAW {
        let read = || async {
            let answer = testbed.operator.call_once(address, "GET", "/-/Config.Get", b"").await;
            answer.is_ok_and(|answer| answer.status == 200)
        };
        wait_until("the process reads with the others", WAIT_TIMEOUT, read).await.expect("it goes on");
    }
    let is_evacuated = case.after.last() == Some(&Start);
    let settled = wait_until("the last order holds everywhere", Duration::from_secs(3), || async {
        differing(testbed, zone, is_evacuated).await.is_empty()
    })
    .await;
    let wrong = differing(testbed, zone, is_evacuated).await;
    drop(kept_connections);
    // For the next case.
    acknowledge(testbed, others[0], zone, End).await;
    match settled {
        Ok(()) => wrong,
        Err(error) => wrong.into_iter().chain([format!("{error:#}")]).collect(),
    }
}

/// Plays all cases with the same control process standing still; what is wrong.
async fn play_all(frozen: usize, abandonment: Abandonment) -> Vec<String> {
    let program = program::find().expect("the program is built");
    let plan = MeshPlan { side_count: 3, ..MeshPlan::default() };
    let testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let mut wrong = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        // Each zone's order has an owner of its own among the control processes.
        let zone = testbed.mesh.machines[number % 3].zone.clone();
        let found = play(&testbed, frozen, &zone, case, abandonment).await;
        if !found.is_empty() {
            wrong.push(format!("{case:?}, {abandonment:?}, machine {frozen} frozen, zone {zone}: {found:?}"));
        }
    }
    wrong
}

/// Guards against an order that is carried out after a newer one of the same operator was acknowledged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_lay_at_a_frozen_control_process_is_not_carried_out_after_a_newer_one() {
    hold([Abandonment::HangsUp; 3]).await;
}

/// Guards against an order that is carried out after a newer one of the same operator was acknowledged, because the operator
/// has not closed the connection on which it lay unread.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_lay_unread_is_not_carried_out_after_a_newer_one_though_its_connection_is_open() {
    hold([Abandonment::KeepsConnection, Abandonment::HalfSentBefore, Abandonment::OnUsedConnection]).await;
}

/// Plays all cases with each control process standing still, and orders left there in these ways.
async fn hold(abandonments: [Abandonment; 3]) {
    let plays = abandonments.into_iter().enumerate();
    let plays: Vec<_> = plays.map(|(frozen, how)| tokio::spawn(play_all(frozen, how))).collect();
    let mut wrong = Vec::new();
    for play in plays {
        wrong.extend(play.await.expect("it ends"));
    }
    assert!(wrong.is_empty(), "{} of {} plays: {wrong:#?}", wrong.len(), 3 * CASES.len());
}

/// Each seed is a mesh of its own; they are played side by side. `silvercross-testbed evacuations` plays more at full size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_reaches_a_zone_whose_evacuation_was_acknowledged_whatever_strikes_the_control_processes() {
    let program = program::find().expect("the program is built");
    let options = EvacuationOptions::SHORT;
    let seeds = options.first_seed..options.first_seed + options.seeds;
    let plays: Vec<_> = seeds
        .map(|seed| {
            let program = program.clone();
            tokio::spawn(async move { play_seed(&program, seed, &options).await })
        })
        .collect();
    let mut checked = 0;
    for (number, played) in plays.into_iter().enumerate() {
        let result = played.await.expect("it ends").expect("it can be played");
        assert!(result.faults.is_empty(), "play {number}: {result:#?}");
        assert!(result.evacuations >= options.rounds, "play {number}: {result:#?}");
        checked += result.checked;
    }
    assert!(checked > 0, "nothing was sent while a zone had to be empty");
}
