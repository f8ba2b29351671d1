//! Names that operators and upstreams rely on: headers, paths, environment variables, keys of settings, of the configuration
//! and of pages, and metrics. The lists in `data/` were taken from the sources of version 0.1.0; each name still has to stand in
//! the sources, so that none is lost or renamed unnoticed. A name may be taken off a list only with its removal in the changelog.
//!
//! One name a line, behind its kind: `text` stands as it is in a literal; `header` likewise, whatever its capitals; `key` stands
//! in a literal as a word; `field` is a field or variant that serde reads or writes.
use silvercross_architecture_tests::source::package_sources;
use silvercross_architecture_tests::tokens::{Kind, Token};
use std::collections::BTreeSet;

const MESH: &str = include_str!("data/mesh_names.txt");
const SIDECAR: &str = include_str!("data/sidecar_names.txt");

/// What packages' sources name to the outside.
#[derive(Default)]
struct Names {
    literals: Vec<String>,
    fields: BTreeSet<String>,
}

/// Whether `name` stands in `text` with nothing beside it that could belong to it.
fn stands_alone(text: &str, name: &str) -> bool {
    let belongs = |c: char| c.is_ascii_alphanumeric() || c == '_';
    text.match_indices(name).any(|(at, _)| {
        !text[..at].chars().next_back().is_some_and(belongs)
            && !text[at + name.len()..].chars().next().is_some_and(belongs)
    })
}

fn camel_case(field: &str) -> String {
    let mut words = field.split('_');
    let mut name = words.next().unwrap_or_default().to_string();
    for word in words {
        name.extend(word.chars().next().map(|c| c.to_ascii_uppercase()));
        name.push_str(word.get(1..).unwrap_or_default());
    }
    name
}

/// Adds the fields of a struct, as written and in camel case, or the variants of an enum in small letters; `item` begins with
/// its keyword.
fn add_names(item: &[&Token], found: &mut BTreeSet<String>) {
    let mut depth = 0;
    for pair in item.windows(2) {
        match pair[0].text.as_str() {
            "{" => depth += 1,
            "}" if depth == 1 => return,
            "}" => depth -= 1,
            name if depth == 1 && pair[0].kind == Kind::Word && item[0].is("enum") => {
                found.insert(name.to_ascii_lowercase());
            }
            name if depth == 1 && pair[0].kind == Kind::Word && pair[1].is(":") => {
                found.extend([name.to_string(), camel_case(name)]);
            }
            _ => {}
        }
    }
}

/// The names of all items for which serde's traits are derived.
fn serde_names(tokens: &[Token], found: &mut BTreeSet<String>) {
    for three in tokens.windows(3) {
        if three[0].is("rename") && three[1].is("=") && three[2].kind == Kind::Literal {
            found.insert(three[2].text.clone());
        }
    }
    let code: Vec<&Token> = tokens.iter().filter(|t| matches!(t.kind, Kind::Word | Kind::Sign)).collect();
    for (at, _) in code.iter().enumerate().filter(|(_, t)| t.is("Deserialize") || t.is("Serialize")) {
        let keyword = |t: &&Token| ["struct", "enum", "use", "fn"].iter().any(|word| t.is(word));
        let Some(item) = code[at..].iter().position(keyword) else { continue };
        let item = &code[at + item..];
        if item[0].is("struct") || item[0].is("enum") {
            add_names(item, found);
        }
    }
}

fn names(packages: &[&str]) -> Names {
    let mut names = Names::default();
    for package in packages {
        let files = package_sources(package).unwrap_or_else(|e| panic!("{package}: {e}"));
        assert!(!files.is_empty(), "{package}: its sources have moved");
        for file in files {
            serde_names(&file.tokens, &mut names.fields);
            let literals = file.tokens.into_iter().filter(|t| t.kind == Kind::Literal);
            names.literals.extend(literals.map(|t| t.text.replace("\\r", " ").replace("\\n", " ")));
        }
    }
    names
}

fn is_there(names: &Names, line: &str) -> bool {
    let (kind, name) = line.split_once(' ').expect("a kind and a name");
    let any = |is: &dyn Fn(&str) -> bool| names.literals.iter().any(|literal| is(literal));
    match kind {
        "text" => any(&|literal| literal.contains(name)),
        "header" => any(&|literal| stands_alone(&literal.to_ascii_lowercase(), name)),
        "key" => any(&|literal| stands_alone(literal, name)),
        "field" => names.fields.contains(name),
        other => panic!("{other}: no kind of name"),
    }
}

/// All names of the list that do not stand in the packages' sources.
fn lost<'l>(list: &'l str, names: &Names) -> Vec<&'l str> {
    list.lines().filter(|line| !is_there(names, line)).collect()
}

#[test]
fn no_name_that_users_of_the_mesh_rely_on_is_lost() {
    let names = names(&[
        "daemon/mesh",
        "control/mesh-config",
        "control/throttle",
        "control/event-feed",
        "balancer/net",
    ]);
    let lost = lost(MESH, &names);
    assert!(lost.is_empty(), "lost or renamed: {lost:#?}");
}

#[test]
fn no_name_that_users_of_the_single_sidecar_rely_on_is_lost() {
    let names = names(&[
        "daemon/sidecar",
        "balancer/management",
        "balancer/settings",
        "balancer/net",
        "balancer/gateway",
        "balancer/facade",
    ]);
    let lost = lost(SIDECAR, &names);
    assert!(lost.is_empty(), "lost or renamed: {lost:#?}");
}

#[test]
fn a_renamed_name_is_found() {
    let literals = ["svc_open_total", "Retry-After: 0.2", "graceS"].map(str::to_string).to_vec();
    let names = Names { literals, fields: ["dataDir".to_string()].into() };
    let list = "text svc_open_total\nheader retry-after\nkey graceS\nfield dataDir\n";
    assert!(lost(list, &names).is_empty());
    let list = "text svc_opened\nheader after-retry\nkey grace\nfield dataFolder";
    assert_eq!(lost(list, &names), list.lines().collect::<Vec<_>>());
}
