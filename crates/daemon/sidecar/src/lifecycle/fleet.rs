//! The fleet file, the folder in which a member stores its identity, and the sockets for its peers. Without a fleet file none
//! of them exists: no listener, no datagrams, no disk access, no thread.
use super::store::{self, OpenDisk, Store};
use serde::{Deserialize, Serialize};
use silvercross_idempotency_store::command::MAX_WINDOW_MS;
use silvercross_idempotency_store::Records;
use silvercross_swim::wire::Fleet;
use silvercross_swim::{Config, Identity, Members, Micros, Start};
use std::fs::{File, TryLockError};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of peer addresses stored for the next start, and of seeds.
const MAX_ADDRESSES: usize = 256;
/// Name of the file with the member's identity.
const MEMBER_FILE: &str = "member.toml";
/// Name of the file that is locked by the process that uses the folder.
const LOCK_FILE: &str = "member.lock";

/// A fleet file, as read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Name of the fleet.
    name: String,
    /// 32 hexadecimal digits, generated once for the fleet.
    identity: String,
    /// Address for datagrams and exchanges; port 0 picks a free port.
    listen: SocketAddr,
    /// Address at which the other members reach this one, if it is not `listen`.
    #[serde(default)]
    advertise: Option<SocketAddr>,
    /// Zone of the member.
    #[serde(default)]
    zone: String,
    /// Folder in which the member stores its identity; without one it has a new identity at each start.
    #[serde(default)]
    folder: Option<PathBuf>,
    /// The protocol period.
    #[serde(default = "second")]
    period_ms: f64,
    /// Time after which a failed member is forgotten.
    #[serde(default = "ten_minutes")]
    forget_s: f64,
    /// Addresses of members to contact first.
    seeds: Vec<SocketAddr>,
    /// Settings of the records (the fleet's replicated store), if the fleet has any.
    #[serde(default)]
    records: Option<RecordsFile>,
}

/// Settings of the records; the same in each member's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordsFile {
    /// Number of groups that the keys are spread over.
    #[serde(default = "one")]
    groups: u32,
    /// Number of voters of each group.
    #[serde(default = "three")]
    holders: usize,
    /// Minimum election timeout.
    #[serde(default = "second")]
    election_ms: f64,
    /// Timeout of a request to the records.
    #[serde(default = "ask_ms")]
    ask_ms: f64,
    /// Time after which an unreachable holder is replaced.
    #[serde(default = "minute")]
    replace_after_s: f64,
    /// Number of log entries between two snapshots.
    #[serde(default = "snapshot_every")]
    snapshot_every: usize,
    /// The classes whose responses are stored.
    #[serde(default, rename = "class")]
    classes: Vec<ClassFile>,
}

/// Settings of a class whose responses are stored.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    /// Name of the class.
    name: String,
    /// How long its responses are stored.
    window_s: f64,
    /// What happens if a majority of the holders cannot be reached.
    #[serde(default)]
    without: Without,
}

/// What happens to a request of a stored class if a majority of the holders cannot be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Without {
    /// It is served, and its response is not marked as stored.
    #[default]
    Serve,
    /// It is refused at once and not executed.
    Refuse,
}

/// A class whose responses are stored.
#[derive(Clone, Debug)]
pub struct HeldClass {
    /// Name of the class.
    pub name: String,
    /// How long its responses are stored, in milliseconds.
    pub window_ms: u64,
    /// What happens if a majority of the holders cannot be reached.
    pub without: Without,
}

/// What an event loop needs to hold records and to query them.
pub struct RecordsParts {
    /// State machine of the records.
    pub records: Records,
    /// Durable store; without one the copies are in memory only and are lost with the process.
    pub store: Option<Store>,
    /// The classes whose responses are stored.
    pub classes: Vec<HeldClass>,
    /// Timeout of a request to the records.
    pub ask: Micros,
}

fn one() -> u32 {
    1
}
fn three() -> usize {
    3
}
fn ask_ms() -> f64 {
    250.0
}
fn minute() -> f64 {
    60.0
}
fn snapshot_every() -> usize {
    silvercross_idempotency_store::group_replica::SNAPSHOT_INTERVAL_ENTRIES
}

fn second() -> f64 {
    1000.0
}
fn ten_minutes() -> f64 {
    600.0
}

/// Identity of a member, as stored in its folder.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredMember {
    identity: String,
    born_ms: u64,
    life: u32,
    at: Option<SocketAddr>,
    others: Vec<SocketAddr>,
    /// Identity of the file of its store of records ([`store::file_identity`]); a copy has another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    store: Option<String>,
}

/// A member's folder, locked for the lifetime of this value.
pub struct Folder {
    path: PathBuf,
    kept: StoredMember,
    _lock: File,
    /// Queue to the writing thread; if it is full, the list is written by a later call.
    writer: Option<SyncSender<String>>,
}

/// What an event loop needs to be a member of a fleet.
pub struct Peers {
    /// State machine of the membership protocol.
    pub members: Members,
    /// Socket for messages that may be lost.
    pub datagrams: UdpSocket,
    /// Listener for exchanges.
    pub listener: TcpListener,
    /// The member's folder, if it has one.
    pub folder: Option<Folder>,
    /// Address on which it listens.
    pub at: SocketAddr,
    /// The protocol period.
    pub period: Micros,
    /// The records, if the fleet has any.
    pub records: Option<RecordsParts>,
    /// Why the member has a new identity, if it should have kept its old one.
    pub anew: Option<&'static str>,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Returns a random non-zero number from the operating system.
fn random_nonzero() -> Result<u64, String> {
    let mut bytes = [0; 8];
    let read = File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut bytes));
    read.map_err(|e| format!("cannot read random numbers: {e}"))?;
    Ok(u64::from_le_bytes(bytes) | 1)
}

/// Reads and checks a fleet file. The error names the faulty key and the valid values.
pub fn read(path: &Path) -> Result<FleetFile, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("cannot read the fleet file {}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("bad fleet file {}: {e}", path.display()))
}

fn parse(text: &str) -> Result<FleetFile, String> {
    let file: FleetFile = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(0, |s| text[..s.start.min(text.len())].lines().count().max(1));
        format!("line {line}: {}", e.message().replace(['\n', '\r'], " "))
    })?;
    let fault = |key: &str, why: &str| Err(format!("{key}: {why}"));
    if file.name.is_empty() || file.name.len() > 64 {
        return fault("name", "1 to 64 bytes; the same in each member's file");
    }
    if file.identity.len() != 32 || u128::from_str_radix(&file.identity, 16).is_err() {
        return fault(
            "identity",
            "32 hexadecimal digits, generated once for the fleet and the same in each member's file",
        );
    }
    if file.zone.len() > 64 {
        return fault("zone", "64 bytes at most");
    }
    if file.listen.ip().is_unspecified() && file.advertise.is_none() {
        return fault("listen", "others cannot reach an unspecified address: name one, or set `advertise`");
    }
    if file.advertise.is_some_and(|a| a.port() == 0 || a.ip().is_unspecified()) {
        return fault("advertise", "an address and a port that others reach");
    }
    if !(10.0..=60_000.0).contains(&file.period_ms) {
        return fault("period_ms", "10 to 60000; 1000 suits most");
    }
    if !(1.0..=1e7).contains(&file.forget_s) {
        return fault("forget_s", "1 to 10000000; 600 suits most");
    }
    if file.seeds.is_empty() || file.seeds.len() > MAX_ADDRESSES {
        return fault("seeds", "1 to 256 addresses of members, the own among them or not");
    }
    if let Some(r) = &file.records {
        if !(1..=64).contains(&r.groups) {
            return fault("records.groups", "1 to 64, the same in each member's file; 1 suits most");
        }
        if !matches!(r.holders, 3 | 5) {
            return fault("records.holders", "3 or 5, the same in each member's file");
        }
        if !(50.0..=60_000.0).contains(&r.election_ms) {
            return fault("records.election_ms", "50 to 60000; 1000 suits most");
        }
        if !(1.0..=10_000.0).contains(&r.ask_ms) {
            return fault("records.ask_ms", "1 to 10000; 250 suits most");
        }
        if !(1.0..=1e7).contains(&r.replace_after_s) {
            return fault("records.replace_after_s", "1 to 10000000; 60 suits most");
        }
        if !(16..=1_000_000).contains(&r.snapshot_every) {
            return fault("records.snapshot_every", "16 to 1000000; 8192 suits most");
        }
        for c in &r.classes {
            if c.name.is_empty() || r.classes.iter().filter(|o| o.name == c.name).count() > 1 {
                return fault("records.class.name", "the name of a class, each once");
            }
            if !(0.001..=MAX_WINDOW_MS as f64 / 1e3).contains(&c.window_s) {
                return fault("records.class.window_s", "0.001 to 86400 seconds");
            }
        }
    }
    Ok(file)
}

/// Joins the fleet. The folder is locked and the start number stored before any message is sent.
pub fn join(file: &FleetFile, name: &str, now: Micros, disk: Option<OpenDisk>) -> Result<Peers, String> {
    let bound = TcpListener::bind(file.listen).and_then(|l| {
        l.set_nonblocking(true)?;
        let at = l.local_addr()?;
        let datagrams = UdpSocket::bind(at)?;
        datagrams.set_nonblocking(true)?;
        Ok((l, datagrams, at))
    });
    let (listener, datagrams, at) = bound.map_err(|e| format!("listen: {}: {e}", file.listen))?;
    let advertised = file.advertise.unwrap_or(at);
    let mut folder = file.folder.as_deref().map(Folder::open).transpose()?;
    let fresh = StoredMember {
        identity: Identity(random_nonzero()?).to_string(),
        born_ms: now_ms(),
        life: 0,
        at: None,
        others: Vec::new(),
        store: None,
    };
    let mut kept = folder.as_ref().map_or(fresh, |f| f.kept.clone());
    let anew = match (&mut folder, &file.records) {
        (Some(folder), Some(_)) => check_store_identity(folder, &mut kept)?,
        _ => None,
    };
    kept.life = kept.life.checked_add(1).ok_or("folder: it has been started too often")?;
    let moved = kept.at.is_some_and(|at| at != advertised);
    kept.at = Some(advertised);
    if let Some(folder) = &mut folder {
        folder.kept = kept.clone();
        folder.write_now()?;
    }
    let id: Identity = kept.identity.parse().map_err(|e: silvercross_swim::InvalidIdentity| e.to_string())?;
    let records =
        file.records.as_ref().map(|r| open_records(r, id, folder.as_mut(), now, disk)).transpose()?;
    let seeds = file.seeds.iter().chain(&kept.others).copied().collect();
    let start = Start {
        id,
        start_number: kept.life,
        born_ms: kept.born_ms,
        moved,
        name: name.to_string(),
        zone: file.zone.clone(),
        at: advertised,
        seeds,
        seed: random_nonzero()?,
    };
    let period = (file.period_ms * 1e3) as Micros;
    let identity = u128::from_str_radix(&file.identity, 16).unwrap_or(0);
    let fleet = Fleet::new(&file.name, identity);
    let config = Config { fleet, period, forget_after: (file.forget_s * 1e6) as Micros, mutant: None };
    let members = Members::new(config, start, now);
    Ok(Peers { members, datagrams, listener, folder, at, period, records, anew })
}

/// Checks that the folder's store is the file that this identity wrote. If it is a copy, was restored or is missing, the
/// member must not vote from it: the store is set aside, the member gets a new identity, and the reason is returned.
fn check_store_identity(
    folder: &mut Folder,
    kept: &mut StoredMember,
) -> Result<Option<&'static str>, String> {
    let path = folder.path.join(store::FILE);
    let there = store::file_identity(&path);
    let why = match (&kept.store, &there) {
        (None, None) => None,
        (Some(own), Some(file)) if own == file => None,
        (Some(_), None) => Some("its store of records is gone"),
        (_, Some(_)) => Some("its store of records is a copy of another file, or was put back"),
    };
    if why.is_some() {
        if there.is_some() {
            store::set_aside(&path).map_err(|e| format!("folder: {}: {e}", path.display()))?;
        }
        *kept = StoredMember {
            identity: Identity(random_nonzero()?).to_string(),
            born_ms: now_ms(),
            life: 0,
            store: None,
            ..kept.clone()
        };
    }
    Ok(why)
}

/// Opens the store of records, if there is a folder, and creates what the event loop needs for the records.
fn open_records(
    file: &RecordsFile,
    id: Identity,
    folder: Option<&mut Folder>,
    now: Micros,
    disk: Option<OpenDisk>,
) -> Result<RecordsParts, String> {
    let (mut store, mut kept) = (None, Vec::new());
    if let Some(folder) = folder {
        let path = folder.path.join(store::FILE);
        let (opened, found) = Store::open(&path, id.0, disk)?;
        (store, kept) = (Some(opened), found);
        folder.kept.store = store::file_identity(&path);
        folder.write_now()?;
    }
    let mut config = silvercross_idempotency_store::Config::new(file.groups, file.holders, random_nonzero()?);
    config.replace_after = (file.replace_after_s * 1e6) as Micros;
    config.snapshot_every = file.snapshot_every;
    let election_timeout = (file.election_ms * 1e3) as Micros;
    config.replica.election_timeout = silvercross_time::Duration::from_micros(election_timeout);
    config.replica.heartbeat_interval =
        silvercross_time::Duration::from_micros((election_timeout / 5).max(10_000));
    config.retry_after = (election_timeout / 4).max(20_000);
    let class = |c: &ClassFile| HeldClass {
        name: c.name.clone(),
        window_ms: (c.window_s * 1e3) as u64,
        without: c.without,
    };
    Ok(RecordsParts {
        records: Records::new(config, id.0, kept, now),
        store,
        classes: file.classes.iter().map(class).collect(),
        ask: (file.ask_ms * 1e3) as Micros,
    })
}

impl Folder {
    /// Opens and locks a folder that no other process uses, and creates it if it does not exist.
    fn open(path: &Path) -> Result<Self, String> {
        let fault = |e: &dyn std::fmt::Display| format!("folder: {}: {e}", path.display());
        std::fs::create_dir_all(path).map_err(|e| fault(&e))?;
        let lock = File::options().create(true).truncate(false).write(true).open(path.join(LOCK_FILE));
        let lock = lock.map_err(|e| fault(&e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(fault(&"another process uses it: each needs a folder of its own"))
            }
            Err(TryLockError::Error(e)) => return Err(fault(&e)),
        }
        let file = path.join(MEMBER_FILE);
        let kept = match std::fs::read_to_string(&file) {
            Ok(text) => toml::from_str::<StoredMember>(&text)
                .map_err(|e| e.message().replace(['\n', '\r'], " "))
                .and_then(|k| k.identity.parse::<Identity>().map(|_| k).map_err(|e| e.to_string()))
                .map_err(|e| {
                    format!(
                        "folder: {}: {e}; remove the file, and the member is somebody new",
                        file.display()
                    )
                })?,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => StoredMember {
                identity: Identity(random_nonzero()?).to_string(),
                born_ms: now_ms(),
                life: 0,
                at: None,
                others: Vec::new(),
                store: None,
            },
            Err(e) => return Err(fault(&e)),
        };
        Ok(Folder { path: path.to_path_buf(), kept, _lock: lock, writer: None })
    }

    /// Writes the member's identity and syncs it before returning.
    fn write_now(&self) -> Result<(), String> {
        let text = toml::to_string(&self.kept).map_err(|e| e.to_string())?;
        write(&self.path, &text).map_err(|e| format!("folder: {}: {e}", self.path.display()))
    }

    /// Stores the peers' addresses for the next start. A thread writes them, so that the event loop never blocks.
    pub fn keep(&mut self, others: Vec<SocketAddr>) {
        let others: Vec<SocketAddr> = others.into_iter().take(MAX_ADDRESSES).collect();
        // An empty list does not replace the addresses stored before.
        if others.is_empty() || others == self.kept.others {
            return;
        }
        let writer = self.writer.get_or_insert_with(|| {
            let (to, from) = sync_channel::<String>(1);
            let path = self.path.clone();
            std::thread::spawn(move || {
                for text in from {
                    // A failure is ignored: without the list the next start still has the seeds.
                    let _ = write(&path, &text);
                }
            });
            to
        });
        let kept = StoredMember { others, ..self.kept.clone() };
        if let Ok(text) = toml::to_string(&kept) {
            if writer.try_send(text).is_ok() {
                self.kept = kept;
            }
        }
    }
}

fn write(folder: &Path, text: &str) -> std::io::Result<()> {
    let (new, file) = (folder.join("member.new"), folder.join(MEMBER_FILE));
    let mut f = File::create(&new)?;
    f.write_all(text.as_bytes())?;
    f.sync_all()?;
    std::fs::rename(&new, &file)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_FILE: &str = "name = \"orders\"\nidentity = \"00112233445566778899aabbccddeeff\"\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:7946\"]\n";

    #[test]
    fn each_fault_is_told_by_its_key() {
        assert!(parse(VALID_FILE).is_ok());
        for (from, to, key) in [
            ("name = \"orders\"", "name = \"\"", "name"),
            ("00112233445566778899aabbccddeeff", "0011", "identity"),
            ("[\"127.0.0.1:7946\"]", "[]", "seeds"),
            ("listen = \"127.0.0.1:0\"", "listen = \"0.0.0.0:0\"", "listen"),
            ("seeds =", "period_ms = 1.0\nseeds =", "period_ms"),
            ("seeds =", "forget_s = 0.0\nseeds =", "forget_s"),
            ("seeds =", "advertise = \"127.0.0.1:0\"\nseeds =", "advertise"),
            ("seeds =", "sedes =", "sedes"),
            ("[\"127.0.0.1:7946\"]\n", "[\"127.0.0.1:7946\"]\n[records]\nholders = 2\n", "records.holders"),
            ("[\"127.0.0.1:7946\"]\n", "[\"127.0.0.1:7946\"]\n[records]\nask_ms = 0\n", "records.ask_ms"),
            (
                "[\"127.0.0.1:7946\"]\n",
                "[\"127.0.0.1:7946\"]\n[[records.class]]\nname = \"a\"\nwindow_s = 0\n",
                "records.class.window_s",
            ),
        ] {
            let why = parse(&VALID_FILE.replace(from, to)).expect_err(key);
            assert!(why.contains(key) && !why.contains('\n'), "{key}: {why}");
        }
    }

    #[test]
    fn a_folder_counts_starts_is_held_by_one_and_a_spoilt_one_is_told() {
        let dir = std::env::temp_dir().join(format!("silvercross-member-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let file = parse(&format!("{VALID_FILE}folder = {dir:?}\n")).expect("good");
        let first = join(&file, "n1", 0, None).expect("joined");
        let (id, life) = (first.members.me().id, first.members.me().incarnation.start_number());
        assert_eq!(life, 1);
        let Err(why) = join(&file, "n1", 0, None) else { panic!("two share a folder") };
        assert!(why.contains("another process"), "{why}");
        drop(first);
        let second = join(&file, "n1", 0, None).expect("joined");
        assert_eq!((second.members.me().id, second.members.me().incarnation.start_number()), (id, 2));
        drop(second);
        std::fs::write(dir.join(MEMBER_FILE), "identity = 3").expect("written");
        let Err(why) = join(&file, "n1", 0, None) else { panic!("a spoilt file was taken") };
        assert!(why.contains("remove the file"), "{why}");
        std::fs::remove_dir_all(&dir).expect("removed");
    }
}
