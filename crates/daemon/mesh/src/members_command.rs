//! `silvercross-mesh members`: asks one sidecar for the other nodes, and each of them how far members are throttled. Prints one
//! table, or one each second.
//!
//! `client.rs` makes the calls, `table.rs` prints the responses. Errors are only shown to the operator, so they are plain text.
mod client;
mod table;

use anyhow::{anyhow, bail, Result};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

const HELP: &str = "silvercross-mesh members list|show|renew|lapse --at ADDRESS
  list              every member, and its step over all nodes
  show NAME         one member, node by node
  renew NAME        its slowing ends, and its trial or plan begins anew
    --lapses-in S     a trial for so many seconds; without any of the three for as long as the last time
    --lapses-at T     a trial until T, in seconds since 1970
    --full            no trial any more
  lapse NAME        its trial ends now
  --at ADDRESS      the control address of any sidecar
  --json            list, show: as JSON
  --watch           list, show: again each second, until interrupted
Code 1: not reached or refused; 2: not understood.";
/// Interval of the tables of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Exit code if no node was reached, or the call was rejected.
const EXIT_NOT_DONE: i32 = 1;

/// A subcommand of `members`.
enum Command {
    List,
    Show(String),
    Renew(String, Value),
    Lapse(String),
}

/// The output options of `list` and `show`.
struct Output {
    as_json: bool,
    watch: bool,
}

/// Parses the rest of the command line and runs the subcommand.
///
/// # Errors
/// An invalid command line; later failures exit the process with their own code.
pub(crate) fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let operation = arguments.subcommand()?;
    let at: Option<SocketAddr> = arguments.opt_value_from_str("--at")?;
    let output = Output { as_json: arguments.contains("--json"), watch: arguments.contains("--watch") };
    let renewal = renewal(&mut arguments)?;
    let name: Option<String> = arguments.opt_free_from_str()?;
    let extra = arguments.finish();
    let command = match (operation.as_deref(), name) {
        (Some("list"), None) => Command::List,
        (Some("show"), Some(name)) => Command::Show(name),
        (Some("lapse"), Some(name)) => Command::Lapse(name),
        (Some("renew"), Some(name)) => Command::Renew(name, renewal),
        _ => bail!("missing or invalid subcommand or NAME\n{HELP}"),
    };
    if let Some(extra) = extra.first() {
        bail!("{}: not understood\n{HELP}", extra.to_string_lossy());
    }
    let at = at.ok_or_else(|| anyhow!("--at: missing (give the control address of a sidecar)"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    if let Err(error) = runtime.block_on(execute(command, at, &output)) {
        eprintln!("silvercross-mesh: {error:#}");
        std::process::exit(EXIT_NOT_DONE);
    }
    Ok(())
}

/// The body of the call that renews a member.
fn renewal(arguments: &mut pico_args::Arguments) -> Result<Value> {
    let span: Option<f64> = arguments.opt_value_from_str("--lapses-in")?;
    let until: Option<f64> = arguments.opt_value_from_str("--lapses-at")?;
    let mut body = json!({});
    if let Some(seconds) = span {
        body["lapsesInS"] = json!(seconds);
    }
    if let Some(at) = until {
        body["lapsesAt"] = json!(at);
    }
    if arguments.contains("--full") {
        body["plan"] = json!("full");
    }
    Ok(body)
}

async fn execute(command: Command, at: SocketAddr, output: &Output) -> Result<()> {
    match command {
        Command::List => show(at, None, output).await,
        Command::Show(name) => show(at, Some(&name), output).await,
        Command::Renew(name, body) => client::change_member(at, "Renew", &name, &body.to_string()).await,
        Command::Lapse(name) => client::change_member(at, "Lapse", &name, "").await,
    }
}

async fn show(at: SocketAddr, name: Option<&str>, output: &Output) -> Result<()> {
    loop {
        match client::ask_all_nodes(at).await {
            Ok(reports) => table::print(&reports, name, output.as_json)?,
            Err(error) if output.watch => println!("{error:#}"),
            Err(error) => return Err(error),
        }
        if !output.watch {
            return Ok(());
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}
