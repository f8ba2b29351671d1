//! `silvercross migrate`: the old file is kept, nothing is overwritten, and the sidecar starts and serves with the new file.
mod common;
use common::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn scratch(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("migrate-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("made");
    dir
}

fn migrate(dir: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvercross"));
    command.env_clear().current_dir(dir).arg("migrate").arg("old.json").args(more);
    command.output().expect("run")
}

fn files(dir: &Path) -> Vec<String> {
    let names = std::fs::read_dir(dir).expect("read").map(|e| e.expect("read").file_name());
    let mut names: Vec<_> = names.map(|n| n.to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

#[test]
fn a_dry_run_says_what_it_would_do_and_changes_nothing() {
    let dir = scratch("dry");
    let old = config(nowhere(), &[entry("s-1", nowhere(), "ready")], 1024);
    std::fs::write(dir.join("old.json"), &old).expect("written");
    for more in [&["--dry-run"][..], &["--dry-run", "--to", "new.json"]] {
        let out = migrate(&dir, more);
        let told = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(out.status.success(), "{told}");
        assert!(told.contains("changed  settings.discovery: \"on_request\" -> \"pushed\""), "{told}");
        assert!(told.contains("left     listen:") && told.contains("left     known:"), "{told}");
        assert!(told.ends_with("nothing was written\n"), "{told}");
        assert_eq!(files(&dir), ["old.json"]);
    }
    assert_eq!(std::fs::read_to_string(dir.join("old.json")).expect("read"), old);
}

#[test]
fn a_file_that_is_there_is_left_alone_and_a_bad_one_is_one_plain_line() {
    let dir = scratch("there");
    let old = config(nowhere(), &[], 1024);
    std::fs::write(dir.join("old.json"), &old).expect("written");
    std::fs::write(dir.join("new.json"), "mine").expect("written");
    for output in ["new.json", "old.json"] {
        let out = migrate(&dir, &["--to", output]);
        assert_eq!(out.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&out.stderr).contains("cannot write"), "{out:?}");
    }
    assert_eq!(std::fs::read_to_string(dir.join("new.json")).expect("read"), "mine");
    assert_eq!(std::fs::read_to_string(dir.join("old.json")).expect("read"), old);
    assert_eq!(files(&dir), ["new.json", "old.json"], "no temporary file is left behind");
    std::fs::write(dir.join("old.json"), old.replace("on_request", "pushed")).expect("written");
    let out = migrate(&dir, &["--to", "other.json"]);
    let told = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!((out.status.code(), told.lines().count()), (Some(1), 1), "{told}");
    assert!(told.contains("settings.discovery:"), "{told}");
    assert_eq!(files(&dir), ["new.json", "old.json"]);
}

#[test]
fn what_was_written_starts_and_serves_from_a_list_that_comes_unasked() {
    let dir = scratch("serves");
    let up = Upstream::start(ok("served"));
    let discovery = Discovery::start(list(7, true, &[entry("s-9", up.address, "ready")]));
    let old = config(nowhere(), &[entry("s-old", nowhere(), "ready")], 1024);
    std::fs::write(dir.join("old.json"), &old).expect("written");
    let at = discovery.address.to_string();
    let out = migrate(
        &dir,
        &[
            "--to",
            "new.json",
            "--discovery",
            &at,
            "--sidecars",
            "3",
            "--number",
            "2",
            "--zone",
            "a",
            "--warm-keys",
            "true",
        ],
    );
    assert!(out.status.success(), "{out:?}");
    let new = std::fs::read_to_string(dir.join("new.json")).expect("written");
    let sidecar = Sidecar::with(&new);
    let mut client = sidecar.connect();
    until("the list", || (client.request("GET /healthz HTTP/1.1\r\n\r\n").status() == 200).then_some(()));
    let keyed = call("commit", 6_000, "").replacen("X-Service", "X-Session-Key: acct/1\r\nX-Service", 1);
    assert_eq!(client.request(&keyed).status(), 200);
    assert_eq!(up.requests(), 1);
}
