//! `silvercross migrate`: an old configuration file in, its counterpart for the new shape out. The old file is never touched.
use silvercross_settings::migrate::{migrate, Target};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// What to migrate, and what the old file cannot tell.
#[derive(clap::Args, Debug)]
pub struct Order {
    /// The configuration for the old shape (JSON).
    old: PathBuf,
    /// Where the new one is written; a file that is there already is left alone.
    #[arg(long, required_unless_present = "dry_run")]
    to: Option<PathBuf>,
    /// Change nothing: only say what would be changed, and what could not be carried over.
    #[arg(long)]
    dry_run: bool,
    /// How many sidecars the pool has.
    #[arg(long)]
    sidecars: Option<u32>,
    /// This sidecar's number among them, from 0.
    #[arg(long)]
    number: Option<u32>,
    /// Where the front reaches this sidecar.
    #[arg(long)]
    listen: Option<String>,
    /// Where the list of upstreams comes from.
    #[arg(long)]
    discovery: Option<String>,
    /// A zone of the new deployment, this sidecar's own first; once for each.
    #[arg(long = "zone")]
    zones: Vec<String>,
    /// Whether upstreams do less work for a subject that they met lately.
    #[arg(long)]
    warm_keys: Option<bool>,
}

/// Do it; the error is one plain line, and nothing has been written then.
pub fn run(order: &Order, say: &mut impl Write) -> Result<(), String> {
    let shown = order.old.display();
    let text = fs::read_to_string(&order.old).map_err(|e| format!("cannot read {shown}: {e}"))?;
    let old = serde_json::from_str(&text).map_err(|e| format!("{shown}: {e}"))?;
    let target = Target {
        sidecars: order.sidecars,
        number: order.number,
        listen: order.listen.clone(),
        discovery: order.discovery.clone(),
        zones: order.zones.clone(),
        warm_keys: order.warm_keys,
    };
    let new = migrate(&old, &target).map_err(|why| format!("{shown}: {why}"))?;
    let text = serde_json::to_string_pretty(&new.file).map_err(|e| e.to_string())? + "\n";
    // What this program would not start with must not be written.
    super::config::parse(&text, |_| None)
        .map_err(|why| format!("{shown}: what came of it is no good: {why}"))?;
    if let Some(output) = order.to.as_deref().filter(|_| !order.dry_run) {
        write_new(output, &text).map_err(|e| format!("cannot write {}: {e}", output.display()))?;
    }
    let mut told = String::new();
    new.changed.iter().for_each(|c| told += &format!("changed  {c}\n"));
    new.left.iter().for_each(|l| told += &format!("left     {l}\n"));
    told += if order.dry_run { "nothing was written\n" } else { "written\n" };
    say.write_all(told.as_bytes()).map_err(|e| e.to_string())
}

/// The whole file or none: under another name first, and never over one that is there.
fn write_new(output: &Path, text: &str) -> std::io::Result<()> {
    let mut part = output.as_os_str().to_owned();
    part.push(".part");
    let part = PathBuf::from(part);
    let mut file = OpenOptions::new().write(true).create_new(true).open(&part)?;
    let written = file.write_all(text.as_bytes()).and_then(|()| file.sync_all());
    // A link fails where a file is there already; a rename would replace it.
    let written = written.and_then(|()| fs::hard_link(&part, output));
    let _ = fs::remove_file(&part);
    written
}
