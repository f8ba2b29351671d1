//! A short soak of the real program; `silvercross-testbed soak` plays it at full size, for many seeds.
use silvercross_testbed::program;
use silvercross_testbed::soak::{play, SoakOptions};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_in_force_everywhere_while_faults_overlap() {
    let program = program::find().expect("the program is built");
    let options = SoakOptions::SHORT;
    let result = play(&program, options.first_seed, &options).await.expect("it can be played");
    println!("{result:?}");
    assert!(result.faults.is_empty(), "{result:#?}");
    assert!(result.changes > 10 && result.checked > 0, "{result:#?}");
}
