//! What a script may say, and what is wrong with one that cannot be played. TOML; unknown keys are refused. All that
//! follows from the figures alone is checked here, once, so that nothing behind it needs to doubt them.
use crate::figure_names::{is_name, Declared};
use serde::Deserialize;
use silvercross_core::interface::{Class, DedupGroup, Micros, Prices, Repeatability, Settings};
use silvercross_settings::{seconds, ProxySettings};

/// The most servers, sidecars, and requests of one run: tables and memory are sized by them.
pub const MOST_SERVERS: usize = 4_000;
/// The most sidecars of one run.
pub const MOST_SIDECARS: usize = 4_000;
/// The most requests that a script may ask for in one run.
pub const MOST_REQUESTS: f64 = 4e6;

/// What is wrong with a script: one plain line with where and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line in the text, from 1; 0 where no line is at fault.
    pub line: usize,
    /// The key at fault, with its table.
    pub key: String,
    /// What is wrong and what would be right.
    pub why: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let why = self.why.replace(['\n', '\r'], " ");
        match self.key.as_str() {
            "" => write!(f, "line {}: {why}", self.line),
            key => write!(f, "line {}: {key}: {why}", self.line),
        }
    }
}

/// How a script is played unless the command line says otherwise.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// In simulated time.
    #[default]
    Virtual,
    /// On loopback sockets, against real processes, in real time.
    Sockets,
}

/// A script, as read. Times have their unit in their name; shares are from 0 to 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// What it rehearses, in a sentence.
    #[serde(default)]
    pub about: String,
    /// How long clients ask.
    pub length_s: f64,
    /// Where all chance starts unless the command line says otherwise.
    #[serde(default = "one_u64")]
    pub seed: u64,
    /// How it is played unless the command line says otherwise.
    #[serde(default)]
    pub mode: Mode,
    /// The sites, one at least.
    #[serde(rename = "site")]
    pub sites: Vec<Site>,
    /// Kinds of machines; none: one core of standard speed.
    #[serde(default, rename = "kind")]
    pub kinds: Vec<Kind>,
    /// What all servers have in common.
    #[serde(default)]
    pub server: ServerSpec,
    /// The classes of requests, one at least.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// What clients ask for.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// What lies between.
    #[serde(default)]
    pub network: Network,
    /// The list service.
    #[serde(default)]
    pub list: List,
    /// What the sidecars are told.
    #[serde(default)]
    pub sidecar: Sidecar,
    /// Gateways between the sites; without, none.
    pub gateway: Option<GatewaySpec>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultSpec>,
    /// What must come out.
    #[serde(default, rename = "expect")]
    pub expects: Vec<Expect>,
}

/// A site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Order servers there.
    pub servers: usize,
    /// Sidecars there.
    pub sidecars: usize,
    /// Its weight in the load against other sites, for each sidecar.
    #[serde(default = "one")]
    pub load: f64,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the servers, against the other kinds.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests it works on at a time.
    #[serde(default = "one_usize")]
    pub cores: usize,
    /// Standard work done in a second by a core.
    #[serde(default = "one")]
    pub speed: f64,
}

/// What of a server's work ends when its sender calls it off.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CancelDrops {
    /// What waits.
    #[default]
    Waiting,
    /// What runs, too.
    Running,
}

/// What all servers have in common.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerSpec {
    /// Requests that may wait, for each core.
    pub queue_per_core: usize,
    /// Share of its capacity that it has right after a start.
    pub cold_from: f64,
    /// It is warm after so long.
    pub warm_s: f64,
    /// Fed more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over so long, it falls over.
    pub fall_s: f64,
    /// How long it then stays down; 0: for good.
    pub fallen_s: f64,
    /// Keys it remembers; 0: no cache.
    pub cache_keys: usize,
    /// Share of the work that a remembered key saves.
    pub cache_saves: f64,
    /// What a call-off ends.
    pub cancel: CancelDrops,
    /// Connections it holds.
    pub connections: usize,
    /// Work that a new connection costs, ahead of its first request.
    pub connection_ms: f64,
    /// Servers in a cell.
    pub cell: usize,
    /// Share of its requests that a healthy server answers with an error.
    pub errors: f64,
}

impl Default for ServerSpec {
    fn default() -> Self {
        ServerSpec {
            queue_per_core: 20,
            cold_from: 0.25,
            warm_s: 15.0,
            fall_multiple: 2.5,
            fall_s: 3.0,
            fallen_s: 0.0,
            cache_keys: 0,
            cache_saves: 0.0,
            cancel: CancelDrops::Waiting,
            connections: 1000,
            connection_ms: 1.0,
            cell: 8,
            errors: 0.0,
        }
    }
}

/// How work is spread round its mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// All alike.
    Fixed,
    /// Lognormal.
    #[default]
    Lognormal,
    /// Pareto, with a heavy tail.
    Pareto,
}

/// What may happen to a request twice, as the settings word it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EffectSpec {
    /// Anything.
    Repeatable,
    /// Repeats are dropped within a group and window.
    Keyed,
    /// Nothing.
    Once,
}

/// Where repeats are dropped.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum GroupSpec {
    /// Everywhere.
    #[default]
    All,
    /// Within a site.
    Site,
    /// Within a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests, against the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// Its mean work on a core of standard speed.
    pub work_ms: f64,
    /// Standard deviation over mean.
    #[serde(default = "half")]
    pub cv: f64,
    /// How it is spread.
    #[serde(default)]
    pub spread: Spread,
    /// Answered within this, it earns its whole worth.
    pub aim_ms: f64,
    /// Clients wait so long, over all their tries.
    pub deadline_ms: f64,
    /// What an answer is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of its worth past the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: EffectSpec,
    /// Where its repeats are dropped.
    #[serde(default)]
    pub group: GroupSpec,
    /// For how long they are.
    #[serde(default)]
    pub window_ms: f64,
}

/// What clients ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second, over all sidecars.
    pub per_s: f64,
    /// Different keys.
    #[serde(default = "thousand")]
    pub keys: u64,
    /// How much the popular keys stand out (Zipf's exponent).
    #[serde(default = "one")]
    pub key_skew: f64,
    /// Clients guess at the work.
    #[serde(default)]
    pub hints: bool,
    /// How unlike the sidecars' shares of the load are: standard deviation over mean.
    #[serde(default)]
    pub caller_cv: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries after the first one, at most.
    pub retries: u32,
    /// They wait so long before another one, half to one and a half times.
    pub backoff_ms: f64,
    /// Share that wait as long as `Retry-After` says.
    pub honour: f64,
    /// Share that give up after half their time.
    pub impatient: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 1, backoff_ms: 300.0, honour: 1.0, impatient: 0.0 }
    }
}

/// What lies between sidecars and servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way within a site.
    pub same_ms: f64,
    /// One way between sites.
    pub cross_ms: f64,
    /// Up to so much more, as a share.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { same_ms: 0.2, cross_ms: 8.0, jitter: 0.3 }
    }
}

/// The list service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// A change is told so long after it was announced.
    pub lag_ms: f64,
    /// A crashed process is noticed after so long.
    pub notice_s: f64,
    /// A silent machine is noticed after so long.
    pub silent_notice_s: f64,
    /// Calls answered in a second.
    pub calls_per_s: f64,
    /// A call that would wait longer fails.
    pub timeout_ms: f64,
    /// Share of the servers that the list handed to a starting sidecar lacks.
    pub stale: f64,
    /// Sidecars are told of their own site only.
    pub own_site: bool,
}

impl Default for List {
    fn default() -> Self {
        List {
            lag_ms: 300.0,
            notice_s: 3.0,
            silent_notice_s: 8.0,
            calls_per_s: 50.0,
            timeout_ms: 2000.0,
            stale: 0.0,
            own_site: false,
        }
    }
}

/// What the sidecars are told.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sidecar {
    /// Attempts of one request, at most.
    pub attempts_cap: u32,
    /// A connection not up by then has failed.
    pub connect_limit_ms: f64,
    /// Servers close what was idle for so long.
    pub idle_close_s: f64,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// The longest `Retry-After`; 0: none is given.
    pub retry_after_ms: f64,
    /// Sends to a draining server stop within this.
    pub drain_grace_ms: f64,
    /// Past this without asking, a sidecar counts as told.
    pub must_ask_s: f64,
    /// Points taken off for crossing sites.
    pub cross_price: f64,
}

impl Default for Sidecar {
    fn default() -> Self {
        Sidecar {
            attempts_cap: 4,
            connect_limit_ms: 250.0,
            idle_close_s: 60.0,
            second_copies: true,
            may_cancel: true,
            retry_after_ms: 2000.0,
            drain_grace_ms: 2500.0,
            must_ask_s: 12.0,
            cross_price: 0.03,
        }
    }
}

/// Gateways between the sites: sidecars then list their own site and its gateways only.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySpec {
    /// Gateways at each site.
    pub per_site: usize,
    /// The first offer of one, in requests at a time.
    pub first: u32,
    /// The most it offers, and the most an outward half has out at one peer.
    pub most: u32,
    /// How long a statement holds.
    pub holds_ms: f64,
    /// How often one is made while nothing is asked.
    pub state_ms: f64,
    /// Inward halves list their own site's gateways too, as a mistaken list would: what crossed once then tries to go on.
    pub mistaken: bool,
}

impl Default for GatewaySpec {
    fn default() -> Self {
        GatewaySpec { per_site: 1, first: 4, most: 200, holds_ms: 1500.0, state_ms: 300.0, mistaken: false }
    }
}

/// A kind of trouble.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Servers take requests and never answer; `strength`: share of requests (1).
    Swallow,
    /// Servers answer with an error at once; `strength`: share of requests (1).
    FastErrors,
    /// Servers stand still, again every `every_s` for half of it, or all the time.
    Pause,
    /// A neighbour takes `strength` (0.5) of the capacity, on and off every `every_s`.
    Neighbour,
    /// Processes die and come back cold at the end.
    Crash,
    /// Machines fall silent and are back at the end.
    Vanish,
    /// Servers are slower by the factor `strength` (3).
    Slow,
    /// All servers are slower by the factor `strength` (2).
    SharedSlow,
    /// All of `site` dies and comes back cold at the end.
    SiteLost,
    /// `site` and all others cannot reach each other.
    LinkCut,
    /// Clients (those of `site`, where it is stated) ask `strength` (2) times as much.
    Surge,
    /// The first sidecar's clients ask `strength` (10) times as much.
    HotCaller,
    /// Servers drain for `every_s` and start anew, one batch after the other; a batch is `share` of them.
    Release,
    /// Servers drain at the start and start anew at the end.
    Drain,
    /// Servers are not there before the end of it, and start cold then.
    LateStart,
    /// Sidecars die and come back with nothing.
    SidecarsDie,
    /// Gateways die, and are back with nothing at the end.
    GatewaysDie,
    /// Gateways drain, and are back at the end.
    GatewaysDrain,
    /// Between sites all takes `strength` (5) times as long.
    LinkSlow,
    /// The list service is down: calls fail, watches end.
    ListDark,
    /// The list service says nothing any more, and its connections stay.
    ListMute,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What.
    pub kind: Trouble,
    /// From when; past the script's end it is played as written, on nobody.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// How hard; see the kinds.
    pub strength: Option<f64>,
    /// Of so many of the servers (or sidecars), drawn by the seed.
    #[serde(default = "one")]
    pub share: f64,
    /// Only of this site.
    pub site: Option<String>,
    /// Of exactly these, counted from 0, instead of `share`.
    pub which: Option<Vec<usize>>,
    /// On and off, or one batch, in this time.
    pub every_s: Option<f64>,
}

/// What must come out: a figure by its name in the JSON, and its bounds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// `served_worth`, `rules.lost`, `by_class.NAME`, `gain.POLICY` (served worth over that baseline's) and the like.
    pub figure: String,
    /// No less than this.
    pub least: Option<f64>,
    /// No more than this.
    pub most: Option<f64>,
}

fn one() -> f64 {
    1.0
}
fn half() -> f64 {
    0.5
}
fn one_u64() -> u64 {
    1
}
fn one_usize() -> usize {
    1
}
fn thousand() -> u64 {
    1000
}

/// Milliseconds as microseconds.
pub(crate) fn ms(v: f64) -> Micros {
    seconds(v / 1e3)
}

/// Where a key stands in the text: in the `nth` table of that header, or at the top for an empty one.
fn line_of(text: &str, table: &str, nth: usize, key: &str) -> usize {
    let (mut seen, mut inside, mut header) = (0, table.is_empty(), 0);
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let name = line.trim_matches(|c| "[] ".contains(c)).split(']').next().unwrap_or("");
            inside = name == table && seen == nth;
            seen += usize::from(name == table);
            header = if inside { i + 1 } else { header };
        } else if inside && line.split(['=', ' ']).next() == Some(key) {
            return i + 1;
        }
    }
    header
}

/// Collects what is wrong: the first fault is told.
struct Check<'t> {
    text: &'t str,
    fault: Option<Fault>,
}

impl Check<'_> {
    fn say(&mut self, table: &str, nth: usize, key: &str, why: String) {
        if self.fault.is_none() {
            let line = line_of(self.text, table, nth, key);
            let name = if table.is_empty() { key.to_string() } else { format!("{table}.{key}") };
            self.fault = Some(Fault { line, key: name, why });
        }
    }

    fn within(&mut self, table: &str, nth: usize, key: &str, v: f64, low: f64, high: f64) {
        if !(low..=high).contains(&v) {
            self.say(table, nth, key, format!("{v} is not from {low} to {high}"));
        }
    }
}

impl Script {
    /// Read a script and check it as a whole.
    pub fn parse(text: &str) -> Result<Script, Fault> {
        let script: Script = toml::from_str(text).map_err(|e| Fault {
            line: e.span().map_or(0, |s| text[..s.start.min(text.len())].matches('\n').count() + 1),
            key: String::new(),
            why: e.message().to_string(),
        })?;
        let mut check = Check { text, fault: None };
        script.check(&mut check);
        match check.fault {
            Some(fault) => Err(fault),
            None => Ok(script),
        }
    }

    fn check(&self, c: &mut Check<'_>) {
        const DAY: f64 = 86_400.0;
        if self.name.is_empty() || !self.name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
        {
            c.say("", 0, "name", "is made of letters, digits, '-', '_' and '.'".into());
        }
        c.within("", 0, "length_s", self.length_s, 1.0, DAY);
        if self.sites.is_empty() {
            c.say("", 0, "site", "one [[site]] at least is needed".into());
        }
        for (i, s) in self.sites.iter().enumerate() {
            c.within("site", i, "load", s.load, 0.0, 1e6);
            if self.sites[..i].iter().any(|o| o.name == s.name) {
                c.say("site", i, "name", format!("{:?} stands twice", s.name));
            }
        }
        c.within("site", 0, "servers", self.servers() as f64, 1.0, MOST_SERVERS as f64);
        c.within("site", 0, "sidecars", self.sidecars() as f64, 1.0, MOST_SIDECARS as f64);
        let load: f64 = self.sites.iter().map(|s| s.load * s.sidecars as f64).sum();
        if load <= 0.0 {
            c.say("site", 0, "load", "no site with sidecars has any load".into());
        }
        for (i, k) in self.kinds.iter().enumerate() {
            c.within("kind", i, "share", k.share, 0.0, 1e6);
            c.within("kind", i, "cores", k.cores as f64, 1.0, 256.0);
            c.within("kind", i, "speed", k.speed, 1e-3, 1e3);
        }
        if !self.kinds.is_empty() && self.kinds.iter().map(|k| k.share).sum::<f64>() <= 0.0 {
            c.say("kind", 0, "share", "all kinds have a share of 0".into());
        }
        let s = &self.server;
        c.within("server", 0, "cold_from", s.cold_from, 0.01, 1.0);
        c.within("server", 0, "warm_s", s.warm_s, 0.0, DAY);
        c.within("server", 0, "fall_multiple", s.fall_multiple, 1.0, 1e9);
        c.within("server", 0, "fall_s", s.fall_s, 0.1, 600.0);
        c.within("server", 0, "fallen_s", s.fallen_s, 0.0, DAY);
        c.within("server", 0, "cache_keys", s.cache_keys as f64, 0.0, 1e6);
        c.within("server", 0, "cache_saves", s.cache_saves, 0.0, 0.99);
        c.within("server", 0, "connections", s.connections as f64, 1.0, 1e6);
        c.within("server", 0, "connection_ms", s.connection_ms, 0.0, 1e4);
        c.within("server", 0, "queue_per_core", s.queue_per_core as f64, 0.0, 1e5);
        c.within("server", 0, "cell", s.cell as f64, 1.0, 1e6);
        c.within("server", 0, "errors", s.errors, 0.0, 1.0);
        if self.classes.is_empty() || self.classes.iter().map(|k| k.share).sum::<f64>() <= 0.0 {
            c.say("class", 0, "share", "no class with a share over 0".into());
        }
        for (i, k) in self.classes.iter().enumerate() {
            c.within("class", i, "share", k.share, 0.0, 1e6);
            c.within("class", i, "work_ms", k.work_ms, 0.01, 1e6);
            c.within("class", i, "cv", k.cv, 0.0, 10.0);
            c.within("class", i, "aim_ms", k.aim_ms, 1.0, 6e5);
            c.within("class", i, "deadline_ms", k.deadline_ms, 1.0, 6e5);
            c.within("class", i, "worth", k.worth, 0.0, 1e6);
            c.within("class", i, "late_worth", k.late_worth, 0.0, 1.0);
            if k.deadline_ms < k.aim_ms {
                c.say("class", i, "deadline_ms", format!("{} is before aim_ms {}", k.deadline_ms, k.aim_ms));
            }
            if k.effect == EffectSpec::Keyed {
                c.within("class", i, "window_ms", k.window_ms, 1.0, 6e5);
            }
            if self.classes[..i].iter().any(|o| o.name == k.name) {
                c.say("class", i, "name", format!("{:?} stands twice", k.name));
            }
        }
        c.within("load", 0, "per_s", self.load.per_s, 0.001, 1e6);
        c.within("load", 0, "keys", self.load.keys as f64, 1.0, 1e9);
        c.within("load", 0, "key_skew", self.load.key_skew, 0.0, 5.0);
        c.within("load", 0, "caller_cv", self.load.caller_cv, 0.0, 5.0);
        c.within("clients", 0, "retries", f64::from(self.clients.retries), 0.0, 20.0);
        c.within("clients", 0, "backoff_ms", self.clients.backoff_ms, 0.0, 6e5);
        c.within("clients", 0, "honour", self.clients.honour, 0.0, 1.0);
        c.within("clients", 0, "impatient", self.clients.impatient, 0.0, 1.0);
        c.within("network", 0, "same_ms", self.network.same_ms, 0.0, 1e4);
        c.within("network", 0, "cross_ms", self.network.cross_ms, 0.0, 1e4);
        c.within("network", 0, "jitter", self.network.jitter, 0.0, 10.0);
        c.within("list", 0, "lag_ms", self.list.lag_ms, 0.0, 6e5);
        c.within("list", 0, "notice_s", self.list.notice_s, 0.0, DAY);
        c.within("list", 0, "silent_notice_s", self.list.silent_notice_s, 0.0, DAY);
        c.within("list", 0, "calls_per_s", self.list.calls_per_s, 0.01, 1e6);
        c.within("list", 0, "timeout_ms", self.list.timeout_ms, 1.0, 6e5);
        c.within("list", 0, "stale", self.list.stale, 0.0, 1.0);
        let o = &self.sidecar;
        c.within("sidecar", 0, "attempts_cap", f64::from(o.attempts_cap), 1.0, 100.0);
        c.within("sidecar", 0, "connect_limit_ms", o.connect_limit_ms, 1.0, 6e4);
        c.within("sidecar", 0, "idle_close_s", o.idle_close_s, 0.1, DAY);
        c.within("sidecar", 0, "retry_after_ms", o.retry_after_ms, 0.0, 6e5);
        c.within("sidecar", 0, "drain_grace_ms", o.drain_grace_ms, 0.0, 6e5);
        c.within("sidecar", 0, "must_ask_s", o.must_ask_s, 0.1, DAY);
        c.within("sidecar", 0, "cross_price", o.cross_price, 0.0, 10.0);
        if let Some(g) = &self.gateway {
            c.within("gateway", 0, "per_site", g.per_site as f64, 1.0, 16.0);
            c.within("gateway", 0, "first", f64::from(g.first), 0.0, 1e5);
            c.within("gateway", 0, "most", f64::from(g.most), 1.0, 1e5);
            c.within("gateway", 0, "holds_ms", g.holds_ms, 10.0, 10_000.0);
            c.within("gateway", 0, "state_ms", g.state_ms, 10.0, 10_000.0);
            if self.sites.len() < 2 {
                c.say("gateway", 0, "per_site", "a gateway needs two sites at least".into());
            }
            if !self.sites.iter().all(|s| silvercross_gateway::hops::is_name(&s.name)) {
                c.say(
                    "site",
                    0,
                    "name",
                    "with gateways a site's name is made of letters, digits, '-', '_' and '.'".into(),
                );
            }
        }
        for (i, f) in self.faults.iter().enumerate() {
            self.check_fault(c, i, f);
        }
        let declared = Declared {
            classes: self.classes.iter().map(|class| class.name.as_str()).collect(),
            sites: self.sites.iter().map(|site| site.name.as_str()).collect(),
        };
        for (i, e) in self.expects.iter().enumerate() {
            if e.least.is_none() && e.most.is_none() {
                c.say("expect", i, "figure", "neither least nor most is stated".into());
            }
            if !is_name(&e.figure, &declared) {
                c.say("expect", i, "figure", format!("{:?} is no figure of a run", e.figure));
            }
        }
        let surge: f64 =
            self.faults.iter().filter(|f| f.kind == Trouble::Surge).map(|f| f.strength_or()).product();
        if self.load.per_s * self.length_s * surge.max(1.0) > MOST_REQUESTS {
            c.say("load", 0, "per_s", format!("more than {MOST_REQUESTS} requests in a run"));
        }
    }

    fn check_fault(&self, c: &mut Check<'_>, i: usize, f: &FaultSpec) {
        const DAY: f64 = 86_400.0;
        c.within("fault", i, "at_s", f.at_s, 0.0, DAY);
        c.within("fault", i, "for_s", f.for_s, 0.0, DAY);
        c.within("fault", i, "share", f.share, 0.0, 1.0);
        let (low, high) = match f.kind {
            Trouble::Swallow | Trouble::FastErrors => (0.0, 1.0),
            Trouble::Neighbour => (0.0, 0.99),
            Trouble::Slow | Trouble::SharedSlow | Trouble::LinkSlow => (1.0, 1e3),
            Trouble::Surge | Trouble::HotCaller => (0.0, 100.0),
            _ => (f64::MIN, f64::MAX),
        };
        if let Some(s) = f.strength {
            c.within("fault", i, "strength", s, low, high);
            if low == f64::MIN {
                c.say("fault", i, "strength", "this kind has none".into());
            }
        }
        if let Some(e) = f.every_s {
            c.within("fault", i, "every_s", e, 0.05, DAY);
        } else if f.kind == Trouble::Release {
            c.say(
                "fault",
                i,
                "every_s",
                "a release needs it: how long a batch drains before it starts anew".into(),
            );
        }
        let named = f.site.as_ref().is_none_or(|n| self.sites.iter().any(|s| s.name == *n));
        if !named {
            c.say("fault", i, "site", format!("{:?} is no site", f.site.as_deref().unwrap_or("")));
        }
        if f.site.is_none() && matches!(f.kind, Trouble::SiteLost | Trouble::LinkCut) {
            c.say("fault", i, "site", "this kind needs one".into());
        }
        let of_gateways = matches!(f.kind, Trouble::GatewaysDie | Trouble::GatewaysDrain);
        if of_gateways && self.gateway.is_none() {
            c.say("fault", i, "kind", "there are no gateways: [gateway] is missing".into());
        }
        let most = match f.kind {
            Trouble::SidecarsDie => self.sidecars(),
            _ if of_gateways => self.gateways().max(1),
            _ => self.servers(),
        };
        if let Some(n) = f.which.iter().flatten().find(|n| **n >= most) {
            c.say("fault", i, "which", format!("there is no number {n}: they count from 0 to {}", most - 1));
        }
    }

    /// All servers.
    pub fn servers(&self) -> usize {
        self.sites.iter().map(|s| s.servers).sum()
    }

    /// All sidecars.
    pub fn sidecars(&self) -> usize {
        self.sites.iter().map(|s| s.sidecars).sum()
    }

    /// All gateways.
    pub fn gateways(&self) -> usize {
        self.gateway.as_ref().map_or(0, |g| g.per_site * self.sites.len())
    }

    /// Whether sidecars are told of their own site only.
    pub fn own_site_only(&self) -> bool {
        self.gateway.is_some() || self.list.own_site
    }

    /// How long it lasts.
    pub fn length(&self) -> Micros {
        seconds(self.length_s)
    }

    /// The kinds of machines, one at least.
    pub fn machine_kinds(&self) -> Vec<Kind> {
        match self.kinds.as_slice() {
            [] => vec![Kind { name: "standard".into(), share: 1.0, cores: 1, speed: 1.0 }],
            kinds => kinds.to_vec(),
        }
    }

    /// What sidecar `me` at `site` is handed, as a real one would read it from its file.
    pub fn settings(&self, me: usize, site: u32) -> (Settings, ProxySettings) {
        let o = &self.sidecar;
        let class = |k: &ClassSpec| Class {
            latency_target: ms(k.aim_ms),
            target_per_work: 0.0,
            deadline: ms(k.deadline_ms),
            value: k.worth,
            late_value_share: k.late_worth,
            repeatability: match (k.effect, k.group) {
                (EffectSpec::Repeatable, _) => Repeatability::Repeatable,
                (EffectSpec::Once, _) => Repeatability::Once,
                (EffectSpec::Keyed, g) => Repeatability::Keyed {
                    group: match g {
                        GroupSpec::All => DedupGroup::All,
                        GroupSpec::Site => DedupGroup::Zone,
                        GroupSpec::Cell => DedupGroup::Cell,
                    },
                    window: ms(k.window_ms),
                },
            },
            stream: false,
            max_receivers: None,
            cross_zone_cost: 0.0,
        };
        let settings = Settings {
            instances: (self.sidecars() + self.gateways()) as u32,
            instance_index: me as u32,
            own_zone: site,
            zones: self.sites.len() as u32,
            classes: self.classes.iter().map(class).collect(),
            tenants: Vec::new(),
            over_share_value: 1.0,
            value_per_work: false,
            total_value_weight: 1.0,
            prices: Prices { cross_zone: o.cross_price, ..Prices::default() },
            list_on_request: true,
            max_list_age: seconds(o.must_ask_s),
            drain_grace: ms(o.drain_grace_ms),
            initial_capacity: self.server.cold_from,
            warm_up_time: seconds(self.server.warm_s),
            overload_multiple: self.server.fall_multiple,
            overload_window: seconds(self.server.fall_s),
            cold_rate: None,
            cold_senders: 0,
            retry_ratio: None,
            max_saved_retries: None,
            max_attempts: o.attempts_cap,
            connect_timeout: ms(o.connect_limit_ms),
            may_cancel: o.may_cancel,
            may_hedge: o.second_copies,
            probes: false,
            max_retry_after: (o.retry_after_ms > 0.0).then(|| ms(o.retry_after_ms)),
            clients_mark_retries: true,
            key_affinity: false,
        };
        let front = ProxySettings {
            classes: self.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: Vec::new(),
            zones: self.sites.iter().map(|s| s.name.clone()).collect(),
            kinds: self.machine_kinds().into_iter().map(|k| k.name).collect(),
            upstream_idle_timeout: Some(seconds(o.idle_close_s)),
        };
        (settings, front)
    }

    /// The same as a real sidecar's file has them: the `settings` object.
    pub fn settings_json(&self, me: usize, site: u32) -> serde_json::Value {
        let (o, s) = (&self.sidecar, &self.server);
        let class = |k: &ClassSpec| {
            serde_json::json!({
                "name": k.name, "aim_s": k.aim_ms / 1e3, "deadline_s": k.deadline_ms / 1e3, "importance": k.worth,
                "late_value": k.late_worth, "key_ttl_s": k.window_ms / 1e3,
                "effect": match k.effect {
                    EffectSpec::Repeatable => "repeatable", EffectSpec::Keyed => "by_key", EffectSpec::Once => "once",
                },
                "dedup_scope": match k.group { GroupSpec::All => "all", GroupSpec::Site => "zone", GroupSpec::Cell => "cell" },
            })
        };
        serde_json::json!({
            "balancers": self.sidecars(), "me": me, "my_zone": site, "discovery": "on_request",
            "areas": self.sites.iter().map(|s| s.name.clone()).collect::<Vec<_>>(),
            "shapes": self.machine_kinds().into_iter().map(|k| k.name).collect::<Vec<_>>(),
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "clients": {"marks_retry": true},
            "limits": {"attempts_cap": o.attempts_cap, "connect_timeout_s": o.connect_limit_ms / 1e3,
                "idle_close_s": o.idle_close_s, "max_retry_after_s": o.retry_after_ms / 1e3, "may_cancel": o.may_cancel,
                "retry_after": o.retry_after_ms > 0.0, "second_copies": o.second_copies},
            "rules": {"cold_from": s.cold_from, "drain_grace_s": o.drain_grace_ms / 1e3, "fall_multiple": s.fall_multiple,
                "fall_s": s.fall_s, "must_ask_in_s": o.must_ask_s, "warm_within_s": s.warm_s},
            "prices": {"cross_zone": o.cross_price},
        })
    }
}

impl FaultSpec {
    /// How hard it is, with its kind's usual where the script is silent.
    pub fn strength_or(&self) -> f64 {
        self.strength.unwrap_or(match self.kind {
            Trouble::Neighbour => 0.5,
            Trouble::Slow => 3.0,
            Trouble::SharedSlow | Trouble::Surge => 2.0,
            Trouble::HotCaller => 10.0,
            Trouble::LinkSlow => 5.0,
            _ => 1.0,
        })
    }

    /// From when to when.
    pub fn span(&self) -> (Micros, Micros) {
        (seconds(self.at_s), seconds(self.at_s + self.for_s))
    }
}
