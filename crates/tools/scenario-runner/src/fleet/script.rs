//! A script for a fleet of processes: how many, how they know of each other, what breaks when, and what is expected. TOML;
//! unknown keys are refused, each fault is told by its key. All times are in protocol periods, so that one script plays in
//! simulated time and on sockets, at whatever period.
use serde::{Deserialize, Serialize};

/// The most members of one script in simulated time.
pub const MOST_MEMBERS: usize = 2_000;
/// The most real processes of one script on sockets.
pub const MOST_PROCESSES: usize = 64;

/// A script, as read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetScript {
    /// Its name.
    pub name: String,
    /// What it rehearses, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Where all chance starts unless the command line says otherwise.
    #[serde(default = "one")]
    pub seed: u64,
    /// The fleet.
    pub fleet: Fleet,
    /// What the fleet holds for its clients; none: nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub records: Option<Holding>,
    /// What breaks, in order of time.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What has to come of it.
    #[serde(default, rename = "expect")]
    pub expects: Vec<Expect>,
}

fn one() -> u64 {
    1
}

/// The fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Machines, each with one process at first.
    pub members: usize,
    /// The protocol period, in milliseconds of real or simulated time.
    #[serde(default = "period")]
    pub period_ms: f64,
    /// How long it is played, in periods.
    pub length: f64,
    /// How many of the first members everyone is told to ask at the start.
    #[serde(default = "seeds")]
    pub seeds: usize,
    /// A failed member is forgotten after this, in periods.
    #[serde(default = "forget")]
    pub forget: f64,
    /// The stated bound, in periods, by which everyone has to see a change; 0: [`bound`] of the fleet's size.
    #[serde(default)]
    pub settle: f64,
    /// Members of the first quiet time before the script's times begin, in periods, to find each other.
    #[serde(default = "gather")]
    pub gather: f64,
    /// How often each process is asked for its list, in periods; 0: every period.
    #[serde(default)]
    pub look: f64,
    /// Requests a second that clients send to each process, on sockets.
    #[serde(default)]
    pub requests_per_s: f64,
    /// Of all links, unless a fault says otherwise: share of datagrams lost.
    #[serde(default)]
    pub loss: f64,
    /// Of all links: delay one way, in milliseconds.
    #[serde(default = "delay")]
    pub delay_ms: f64,
    /// Of all links: what comes on top by chance, in milliseconds at most.
    #[serde(default)]
    pub jitter_ms: f64,
}

fn period() -> f64 {
    200.0
}
fn seeds() -> usize {
    1
}
fn forget() -> f64 {
    3_000.0
}
fn gather() -> f64 {
    15.0
}
fn delay() -> f64 {
    0.2
}

/// What the fleet holds, and who asks for it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Groups.
    #[serde(default = "a_group")]
    pub groups: u32,
    /// Voters wanted in each.
    #[serde(default = "three")]
    pub holders: usize,
    /// A holder that is away for so long is replaced, in periods.
    #[serde(default = "replace_after")]
    pub replace_after: f64,
    /// Clients that ask one thing after the other, of processes by chance.
    #[serde(default = "clients")]
    pub clients: usize,
    /// Different keys that are asked for at a time.
    #[serde(default = "keys")]
    pub keys: usize,
    /// How long a client thinks between two, in milliseconds.
    #[serde(default = "think")]
    pub think_ms: f64,
    /// Entries between two snapshots.
    #[serde(default = "snapshot_every")]
    pub snapshot_every: usize,
    /// The least election timeout, in periods.
    #[serde(default = "election")]
    pub election: f64,
    /// Without a majority: refuse, or (`false`) serve unmarked, and then an effect may come twice.
    #[serde(default = "yes")]
    pub refuse: bool,
}

fn yes() -> bool {
    true
}
fn a_group() -> u32 {
    1
}
fn three() -> usize {
    3
}
fn replace_after() -> f64 {
    40.0
}
fn clients() -> usize {
    6
}
fn keys() -> usize {
    4
}
fn think() -> f64 {
    40.0
}
fn snapshot_every() -> usize {
    64
}
fn election() -> f64 {
    3.0
}

/// The stated bound on a change, in periods: somebody probes (5), the suspicion runs out with nobody to shorten it (its least
/// time, six times), all are told (twice the doublings); and as long again where members doubt themselves or were apart.
pub fn bound(members: usize) -> f64 {
    let n = members.max(2) as f64;
    2.0 * (5.0 + 6.0 * 4.0 * n.log10().max(1.0) + 2.0 * n.log2().ceil())
}

/// What is done to the links from one set of machines to another, or to machines and their processes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in periods after the members have gathered.
    pub at: f64,
    /// What.
    pub kind: Kind,
    /// For how long, in periods; none: until another fault undoes it, or the script ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lasts: Option<f64>,
    /// Which machines, or from which; empty: all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub who: Vec<usize>,
    /// Links: to which machines; empty: all others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<usize>,
    /// Links: only from `who` to `to`, not back.
    #[serde(default, skip_serializing_if = "is_false")]
    pub one_way: bool,
    /// Machines besides `who`: that of the process that leads the first group of the records when it begins.
    #[serde(default, skip_serializing_if = "is_false")]
    pub leader: bool,
    /// How much: a share, milliseconds, bytes a second, datagrams a second, parts in a million; as the kind says.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub much: f64,
}

fn is_false(b: &bool) -> bool {
    !b
}
fn is_zero(n: &f64) -> bool {
    *n == 0.0
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Links carry nothing and say nothing.
    Cut,
    /// Links: new connections are refused, datagrams lost.
    Refuse,
    /// Links: connections are accepted and nothing comes; datagrams lost.
    HalfOpen,
    /// Links: `much` ms on top, one way.
    Delay,
    /// Links: a share of `much` is lost.
    Loss,
    /// Links: a share of `much` comes twice.
    Duplicate,
    /// Links: a share of `much` comes later than what follows.
    Reorder,
    /// Links: `much` bytes a second.
    Slow,
    /// Links: in a share of `much` one byte is another.
    Spoil,
    /// Links: a share of `much` is sent once more, up to 20 periods later.
    Replay,
    /// Processes are killed.
    Kill,
    /// Processes are asked to end.
    Stop,
    /// Processes stand still.
    Pause,
    /// Processes start on machines where none runs, with the machine's folder.
    Start,
    /// The same with an empty folder.
    StartEmpty,
    /// The same at another address.
    StartMoved,
    /// Asked to end, and started again when they have ended.
    Restart,
    /// A second process under the machine's name, with a folder of its own.
    SecondName,
    /// A second process with a copy of the machine's folder.
    CopiedFolder,
    /// Datagrams of another fleet, `much` a period, to the machines.
    Foreign,
    /// Datagrams of other versions.
    Versions,
    /// Datagrams of chance.
    Noise,
    /// An upstream's drain is told by the lists of these machines' processes alone.
    Drain,
    /// The lists of these machines' processes come up to date.
    ListAgain,
    /// The machines' folders are copied aside.
    KeepCopy,
    /// Processes start on machines where none runs, with the copy that was kept: a backup restored.
    StartOld,
    /// Syncs of the machines' disks take `much` ms.
    DiskSlow,
    /// Syncs of the machines' disks end in an error.
    DiskFails,
    /// The machines' disks have no room for anything new.
    DiskFull,
    /// Killed in the middle of a write: the last one is there by half.
    KillTorn,
    /// Processes are killed, and their machines' disks are lost with them.
    Lose,
    /// An operator recovers the records on one of these machines.
    Recover,
}

impl Kind {
    /// Whether it is about links.
    pub fn is_link(self) -> bool {
        self <= Kind::Replay
    }
}

/// An expectation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Which figure.
    pub figure: String,
    /// At least so much.
    #[serde(default)]
    pub least: Option<f64>,
    /// At most so much.
    #[serde(default)]
    pub most: Option<f64>,
}

impl FleetScript {
    /// Whether a script's text is one for a fleet.
    pub fn is_one(text: &str) -> bool {
        text.lines().any(|l| l.trim() == "[fleet]")
    }

    /// Read a script; the error is one plain line that says where and why.
    pub fn parse(text: &str) -> Result<Self, String> {
        let script: FleetScript = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |s| text[..s.start.min(text.len())].lines().count().max(1));
            format!("line {line}: {}", e.message().replace(['\n', '\r'], " "))
        })?;
        script.check()?;
        Ok(script)
    }

    fn check(&self) -> Result<(), String> {
        let f = &self.fleet;
        let within = |key: &str, v: f64, least: f64, most: f64| match (least..=most).contains(&v) {
            true => Ok(()),
            false => Err(format!("{key}: {v} is not from {least} to {most}")),
        };
        within("fleet.members", f.members as f64, 1.0, MOST_MEMBERS as f64)?;
        within("fleet.period_ms", f.period_ms, 20.0, 60_000.0)?;
        within("fleet.length", f.length, 1.0, 100_000.0)?;
        within("fleet.seeds", f.seeds as f64, 1.0, f.members as f64)?;
        within("fleet.forget", f.forget, 10.0, 1e7)?;
        within("fleet.loss", f.loss, 0.0, 1.0)?;
        within("fleet.delay_ms", f.delay_ms, 0.0, 10_000.0)?;
        within("fleet.jitter_ms", f.jitter_ms, 0.0, 10_000.0)?;
        within("fleet.requests_per_s", f.requests_per_s, 0.0, 1_000.0)?;
        if let Some(r) = &self.records {
            within("records.groups", f64::from(r.groups), 1.0, 64.0)?;
            if !matches!(r.holders, 1 | 3 | 5) {
                return Err(format!("records.holders: {} is not 1, 3 or 5", r.holders));
            }
            within("records.clients", r.clients as f64, 0.0, 256.0)?;
            within("records.keys", r.keys as f64, 1.0, 10_000.0)?;
            within("records.election", r.election, 0.5, 1_000.0)?;
            within("records.snapshot_every", r.snapshot_every as f64, 2.0, 1e6)?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |k: &str| format!("fault {}, {k}", i + 1);
            within(&key("at"), fault.at, 0.0, f.length)?;
            for m in fault.who.iter().chain(&fault.to) {
                within(&key("who and to"), *m as f64, 0.0, (f.members - 1) as f64)?;
            }
            let share = matches!(
                fault.kind,
                Kind::Loss | Kind::Duplicate | Kind::Reorder | Kind::Spoil | Kind::Replay
            );
            within(&key("much"), fault.much, 0.0, if share { 1.0 } else { 1e6 })?;
            let lasts = matches!(fault.kind, Kind::Pause | Kind::DiskSlow | Kind::DiskFails | Kind::DiskFull);
            if fault.lasts.is_some() && !(fault.kind.is_link() || lasts) {
                return Err(format!(
                    "{}: only links and pauses last; end it with a fault of its own",
                    key("lasts")
                ));
            }
        }
        Ok(())
    }

    /// The stated bound that holds for it, in periods.
    pub fn settle(&self) -> f64 {
        if self.fleet.settle > 0.0 {
            self.fleet.settle
        } else {
            bound(self.fleet.members)
        }
    }

    /// The machines that a fault names, where one leads: all where it names none.
    pub fn machines_of(&self, fault: &Fault, leader: Option<usize>) -> Vec<usize> {
        if !fault.leader {
            return self.machines(&fault.who);
        }
        let mut named = fault.who.clone();
        named.extend(leader);
        named.sort_unstable();
        named.dedup();
        named
    }

    /// The machines that a fault names: all where it names none.
    pub fn machines(&self, named: &[usize]) -> Vec<usize> {
        if named.is_empty() {
            (0..self.fleet.members).collect()
        } else {
            named.to_vec()
        }
    }

    /// When its last fault begins or ends, in periods.
    pub fn calm_at(&self) -> f64 {
        self.faults.iter().map(|f| f.at + f.lasts.unwrap_or(0.0)).fold(0.0, f64::max)
    }
}
