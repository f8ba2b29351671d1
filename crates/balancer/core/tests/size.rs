//! Limits on the size of the decision module, and the list of its files in deploy/balancer.toml.
use std::collections::BTreeSet;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../..");
const FOLDER: &str = "crates/balancer/core/src/policy/";

/// The module's files: path from the repository's root, and content.
fn files() -> Vec<(String, String)> {
    let directory = std::fs::read_dir(format!("{ROOT}/{FOLDER}")).expect("the module is a directory");
    let paths = directory.map(|entry| entry.expect("a readable entry").path());
    let file = |path: std::path::PathBuf| {
        let name = path.file_name().and_then(|n| n.to_str()).expect("a UTF-8 name");
        assert!(path.is_file() && name.ends_with(".rs"), "{name}: source files only");
        (format!("{FOLDER}{name}"), std::fs::read_to_string(&path).expect("a readable file"))
    };
    paths.map(file).collect()
}

#[test]
fn the_decision_module_keeps_to_its_size() {
    let lines = |text: &str| text.lines().filter(|l| !l.trim().is_empty()).count();
    let all: usize = files().iter().map(|f| lines(&f.1)).sum();
    assert!(all <= 650, "{FOLDER} has {all} non-blank lines, 650 at most");
}

#[test]
fn no_line_of_the_decision_module_is_too_wide() {
    for (path, text) in files() {
        for (i, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= 110, "line {} of {path} is {width} wide, 110 at most", i + 1);
        }
    }
}

#[test]
fn the_decision_module_names_its_interface_at_the_top() {
    let files = files();
    let (_, text) = files.iter().find(|f| f.0.ends_with("/mod.rs")).expect("mod.rs");
    assert!(text.lines().take(2).any(|l| l.contains("interface.rs")));
}

#[test]
fn the_deployment_file_lists_every_file_of_the_decision_module() {
    let text = std::fs::read_to_string(format!("{ROOT}/deploy/balancer.toml")).expect("a readable file");
    let list = text.lines().find_map(|l| l.strip_prefix("policy = ")).expect("a `policy` entry");
    let listed: BTreeSet<_> = list.split('"').skip(1).step_by(2).map(String::from).collect();
    assert_eq!(listed, files().into_iter().map(|f| f.0).collect());
}
