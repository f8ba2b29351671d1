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
    /// Be a member of the fleet that this file names; else PROXY_FLEET, else of none. deploy/fleet.example.toml shows one.
    #[arg(long)]
    fleet: Option<PathBuf>,
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
    /// Ask a running sidecar who is in its fleet.
    Members(lifecycle::members::Order),
    /// Ask running sidecars what their fleet holds, found it, or recover it.
    Records(lifecycle::records::Order),
    /// Have an upstream drained by the whole fleet.
    Drain(lifecycle::records::Drain),
    /// Write the counterpart of a configuration for the shape in which a pool of sidecars is told the list unasked.
    Migrate(lifecycle::migrate::Order),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match cli.command {
        None => lifecycle::run(cli.fleet.as_deref()),
        Some(Role::Members(order)) => lifecycle::members::run(&order, &mut std::io::stdout()),
        Some(Role::Records(order)) => lifecycle::records::run(&order, &mut std::io::stdout()),
        Some(Role::Drain(order)) => lifecycle::records::drain(&order, &mut std::io::stdout()),
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
