//! The check that no files of a package import each other in a circle.
//!
//! An edge goes from a file to the one that defines what it names. A name that a parent module only passes on (`pub use
//! child::Name`) leads to the child, so a parent that re-exports its children is no circle with them; children that import
//! what the parent itself defines, while it uses them, are one. Where a name comes in by `*`, the file that defines it is
//! looked up by its definition.
use crate::imports::{paths, CodePath};
use crate::source::SourceFile;
use crate::Violation;
use std::collections::{BTreeMap, BTreeSet};

/// Words that stand before the name they define.
const DEFINES: [&str; 9] =
    ["fn", "struct", "enum", "union", "trait", "type", "const", "static", "macro_rules"];
/// A name is passed on over at most so many files before the search ends.
const MAX_REEXPORTS: usize = 8;

struct Module<'f> {
    file: &'f SourceFile,
    paths: Vec<CodePath>,
    defined: BTreeSet<String>,
}

/// The files of a package by their modules.
struct Modules<'f>(BTreeMap<Vec<String>, Module<'f>>);

impl<'f> Modules<'f> {
    fn new(files: &'f [SourceFile]) -> Self {
        let has_library = files.iter().any(|file| file.path == "lib.rs");
        let mut modules = BTreeMap::new();
        // A program beside a library is a crate of its own, which imports the library by its name.
        for file in files.iter().filter(|file| !(has_library && file.path == "main.rs")) {
            let code = file.code();
            let defined = code.windows(3).filter(|w| DEFINES.iter().any(|word| w[0].is(word))).map(|w| {
                let name = if w[1].is("!") || w[1].is("mut") { &w[2] } else { &w[1] };
                name.text.clone()
            });
            let module = Module { file, paths: paths(file), defined: defined.collect() };
            modules.insert(file.module.clone(), module);
        }
        Modules(modules)
    }

    /// Names from the crate's root, for a path as a file gives it; `None`: it leads out of the package.
    fn absolute(&self, from: &[String], names: &[String]) -> Option<Vec<String>> {
        let mut base = match names.first()?.as_str() {
            "crate" => Vec::new(),
            "self" => from.to_vec(),
            "super" => {
                let ups = names.iter().take_while(|name| *name == "super").count();
                let mut base = from.to_vec();
                base.truncate(from.len().checked_sub(ups)?);
                base
            }
            first => {
                let mut child = from.to_vec();
                child.push(first.to_string());
                if !self.0.contains_key(&child) {
                    return None;
                }
                from.to_vec()
            }
        };
        base.extend(names.iter().filter(|n| !["crate", "self", "super"].contains(&n.as_str())).cloned());
        Some(base)
    }

    /// The module of the file that defines what absolute names lead to.
    fn definer(&self, names: &[String], depth: usize) -> Option<Vec<String>> {
        let length = (0..=names.len()).rev().find(|n| self.0.contains_key(&names[..*n]))?;
        let (module, rest) = names.split_at(length);
        let Some(name) = rest.first() else { return Some(module.to_vec()) };
        let here = &self.0[module];
        if here.defined.contains(name) || depth == 0 {
            return Some(module.to_vec());
        }
        let uses = || here.paths.iter().filter(|p| p.used_as.is_some());
        let named = uses().filter(|p| p.used_as.as_ref() == Some(name));
        let globs = uses().filter(|p| p.names.last().is_some_and(|last| last == "*"));
        for path in named.chain(globs) {
            let Some(mut target) = self.absolute(module, &path.names) else { continue };
            if target.last().is_some_and(|last| last == "*") {
                target.pop();
                target.push(name.clone());
                let found = self.definer(&target, depth - 1);
                let defines = |m: &Vec<String>| self.0.get(m).is_some_and(|m| m.defined.contains(name));
                if let Some(found) = found.filter(defines) {
                    return Some(found);
                }
                continue;
            }
            return self.definer(&target, depth - 1);
        }
        Some(module.to_vec())
    }

    /// For each module, the modules whose files define what it names.
    fn edges(&self) -> BTreeMap<&Vec<String>, BTreeSet<Vec<String>>> {
        let mut edges = BTreeMap::new();
        for (module, here) in &self.0 {
            let mut to = BTreeSet::new();
            for path in here.paths.iter().filter(|p| !p.is_public) {
                let target = self.absolute(module, &path.names);
                to.extend(target.and_then(|names| self.definer(&names, MAX_REEXPORTS)));
            }
            to.remove(module);
            edges.insert(module, to);
        }
        edges
    }
}

/// A shortest way from a module back to itself.
fn way_back<'e>(
    edges: &'e BTreeMap<&Vec<String>, BTreeSet<Vec<String>>>,
    start: &'e Vec<String>,
) -> Option<Vec<&'e Vec<String>>> {
    let mut ways = vec![vec![start]];
    let mut seen = BTreeSet::new();
    while !ways.is_empty() {
        let mut longer = Vec::new();
        for way in ways {
            for next in way.last().and_then(|last| edges.get(last)).into_iter().flatten() {
                if next == start {
                    return Some(way);
                }
                if seen.insert(next) {
                    let mut further = way.clone();
                    further.push(next);
                    longer.push(further);
                }
            }
        }
        ways = longer;
    }
    None
}

/// Circles of a package's files, each reported once.
pub fn circles(files: &[SourceFile]) -> Vec<Violation> {
    let modules = Modules::new(files);
    let edges = modules.edges();
    let mut reported = BTreeSet::new();
    let mut found = Vec::new();
    for start in modules.0.keys() {
        let Some(way) = way_back(&edges, start) else { continue };
        let members: BTreeSet<&Vec<String>> = way.iter().copied().collect();
        if !reported.insert(members) {
            continue;
        }
        let names: Vec<&str> = way.iter().chain([&start]).map(|m| modules.0[*m].file.path.as_str()).collect();
        let what =
            format!("imports itself: {} (put what all import into a file of its own)", names.join(" -> "));
        found.push(Violation { file: names[0].to_string(), line: 0, what });
    }
    found
}
