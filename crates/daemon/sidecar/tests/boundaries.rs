//! Source checks: core events and actions are used only behind the facade, `unsafe` stays in one file, and `wire` and
//! `memory` do not depend on the event loop.
use std::fs;
use std::path::{Path, PathBuf};

fn sources(dir: &Path) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(&path).expect("text");
            // Comments are not checked.
            let code =
                text.lines().filter(|l| !l.trim_start().starts_with("//")).collect::<Vec<_>>().join("\n");
            found.push((path, code));
        }
    }
    found
}

fn all() -> Vec<(PathBuf, String)> {
    let found = sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(found.len() > 12, "the sources have moved");
    found
}

/// The sources of all packages in every group under `crates/`.
fn workspace() -> Vec<(PathBuf, String)> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the crates folder");
    let folders = |folder: &Path| -> Vec<PathBuf> {
        fs::read_dir(folder)
            .expect("a folder")
            .map(|e| e.expect("an entry").path())
            .filter(|p| p.is_dir())
            .collect()
    };
    let packages: Vec<PathBuf> = folders(crates).iter().flat_map(|group| folders(group)).collect();
    assert!(packages.len() >= 25, "the packages have moved: {packages:?}");
    packages.iter().map(|p| p.join("src")).filter(|p| p.is_dir()).flat_map(|p| sources(&p)).collect()
}

#[test]
fn only_the_facade_sees_events_and_actions() {
    for (path, code) in all() {
        let core: Vec<_> = code.match_indices("silvercross_core::").map(|(at, _)| &code[at..]).collect();
        let plain = |use_: &&str| {
            ["silvercross_core::interface::Micros;", "silvercross_core::interface::Settings;"]
                .iter()
                .any(|allowed| use_.starts_with(allowed))
        };
        assert!(core.iter().all(plain), "{}", path.display());
    }
}

#[test]
fn unsafe_code_is_in_one_file() {
    let unsafe_block = |code: &str| code.contains("unsafe {") || code.contains("unsafe fn");
    let at: Vec<_> =
        workspace().into_iter().filter(|(_, code)| unsafe_block(code)).map(|(path, _)| path).collect();
    assert!(at.len() == 1 && at[0].ends_with("registry.rs"), "{at:?}");
}

#[test]
fn the_wire_and_the_memory_know_no_loop() {
    for (path, code) in all() {
        let inner = path.parent().is_some_and(|p| p.ends_with("wire") || p.ends_with("memory"));
        assert!(!(inner && code.contains("crate::event_loop")), "{}", path.display());
    }
}
