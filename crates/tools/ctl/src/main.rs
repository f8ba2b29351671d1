//! The operators' client of the mesh: looks at all nodes, changes what stands, says what is wrong.
#![forbid(unsafe_code)]

mod apply;
mod call;
mod doctor;
mod events;
mod file;
mod mesh;
mod outcome;
mod plan;
mod report;
mod show;

use anyhow::Result;
use apply::How;
use mesh::Door;
use outcome::{end, End, DONE, NOT_SO, UNUSABLE};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Where the address stands if the command line has none.
const VARIABLE: &str = "SILVERCROSSCTL_AT";
/// How long a change may take until every node goes by it, unless told.
const WAIT_S: f64 = 15.0;
/// Between two looks of the doctor.
const LOOK_AGAIN: Duration = Duration::from_millis(1500);

const HELP: &str = "silvercrossctl COMMAND --at ADDRESS [--json]
  nodes                  all nodes, whether they answer, where their news comes from
  upstreams              all upstreams, what they do now
  routes                 the routes that stand
  ledger                 each key at each holder: owner, promised epoch, copy
  get                    what stands, as a file for apply
  apply FILE             put a file (TOML or JSON) in force; --dry-run shows the diff and ends
  evacuate ZONE [--end]  nothing more to a zone's upstreams; --end: they begin again
  events                 what happened as far as is kept; --follow: and what happens from now on, from node to node
                         --kind, --service, --zone NAME[,NAME]; --cursor FILE goes on where the last run ended;
                         --seconds N ends then. Needs nodes started with --feed
  doctor                 compare the pictures of all nodes, say what differs and the likely reason
  backup FILE            write what stands to a file
  restore FILE           put a backup in force; --exact drops what came after it; --dry-run as above
  report FILE            watch for --seconds N (30) and write load, refusals, owners and events as one HTML file
  --at ADDRESS     a control address of any node; may be given more than once; else SILVERCROSSCTL_AT
  --json           one JSON value, for scripts
  --wait SECONDS   how long a change may take until every node goes by it (15)
Codes: 0 as asked; 1 something is not so (findings, not in force everywhere); 2 the command line or a file can't be used;
3 nobody answers or settles it; 4 the mesh refuses it.";

fn main() -> ExitCode {
    let code = run().unwrap_or_else(|e| {
        eprintln!("silvercrossctl: {e:#}");
        e.downcast_ref::<End>().map_or(outcome::UNREACHED, |end| end.code)
    });
    ExitCode::from(code)
}

fn wrong(e: impl std::fmt::Display) -> anyhow::Error {
    end(UNUSABLE, format!("{e} (`silvercrossctl --help`)"))
}

fn run() -> Result<u8> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(DONE);
    }
    if args.contains("--version") {
        println!("silvercrossctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(DONE);
    }
    let mut at: Vec<SocketAddr> = args.values_from_str("--at").map_err(wrong)?;
    let json = args.contains("--json");
    let dry = args.contains("--dry-run");
    let finish = args.contains("--end");
    let exact = args.contains("--exact");
    let wait: f64 = args.opt_value_from_str("--wait").map_err(wrong)?.unwrap_or(WAIT_S);
    if !(wait.is_finite() && (0.0..=86_400.0).contains(&wait)) {
        return Err(end(UNUSABLE, format!("--wait {wait}: not between 0 and 86,400 seconds")));
    }
    let follow = args.contains("--follow");
    let mut filters = Vec::new();
    for (word, name) in [("--kind", "kind"), ("--service", "service"), ("--zone", "zone")] {
        let given: Vec<String> = args.values_from_str(word).map_err(wrong)?;
        filters.extend(given.into_iter().map(|g| (name, g)));
    }
    let kept: Option<PathBuf> =
        args.opt_value_from_os_str("--cursor", |s| Ok::<_, String>(PathBuf::from(s))).map_err(wrong)?;
    let seconds: Option<f64> = args.opt_value_from_str("--seconds").map_err(wrong)?;
    if seconds.is_some_and(|s| !(s.is_finite() && (0.0..=604_800.0).contains(&s))) {
        return Err(end(UNUSABLE, "--seconds: not between 0 and 604,800"));
    }
    let within = seconds.map(Duration::from_secs_f64);
    let Some(command) = args.subcommand().map_err(wrong)? else {
        return Err(end(UNUSABLE, format!("say what is to be done\n{HELP}")));
    };
    let mut rest = args.finish().into_iter();
    let of = rest.next();
    if let Some(extra) = rest.next() {
        return Err(end(
            UNUSABLE,
            format!("{}: not understood (`silvercrossctl --help`)", extra.to_string_lossy()),
        ));
    }
    let takes = matches!(command.as_str(), "apply" | "evacuate" | "backup" | "restore" | "report");
    let given = of.as_ref().map(|o| o.to_string_lossy().into_owned()).unwrap_or_default();
    if takes && (given.is_empty() || given.starts_with('-')) || !takes && of.is_some() {
        let what = if takes { "name the file or zone after it" } else { "it takes nothing more" };
        return Err(end(UNUSABLE, format!("{command} {given}: {what} (`silvercrossctl --help`)")));
    }
    if at.is_empty() {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            at.push(part.parse().map_err(|e| wrong(format!("{VARIABLE} {part:?}: {e}")))?);
        }
    }
    if at.is_empty() {
        return Err(end(
            UNUSABLE,
            format!("no address (give --at ADDRESS:PORT of any node's control, or set {VARIABLE})"),
        ));
    }
    let door = Door { at };
    let how = How { dry, json, wait: Duration::from_secs_f64(wait) };
    let path = PathBuf::from(of.unwrap_or_default());
    match command.as_str() {
        "nodes" => show::nodes(&door, json),
        "upstreams" => show::upstreams(&door, json),
        "routes" => show::routes(&door, json),
        "ledger" => show::ledger(&door, json),
        "get" => apply::get(&door, json),
        "apply" => apply::apply(&door, &path, how),
        "evacuate" => apply::evacuate(&door, &given, !finish, how),
        "backup" => apply::backup(&door, &path, json),
        "restore" => apply::restore(&door, &path, exact, how),
        "events" => events::events(&door, &events::Wish { follow, within, filters, kept, json }),
        "report" => report::report(&door, &path, within.unwrap_or(Duration::from_secs(30)), json),
        "doctor" => examine(&door, json),
        other => Err(end(UNUSABLE, format!("{other}: no such command (`silvercrossctl --help`)"))),
    }
}

fn examine(door: &Door, json: bool) -> Result<u8> {
    let look = || -> Result<_> {
        let picture = door.picture()?;
        let standing = apply::standing(door).ok();
        Ok((doctor::look(&picture, standing.as_ref()), picture.len()))
    };
    let (first, _) = look()?;
    std::thread::sleep(LOOK_AGAIN);
    let (second, nodes) = look()?;
    let found = doctor::lasting(first, second);
    let bad = found.iter().filter(|f| f.weight == doctor::Weight::Bad).count();
    if json {
        let list: Vec<Value> = found.iter().map(doctor::Finding::json).collect();
        println!("{}", json!({ "nodes": nodes, "findings": list }));
    } else {
        for f in &found {
            let mark = if f.weight == doctor::Weight::Bad { "!" } else { "-" };
            println!("{mark} {}: {}: {}\n    likely: {}", f.name, f.about, f.seen, f.likely);
        }
        println!("{nodes} nodes looked at twice, {bad} to mend, {} to know", found.len() - bad);
    }
    Ok(if bad == 0 { DONE } else { NOT_SO })
}
