//! `silvercross migrate`: converts an old configuration file to the new format. The old file is never changed.
use silvercross_settings::migrate::{migrate, Target};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Arguments of `migrate`: the old file, and values that it does not contain.
#[derive(clap::Args, Debug)]
pub struct Order {
    /// The old configuration file (JSON).
    old: PathBuf,
    /// The new configuration file; an existing file is not overwritten.
    #[arg(long, required_unless_present = "dry_run")]
    to: Option<PathBuf>,
    /// Write nothing: only print what would be changed, and what could not be converted.
    #[arg(long)]
    dry_run: bool,
    /// Number of sidecars in the pool.
    #[arg(long)]
    sidecars: Option<u32>,
    /// Index of this sidecar in the pool, from 0.
    #[arg(long)]
    number: Option<u32>,
    /// Address on which the front reaches this sidecar.
    #[arg(long)]
    listen: Option<String>,
    /// Address from which the list of upstreams comes.
    #[arg(long)]
    discovery: Option<String>,
    /// A zone of the new deployment; repeat it for each zone, this sidecar's own first.
    #[arg(long = "zone")]
    zones: Vec<String>,
    /// Whether upstreams do less work for a subject that they have served recently.
    #[arg(long)]
    warm_keys: Option<bool>,
}

/// Runs the migration. The error is a single line; if the file cannot be converted or written, none is created.
pub fn run(order: &Order, out: &mut impl Write) -> Result<(), String> {
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
    // A configuration that this program would reject at the start must not be written.
    super::config::parse(&text, |_| None)
        .map_err(|why| format!("{shown}: the converted configuration is invalid: {why}"))?;
    if let Some(output) = order.to.as_deref().filter(|_| !order.dry_run) {
        write_new(output, &text).map_err(|e| format!("cannot write {}: {e}", output.display()))?;
    }
    let mut report = String::new();
    new.changed.iter().for_each(|c| report += &format!("changed  {c}\n"));
    new.left.iter().for_each(|l| report += &format!("left     {l}\n"));
    report += if order.dry_run { "nothing was written\n" } else { "written\n" };
    out.write_all(report.as_bytes()).map_err(|e| e.to_string())
}

/// Writes the whole file or nothing: first under another name, and never over an existing file.
fn write_new(output: &Path, text: &str) -> std::io::Result<()> {
    let mut part = output.as_os_str().to_owned();
    part.push(".part");
    let part = PathBuf::from(part);
    let mut file = OpenOptions::new().write(true).create_new(true).open(&part)?;
    let written = file.write_all(text.as_bytes()).and_then(|()| file.sync_all());
    // A hard link fails if the file exists; a rename would replace it.
    let written = written.and_then(|()| fs::hard_link(&part, output));
    let _ = fs::remove_file(&part);
    written
}
