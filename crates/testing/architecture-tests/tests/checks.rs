//! Each check fails when it should: deliberately bad snippets, and good ones beside them.
use silvercross_architecture_tests::circles::circles;
use silvercross_architecture_tests::errors::errors_as_text;
use silvercross_architecture_tests::imports::outside_world;
use silvercross_architecture_tests::source::SourceFile;
use silvercross_architecture_tests::words::withdrawn_words;
use silvercross_architecture_tests::Violation;

fn file(text: &str) -> SourceFile {
    SourceFile::new("lib.rs", text)
}

/// A check on one file.
type Check = fn(&SourceFile) -> Vec<Violation>;

#[track_caller]
fn caught(check: Check, bad: &[&str], good: &[&str]) {
    for text in bad {
        assert!(!check(&file(text)).is_empty(), "not caught: {text}");
    }
    for text in good {
        assert_eq!(check(&file(text)), [], "caught without a reason: {text}");
    }
}

#[test]
fn what_opens_a_socket_or_reads_a_clock_is_caught_however_it_is_imported() {
    caught(
        outside_world,
        &[
            "use std::fs;",
            "use std::net::TcpStream;",
            "use std::{collections::BTreeMap, net::{IpAddr, UdpSocket as Socket}};",
            "use std::net;",
            "use std::net::*;",
            "use std::time;",
            "use std::time::{Duration, Instant};",
            "use std::time::SystemTime as Clock;",
            "fn now() -> u64 { std::time::Instant::now().elapsed().as_secs() }",
            "use core::time::*;",
            "fn sleep() { std::thread::sleep(SPAN) }",
            "use std::thread;",
            "use tokio::time::sleep;",
            "use socket2::Socket;",
            "use redb::Database;",
            "fn die() -> u8 { rand::random() }",
            "fn fill(bytes: &mut [u8]) { getrandom::fill(bytes).unwrap() }",
            "use std::hash::RandomState;",
        ],
        &[
            "use std::net::{IpAddr, SocketAddr};",
            "use std::time::Duration;",
            "use silvercross_time::{Duration, Instant};",
            "// use std::fs;\nconst NAME: &str = \"std::fs\";",
            "#[cfg(test)]\nmod tests { use std::fs; }",
            "#[cfg(test)]\nuse std::fs;\nuse std::fmt;",
            "fn f<'a>(random: &'a str) -> &'a str { random }",
        ],
    );
}

#[test]
fn the_line_of_a_violation_is_that_of_its_name() {
    let found = outside_world(&file("//! One.\n/* two\nthree */\nuse std::{\n    fmt,\n    fs,\n};\n"));
    assert_eq!(found.iter().map(|v| v.line).collect::<Vec<_>>(), [6]);
}

#[test]
fn errors_that_are_text_are_caught() {
    caught(
        errors_as_text,
        &[
            "fn f() -> Result<u8, String> { Ok(1) }",
            "fn f() -> Result<Vec<(u8, String)>, String> { Ok(vec![]) }",
            "fn f() -> std::result::Result<Option<Box<dyn Fn(u8) -> u8>>, std::string::String> { g() }",
            "fn f() -> Result<(), &'static str> { Ok(()) }",
            "type Outcome = Result<\n    u8,\n    String,\n>;",
        ],
        &[
            "fn f() -> Result<String, Error> { g() }",
            "fn f() -> anyhow::Result<String> { g() }",
            "fn f() -> Result<Vec<String>, Vec<Fault>> { g() }",
            "// Result<u8, String>",
        ],
    );
}

fn circle_count(files: &[(&str, &str)]) -> usize {
    let files: Vec<SourceFile> = files.iter().map(|(path, text)| SourceFile::new(path, text)).collect();
    circles(&files).len()
}

#[test]
fn files_that_import_each_other_are_a_circle() {
    let two = [
        ("lib.rs", "mod a; mod b;"),
        ("a.rs", "use crate::b::B; pub struct A;"),
        ("b.rs", "use crate::a::A; pub struct B;"),
    ];
    assert_eq!(circle_count(&two), 1);
    let paths = [
        ("lib.rs", "mod a; mod b;"),
        ("a.rs", "fn f() { crate::b::g() }"),
        ("b.rs", "fn g() { super::a::f() }"),
    ];
    assert_eq!(circle_count(&paths), 1);
    let three = [
        ("lib.rs", "mod a; mod b; mod c;"),
        ("a.rs", "use super::{b::{B as Other}}; pub struct A;"),
        ("b/mod.rs", "use crate::c; pub struct B(c::C);"),
        ("c.rs", "use crate::a::*; pub struct C(A);"),
    ];
    assert_eq!(circle_count(&three), 1);
}

#[test]
fn a_child_that_imports_what_its_parent_defines_and_serves_is_a_circle() {
    let parent = ("lib.rs", "mod child; use child::Child; pub struct Shared; pub fn f(_: Child) {}");
    assert_eq!(circle_count(&[parent, ("child.rs", "use crate::Shared; pub struct Child(Shared);")]), 1);
    // The parent calls into the child by its path, without a `use`.
    let calls = ("lib.rs", "mod child; pub struct Shared; pub fn f() { child::g() }");
    assert_eq!(circle_count(&[calls, ("child.rs", "use super::Shared; pub fn g() -> Shared { Shared }")]), 1);
}

#[test]
fn a_parent_that_only_passes_on_what_its_children_define_is_no_circle() {
    let parent = ("lib.rs", "mod a; mod b; pub use a::A; pub use b::*;");
    let children = [("a.rs", "use crate::B; pub struct A(B);"), ("b.rs", "pub struct B;")];
    assert_eq!(circle_count(&[parent, children[0], children[1]]), 0);
    // Through the parent's list of names, the two children still import each other.
    let back = ("b.rs", "use crate::A; pub struct B;");
    assert_eq!(circle_count(&[parent, children[0], back]), 1);
}

#[test]
fn a_program_beside_a_library_is_a_crate_of_its_own() {
    let program = ("main.rs", "use package::a::A; fn main() { package::a::f() }");
    let library = ("lib.rs", "pub mod a; pub const LIMIT: u8 = 1;");
    let module = ("a.rs", "use crate::LIMIT; pub struct A; pub fn f() -> u8 { LIMIT }");
    assert_eq!(circle_count(&[library, program, module]), 0);
    // Without a library the program is the root of its files.
    let root = ("main.rs", "mod a; const LIMIT: u8 = 1; fn main() { a::f(); }");
    assert_eq!(circle_count(&[root, module]), 1);
}

#[test]
fn what_is_imported_for_tests_alone_makes_no_circle() {
    let a = ("a.rs", "use crate::b::B; pub struct A(B);");
    let b = ("b.rs", "pub struct B; #[cfg(test)] mod tests { use crate::a::A; fn f(_: A) {} }");
    assert_eq!(circle_count(&[("lib.rs", "mod a; mod b;"), a, b]), 0);
}

#[test]
fn withdrawn_words_are_caught_in_names_messages_and_comments() {
    caught(
        withdrawn_words,
        &[
            "struct Depot;",
            "fn depot_count() {}",
            "struct LaneTable;",
            "const MAX_LANES: usize = 1;",
            "let life = 1;",
            "// The office answers.",
            "/// See [`Desk`].",
            "fn f() -> &'static str { \"no office answers\" }",
            "const MESSAGE: &str = \"the depot is missing\";",
            "const MESSAGE: &str = \"`office` is missing\";",
            "use crate::ledger::Key;",
        ],
        &[
            "// The plane and the deposit are other words; so is a page of a result in a sentence.",
            "/// The wire's `depot`.\nconst HOST_KEY: &str = \"depot\";",
            "const MESSAGE: &str = \"`depot` is missing\";",
            "struct AirplaneHostess;",
            "fn f<'a>() -> char { 'a' }",
        ],
    );
}

#[test]
fn source_that_does_not_compile_is_read_without_a_panic() {
    for text in
        ["\"open", "/* open", "r#\"open", "'", "'\\", "use {", "use a::{b", "Result<", "#[cfg(test)]", "b'é'"]
    {
        let files = [file(text)];
        let _ = (
            outside_world(&files[0]),
            errors_as_text(&files[0]),
            circles(&files),
            withdrawn_words(&files[0]),
        );
    }
}
