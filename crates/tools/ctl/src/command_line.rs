//! Reads the command line into a [`Command`]. Nothing is looked at or sent here.
use crate::usage::{UsageError, MAX_SPAN_S, MAX_WAIT_S};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How long a change may take until every node goes by it, in seconds, unless `--wait` says otherwise.
const DEFAULT_WAIT_S: f64 = 15.0;
/// How long a report watches unless `--seconds` says otherwise.
const DEFAULT_REPORT_SPAN: Duration = Duration::from_secs(30);

/// The help text.
pub(crate) const HELP: &str = "silvercrossctl COMMAND --at ADDRESS [--json]
  nodes                  all nodes, whether they answer, where their updates come from
  upstreams              all upstreams, what they do now
  routes                 the routes in force
  control-state          each key at each control node: owner, promised epoch, replica
  get                    what is in force, as a file for apply
  apply FILE             put a file (TOML or JSON) in force; --dry-run shows the diff and ends
  evacuate ZONE [--end]  nothing more to a zone's upstreams; --end: they begin again
  events                 what happened as far as is kept; --follow: and what happens from now on, from node to node
                         --kind, --service, --zone NAME[,NAME]; --cursor FILE goes on where the last run ended;
                         --seconds N ends then. Needs nodes started with --feed
  doctor                 compare the views of all nodes, say what differs and the likely reason
  backup FILE            write what is in force to a file
  restore FILE           put a backup in force; --exact drops what came after it; --dry-run as above
  report FILE            watch for --seconds N (30) and write load, rejections, owners and events as one HTML file
  --at ADDRESS     a control address of any node; may be given more than once; else SILVERCROSSCTL_AT
  --json           one JSON value, for scripts
  --wait SECONDS   how long a change may take until every node goes by it (15)
Codes: 0 as asked; 1 something is not so (findings, not in force everywhere); 2 the command line or a file can't be used;
3 no node answers or settles it; 4 the mesh rejects it.";

/// How a change is made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeOptions {
    /// Say what would change, and end.
    pub(crate) is_dry_run: bool,
    /// Print one JSON value.
    pub(crate) as_json: bool,
    /// How long it may take until every node goes by it.
    pub(crate) timeout: Duration,
}

/// A property of events that a reader can ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FilterKey {
    /// What the event is about: a node, an upstream, an item.
    Kind,
    /// The service.
    Service,
    /// The zone.
    Zone,
}

impl FilterKey {
    const ALL: [FilterKey; 3] = [FilterKey::Kind, FilterKey::Service, FilterKey::Zone];

    /// Its name in the feed's query.
    pub(crate) fn query_name(self) -> &'static str {
        match self {
            FilterKey::Kind => "kind",
            FilterKey::Service => "service",
            FilterKey::Zone => "zone",
        }
    }

    fn option(self) -> &'static str {
        match self {
            FilterKey::Kind => "--kind",
            FilterKey::Service => "--service",
            FilterKey::Zone => "--zone",
        }
    }
}

/// Events whose property has one of these values, separated by commas.
#[derive(Clone, Debug)]
pub(crate) struct EventFilter {
    /// The property.
    pub(crate) key: FilterKey,
    /// The values, as given.
    pub(crate) values: String,
}

/// Which events are read, and for how long.
#[derive(Clone, Debug)]
pub(crate) struct EventQuery {
    /// Go on for as long as events come.
    pub(crate) is_followed: bool,
    /// End after this span.
    pub(crate) span: Option<Duration>,
    /// Filters; without any, all events pass.
    pub(crate) filters: Vec<EventFilter>,
    /// The file that keeps the cursor between two runs.
    pub(crate) cursor_file: Option<PathBuf>,
    /// Print the feed's own lines.
    pub(crate) as_json: bool,
}

/// What the operator asks for.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// `nodes`.
    Nodes,
    /// `upstreams`.
    Upstreams,
    /// `routes`.
    Routes,
    /// `control-state`, or `ledger` as it was named before.
    ControlState,
    /// `get`.
    Get,
    /// `apply FILE`.
    Apply(PathBuf, ChangeOptions),
    /// `evacuate ZONE`.
    Evacuate {
        /// The zone.
        zone: String,
        /// `--end`: its upstreams are sent to again.
        ends: bool,
        /// How the change is made.
        options: ChangeOptions,
    },
    /// `backup FILE`.
    Backup(PathBuf),
    /// `restore FILE`.
    Restore {
        /// The backup.
        path: PathBuf,
        /// Whether what came after the backup is dropped.
        is_exact: bool,
        /// How the change is made.
        options: ChangeOptions,
    },
    /// `events`.
    Events(EventQuery),
    /// `report FILE`.
    Report {
        /// The file to be written.
        path: PathBuf,
        /// How long the mesh is watched.
        span: Duration,
    },
    /// `doctor`.
    Doctor,
}

/// A command and the mesh that it goes to.
#[derive(Clone, Debug)]
pub(crate) struct MeshCommand {
    /// Control addresses of the mesh; at least one.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Print one JSON value.
    pub(crate) as_json: bool,
    /// What is asked for.
    pub(crate) command: Command,
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub(crate) enum Invocation {
    /// The help text.
    Help,
    /// The program's version.
    Version,
    /// A command to a mesh.
    Mesh(MeshCommand),
}

/// The options, before the command is known.
struct Options {
    addresses: Vec<SocketAddr>,
    as_json: bool,
    is_dry_run: bool,
    ends: bool,
    is_exact: bool,
    wait: Duration,
    is_followed: bool,
    filters: Vec<EventFilter>,
    cursor_file: Option<PathBuf>,
    span: Option<Duration>,
}

impl Options {
    fn read(args: &mut pico_args::Arguments) -> Result<Self, UsageError> {
        let addresses = args.values_from_str("--at")?;
        let (as_json, is_dry_run) = (args.contains("--json"), args.contains("--dry-run"));
        let (ends, is_exact) = (args.contains("--end"), args.contains("--exact"));
        let wait_s: f64 = args.opt_value_from_str("--wait")?.unwrap_or(DEFAULT_WAIT_S);
        if !(wait_s.is_finite() && (0.0..=MAX_WAIT_S).contains(&wait_s)) {
            return Err(UsageError::Wait(wait_s));
        }
        let is_followed = args.contains("--follow");
        let mut filters = Vec::new();
        for key in FilterKey::ALL {
            let given: Vec<String> = args.values_from_str(key.option())?;
            filters.extend(given.into_iter().map(|values| EventFilter { key, values }));
        }
        let cursor_file =
            args.opt_value_from_os_str("--cursor", |path| Ok::<_, Infallible>(PathBuf::from(path)))?;
        let span_s: Option<f64> = args.opt_value_from_str("--seconds")?;
        if span_s.is_some_and(|span| !(span.is_finite() && (0.0..=MAX_SPAN_S).contains(&span))) {
            return Err(UsageError::Span);
        }
        let (wait, span) = (Duration::from_secs_f64(wait_s), span_s.map(Duration::from_secs_f64));
        Ok(Options {
            addresses,
            as_json,
            is_dry_run,
            ends,
            is_exact,
            wait,
            is_followed,
            filters,
            cursor_file,
            span,
        })
    }

    fn change(&self) -> ChangeOptions {
        ChangeOptions { is_dry_run: self.is_dry_run, as_json: self.as_json, timeout: self.wait }
    }

    fn event_query(&self) -> EventQuery {
        EventQuery {
            is_followed: self.is_followed,
            span: self.span,
            filters: self.filters.clone(),
            cursor_file: self.cursor_file.clone(),
            as_json: self.as_json,
        }
    }
}

/// What stands behind the command: a file or a zone.
struct Operand {
    path: PathBuf,
    text: String,
}

fn operand(args: pico_args::Arguments, command: &str) -> Result<Operand, UsageError> {
    let mut rest = args.finish().into_iter();
    let first = rest.next();
    if let Some(extra) = rest.next() {
        return Err(UsageError::Unexpected(extra.to_string_lossy().into_owned()));
    }
    let takes_one = matches!(command, "apply" | "evacuate" | "backup" | "restore" | "report");
    let text = first.as_ref().map(|given| given.to_string_lossy().into_owned()).unwrap_or_default();
    if takes_one && (text.is_empty() || text.starts_with('-')) {
        return Err(UsageError::NoOperand { command: command.to_string(), given: text });
    }
    if !takes_one && first.is_some() {
        return Err(UsageError::Operand { command: command.to_string(), given: text });
    }
    Ok(Operand { path: PathBuf::from(first.unwrap_or_default()), text })
}

fn addresses_in(text: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let parse =
        |part: &str| part.parse().map_err(|cause| UsageError::Address { text: part.to_string(), cause });
    parts.map(parse).collect()
}

fn command(name: &str, operand: Operand, options: &Options) -> Result<Command, UsageError> {
    let path = operand.path;
    Ok(match name {
        "nodes" => Command::Nodes,
        "upstreams" => Command::Upstreams,
        "routes" => Command::Routes,
        "control-state" | "ledger" => Command::ControlState,
        "get" => Command::Get,
        "apply" => Command::Apply(path, options.change()),
        "evacuate" => Command::Evacuate { zone: operand.text, ends: options.ends, options: options.change() },
        "backup" => Command::Backup(path),
        "restore" => Command::Restore { path, is_exact: options.is_exact, options: options.change() },
        "events" => Command::Events(options.event_query()),
        "report" => Command::Report { path, span: options.span.unwrap_or(DEFAULT_REPORT_SPAN) },
        "doctor" => Command::Doctor,
        other => return Err(UsageError::UnknownCommand(other.to_string())),
    })
}

/// Read the command line; `environment` holds the value of [`crate::usage::ADDRESSES_VARIABLE`].
///
/// # Errors
/// When it can't be used, with the mend.
pub(crate) fn parse(
    mut args: pico_args::Arguments,
    environment: Option<String>,
) -> Result<Invocation, UsageError> {
    if args.contains(["-h", "--help"]) {
        return Ok(Invocation::Help);
    }
    if args.contains("--version") {
        return Ok(Invocation::Version);
    }
    let mut options = Options::read(&mut args)?;
    let Some(name) = args.subcommand()? else { return Err(UsageError::NoCommand { help: HELP }) };
    let operand = operand(args, &name)?;
    if options.addresses.is_empty() {
        options.addresses = addresses_in(&environment.unwrap_or_default())?;
    }
    if options.addresses.is_empty() {
        return Err(UsageError::NoAddress);
    }
    let command = command(&name, operand, &options)?;
    Ok(Invocation::Mesh(MeshCommand { addresses: options.addresses, as_json: options.as_json, command }))
}
