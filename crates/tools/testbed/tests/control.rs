//! Control machines of the real program that are cut off, replaced and restarted under load, shortened: a cut lasts until a
//! number of changes were acknowledged by the others. `silvercross-testbed control` plays them at full size.
use silvercross_testbed::control::{play, ControlPlay, PlayExtent, PlayResult};
use silvercross_testbed::program;

async fn kept(one: ControlPlay) -> PlayResult {
    let program = program::find().expect("the program is built");
    let result = play(one, &program, PlayExtent::SHORT).await.expect("it can be played");
    println!("{}: {} changes; {:?}", one.name(), result.changes, result.figures);
    assert!(result.verdict.faults.is_empty(), "{result:#?}");
    assert!(result.verdict.served > result.verdict.attempts / 2, "{result:#?}");
    result
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_machine_that_is_cut_off_hands_out_nothing_old_and_takes_nothing() {
    let result = kept(ControlPlay::Cut).await;
    let answered = |answer| result.cut_off.contains_key(answer);
    assert!(answered("read 503") && answered("order 503"), "{result:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_replacement_meets_a_second_loss_while_the_leaver_is_there() {
    kept(ControlPlay::Replace).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_replacement_meets_a_second_loss_once_the_leaver_has_gone() {
    kept(ControlPlay::ReplaceThenLoss).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_machine_that_restarts_after_many_changes_has_them_before_it_counts() {
    kept(ControlPlay::Restart).await;
}
