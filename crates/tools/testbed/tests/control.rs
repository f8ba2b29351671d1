//! Control machines of the real program that are cut off, replaced and restarted under load, shortened: a cut lasts until a
//! number of changes were acknowledged by the others. `village control` plays them at full size.
use silvercross_testbed::control::{play, Extent, Seen};
use silvercross_testbed::program;

async fn kept(name: &str) -> Seen {
    let program = program::find().expect("the program is built");
    let seen = play(name, &program, Extent::SHORT).await.expect("it can be played");
    println!("{name}: {} changes; {:?}", seen.changes, seen.figures);
    assert!(seen.judged.faults.is_empty(), "{seen:#?}");
    assert!(seen.judged.served > seen.judged.tried / 2, "{seen:#?}");
    seen
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_machine_that_is_cut_off_hands_out_nothing_old_and_takes_nothing() {
    let seen = kept("cut").await;
    assert!(seen.cut_off.contains_key("read 503") && seen.cut_off.contains_key("order 503"), "{seen:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_replacement_meets_a_second_loss_while_the_leaver_is_there() {
    kept("replace").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_replacement_meets_a_second_loss_once_the_leaver_has_gone() {
    kept("replace-then-loss").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_machine_that_restarts_after_many_changes_has_them_before_it_counts() {
    kept("restart").await;
}
