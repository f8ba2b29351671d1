//! The decision module stays small enough to be read in one sitting.

const POLICY: &str = include_str!("../src/policy.rs");

#[test]
fn the_decision_module_keeps_to_its_size() {
    let lines = POLICY.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 650, "policy.rs has {lines} non-blank lines, 650 at most");
}

#[test]
fn no_line_of_the_decision_module_is_too_wide() {
    for (i, line) in POLICY.lines().enumerate() {
        let width = line.chars().count();
        assert!(width <= 110, "line {} of policy.rs is {width} wide, 110 at most", i + 1);
    }
}

#[test]
fn the_decision_module_names_its_interface_at_the_top() {
    assert!(POLICY.lines().take(2).any(|l| l.contains("interface.rs")));
}
