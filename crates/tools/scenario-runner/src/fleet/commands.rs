//! The commands on scripts of a fleet: `run`, `check` and `hunt`.
use super::{hunt, sockets, FleetFigures, FleetScript};
use crate::sockets::Program;
use clap::Args;
use slog::Logger;
use std::path::{Path, PathBuf};

/// Draw schedules of faults by seed, play each in simulated time, shrink what fails.
#[derive(Debug, Args)]
pub struct HuntArgs {
    /// The script whose fleet is used; its own faults are not.
    pub script: PathBuf,
    /// Seeds, from A up to B.
    #[arg(long, value_parser = seeds, default_value = "1..1001")]
    pub seeds: (u64, u64),
    /// Write what is left of the first failing schedule to this file.
    #[arg(long)]
    pub to: Option<PathBuf>,
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let parts = text.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    parts.filter(|(a, b)| a < b).ok_or_else(|| format!("{text:?} is not A..B with A below B"))
}

/// The script in a file, if it is one of a fleet.
pub fn read(path: &Path) -> Result<Option<FleetScript>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    if !FleetScript::is_one(&text) {
        return Ok(None);
    }
    FleetScript::parse(&text).map(Some).map_err(|e| format!("{}: {e}", path.display()))
}

/// Say what a script is.
pub fn check(s: &FleetScript) -> bool {
    println!(
        "{}: {} members, {} faults, {} expectations over {} periods of {} ms; settled within {:.0}",
        s.name,
        s.fleet.members,
        s.faults.len(),
        s.expects.len(),
        s.fleet.length,
        s.fleet.period_ms,
        s.settle()
    );
    true
}

/// Play a script once and show what came of it.
pub fn run(
    script: &FleetScript,
    seed: u64,
    program: Option<&Program>,
    json: Option<&Path>,
    log: &Logger,
) -> Result<bool, String> {
    let figures = match program {
        None => hunt::play_any(script, seed),
        Some(program) => sockets::play(script, seed, program, log)?,
    };
    let to_stdout = json == Some(Path::new("-"));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&figures).map_err(|e| format!("figures: {e}"))? + "\n";
        if to_stdout {
            print!("{text}");
        } else {
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
    }
    if !to_stdout {
        show(&figures);
    }
    Ok(figures.is_good())
}

fn show(f: &FleetFigures) {
    println!("{} ({}, seed {})", f.script, f.mode, f.seed);
    if let Some(why) = &f.void {
        return println!("  VOID: {why}; its figures are withheld");
    }
    for (name, value) in &f.figures {
        println!("  {name:<24} {value:.3}");
    }
    f.breaches.iter().for_each(|b| println!("  BROKEN {b}"));
    for (what, value, held) in &f.expectations {
        let value = value.map_or("none".into(), |v| format!("{v:.3}"));
        println!("  expected {what}: {value}, {}", if *held { "held" } else { "FAILED" });
    }
}

/// Hunt; `false`: something broke.
pub fn hunting(args: &HuntArgs) -> Result<bool, String> {
    let script = read(&args.script)?.ok_or_else(|| {
        format!("{}: it has no [fleet]: schedules are drawn for a fleet", args.script.display())
    })?;
    let began = std::time::Instant::now();
    let (from, to) = args.seeds;
    let found = hunt::hunt(&script, from, to);
    println!("{} seeds, {} broken, {:.1} s", to - from, found.len(), began.elapsed().as_secs_f64());
    for (seed, figures) in found.iter().take(20) {
        println!("  seed {seed}: {}", figures.breaches.first().map_or("", String::as_str));
    }
    if let Some((seed, _)) = found.first() {
        let least = hunt::shrink(&hunt::draw_any(&script, *seed), *seed);
        let text = format!("# Shrunk from seed {seed}.\n{}", hunt::as_text(&least)?);
        match &args.to {
            Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?,
            None => print!("{text}"),
        }
    }
    Ok(found.is_empty())
}
