//! `silvercrossctl`, the operators' client of the mesh: looks at all nodes, changes the configuration, says what is wrong.
//!
//! It must not know how nodes agree or whom they send to: it speaks to them through their operators' calls alone. Read on at
//! [`command_line`], then [`mesh_client`] and [`wire`], then the file of a command.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod apply;
mod backup;
mod command_line;
mod configuration;
mod diagnosis;
mod doctor;
mod error;
mod evacuation;
mod event_reader;
mod event_text;
mod exit_code;
mod http_client;
mod items;
mod mesh_client;
mod output;
mod plan;
mod report;
#[cfg(test)]
mod tests;
mod usage;
mod views;
mod wire;

use command_line::{Command, Invocation, MeshCommand};
use error::Error;
use exit_code::ExitCode;
use mesh_client::MeshClient;

fn main() -> std::process::ExitCode {
    let code = run().unwrap_or_else(|error| {
        eprintln!("silvercrossctl: {error}");
        error.exit_code()
    });
    code.into()
}

fn run() -> Result<ExitCode, Error> {
    let environment = std::env::var(usage::ADDRESSES_VARIABLE).ok();
    match command_line::parse(pico_args::Arguments::from_env(), environment)? {
        Invocation::Help => println!("{}", command_line::HELP),
        Invocation::Version => println!("silvercrossctl {}", env!("CARGO_PKG_VERSION")),
        Invocation::Mesh(command) => return run_command(command),
    }
    Ok(ExitCode::Done)
}

fn run_command(MeshCommand { addresses, as_json, command }: MeshCommand) -> Result<ExitCode, Error> {
    let client = MeshClient { addresses };
    match command {
        Command::Nodes => views::nodes(&client, as_json),
        Command::Upstreams => views::upstreams(&client, as_json),
        Command::Routes => views::routes(&client, as_json),
        Command::ControlState => views::control_state(&client, as_json),
        Command::Get => apply::get(&client, as_json),
        Command::Apply(path, options) => apply::apply(&client, &path, options),
        Command::Evacuate { zone, ends, options } => evacuation::evacuate(&client, &zone, ends, options),
        Command::Backup(path) => backup::backup(&client, &path, as_json),
        Command::Restore { path, is_exact, options } => backup::restore(&client, &path, is_exact, options),
        Command::Events(query) => event_reader::events(&client, &query),
        Command::Report { path, span } => report::report(&client, &path, span, as_json),
        Command::Doctor => doctor::doctor(&client, as_json),
    }
}
