//! The check that withdrawn words are gone from names, messages and comments, wherever the wire does not need them.
//!
//! A name is looked at part by part (`depot_count` and `DepotCount` both hold `depot`). A literal, or what stands between
//! backticks in a literal or a comment, may hold a withdrawn word only if it is, as a whole, one of [`WIRE_NAMES`]. Tables of old and new
//! names are in `docs/`, which this check does not read.
use crate::source::SourceFile;
use crate::tokens::{Kind, Token};
use crate::Violation;

/// Withdrawn in names, messages and comments. Plurals are meant too.
pub const WITHDRAWN: &[&str] = &[
    "carrier",
    "clerk",
    "courier",
    "depot",
    "desk",
    "errand",
    "franking",
    "freight",
    "gazette",
    "holder",
    "lane",
    "ledger",
    "office",
    "parcel",
    "posthouse",
    "postmark",
    "postmaster",
    "purse",
    "receipt",
    "roster",
    "station",
    "tariff",
    "village",
    "waybill",
    "wicket",
];

/// Withdrawn in names; in a sentence each of them is ordinary English as well.
pub const WITHDRAWN_IN_NAMES: &[&str] = &[
    "aim", "beat", "dice", "edition", "judge", "letter", "life", "mail", "news", "page", "told", "toll",
    "trouble", "worth",
];

/// Names of the wire, of stored data, of settings and of metrics, which stay as they are. An owner who adds one gives the
/// constant that holds it a comment that says that it is a name of the wire.
pub const WIRE_NAMES: &[&str] = &[
    // Items of the configuration and the calls that carry them.
    "depot",
    "depots",
    "edition",
    "lane",
    "lanes",
    "lineCap",
    // What a node's state and metrics hold.
    "desks",
    "holder",
    "holders",
    "ledger",
    "life",
    "newsAgeUs",
    "receipts",
    "roster",
    // Settings of a node, and files of its control store.
    "ledger.new",
    "ledger.redb",
    "ledger.unreadable",
    "ledger.unreadable.2",
    "localStation",
    // Paths of the mesh's own calls.
    "/-/Stations.Heartbeat",
    "/-/Stations.Heartbeat/{}",
    "/-/Stations.SignOff",
    "/-/Stations.SignOff/{}",
    "Stations.Heartbeat",
    "Stations.SignOff",
    // Keys of the settings.
    "editionS",
    "localStation",
    // Headers.
    "Expect-Station",
    "Postmark",
    "Waybill",
    "Waybill-Life",
    "Waybill-Return",
    "Station",
    "expect-station",
    "postmark",
    "station",
];

fn is_withdrawn(part: &str, list: &[&str]) -> bool {
    list.iter().any(|word| part == *word || part.strip_suffix('s') == Some(word))
}

/// The parts of a name or of a text, in small letters: split at everything but letters, and where a capital begins a part.
fn parts(text: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut after_small = false;
    for sign in text.chars() {
        if !sign.is_alphabetic() || sign.is_uppercase() && after_small {
            parts.push(String::new());
        }
        if sign.is_alphabetic() {
            if let Some(part) = parts.last_mut() {
                part.extend(sign.to_lowercase());
            }
        }
        after_small = sign.is_lowercase();
    }
    parts.retain(|part| !part.is_empty());
    parts
}

/// What a token says beside names of the wire, and whether it is a name.
fn checked_texts(token: &Token) -> Vec<(&str, bool)> {
    match token.kind {
        Kind::Word => vec![(token.text.as_str(), true)],
        Kind::Sign => Vec::new(),
        Kind::Literal if WIRE_NAMES.contains(&token.text.as_str()) => Vec::new(),
        Kind::Literal | Kind::Comment => {
            let spans = token.text.split('`').enumerate();
            spans
                .filter(|(at, text)| at % 2 == 0 || !WIRE_NAMES.contains(&text.trim_matches('"')))
                .map(|(at, text)| (text, at % 2 == 1))
                .collect()
        }
    }
}

/// Where a file uses a withdrawn word.
pub fn withdrawn_words(file: &SourceFile) -> Vec<Violation> {
    let mut found = Vec::new();
    for token in &file.tokens {
        for (text, is_name) in checked_texts(token) {
            for part in parts(text) {
                if is_withdrawn(&part, WITHDRAWN) || is_name && is_withdrawn(&part, WITHDRAWN_IN_NAMES) {
                    let what = format!("{part:?} in {:?} is withdrawn (docs have the table)", text.trim());
                    found.push(Violation { file: file.path.clone(), line: token.line, what });
                }
            }
        }
    }
    found
}
