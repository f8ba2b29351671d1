//! The program from outside: what it says of bad input, a short run on sockets, a run interrupted and one whose sidecar
//! does not start. Nothing here depends on how quick the machine is: deadlines are long, and a run that this machine made
//! void still has to say so and clean up.
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(60);

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvercross-scenario-runner"));
    command.current_dir(env!("CARGO_TARGET_TMPDIR"));
    command
}

fn script(folder: &Path, seconds: f64, more: &str) -> PathBuf {
    let path = folder.join("short.toml");
    let text = format!(
        "name = \"short\"\nlength_s = {seconds:?}\nmode = \"sockets\"\n\
         [[site]]\nname = \"a\"\nservers = 3\nsidecars = 2\n[[site]]\nname = \"b\"\nservers = 2\nsidecars = 1\n\
         [[class]]\nname = \"read\"\nwork_ms = 5.0\naim_ms = 20000.0\ndeadline_ms = 20000.0\neffect = \"repeatable\"\n\
         [[class]]\nname = \"commit\"\nwork_ms = 5.0\naim_ms = 20000.0\ndeadline_ms = 20000.0\neffect = \"once\"\n\
         [[class]]\nname = \"check\"\nwork_ms = 5.0\naim_ms = 20000.0\ndeadline_ms = 20000.0\neffect = \"keyed\"\nwindow_ms = 9000.0\n\
         [load]\nper_s = 60.0\n{more}"
    );
    std::fs::write(&path, text).expect("written");
    path
}

fn said(o: &Output) -> String {
    String::from_utf8_lossy(&o.stdout).into_owned() + &String::from_utf8_lossy(&o.stderr)
}

/// Children of a process, by the kernel's own word.
fn children(of: u32) -> Vec<u32> {
    let parent = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    let entries =
        std::fs::read_dir("/proc").expect("there").filter_map(|e| e.ok()?.file_name().to_str()?.parse().ok());
    entries.filter(|pid| parent(pid) == Some(of)).collect()
}

fn runs(pid: u32) -> bool {
    let text = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    String::from_utf8_lossy(&text).contains("sidecar")
}

fn until(what: &str, mut look: impl FnMut() -> bool) {
    let began = Instant::now();
    while !look() {
        assert!(began.elapsed() < LONG, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn bad_input_is_one_plain_line_and_its_own_code() {
    let folder = tempfile::tempdir().expect("a folder");
    let bad = script(folder.path(), 1.0, "surprise = 1\n");
    let cases: [(&[&str], i32, &str); 6] = [
        (&["run", "nowhere.toml"], 1, "nowhere.toml"),
        (&["run", bad.to_str().expect("text")], 1, "short.toml: line 33"),
        (&["check", bad.to_str().expect("text")], 1, "surprise"),
        (&["run"], 2, "Usage"),
        (&["fly"], 2, "Usage"),
        (&["load", "--steps", "0"], 1, "steps from 1"),
    ];
    for (args, code, word) in cases {
        let o = program().args(args).output().expect("run");
        assert_eq!(o.status.code(), Some(code), "{args:?}: {}", said(&o));
        assert!(said(&o).contains(word), "{args:?}: {}", said(&o));
        assert!(code == 2 || said(&o).trim().lines().count() == 1, "{args:?}: {}", said(&o));
    }
}

/// A server dies and comes back, one falls silent, a sidecar dies and comes back, the list goes dark; real sidecars, real
/// sockets, and no rule broken.
#[test]
fn a_short_run_on_sockets_keeps_the_rules() {
    let folder = tempfile::tempdir().expect("a folder");
    let fault = |kind: &str, which: usize, at: f64, f: f64| {
        format!("[[fault]]\nkind = \"{kind}\"\nwhich = [{which}]\nat_s = {at:?}\nfor_s = {f:?}\n")
    };
    let more = fault("crash", 0, 0.8, 0.8)
        + &fault("vanish", 1, 1.0, 1.0)
        + &fault("sidecars-die", 1, 1.2, 0.6)
        + &fault("list-dark", 0, 0.5, 1.0).replace("which = [0]\n", "");
    let path = script(folder.path(), 4.0, &more);
    let (json, report) = (folder.path().join("out.json"), folder.path().join("report"));
    let o = program()
        .arg("run")
        .arg(path)
        .arg("--json")
        .arg(&json)
        .arg("--report")
        .arg(&report)
        .output()
        .expect("run");
    let figures: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("written")).expect("JSON");
    if figures["void"].is_null() {
        assert_eq!(o.status.code(), Some(0), "{}", said(&o));
        assert!(figures["served"].as_u64().expect("a number") > 100, "{}", said(&o));
        assert!(figures["baselines"].as_object().is_some_and(|b| b.len() == 4));
    } else {
        assert_eq!(o.status.code(), Some(3), "{}", said(&o));
        assert!(figures["void"].as_str().is_some_and(|v| v.contains("late")), "{}", said(&o));
    }
    let page = std::fs::read_to_string(report.join("index.html")).expect("a page");
    assert!(
        page.contains("<svg") && !page.contains("src=") && !page.contains("href="),
        "nothing from outside"
    );
}

#[test]
fn an_interrupted_run_leaves_no_process_and_still_reports() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = script(folder.path(), 600.0, "");
    let (json, report) = (folder.path().join("out.json"), folder.path().join("report"));
    let mut run = program();
    run.arg("run").arg(path).arg("--json").arg(&json).arg("--report").arg(&report);
    let mut child = run.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("started");
    let mut sidecars = Vec::new();
    until("three sidecars", || {
        sidecars = children(child.id());
        sidecars.iter().filter(|p| runs(**p)).count() == 3
    });
    let told = Command::new("sh").arg("-c").arg(format!("kill -INT {}", child.id())).status().expect("run");
    assert!(told.success());
    let mut status = None;
    until("its end", || {
        status = child.try_wait().expect("asked");
        status.is_some()
    });
    assert_eq!(status.and_then(|s| s.code()), Some(3));
    assert!(!sidecars.iter().any(|p| runs(*p)), "a sidecar was left behind");
    let figures: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("written")).expect("JSON");
    assert_eq!(figures["cut_short"], true);
    assert!(report.join("index.html").is_file());
}

#[test]
fn a_rehearsal_killed_outright_takes_its_sidecars_along() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut run = program();
    run.arg("run").arg(script(folder.path(), 600.0, ""));
    let mut child = run.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("started");
    let mut sidecars = Vec::new();
    until("three sidecars", || {
        sidecars = children(child.id());
        sidecars.iter().filter(|p| runs(**p)).count() == 3
    });
    child.kill().expect("killed");
    child.wait().expect("ended");
    until("the end of its sidecars", || !sidecars.iter().any(|p| runs(*p)));
}

#[test]
fn a_sidecar_that_does_not_start_or_ends_makes_the_run_void() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = script(folder.path(), 600.0, "");
    for (name, text, word) in [
        ("stillborn", "echo 'no luck today' >&2; exit 7", "no luck today"),
        (
            "shortlived",
            "echo '{\"listen\":\"127.0.0.1:9\"}' >&2; sleep 0.1; echo 'and gone' >&2; exit 7",
            "and gone",
        ),
    ] {
        let sidecar = folder.path().join(name);
        std::fs::write(&sidecar, format!("#!/bin/sh\n{text}\n")).expect("written");
        let marked = Command::new("chmod").arg("+x").arg(&sidecar).status().expect("run");
        assert!(marked.success());
        let o = program().arg("run").arg(&path).arg("--sidecar").arg(&sidecar).output().expect("run");
        assert_eq!(o.status.code(), Some(3), "{}", said(&o));
        assert!(said(&o).contains("VOID") && said(&o).contains(word), "{}", said(&o));
    }
}
