//! The workspace's own sources pass the checks that their packages are listed for.
use silvercross_architecture_tests::circles::circles;
use silvercross_architecture_tests::errors::errors_as_text;
use silvercross_architecture_tests::imports::outside_world;
use silvercross_architecture_tests::packages::{
    DECIDERS, WITHOUT_CIRCLES, WITH_CURRENT_NAMES, WITH_TYPED_ERRORS,
};
use silvercross_architecture_tests::source::{all_packages, package_sources, SourceFile};
use silvercross_architecture_tests::words::withdrawn_words;
use silvercross_architecture_tests::Violation;

/// Run a check over all files of these packages; fails with every violation, each on a line of its own.
fn hold(packages: &[&str], check: impl Fn(&[SourceFile]) -> Vec<Violation>) {
    let mut found = Vec::new();
    for package in packages {
        let files = package_sources(package).unwrap_or_else(|e| panic!("{package}: {e}"));
        assert!(!files.is_empty(), "{package}: its sources have moved");
        found.extend(check(&files).iter().map(|violation| format!("{package}/src/{violation}")));
    }
    assert!(found.is_empty(), "{} violations:\n{}", found.len(), found.join("\n"));
}

fn each_file(check: impl Fn(&SourceFile) -> Vec<Violation>) -> impl Fn(&[SourceFile]) -> Vec<Violation> {
    move |files| files.iter().flat_map(&check).collect()
}

#[test]
fn deciders_import_nothing_of_the_outside_world() {
    hold(DECIDERS, each_file(outside_world));
}

#[test]
fn every_package_of_the_control_group_is_a_decider() {
    let all = all_packages().expect("the packages can be listed");
    let control: Vec<&String> = all.iter().filter(|package| package.starts_with("control/")).collect();
    assert!(control.len() >= 10, "the packages have moved: {control:?}");
    assert!(control.iter().all(|package| DECIDERS.contains(&package.as_str())), "{control:?}");
}

#[test]
fn no_files_import_each_other_in_a_circle() {
    hold(WITHOUT_CIRCLES, circles);
}

#[test]
fn no_function_fails_with_text() {
    hold(WITH_TYPED_ERRORS, each_file(errors_as_text));
}

#[test]
fn no_withdrawn_word_is_left() {
    hold(WITH_CURRENT_NAMES, each_file(withdrawn_words));
}

/// For owners: which packages would pass which check now, and with `SURVEY=group/name` what is in the way of one. Prints and
/// never fails (`cargo test -p silvercross-architecture-tests -- --ignored --nocapture survey`).
#[test]
#[ignore = "a survey, not a check"]
fn survey() {
    let wanted = std::env::var("SURVEY").unwrap_or_default();
    println!("{:<30} {:>8} {:>8} {:>8}", "package", "circles", "errors", "words");
    for package in all_packages().expect("the packages can be listed") {
        let files = package_sources(&package).unwrap_or_default();
        let found = [circles(&files), each_file(errors_as_text)(&files), each_file(withdrawn_words)(&files)];
        let [circles, errors, words] = found.each_ref().map(Vec::len);
        println!("{package:<30} {circles:>8} {errors:>8} {words:>8}");
        if package == wanted {
            found.iter().flatten().for_each(|violation| println!("    {violation}"));
        }
    }
}
