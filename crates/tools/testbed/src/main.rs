//! Reads the command line. Exit codes: 0 all held, 1 it could not be played, 2 usage, 3 a goal or a rule was missed.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

use anyhow::{bail, Result};
use silvercross_testbed::control::{ControlPlay, PlayExtent};
use silvercross_testbed::evacuations::EvacuationOptions;
use silvercross_testbed::faults::FaultPlay;
use silvercross_testbed::lapse::{LapseOptions, LapsePlay};
use silvercross_testbed::load::LoadOptions;
use silvercross_testbed::mesh::OtherProgram;
use silvercross_testbed::soak::{SoakOptions, MAX_LINKED_SIDES};
use silvercross_testbed::{control, evacuations, faults, lapse, load, program, soak, upgrade, walkthrough};
use std::convert::Infallible;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

const HELP: &str = "silvercross-testbed show | load | faults | control | lapse | soak | evacuations | upgrade
  show      start a small mesh, have a request served, and show what happened
  load      what a request costs through two sidecars, beside two bare forwarders
    --seconds S       each way is loaded for so long (6)
    --connections C   clients (32)
    --body BYTES      of a request (200)
    --rate R          requests a second over all clients (0: as many as go)
    --members N       requests carry a member's key, and so many members are in force (0: none was ever sent)
  faults    break a small mesh in several ways and show what was kept
    --only NAME       one of them
  control   cut off, replace and restart control machines under load and show what was kept
    --only NAME       one of cut, replace, replace-then-loss, restart
    --seconds S       a cut lasts so long at least (20)
    --changes N       changes during a cut, and before a restart (300)
  lapse     a member's trial lapses on nine sides and three control machines: replies by node and second, steps, what ran
    --only NAME       one play; otherwise all
    --svg FOLDER      a plot for each play
    --sides N         machines with an upstream (9)
  soak      drawn kills, pauses, cuts, SIGHUPs and lost answers over a series of SIGTERMs, while changes come fast over thin links, clients leave and
            others stay until their process is gone; exit code 3 if broken
    --seed N          the first seed (1)
    --seeds N         how many, one after the other (20)
    --seconds S       faults are drawn for so long (15)
    --routes N        routes that make the configuration large (300)
    --rate BYTES      what a connection carries, in bytes a second (150000)
    --sides N         machines with an upstream (9); beyond 11 no links stand in between and no machine is cut off
    --clients N       clients that leave, and as many that stay, at each side (1)
    --long-clients N  clients of requests and responses longer than any buffer, some of them slow, at each side (3)
  evacuations  zones are evacuated in series under freezes with orders left in sockets, cuts, kills and replacements; exit code 3 if broken
    --seed N          the first seed (1)
    --seeds N         how many, one after the other (10)
    --rounds N        evacuations of each seed (3)
    --sides N         machines with an upstream (6; 11 at most)
  upgrade   three control machines of two builds: changes before and after one is killed, read by the others
    --old PATH        the program of the build that is upgraded from
    --old-word WORD   its word on the command line for a control machine (control)
    --runs N          both mixes are played so many times (1)";

enum Command {
    Show,
    Load(LoadOptions),
    Faults(Vec<FaultPlay>),
    Control(Vec<ControlPlay>, PlayExtent),
    Lapse(LapseOptions),
    Soak(SoakOptions),
    Evacuations(EvacuationOptions),
    Upgrade(OtherProgram, usize),
    Forward(std::net::SocketAddr),
}

/// The play of this name, or all.
fn plays<P: Copy>(all: &[P], only: Option<&str>, name: impl Fn(P) -> &'static str) -> Result<Vec<P>> {
    let plays: Vec<P> =
        all.iter().copied().filter(|play| only.is_none_or(|only| only == name(*play))).collect();
    if plays.is_empty() {
        let names: Vec<&str> = all.iter().map(|play| name(*play)).collect();
        bail!("{}: no such play (one of {names:?})", only.unwrap_or_default());
    }
    Ok(plays)
}

fn load_options(args: &mut pico_args::Arguments) -> Result<LoadOptions> {
    Ok(LoadOptions {
        seconds: args.opt_value_from_str::<_, f64>("--seconds")?.unwrap_or(6.0).clamp(0.3, 3600.0),
        connections: args.opt_value_from_str::<_, usize>("--connections")?.unwrap_or(32).clamp(1, 1024),
        body_bytes: args.opt_value_from_str::<_, usize>("--body")?.unwrap_or(200).min(1 << 20),
        rate: args.opt_value_from_str::<_, f64>("--rate")?.unwrap_or(0.0).clamp(0.0, 1e6),
        members: args.opt_value_from_str::<_, usize>("--members")?,
    })
}

fn control_command(args: &mut pico_args::Arguments) -> Result<Command> {
    let seconds = args.opt_value_from_str::<_, f64>("--seconds")?.unwrap_or(20.0).clamp(0.0, 3600.0);
    let changes = args.opt_value_from_str::<_, u64>("--changes")?.unwrap_or(300).clamp(1, 100_000);
    let cut = Duration::from_secs_f64(seconds);
    let extent = PlayExtent { changes, cut, changes_before_restart: changes, ..PlayExtent::FULL };
    let only: Option<String> = args.opt_value_from_str("--only")?;
    Ok(Command::Control(plays(&ControlPlay::ALL, only.as_deref(), ControlPlay::name)?, extent))
}

fn lapse_options(args: &mut pico_args::Arguments) -> Result<LapseOptions> {
    let only: Option<String> = args.opt_value_from_str("--only")?;
    Ok(LapseOptions {
        plays: plays(&LapsePlay::ALL, only.as_deref(), LapsePlay::name)?,
        plot_folder: args.opt_value_from_os_str("--svg", |path| Ok::<_, Infallible>(PathBuf::from(path)))?,
        side_count: args.opt_value_from_str::<_, usize>("--sides")?.unwrap_or(9).clamp(2, 32),
    })
}

fn soak_options(args: &mut pico_args::Arguments) -> Result<SoakOptions> {
    let full = SoakOptions::FULL;
    let seconds = args.opt_value_from_str::<_, f64>("--seconds")?.unwrap_or(full.span.as_secs_f64());
    Ok(SoakOptions {
        first_seed: args.opt_value_from_str("--seed")?.unwrap_or(full.first_seed),
        seeds: args.opt_value_from_str("--seeds")?.unwrap_or(full.seeds).clamp(1, 10_000),
        span: Duration::from_secs_f64(seconds.clamp(3.0, 600.0)),
        filler_routes: args.opt_value_from_str("--routes")?.unwrap_or(full.filler_routes).min(2_000),
        link_bytes_per_second: args
            .opt_value_from_str("--rate")?
            .unwrap_or(full.link_bytes_per_second)
            .max(1_000),
        side_count: args.opt_value_from_str("--sides")?.unwrap_or(full.side_count).clamp(2, 240),
        has_very_long_bodies: full.has_very_long_bodies,
        long_clients_per_side: args
            .opt_value_from_str("--long-clients")?
            .unwrap_or(full.long_clients_per_side)
            .min(64),
        clients_per_side: args.opt_value_from_str("--clients")?.unwrap_or(full.clients_per_side).min(64),
    })
}

fn evacuation_options(args: &mut pico_args::Arguments) -> Result<EvacuationOptions> {
    let full = EvacuationOptions::FULL;
    Ok(EvacuationOptions {
        first_seed: args.opt_value_from_str("--seed")?.unwrap_or(full.first_seed),
        seeds: args.opt_value_from_str("--seeds")?.unwrap_or(full.seeds).clamp(1, 10_000),
        rounds: args.opt_value_from_str("--rounds")?.unwrap_or(full.rounds).clamp(1, 100),
        side_count: args.opt_value_from_str("--sides")?.unwrap_or(full.side_count).clamp(3, MAX_LINKED_SIDES),
    })
}

fn upgrade_command(args: &mut pico_args::Arguments) -> Result<Command> {
    let path = args.value_from_os_str("--old", |path| Ok::<_, Infallible>(PathBuf::from(path)))?;
    let old = OtherProgram { path, word: args.opt_value_from_str("--old-word")? };
    Ok(Command::Upgrade(old, args.opt_value_from_str("--runs")?.unwrap_or(1).clamp(1, 1000)))
}

fn command() -> Result<Option<Command>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let command = match args.subcommand()?.as_deref() {
        Some("show") => Command::Show,
        Some("load") => Command::Load(load_options(&mut args)?),
        Some("faults") => {
            let only: Option<String> = args.opt_value_from_str("--only")?;
            Command::Faults(plays(&FaultPlay::ALL, only.as_deref(), FaultPlay::name)?)
        }
        Some("control") => control_command(&mut args)?,
        Some("lapse") => Command::Lapse(lapse_options(&mut args)?),
        Some("soak") => Command::Soak(soak_options(&mut args)?),
        Some("evacuations") => Command::Evacuations(evacuation_options(&mut args)?),
        Some("upgrade") => upgrade_command(&mut args)?,
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
        Err(error) => {
            eprintln!("silvercross-testbed: {error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(3),
        Err(error) => {
            eprintln!("silvercross-testbed: {error:#}");
            ExitCode::from(1)
        }
    }
}

async fn perform(command: &Command, program: &Path) -> Result<bool> {
    match command {
        Command::Show => walkthrough::run(program).await.map(|()| true),
        Command::Load(options) => load::run(program, *options).await,
        Command::Faults(plays) => Ok(faults::run(program, plays).await),
        Command::Control(plays, extent) => Ok(control::run(program, plays, *extent).await),
        Command::Lapse(options) => Ok(lapse::run(program, options).await),
        Command::Soak(options) => Ok(soak::run(program, options).await),
        Command::Evacuations(options) => Ok(evacuations::run(program, options).await),
        Command::Upgrade(old, runs) => upgrade::run(program, old, *runs).await,
        Command::Forward(_) => Ok(true),
    }
}

fn run(command: Command) -> Result<bool> {
    if let Command::Forward(to) = command {
        return silvercross_scenario_runner::load::forward(to).map(|()| true).map_err(anyhow::Error::msg);
    }
    let program = program::find()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        // Stopped, it still ends what it started.
        tokio::select! {
            done = perform(&command, &program) => done,
            _ = terminate.recv() => bail!("stopped"),
            _ = interrupt.recv() => bail!("stopped"),
        }
    })
}
