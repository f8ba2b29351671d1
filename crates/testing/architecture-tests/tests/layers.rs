//! The groups of packages depend on each other in one direction only.
use silvercross_architecture_tests::layers::forbidden_dependencies;
use silvercross_architecture_tests::source::{all_packages, crates_folder};
use std::collections::BTreeMap;
use std::fs;

/// The group of each package of the workspace, by the package's name.
fn groups() -> BTreeMap<String, String> {
    let all = all_packages().expect("the packages can be listed");
    let parts = all.iter().filter_map(|package| package.split_once('/'));
    parts.map(|(group, name)| (format!("silvercross-{name}"), group.to_string())).collect()
}

#[test]
fn no_package_depends_on_a_group_that_builds_on_its_own() {
    let groups = groups();
    assert!(groups.len() >= 25, "the packages have moved: {groups:?}");
    for package in all_packages().expect("the packages can be listed") {
        let (group, _) = package.split_once('/').expect("a group and a name");
        let manifest =
            fs::read_to_string(crates_folder().join(&package).join("Cargo.toml")).expect("a manifest");
        let found = forbidden_dependencies(group, &manifest, |name| groups.get(name).cloned());
        assert!(found.is_empty(), "{package} may not depend on {found:?}");
    }
}

#[test]
fn a_decider_that_depends_on_a_daemon_is_found() {
    let manifest = "[package]\nname = \"x\"\n[dependencies]\nserde = \"1\"\nsilvercross-mesh = { path = \"..\" }\n\
                    silvercross-core.workspace = true\n[dev-dependencies]\nsilvercross-ctl = { path = \"..\" }\n";
    let groups = groups();
    let found = forbidden_dependencies("control", manifest, |name| groups.get(name).cloned());
    assert_eq!(found, ["silvercross-mesh"]);
}
