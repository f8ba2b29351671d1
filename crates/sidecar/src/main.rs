//! Starts the sidecar, or a gateway, and turns the way it ended into an exit code.
#![deny(unsafe_code)]

use clap::{Parser, Subcommand};
use silvercross_sidecar::lifecycle;
use std::path::PathBuf;
use std::process::ExitCode;

/// Without a command: a sidecar, configured by the file that PROXY_CONFIG names.
#[derive(Parser)]
#[command(name = "silvercross", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Role>,
}

#[derive(Subcommand)]
enum Role {
    /// A gateway between two sites.
    Gateway {
        /// Its file; deploy/gateway.example.toml shows one.
        #[arg(long)]
        config: PathBuf,
    },
    /// Write the counterpart of a configuration for the shape in which a pool of sidecars is told the list unasked.
    Migrate(lifecycle::migrate::Order),
}

fn main() -> ExitCode {
    let ended = match Cli::parse().command {
        None => lifecycle::run(),
        Some(Role::Gateway { config }) => lifecycle::gateway::run(&config),
        Some(Role::Migrate(order)) => lifecycle::migrate::run(&order, &mut std::io::stdout()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            // One plain line: it is what the platform shows of a sidecar that would not start.
            eprintln!("silvercross: {why}");
            ExitCode::FAILURE
        }
    }
}
