//! The scripted cases. The first argument names the case, the second the file of the record.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
mod drain;
mod evacuation;
mod harness;
mod stop;

use harness::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let run = match case.as_str() {
        "stop" => stop::run,
        "evacuation" => evacuation::run,
        "drain" => drain::run,
        _ => {
            eprintln!("{case}: no such case");
            std::process::exit(2);
        }
    };
    harness::limit_time(110);
    let result = std::panic::catch_unwind(|| {
        Record::new(record).map_err(harness::Failure::from).and_then(|record| run(&record))
    });
    std::process::exit(match result {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(error)) => {
            println!("could not run: {error}");
            2
        }
        Err(_) => 2,
    });
}
