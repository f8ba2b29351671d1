//! The paths that a file's code names, and the check that a decider names none of the outside world.
//!
//! A path is what stands in a `use` or anywhere else in code: `use std::{fs, net::TcpStream}` gives two.
use crate::source::SourceFile;
use crate::tokens::{Kind, Token};
use crate::Violation;

/// A path of names as code gives it, and how it is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodePath {
    /// Its names, `*` for all of a module's.
    pub names: Vec<String>,
    /// The name it has in this file, where a `use` brings it in.
    pub used_as: Option<String>,
    /// Whether it is passed on to others (`pub use`).
    pub is_public: bool,
    /// Its line, from 1 on.
    pub line: usize,
}

/// What belongs to the outside world: paths that begin so are not for a decider. Addresses and spans of time are values and may
/// be named; what opens a socket or reads a clock may not.
const OUTSIDE_WORLD: &[&str] = &[
    "std::net::TcpStream",
    "std::net::TcpListener",
    "std::net::UdpSocket",
    "std::net::ToSocketAddrs",
    "std::net::*",
    "std::os",
    "std::fs",
    "std::io::stdin",
    "std::io::stdout",
    "std::io::stderr",
    "std::env",
    "std::process",
    "std::thread",
    "std::time::Instant",
    "std::time::SystemTime",
    "std::time::UNIX_EPOCH",
    "std::time::*",
    "std::hash::RandomState",
    "std::collections::hash_map::RandomState",
    "thread",
    "fs",
    "tokio",
    "mio",
    "socket2",
    "rustix",
    "libc",
    "redb",
    "rand",
    "getrandom",
    "fastrand",
];

/// Modules of `std` that may be named as a whole only where nothing of them is of the outside world.
const MIXED_MODULES: &[&str] = &["std::net", "std::time"];

fn is_name(token: &Token) -> bool {
    token.kind == Kind::Word && !token.text.starts_with(|c: char| c.is_ascii_digit())
}

struct UseTree<'t> {
    code: &'t [&'t Token],
    at: usize,
    is_public: bool,
    found: Vec<CodePath>,
}

impl UseTree<'_> {
    fn is(&self, sign: &str) -> bool {
        self.code.get(self.at).is_some_and(|t| t.is(sign))
    }

    /// Read one branch below `before`; ends at `,`, `}` or `;`.
    fn branch(&mut self, before: &[String]) {
        let mut names = before.to_vec();
        let mut used_as = None;
        let line = self.code.get(self.at).map_or(0, |t| t.line);
        while let Some(token) = self.code.get(self.at) {
            if token.is("{") {
                self.at += 1;
                while !self.is("}") && self.at < self.code.len() {
                    self.branch(&names);
                    if self.is(",") {
                        self.at += 1;
                    }
                }
                self.at += 1;
                return;
            }
            if token.is("as") {
                used_as = self.code.get(self.at + 1).map(|t| t.text.clone());
                self.at += 2;
                continue;
            }
            if token.is(",") || token.is("}") || token.is(";") {
                break;
            }
            if is_name(token) || token.is("*") {
                names.push(token.text.clone());
            }
            self.at += 1;
        }
        if names.len() > 1 && names.last().is_some_and(|last| last == "self") {
            names.pop();
        }
        let used_as = used_as.or_else(|| names.last().cloned());
        self.found.push(CodePath { names, used_as, is_public: self.is_public, line });
    }
}

/// All paths that a file's code names, those of `use` first resolved into one for each name.
pub fn paths(file: &SourceFile) -> Vec<CodePath> {
    let code = file.code();
    let mut found = Vec::new();
    let mut at = 0;
    while at < code.len() {
        if code[at].is("use") {
            let is_public = at > 0 && (code[at - 1].is("pub") || code[at - 1].is(")"));
            let mut tree = UseTree { code: &code, at: at + 1, is_public, found: Vec::new() };
            tree.branch(&[]);
            at = tree.at.max(at + 1);
            found.append(&mut tree.found);
            continue;
        }
        let begins = is_name(code[at]) && code.get(at + 1).is_some_and(|t| t.is("::"));
        let inside = at > 0 && code[at - 1].is("::");
        if begins && !inside {
            let mut names = vec![code[at].text.clone()];
            let line = code[at].line;
            while code.get(at + 1).is_some_and(|t| t.is("::")) && code.get(at + 2).is_some_and(|t| is_name(t))
            {
                names.push(code[at + 2].text.clone());
                at += 2;
            }
            found.push(CodePath { names, used_as: None, is_public: false, line });
        }
        at += 1;
    }
    found
}

fn begins_with(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
}

/// Where a decider's file names the outside world.
pub fn outside_world(file: &SourceFile) -> Vec<Violation> {
    let mut found = Vec::new();
    for path in paths(file) {
        let full = path.names.join("::").replacen("core::", "std::", 1);
        let outside = OUTSIDE_WORLD.iter().any(|prefix| begins_with(&full, prefix));
        // `use std::time;` would let `time::Instant::now()` by.
        let whole_module = path.used_as.is_some() && MIXED_MODULES.contains(&full.as_str());
        if outside || whole_module {
            let what = format!("{full}: a decider gets time, bytes and randomness from its caller");
            found.push(Violation { file: file.path.clone(), line: path.line, what });
        }
    }
    found
}
