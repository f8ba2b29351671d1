//! Command line of the sidecar: runs a sidecar, a gateway or an operator's command, and returns its result as exit code.
#![deny(unsafe_code)]

use clap::{Parser, Subcommand};
use silvercross_sidecar::lifecycle;
use std::path::PathBuf;
use std::process::ExitCode;

/// Without a command, runs a sidecar, configured by the file that PROXY_CONFIG names.
#[derive(Parser)]
#[command(name = "silvercross", version)]
struct Cli {
    /// Configuration file of the fleet to join; default: PROXY_FLEET, or no fleet. Example: deploy/fleet.example.toml.
    #[arg(long)]
    fleet: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Role>,
}

#[derive(Subcommand)]
enum Role {
    /// Run a gateway between two sites.
    Gateway {
        /// Configuration file of the gateway. Example: deploy/gateway.example.toml.
        #[arg(long)]
        config: PathBuf,
    },
    /// Print the members of a running sidecar's fleet.
    Members(lifecycle::members::Order),
    /// Ask running sidecars what their fleet holds, found it, or recover it.
    Records(lifecycle::records::Order),
    /// Drain an upstream for the whole fleet.
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
            // A single line, as the platform shows it for a sidecar that fails to start.
            eprintln!("silvercross: {why}");
            ExitCode::FAILURE
        }
    }
}
