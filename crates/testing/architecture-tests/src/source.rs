//! A package's source files and the modules that they are.
//!
//! It must not know of any rule. Files of tests and what is compiled for tests alone (`#[cfg(test)]`) are left out: the rules are
//! about what ships.
use crate::tokens::{tokens, Kind, Token};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// One source file.
#[derive(Clone, Debug)]
pub struct SourceFile {
    /// Its path, relative to the package's `src`, with `/` between folders.
    pub path: String,
    /// Its module path from the crate's root; empty for the root.
    pub module: Vec<String>,
    /// Its tokens, without what is compiled for tests alone.
    pub tokens: Vec<Token>,
}

impl SourceFile {
    /// A file of this text at this path below `src`.
    pub fn new(path: &str, text: &str) -> Self {
        let stem = path.strip_suffix(".rs").unwrap_or(path);
        let mut module: Vec<String> = stem.split('/').map(str::to_string).collect();
        if module.last().is_some_and(|last| last == "mod") {
            module.pop();
        }
        if matches!(module.as_slice(), [root] if root == "lib" || root == "main") {
            module.clear();
        }
        SourceFile { path: path.to_string(), module, tokens: without_tests(tokens(text)) }
    }

    /// The tokens of code: neither comments nor literals.
    pub fn code(&self) -> Vec<&Token> {
        self.tokens.iter().filter(|t| matches!(t.kind, Kind::Word | Kind::Sign)).collect()
    }
}

/// The folder of all packages, from the folder of this one.
pub fn crates_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All packages, as `group/name`, sorted.
///
/// # Errors
/// When a folder can't be read.
pub fn all_packages() -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for group in fs::read_dir(crates_folder())? {
        let group = group?;
        if !group.path().is_dir() {
            continue;
        }
        for package in fs::read_dir(group.path())? {
            let package = package?;
            if package.path().join("Cargo.toml").is_file() {
                let (group, name) = (group.file_name(), package.file_name());
                found.push(format!("{}/{}", group.to_string_lossy(), name.to_string_lossy()));
            }
        }
    }
    found.sort();
    Ok(found)
}

/// All source files of a package (`group/name`), sorted by their paths, files of tests left out.
///
/// # Errors
/// When a file can't be read.
pub fn package_sources(package: &str) -> io::Result<Vec<SourceFile>> {
    let root = crates_folder().join(package).join("src");
    let mut files = Vec::new();
    collect(&root, "", &mut files)?;
    files.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(files)
}

fn collect(folder: &Path, prefix: &str, files: &mut Vec<SourceFile>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        if path.is_dir() {
            if name != "tests" {
                collect(&path, &format!("{prefix}{name}/"), files)?;
            }
        } else if name.ends_with(".rs") && name != "tests.rs" && !name.ends_with("_tests.rs") {
            files.push(SourceFile::new(&format!("{prefix}{name}"), &fs::read_to_string(&path)?));
        }
    }
    Ok(())
}

/// Where the item ends that begins at token `at`: behind its `;` or its closing brace.
fn item_end(tokens: &[Token], mut at: usize) -> usize {
    let mut depth = 0_usize;
    while let Some(token) = tokens.get(at) {
        at += 1;
        if token.is("{") || token.is("(") || token.is("[") {
            depth += 1;
        } else if token.is("}") || token.is(")") || token.is("]") {
            depth = depth.saturating_sub(1);
            if depth == 0 && token.is("}") {
                return at;
            }
        } else if depth == 0 && token.is(";") {
            return at;
        }
    }
    at
}

fn without_tests(all: Vec<Token>) -> Vec<Token> {
    const ATTRIBUTE: [&str; 7] = ["#", "[", "cfg", "(", "test", ")", "]"];
    let mut kept = Vec::with_capacity(all.len());
    let mut at = 0;
    while at < all.len() {
        let begins =
            ATTRIBUTE.iter().enumerate().all(|(n, sign)| all.get(at + n).is_some_and(|t| t.is(sign)));
        if begins {
            at = item_end(&all, at + ATTRIBUTE.len());
        } else {
            kept.push(all[at].clone());
            at += 1;
        }
    }
    kept
}
