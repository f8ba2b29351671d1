//! Reads the command line and turns the way it ended into an exit code.
#![forbid(unsafe_code)]

use clap::Parser;
use silvercross_scenario_runner::commands::{self, Cli};
use std::process::ExitCode;

fn main() -> ExitCode {
    // clap ends a bad command line itself, with code 2.
    match commands::run(Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(why) => {
            eprintln!("silvercross-scenario-runner: {why}");
            ExitCode::from(1)
        }
    }
}
