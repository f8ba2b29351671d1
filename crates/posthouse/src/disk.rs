//! The control store's disk: redb on a thread of its own, one transaction for each write, told of once it is synced. A write that
//! fails ends the process: what it answered before stays true, and nothing more is.
use crate::leaf::Leaf;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use silvercross_control_store::{Disk, Metadata, Stored};
use std::fs::File;
use std::path::Path;
use std::sync::mpsc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const KEYS: TableDefinition<&str, &[u8]> = TableDefinition::new("keys");
const MARKER: TableDefinition<&str, &[u8]> = TableDefinition::new("marker");
const ROSTER: &str = "roster";
const FILE: &str = "ledger.redb";
/// Memory for pages of the file.
const CACHE: usize = 1 << 20;

/// One transaction.
pub struct Write {
    /// Its number, told back.
    pub number: u64,
    /// The metadata record, if it is to be written.
    pub metadata: Option<Metadata>,
    /// The keys' new content.
    pub keys: Vec<Stored<Leaf>>,
}

/// Writes go in here.
pub type Writes = mpsc::Sender<Write>;

/// What is on the disk, where writes go in, the numbers of those that are synced, and why a file was set aside, if one was.
pub type Opened = (Disk<Leaf>, Writes, UnboundedReceiver<u64>, Option<String>);

/// Open what is there, or begin anew; a file that can't be read is set aside, and its holder is repaired by the others.
/// The receiver tells the numbers of writes that are synced.
pub fn open(dir: &Path) -> Result<Opened, String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("dataDir {}: {e}", dir.display()))?;
    let path = dir.join(FILE);
    let mut set_aside = None;
    let builder = || {
        let mut b = Database::builder();
        b.set_cache_size(CACHE);
        b
    };
    let had = path.exists();
    let read = |db: &Database| load(db);
    let opened = builder().create(&path).map_err(|e| e.to_string()).and_then(|db| Ok((read(&db)?, db)));
    let (disk, db) = match opened {
        Ok((disk, db)) => (disk, db),
        Err(why) if had => {
            let aside = dir.join("ledger.unreadable");
            std::fs::rename(&path, &aside).map_err(|e| format!("{}: {why}; {e}", path.display()))?;
            set_aside = Some(format!("{} could not be read: {why}", path.display()));
            let db = builder().create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            (Disk { metadata: None, keys: Vec::new() }, db)
        }
        Err(why) => return Err(format!("{}: {why} (free the disk or replace it)", path.display())),
    };
    // A new file's name lasts once its folder is synced.
    let _ = File::open(dir).and_then(|d| d.sync_all());
    let (writes, todo) = mpsc::channel::<Write>();
    let (done, synced) = unbounded_channel();
    let thread = std::thread::Builder::new().name("ledger".to_string()).stack_size(512 * 1024);
    let run = move || {
        while let Ok(first) = todo.recv() {
            // What has gathered meanwhile shares a sync.
            let mut all = vec![first];
            all.extend(todo.try_iter().take(64));
            if let Err(e) = write(&db, &all) {
                eprintln!("{{\"msg\":\"the disk failed\",\"why\":{:?}}}", e.to_string());
                std::process::exit(74);
            }
            for w in &all {
                let _ = done.send(w.number);
            }
        }
    };
    thread.spawn(run).map_err(|e| e.to_string())?;
    Ok((disk, writes, synced, set_aside))
}

fn load(db: &Database) -> Result<Disk<Leaf>, String> {
    let mut disk = Disk { metadata: None, keys: Vec::new() };
    let tx = db.begin_read().map_err(|e| e.to_string())?;
    match tx.open_table(MARKER) {
        Ok(t) => {
            if let Some(bytes) = t.get(ROSTER).map_err(|e| e.to_string())? {
                disk.metadata = Some(bitcode::decode(bytes.value()).map_err(|e| e.to_string())?);
            }
        }
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(disk),
        Err(e) => return Err(e.to_string()),
    }
    let keys = tx.open_table(KEYS).map_err(|e| e.to_string())?;
    for entry in keys.iter().map_err(|e| e.to_string())? {
        let (_, bytes) = entry.map_err(|e| e.to_string())?;
        disk.keys.push(bitcode::decode(bytes.value()).map_err(|e| e.to_string())?);
    }
    Ok(disk)
}

fn write(db: &Database, all: &[Write]) -> Result<(), redb::Error> {
    let tx = db.begin_write()?;
    {
        let mut marker = tx.open_table(MARKER)?;
        let mut keys = tx.open_table(KEYS)?;
        for w in all {
            if let Some(m) = &w.metadata {
                marker.insert(ROSTER, bitcode::encode(m).as_slice())?;
            }
            for k in &w.keys {
                keys.insert(k.key.as_str(), bitcode::encode(k).as_slice())?;
            }
        }
    }
    tx.commit()?;
    Ok(())
}
