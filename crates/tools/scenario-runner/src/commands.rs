//! The commands. Results go to standard output, progress and faults to standard error; what a command comes to is its
//! exit code: 0 all held, 1 unusable input, 2 usage, 3 an expectation or a rule failed.
use crate::fleet;
use crate::load;
use crate::log::{self, Form};
use crate::play::{self, Side};
use crate::report;
use clap::{Args, Parser, Subcommand, ValueEnum};
use silvercross_emulator::figures::Figures;
use silvercross_emulator::script::{Mode, Script, Trouble};
use silvercross_emulator::Policy;
use slog::{info, Logger};
use std::path::{Path, PathBuf};

/// Rehearse incidents of a fleet of order servers before they happen.
#[derive(Debug, Parser)]
#[command(name = "silvercross-scenario-runner", version, about)]
pub struct Cli {
    /// Log progress and events in this form to standard error; else only a terminal sees them.
    #[arg(long, global = true, value_enum)]
    log: Option<Form>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a script and say what was served, and what plain policies would have got.
    Run(RunArgs),
    /// Be a sidecar: the real one, with the policy named in the module's place. Started by runs on sockets.
    #[command(hide = true)]
    Sidecar {
        /// Who decides.
        policy: String,
        /// Be a gateway by this file instead.
        #[arg(long)]
        gateway: Option<PathBuf>,
    },
    /// Be the bare forwarder that `load` measures beside the sidecar.
    #[command(hide = true)]
    Forward {
        /// Where to.
        to: std::net::SocketAddr,
    },
    /// Saturate one sidecar step by step, and a bare forwarder beside it.
    Load {
        /// Requests a second, step by step.
        #[arg(long, value_delimiter = ',', default_value = "500,2000,5000,10000,15000,20000")]
        steps: Vec<f64>,
        /// How long each step lasts, in seconds.
        #[arg(long, default_value_t = 4.0)]
        each: f64,
        /// Stand-in upstreams.
        #[arg(long, default_value_t = 8)]
        upstreams: usize,
        /// Bytes of a request's body.
        #[arg(long, default_value_t = 212)]
        body: usize,
        /// Another build of the sidecar.
        #[arg(long)]
        sidecar: Option<PathBuf>,
        /// Write the steps to this file.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Draw schedules of faults for a fleet by seed, play each in simulated time, shrink what fails.
    Hunt(fleet::commands::HuntArgs),
    /// Measure what holding costs, against the same requests that are not held.
    Held(crate::records::cost::CostArgs),
    /// Read a script and say what is wrong with it.
    Check {
        /// The script.
        script: PathBuf,
    },
    /// Name the scripts in a folder.
    List {
        /// The folder.
        #[arg(default_value = "scenarios")]
        folder: PathBuf,
    },
    /// Play a script several times with different seeds (or the same one, on sockets) and show each figure's spread.
    Repeat {
        /// The script.
        script: PathBuf,
        /// How often.
        #[arg(long, default_value_t = 5)]
        times: u64,
        /// Keep the seed: shows what chance outside the script does.
        #[arg(long)]
        same_seed: bool,
        #[command(flatten)]
        how: How,
    },
    /// Play a script under two policies, or two builds, with paired seeds, and show the differences.
    Compare {
        /// The script.
        script: PathBuf,
        /// A policy's name or a build's path.
        #[arg(long)]
        a: String,
        /// Another one.
        #[arg(long)]
        b: String,
        /// Pairs.
        #[arg(long, default_value_t = 5)]
        times: u64,
        #[command(flatten)]
        how: How,
    },
}

#[derive(Debug, Args)]
struct How {
    /// In simulated time or on sockets; the script's own unless given.
    #[arg(long)]
    mode: Option<ModeArg>,
    /// The seed; the script's own unless given.
    #[arg(long)]
    seed: Option<u64>,
    /// The script's gateways as they are, taken out (each site for itself), or taken out with all servers listed everywhere.
    #[arg(long, value_enum, default_value = "on")]
    gateway: Gateways,
}

#[derive(Debug, Args)]
struct RunArgs {
    /// The script.
    script: PathBuf,
    #[command(flatten)]
    how: How,
    /// Who decides: module, random, round-robin, least-in-flight, best-of-two.
    #[arg(long, default_value = "module")]
    policy: String,
    /// Write all figures to this file; `-`: to standard output, alone.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the report with its plots to this folder; target/rehearsal/NAME unless given, where there is a target.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Another build of the sidecar, on sockets.
    #[arg(long)]
    sidecar: Option<PathBuf>,
    /// Leave the plain policies out.
    #[arg(long)]
    no_baselines: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Gateways {
    On,
    Off,
    Direct,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum ModeArg {
    Virtual,
    Sockets,
}

impl How {
    fn take_out(&self, script: &mut Script) {
        if matches!(self.gateway, Gateways::On) {
            return;
        }
        script.gateway = None;
        script.list.own_site = matches!(self.gateway, Gateways::Off);
        // What happens to gateways has no meaning then.
        script.faults.retain(|f| !matches!(f.kind, Trouble::GatewaysDie | Trouble::GatewaysDrain));
    }

    fn of(&self, script: &Script) -> (Mode, u64) {
        let mode = match self.mode {
            None => script.mode,
            Some(ModeArg::Virtual) => Mode::Virtual,
            Some(ModeArg::Sockets) => Mode::Sockets,
        };
        (mode, self.seed.unwrap_or(script.seed))
    }
}

/// Read a script from its file; the error names file, line and key.
pub fn read(path: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Script::parse(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Do what the command line asks for; `false`: an expectation or a rule failed.
pub fn run(cli: Cli) -> Result<bool, String> {
    // What is only started by others logs as what it stands for.
    let log = log::start(cli.log);
    match cli.command {
        Command::Run(args) => match fleet::commands::read(&args.script)? {
            Some(script) => run_fleet(&script, &args, &log),
            None => run_once(&args, &log),
        },
        Command::Hunt(args) => fleet::commands::hunting(&args),
        Command::Held(args) => {
            let side = args.sidecar.clone().map_or(Side::Policy(Policy::Module), Side::Build);
            crate::records::cost::run(&args, &play::program(&side)?)
        }
        Command::Check { script } => {
            if let Some(s) = fleet::commands::read(&script)? {
                return Ok(fleet::commands::check(&s));
            }
            let s = read(&script)?;
            println!(
                "{}: {} servers, {} sidecars, {} classes, {} faults, {} expectations over {} s",
                s.name,
                s.servers(),
                s.sidecars(),
                s.classes.len(),
                s.faults.len(),
                s.expects.len(),
                s.length_s
            );
            Ok(true)
        }
        Command::Sidecar { policy, gateway } => sidecar(&policy, gateway.as_deref()),
        Command::Forward { to } => load::forward(to).map(|()| true),
        Command::Load { steps, each, upstreams, body, sidecar, json } => {
            let usable = |s: &f64| (1.0..=1e6).contains(s);
            if !steps.iter().all(usable)
                || !(0.1..=600.0).contains(&each)
                || upstreams > 256
                || body > 64 * 1024
            {
                return Err("steps from 1 to 1000000 a second, each from 0.1 to 600 s, upstreams up to 256, body up to 65536".into());
            }
            let each = std::time::Duration::from_secs_f64(each);
            saturate(&load::Plan { steps, each, upstreams, body }, sidecar, json.as_deref(), &log)
        }
        Command::List { folder } => list(&folder),
        Command::Repeat { script, times, same_seed, how } => {
            repeat(read(&script)?, times, same_seed, &how, &log)
        }
        Command::Compare { script, a, b, times, how } => {
            compare(read(&script)?, &Side::named(&a)?, &Side::named(&b)?, times, &how, &log)
        }
    }
}

fn saturate(
    plan: &load::Plan,
    sidecar: Option<PathBuf>,
    json: Option<&Path>,
    log: &Logger,
) -> Result<bool, String> {
    let own = play::program(&Side::Policy(Policy::Module))?;
    let program = sidecar.map_or(Ok(own.clone()), |path| play::program(&Side::Build(path)))?;
    let steps = load::measure(&program, &own, plan, log)?;
    println!(
        "{:<10} {:>9} {:>9} {:>7} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "of",
        "asked/s",
        "served/s",
        "failed",
        "cpu us",
        "core",
        "opened",
        "p50 ms",
        "p99 ms",
        "p999 ms",
        "late ms"
    );
    for s in &steps {
        println!(
            "{:<10} {:>9.0} {:>9.0} {:>7.4} {:>8.1} {:>6.2} {:>8.4} {:>8.2} {:>8.2} {:>8.2} {:>8.2}",
            s.of,
            s.asked_per_s,
            s.served_per_s,
            s.failed,
            s.cpu_us,
            s.core,
            s.connections,
            s.p50_ms,
            s.p99_ms,
            s.p999_ms,
            s.late_ms
        );
    }
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&steps).map_err(|e| e.to_string())? + "\n";
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(true)
}

/// Serve as a sidecar until told to stop, or until whoever started it is gone.
fn sidecar(policy: &str, gateway: Option<&Path>) -> Result<bool, String> {
    let policy = Policy::named(policy).ok_or_else(|| format!("no policy {policy:?}"))?;
    std::thread::spawn(|| {
        // Nothing is ever said on it: its end is that of the rehearsal, however that came about.
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
    if let Some(file) = gateway {
        return silvercross_sidecar::lifecycle::gateway::run(file).map(|()| true);
    }
    let make = (policy != Policy::Module).then(|| -> silvercross_facade::DeciderFactory {
        Box::new(move |settings, seed, now| policy.make(settings, seed, now))
    });
    silvercross_sidecar::lifecycle::run_deciding(make, None, Some(crate::records::disk::open)).map(|()| true)
}

fn list(folder: &Path) -> Result<bool, String> {
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    let mut good = true;
    for path in paths {
        let said = match fleet::commands::read(&path) {
            Ok(Some(s)) => Ok((s.name, s.about)),
            Ok(None) => read(&path).map(|s| (s.name, s.about)),
            Err(why) => Err(why),
        };
        match said {
            Ok((name, about)) => println!("{name:<20} {about}"),
            Err(why) => {
                good = false;
                eprintln!("{why}");
            }
        }
    }
    if good {
        Ok(true)
    } else {
        Err("not all scripts can be read".into())
    }
}

fn run_fleet(script: &fleet::FleetScript, args: &RunArgs, log: &Logger) -> Result<bool, String> {
    let side = args.sidecar.as_ref().map_or(Side::Policy(Policy::Module), |p| Side::Build(p.clone()));
    let program = match args.how.mode {
        Some(ModeArg::Sockets) => Some(play::program(&side)?),
        Some(ModeArg::Virtual) | None => None,
    };
    let seed = args.how.seed.unwrap_or(script.seed);
    fleet::commands::run(script, seed, program.as_ref(), args.json.as_deref(), log)
}

fn run_once(args: &RunArgs, log: &Logger) -> Result<bool, String> {
    let mut script = read(&args.script)?;
    args.how.take_out(&mut script);
    let (mode, seed) = args.how.of(&script);
    let side = match &args.sidecar {
        Some(path) => Side::Build(path.clone()),
        None => {
            Side::Policy(Policy::named(&args.policy).ok_or_else(|| format!("no policy {:?}", args.policy))?)
        }
    };
    info!(log, "playing"; "script" => &script.name, "seconds" => script.length_s, "seed" => seed);
    let mut figures = play::once(&script, seed, mode, &side, log)?;
    if !args.no_baselines && figures.void.is_none() && !figures.cut_short {
        info!(log, "playing the plain policies in simulated time");
        play::baselines(&script, seed, &mut figures);
        figures.expect(&script.expects);
    }
    let to_stdout = args.json.as_deref() == Some(Path::new("-"));
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&figures).map_err(|e| format!("figures: {e}"))? + "\n";
        if to_stdout {
            print!("{text}");
        } else {
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
    }
    // Where this is built there is a folder that nobody needs to clean up.
    let usual = Path::new("target").is_dir().then(|| Path::new("target/rehearsal").join(&script.name));
    let folder = args.report.clone().or(usual);
    if let Some(folder) = &folder {
        report::write(folder, &script, &figures)?;
    }
    if !to_stdout {
        show(&figures);
        folder.iter().for_each(|folder| println!("  report: {}", folder.join("index.html").display()));
    }
    Ok(figures.is_good())
}

fn show(f: &Figures) {
    println!("{} ({}, {}, seed {})", f.script, f.mode, f.policy, f.seed);
    if let Some(why) = &f.void {
        return println!("  VOID: {why}; its figures are withheld");
    }
    if f.cut_short {
        println!("  cut short: what follows is of what was played");
    }
    println!("  served worth   {:.3}   worst 5 s {:.3}", f.served_worth, f.worst_5s);
    let sites = f.by_site.iter().filter(|_| f.by_site.len() > 1);
    for (name, worth) in f.by_class.iter().chain(sites) {
        println!("    {name:<20} {worth:.3}");
    }
    println!(
        "  asks {}: served {}, refused {}, failed {}, given up {}; median {} ms, p99 {} ms",
        f.asks, f.served, f.refused, f.failed, f.gave_up, f.p50_ms, f.p99_ms
    );
    println!(
        "  {:.3} attempts a try, {:.3} connections an attempt, {:.3} crossed sites",
        f.attempts_per_try, f.connections_per_attempt, f.crossed
    );
    for (policy, worth) in &f.baselines {
        let broken = f.baselines_broken.get(policy).copied().unwrap_or(0);
        let rules = if broken > 0 { format!(", breaking rules {broken} times") } else { String::new() };
        println!("  {policy:<16} would have got {worth:.3} ({:+.3}){rules}", worth - f.served_worth);
    }
    let r = &f.rules;
    println!(
        "  rules: lost {}, sent after {}, duplicated {}, drained late {}, cold fallen {}",
        r.lost, r.sent_after, r.duplicated, r.drained_late, r.cold_fallen
    );
    f.breaches.iter().for_each(|b| println!("    {b}"));
    for e in &f.expectations {
        let bound = |name: &str, v: Option<f64>| v.map_or(String::new(), |v| format!(" {name} {v}"));
        let value = e.value.map_or("none".into(), |v| format!("{v:.3}"));
        let verdict = if e.held { "held" } else { "FAILED" };
        println!(
            "  expected {}{}{}: {value}, {verdict}",
            e.figure,
            bound("at least", e.least),
            bound("at most", e.most)
        );
    }
}

/// Figures whose spread is shown.
const SHOWN: [&str; 9] = [
    "served_worth",
    "worst_5s",
    "refused",
    "failed",
    "gave_up",
    "attempts_per_try",
    "p50_ms",
    "p99_ms",
    "rules.broken",
];

fn shown(script: &Script) -> Vec<String> {
    let sites = script.sites.iter().filter(|_| script.sites.len() > 1).map(|s| format!("by_site.{}", s.name));
    SHOWN.iter().map(|s| s.to_string()).chain(sites).collect()
}

/// Mean and standard deviation.
fn spread(values: &[f64]) -> (f64, f64) {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
    (mean, (squares / (n - 1.0).max(1.0)).sqrt())
}

fn repeat(mut script: Script, times: u64, same_seed: bool, how: &How, log: &Logger) -> Result<bool, String> {
    how.take_out(&mut script);
    let script = &script;
    let (mode, seed) = how.of(script);
    let mut runs = Vec::new();
    for n in 0..times.max(1) {
        info!(log, "playing"; "script" => &script.name, "run" => n + 1, "of" => times);
        let seed = if same_seed { seed } else { seed + n };
        runs.push(play::once(script, seed, mode, &Side::Policy(Policy::Module), log)?);
    }
    let void = runs.iter().filter(|f| f.void.is_some()).count();
    runs.retain(|f| f.void.is_none());
    println!("{}: {} runs, {void} void", script.name, runs.len());
    println!("  {:<18} {:>10} {:>10} {:>10} {:>10}", "figure", "mean", "deviation", "least", "most");
    for name in &shown(script) {
        let values: Vec<f64> = runs.iter().filter_map(|f| f.named(name)).collect();
        let (mean, dev) = spread(&values);
        let (least, most) = values.iter().fold((f64::MAX, f64::MIN), |m, v| (m.0.min(*v), m.1.max(*v)));
        println!("  {name:<18} {mean:>10.4} {dev:>10.4} {least:>10.4} {most:>10.4}");
    }
    Ok(void == 0 && runs.iter().all(|f| f.rules.broken() == 0))
}

fn compare(
    mut script: Script,
    a: &Side,
    b: &Side,
    times: u64,
    how: &How,
    log: &Logger,
) -> Result<bool, String> {
    how.take_out(&mut script);
    let script = &script;
    let (mode, seed) = how.of(script);
    let builds = matches!(a, Side::Build(_)) || matches!(b, Side::Build(_));
    let mode = if builds { Mode::Sockets } else { mode };
    let mut pairs = Vec::new();
    for n in 0..times.max(1) {
        info!(log, "playing"; "script" => &script.name, "run" => n + 1, "of" => times);
        pairs
            .push((play::once(script, seed + n, mode, a, log)?, play::once(script, seed + n, mode, b, log)?));
    }
    let void = pairs.iter().filter(|p| p.0.void.is_some() || p.1.void.is_some()).count();
    pairs.retain(|p| p.0.void.is_none() && p.1.void.is_none());
    println!("{}: a = {}, b = {}, {} pairs, {void} void", script.name, a.name(), b.name(), pairs.len());
    println!("  {:<18} {:>10} {:>10} {:>10} {:>10}", "figure", "a", "b", "b - a", "deviation");
    for name in &shown(script) {
        let of = |f: fn(&(Figures, Figures)) -> &Figures| -> Vec<f64> {
            pairs.iter().filter_map(|p| f(p).named(name)).collect()
        };
        let (va, vb) = (of(|p| &p.0), of(|p| &p.1));
        let differences: Vec<f64> = va.iter().zip(&vb).map(|(a, b)| b - a).collect();
        let (difference, dev) = spread(&differences);
        println!(
            "  {name:<18} {:>10.4} {:>10.4} {difference:>+10.4} {dev:>10.4}",
            spread(&va).0,
            spread(&vb).0
        );
    }
    Ok(void == 0)
}
