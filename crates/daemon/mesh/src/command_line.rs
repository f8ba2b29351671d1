//! Parses the command line and reports errors.
//!
//! Errors end here, as text on standard error and an exit code; this is the one place where they need no type.
use crate::{disk, members_command, runtime, settings};
use anyhow::{anyhow, bail, Result};
use slog::{o, Drain, Logger};
use std::path::PathBuf;

const HELP: &str = "silvercross-mesh sidecar|control [--settings FILE] [--check] [--feed] | members ...
  sidecar   beside an upstream: carries requests
  control   on a machine with a disk: holds the control state
  --settings FILE   the machine's settings (YAML); else the file named in SILVERCROSS_NODE_FILE
  --feed            publish events for other tools at the control address: GET /-/Post.Events
  --check           validate the settings and exit
  members   members and how far their slowing has come; silvercross-mesh members --help
Logs are JSON lines on standard error; SILVERCROSS_LOG=debug|info|warning sets the level.";
/// The environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "SILVERCROSS_LOG";
/// Exit code of a process that can't start or run.
const EXIT_FAILED: i32 = 2;

/// The arguments of a node.
struct NodeArguments {
    settings_path: PathBuf,
    only_check: bool,
    with_event_stream: bool,
}

/// Runs the command line; on failure exits the process with the exit code of the error.
pub(crate) fn main() {
    if let Err(error) = dispatch(pico_args::Arguments::from_env()) {
        eprintln!("silvercross-mesh: {error:#}");
        let of_disk = error.downcast_ref::<disk::DiskError>();
        std::process::exit(of_disk.map_or(EXIT_FAILED, disk::DiskError::exit_code));
    }
}

fn dispatch(mut arguments: pico_args::Arguments) -> Result<()> {
    if arguments.contains("--version") {
        println!("silvercross-mesh {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let role = arguments.subcommand()?;
    if role.as_deref() == Some("members") {
        return members_command::run(arguments);
    }
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    run_node(&node_arguments(role.as_deref(), arguments)?)
}

fn node_arguments(role: Option<&str>, mut arguments: pico_args::Arguments) -> Result<NodeArguments> {
    let only_check = arguments.contains("--check");
    let with_event_stream = arguments.contains("--feed");
    let path = |text: &std::ffi::OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(text));
    let settings_path = arguments.opt_value_from_os_str("--settings", path)?;
    if let Some(extra) = arguments.finish().first() {
        bail!("{}: not understood\n{HELP}", extra.to_string_lossy());
    }
    // The settings determine the role; the word on the command line only shows it in process listings.
    if !matches!(role, Some("sidecar" | "control")) {
        bail!("missing or unknown role (give sidecar or control)\n{HELP}");
    }
    let variable = settings::SETTINGS_FILE_VARIABLE;
    let settings_path = settings_path
        .or_else(|| std::env::var_os(variable).map(PathBuf::from))
        .ok_or_else(|| anyhow!("{variable} is not set (name the settings file there)"))?;
    Ok(NodeArguments { settings_path, only_check, with_event_stream })
}

fn run_node(arguments: &NodeArguments) -> Result<()> {
    let settings = settings::read(&arguments.settings_path)?;
    if arguments.only_check {
        println!("{}: as it should be", arguments.settings_path.display());
        return Ok(());
    }
    let log = open_log(&settings.name)?;
    runtime::run(settings, log, &arguments.settings_path, arguments.with_event_stream)
}

/// Opens the log of the node with this name: JSON lines on standard error.
fn open_log(node: &str) -> Result<Logger> {
    let level = match std::env::var(LOG_LEVEL_VARIABLE).ok() {
        None => slog::Level::Info,
        Some(text) => text.parse().map_err(|()| anyhow!("{LOG_LEVEL_VARIABLE} {text:?} is no log level"))?,
    };
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog::LevelFilter::new(std::sync::Mutex::new(json), level).fuse();
    Ok(Logger::root(drain, o!("node" => node.to_string())))
}
