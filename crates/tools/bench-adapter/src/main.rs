//! Serves the bench: batches on standard input, replies on standard output.
use std::io::{stdin, stdout, BufReader};
use std::process::ExitCode;

fn main() -> ExitCode {
    let served =
        silvercross_bench_adapter::Drill::default().run(BufReader::new(stdin().lock()), stdout().lock());
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("silvercross-bench-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
