//! The fleet's file, the folder in which a member keeps who it is, and the sockets for its peers. Without a fleet's file none of
//! it exists: no listener, no datagram, no disk, no thread.
use serde::{Deserialize, Serialize};
use silvercross_members::wire::Fleet;
use silvercross_members::{Config, Identity, Members, Micros, Start};
use std::fs::{File, TryLockError};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{SystemTime, UNIX_EPOCH};

/// Addresses of others that are kept for the next start.
const KEPT: usize = 256;
/// The file in the folder.
const FILE: &str = "member.toml";
/// Held locked by the process that uses the folder.
const LOCK: &str = "member.lock";

/// A fleet's file, as read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// What the fleet is called.
    name: String,
    /// 32 hexadecimal digits, drawn once for the fleet.
    identity: String,
    /// Where this member takes datagrams and exchanges; port 0: any.
    listen: SocketAddr,
    /// Where others reach it, if that is not where it listens.
    #[serde(default)]
    advertise: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    zone: String,
    /// Where it keeps who it is; none: it is somebody new at each start.
    #[serde(default)]
    folder: Option<PathBuf>,
    /// The protocol period.
    #[serde(default = "second")]
    period_ms: f64,
    /// A failed member is forgotten after this.
    #[serde(default = "ten_minutes")]
    forget_s: f64,
    /// Whom to ask first.
    seeds: Vec<SocketAddr>,
}

fn second() -> f64 {
    1000.0
}
fn ten_minutes() -> f64 {
    600.0
}

/// Who a member is, as kept in its folder.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Kept {
    identity: String,
    born_ms: u64,
    life: u32,
    at: Option<SocketAddr>,
    others: Vec<SocketAddr>,
}

/// A member's folder, locked for as long as this lives.
pub struct Folder {
    path: PathBuf,
    kept: Kept,
    _lock: File,
    /// To the thread that writes; one that is full is written next time.
    writer: Option<SyncSender<String>>,
}

/// All that a loop needs to be a member.
pub struct Peers {
    /// What decides.
    pub members: Members,
    /// For what may be lost.
    pub datagrams: UdpSocket,
    /// For exchanges.
    pub listener: TcpListener,
    /// What is kept.
    pub folder: Option<Folder>,
    /// Where it listens.
    pub at: SocketAddr,
    /// The protocol period.
    pub period: Micros,
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// 64 bits that no other process draws: from the machine's own source.
fn draw() -> Result<u64, String> {
    let mut bytes = [0; 8];
    let read = File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut bytes));
    read.map_err(|e| format!("no random numbers for an identity: {e}"))?;
    Ok(u64::from_le_bytes(bytes) | 1)
}

/// Read and check a fleet's file: each fault by its key, with its mend.
pub fn read(path: &Path) -> Result<FleetFile, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("cannot read the fleet's file {}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("bad fleet's file {}: {e}", path.display()))
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
            "32 hexadecimal digits, drawn once for the fleet and the same in each member's file",
        );
    }
    if file.zone.len() > 64 {
        return fault("zone", "64 bytes at most");
    }
    if file.listen.ip().is_unspecified() && file.advertise.is_none() {
        return fault("listen", "others can't reach every address: name one, or say `advertise`");
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
    if file.seeds.is_empty() || file.seeds.len() > KEPT {
        return fault("seeds", "1 to 256 addresses of members, the own among them or not");
    }
    Ok(file)
}

/// Become a member: the folder is locked and its start counted before anything is said.
pub fn join(file: &FleetFile, name: &str, now: Micros) -> Result<Peers, String> {
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
    let fresh = Kept {
        identity: Identity(draw()?).to_string(),
        born_ms: now_ms(),
        life: 0,
        at: None,
        others: Vec::new(),
    };
    let mut kept = folder.as_ref().map_or(fresh, |f| f.kept.clone());
    kept.life = kept.life.checked_add(1).ok_or("folder: it has been started too often")?;
    let moved = kept.at.is_some_and(|at| at != advertised);
    kept.at = Some(advertised);
    if let Some(folder) = &mut folder {
        folder.kept = kept.clone();
        folder.write_now()?;
    }
    let id: Identity = kept.identity.parse()?;
    let seeds = file.seeds.iter().chain(&kept.others).copied().collect();
    let start = Start {
        id,
        life: kept.life,
        born_ms: kept.born_ms,
        moved,
        name: name.to_string(),
        zone: file.zone.clone(),
        at: advertised,
        seeds,
        seed: draw()?,
    };
    let period = (file.period_ms * 1e3) as Micros;
    let identity = u128::from_str_radix(&file.identity, 16).unwrap_or(0);
    let fleet = Fleet::new(&file.name, identity);
    let config = Config { fleet, period, forget: (file.forget_s * 1e6) as Micros, mutant: None };
    Ok(Peers { members: Members::new(config, start, now), datagrams, listener, folder, at, period })
}

impl Folder {
    /// Open a folder that nobody else uses; made if it is not there.
    fn open(path: &Path) -> Result<Self, String> {
        let fault = |e: &dyn std::fmt::Display| format!("folder: {}: {e}", path.display());
        std::fs::create_dir_all(path).map_err(|e| fault(&e))?;
        let lock = File::options().create(true).truncate(false).write(true).open(path.join(LOCK));
        let lock = lock.map_err(|e| fault(&e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(fault(&"another process uses it: each has a folder of its own"))
            }
            Err(TryLockError::Error(e)) => return Err(fault(&e)),
        }
        let file = path.join(FILE);
        let kept = match std::fs::read_to_string(&file) {
            Ok(text) => toml::from_str::<Kept>(&text)
                .map_err(|e| e.message().replace(['\n', '\r'], " "))
                .and_then(|k| k.identity.parse::<Identity>().map(|_| k))
                .map_err(|e| {
                    format!(
                        "folder: {}: {e}; remove the file, and the member is somebody new",
                        file.display()
                    )
                })?,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Kept {
                identity: Identity(draw()?).to_string(),
                born_ms: now_ms(),
                life: 0,
                at: None,
                others: Vec::new(),
            },
            Err(e) => return Err(fault(&e)),
        };
        Ok(Folder { path: path.to_path_buf(), kept, _lock: lock, writer: None })
    }

    /// Write what is kept, and have it on the disk before going on.
    fn write_now(&self) -> Result<(), String> {
        let text = toml::to_string(&self.kept).map_err(|e| e.to_string())?;
        write(&self.path, &text).map_err(|e| format!("folder: {}: {e}", self.path.display()))
    }

    /// Keep these addresses for the next start; written by a thread, the loop never waits.
    pub fn keep(&mut self, others: Vec<SocketAddr>) {
        let others: Vec<SocketAddr> = others.into_iter().take(KEPT).collect();
        // Nobody known is no reason to forget those who were.
        if others.is_empty() || others == self.kept.others {
            return;
        }
        let writer = self.writer.get_or_insert_with(|| {
            let (to, from) = sync_channel::<String>(1);
            let path = self.path.clone();
            std::thread::spawn(move || {
                for text in from {
                    // The list is a help at the next start; without it there are the seeds.
                    let _ = write(&path, &text);
                }
            });
            to
        });
        let kept = Kept { others, ..self.kept.clone() };
        if let Ok(text) = toml::to_string(&kept) {
            if writer.try_send(text).is_ok() {
                self.kept = kept;
            }
        }
    }
}

fn write(folder: &Path, text: &str) -> std::io::Result<()> {
    let (new, file) = (folder.join("member.new"), folder.join(FILE));
    let mut f = File::create(&new)?;
    f.write_all(text.as_bytes())?;
    f.sync_all()?;
    std::fs::rename(&new, &file)?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "name = \"orders\"\nidentity = \"00112233445566778899aabbccddeeff\"\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:7946\"]\n";

    #[test]
    fn each_fault_is_told_by_its_key() {
        assert!(parse(GOOD).is_ok());
        for (from, to, key) in [
            ("name = \"orders\"", "name = \"\"", "name"),
            ("00112233445566778899aabbccddeeff", "0011", "identity"),
            ("[\"127.0.0.1:7946\"]", "[]", "seeds"),
            ("listen = \"127.0.0.1:0\"", "listen = \"0.0.0.0:0\"", "listen"),
            ("seeds =", "period_ms = 1.0\nseeds =", "period_ms"),
            ("seeds =", "forget_s = 0.0\nseeds =", "forget_s"),
            ("seeds =", "advertise = \"127.0.0.1:0\"\nseeds =", "advertise"),
            ("seeds =", "sedes =", "sedes"),
        ] {
            let why = parse(&GOOD.replace(from, to)).expect_err(key);
            assert!(why.contains(key) && !why.contains('\n'), "{key}: {why}");
        }
    }

    #[test]
    fn a_folder_counts_starts_is_held_by_one_and_a_spoilt_one_is_told() {
        let dir = std::env::temp_dir().join(format!("silvercross-member-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let file = parse(&format!("{GOOD}folder = {dir:?}\n")).expect("good");
        let first = join(&file, "n1", 0).expect("joined");
        let (id, life) = (first.members.me().id, first.members.me().incarnation.life());
        assert_eq!(life, 1);
        let Err(why) = join(&file, "n1", 0) else { panic!("two share a folder") };
        assert!(why.contains("another process"), "{why}");
        drop(first);
        let second = join(&file, "n1", 0).expect("joined");
        assert_eq!((second.members.me().id, second.members.me().incarnation.life()), (id, 2));
        drop(second);
        std::fs::write(dir.join(FILE), "identity = 3").expect("written");
        let Err(why) = join(&file, "n1", 0) else { panic!("a spoilt file was taken") };
        assert!(why.contains("remove the file"), "{why}");
        std::fs::remove_dir_all(&dir).expect("removed");
    }
}
