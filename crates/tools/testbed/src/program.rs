//! Where the real program is, and how it is built.
use anyhow::{bail, Context, Result};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const PROGRAM: &str = "silvercross-mesh";
const PACKAGE: &str = "silvercross-mesh";

fn folder() -> Result<PathBuf> {
    let own = std::env::current_exe().context("where this program is")?;
    let mut dir = own.parent().map(Path::to_path_buf).unwrap_or_default();
    if dir.file_name().is_some_and(|n| n == "deps") {
        dir.pop();
    }
    Ok(dir)
}

fn profile(dir: &Path) -> String {
    match dir.file_name().and_then(|n| n.to_str()) {
        None | Some("debug") => "dev".to_string(),
        Some(name) => name.to_string(),
    }
}

/// The program beside this one. Under cargo it is built first, with the same profile; else an error says which command does
/// that.
pub fn find() -> Result<PathBuf> {
    match std::env::var_os("CARGO") {
        Some(cargo) => build(Path::new(&cargo)),
        None => beside(),
    }
}

fn beside() -> Result<PathBuf> {
    let dir = folder()?;
    let path = dir.join(PROGRAM);
    if !path.is_file() {
        let profile = profile(&dir);
        bail!(
            "{}: not there (build it: cargo build --profile {profile} --locked -p {PACKAGE})",
            path.display()
        );
    }
    Ok(path)
}

/// Build the program with the profile and into the folder of the one that runs.
pub fn build(cargo: &Path) -> Result<PathBuf> {
    let dir = folder()?;
    let Some(target) = dir.parent() else { bail!("{}: no target folder", dir.display()) };
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../Cargo.toml");
    let done = Command::new(cargo)
        .args(["build", "--quiet", "--locked", "-p", PACKAGE, "--bin", PROGRAM, "--profile", &profile(&dir)])
        .arg("--manifest-path")
        .arg(manifest)
        .arg("--target-dir")
        .arg(target)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .status()
        .with_context(|| format!("{}", cargo.display()))?;
    if !done.success() {
        bail!("cargo build -p {PACKAGE}: {done}");
    }
    beside()
}
