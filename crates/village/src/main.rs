//! Reads the command line. Exit codes: 0 all held, 1 it could not be played, 2 usage, 3 a goal or a rule was missed.
#![forbid(unsafe_code)]

use anyhow::Result;
use silvercross_village::{faults, load, program, show};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

const HELP: &str = "village show | load | faults
  show      start a small mesh, have a request served, and tell what happened
  load      what a request costs through two sidecars, beside two bare forwarders
    --seconds S       each way is loaded for so long (6)
    --connections C   clients (32)
    --body BYTES      of a request (200)
    --rate R          requests a second over all clients (0: as many as go)
  faults    break a small mesh in several ways and tell what was kept
    --only NAME       one of them";

enum Command {
    Show,
    Load(load::Load),
    Faults(Option<String>),
    Forward(std::net::SocketAddr),
}

fn command() -> Result<Option<Command>, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let command = match args.subcommand()?.as_deref() {
        Some("show") => Command::Show,
        Some("load") => Command::Load(load::Load {
            seconds: args.opt_value_from_str::<_, f64>("--seconds")?.unwrap_or(6.0).clamp(0.3, 3600.0),
            connections: args.opt_value_from_str::<_, usize>("--connections")?.unwrap_or(32).clamp(1, 1024),
            body: args.opt_value_from_str::<_, usize>("--body")?.unwrap_or(200).min(1 << 20),
            rate: args.opt_value_from_str::<_, f64>("--rate")?.unwrap_or(0.0).clamp(0.0, 1e6),
        }),
        Some("faults") => Command::Faults(args.opt_value_from_str("--only")?),
        Some("forward") => Command::Forward(args.free_from_str()?),
        _ => return Ok(None),
    };
    Ok(args.finish().is_empty().then_some(command))
}

fn main() -> ExitCode {
    let command = match command() {
        Ok(Some(command)) => command,
        Ok(None) => {
            eprintln!("{HELP}");
            return ExitCode::from(2);
        }
        Err(e) => {
            eprintln!("village: {e}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(e) => {
            eprintln!("village: {e:#}");
            ExitCode::from(1)
        }
    }
}

fn run(command: Command) -> Result<bool> {
    if let Command::Forward(to) = command {
        return silvercross_rehearse::load::forward(to).map(|()| true).map_err(anyhow::Error::msg);
    }
    let program = program::find()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let work = async {
            match &command {
                Command::Show => show::show(&program).await.map(|()| true),
                Command::Load(l) => load::load(&program, *l).await,
                Command::Faults(only) => faults::faults(&program, only.as_deref()).await,
                Command::Forward(_) => Ok(true),
            }
        };
        // Told to stop, what was started is ended all the same.
        tokio::select! {
            done = work => done,
            _ = term.recv() => anyhow::bail!("stopped"),
            _ = int.recv() => anyhow::bail!("stopped"),
        }
    })
}
