//! Which groups of packages a package may depend on: the folders of `crates/` are the architecture.
//!
//! It must not know what a package does. Only what ships is held to it: a package's tests may use what they like.

/// A group of packages, and the groups that its packages may depend on.
const ALLOWED: [(&str, &[&str]); 5] = [
    ("balancer", &["balancer"]),
    ("control", &["balancer", "control"]),
    ("daemon", &["balancer", "control", "daemon"]),
    ("testing", &["balancer", "control", "testing"]),
    ("tools", &["balancer", "control", "daemon", "testing", "tools"]),
];

/// The dependencies of a manifest that its group may not have.
///
/// `group` is the folder of the package's group, `manifest` the text of its `Cargo.toml`, `group_of` tells the group of a package
/// of the workspace by its name, and nothing of any other.
pub fn forbidden_dependencies(
    group: &str,
    manifest: &str,
    group_of: impl Fn(&str) -> Option<String>,
) -> Vec<String> {
    let allowed =
        ALLOWED.iter().find(|(name, _)| *name == group).map_or(&[] as &[&str], |(_, groups)| groups);
    let is_forbidden = |name: &&str| group_of(name).is_some_and(|of| !allowed.contains(&of.as_str()));
    dependencies(manifest).into_iter().filter(is_forbidden).map(str::to_string).collect()
}

/// The names under `[dependencies]`.
fn dependencies(manifest: &str) -> Vec<&str> {
    let lines = manifest.lines().skip_while(|line| line.trim() != "[dependencies]").skip(1);
    let lines = lines.take_while(|line| !line.starts_with('['));
    lines
        .filter_map(|line| line.split_once([' ', '=', '.']))
        .map(|(name, _)| name)
        .filter(|n| !n.is_empty())
        .collect()
}
