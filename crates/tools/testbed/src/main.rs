//! Reads the command line. Exit codes: 0 all held, 1 it could not be played, 2 usage, 3 a goal or a rule was missed.
#![forbid(unsafe_code)]

use anyhow::Result;
use silvercross_testbed::{control, faults, lapse, load, program, show};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

const HELP: &str = "silvercross-testbed show | load | faults | control | lapse
  show      start a small mesh, have a request served, and tell what happened
  load      what a request costs through two sidecars, beside two bare forwarders
    --seconds S       each way is loaded for so long (6)
    --connections C   clients (32)
    --body BYTES      of a request (200)
    --rate R          requests a second over all clients (0: as many as go)
    --members N       requests carry a member's key, and so many members stand (0: none was ever sent)
  faults    break a small mesh in several ways and tell what was kept
    --only NAME       one of them
  control   cut off, replace and restart control machines under load and tell what was kept
    --only NAME       one of cut, replace, replace-then-loss, restart
    --seconds S       a cut lasts so long at least (20)
    --changes N       changes during a cut, and before a restart (300)
  lapse     a member's trial lapses on nine sides and three cores: replies by node and second, steps, what ran
    --only NAME       one play; otherwise all
    --svg FOLDER      a plot for each play
    --sides N         machines with an upstream (9)";

enum Command {
    Show,
    Load(load::Load),
    Faults(Option<String>),
    Control(Option<String>, control::Extent),
    Lapse(lapse::Lapse),
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
            members: args.opt_value_from_str::<_, usize>("--members")?,
        }),
        Some("faults") => Command::Faults(args.opt_value_from_str("--only")?),
        Some("control") => {
            let seconds = args.opt_value_from_str::<_, f64>("--seconds")?.unwrap_or(20.0).clamp(0.0, 3600.0);
            let changes = args.opt_value_from_str::<_, u64>("--changes")?.unwrap_or(300).clamp(1, 100_000);
            let cut = std::time::Duration::from_secs_f64(seconds);
            let extent = control::Extent { changes, cut, before_restart: changes, ..control::Extent::FULL };
            Command::Control(args.opt_value_from_str("--only")?, extent)
        }
        Some("lapse") => Command::Lapse(lapse::Lapse {
            only: args.opt_value_from_str("--only")?,
            svg: args.opt_value_from_os_str("--svg", |s| Ok::<_, String>(std::path::PathBuf::from(s)))?,
            sides: args.opt_value_from_str::<_, usize>("--sides")?.unwrap_or(9).clamp(2, 32),
        }),
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
            eprintln!("silvercross-testbed: {e}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(e) => {
            eprintln!("silvercross-testbed: {e:#}");
            ExitCode::from(1)
        }
    }
}

fn run(command: Command) -> Result<bool> {
    if let Command::Forward(to) = command {
        return silvercross_scenario_runner::load::forward(to).map(|()| true).map_err(anyhow::Error::msg);
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
                Command::Control(only, extent) => control::control(&program, only.as_deref(), *extent).await,
                Command::Lapse(l) => lapse::lapse(&program, l).await,
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
