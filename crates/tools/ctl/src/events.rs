//! The feed: a page of it, or followed from node to node. What came is kept as a cursor, so that nothing is shown twice.
use crate::call::{self, call};
use crate::mesh::{reason, text, Door, ANSWERS};
use crate::outcome::{end, DONE, UNREACHED, UNUSABLE};
use anyhow::Result;
use serde_json::Value;
use silvercross_event_feed::Cursor;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A feed that is followed says something so often, if only an empty line.
const STILL: Duration = Duration::from_secs(40);
/// Between two tries to find a node.
const AGAIN: Duration = Duration::from_millis(300);

/// What is asked for.
#[derive(Clone, Debug, Default)]
pub struct Wish {
    /// Go on for as long as events come.
    pub follow: bool,
    /// End after so long.
    pub within: Option<Duration>,
    /// Kinds, services and zones; empty lists let everything through.
    pub filters: Vec<(&'static str, String)>,
    /// Where the cursor is kept between two runs.
    pub kept: Option<PathBuf>,
    /// The feed's own lines.
    pub json: bool,
}

fn encoded(value: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.,".contains(&b);
    value.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

fn path(wish: &Wish) -> String {
    let mut out = "/-/Post.Events?".to_string();
    for (name, value) in &wish.filters {
        out.push_str(&format!("{name}={}&", encoded(value)));
    }
    out.push_str(if wish.follow { "follow=1" } else { "limit=1000" });
    out
}

/// A line of the feed, for people. `None`: it is not for them.
pub fn shown(line: &Value) -> Option<String> {
    if let Some(kind) = line["gap"].as_str() {
        let more = if line["more"] == true { " and more" } else { "" };
        return Some(format!(
            "! {kind}: {}{more} not told, {} (snapshot: {})",
            line["count"],
            text(line, "why"),
            text(line, "snapshot")
        ));
    }
    let key = line["key"].as_str()?;
    let state = line["state"].as_object()?;
    let words: Vec<String> = state
        .iter()
        .map(|(k, v)| match v {
            Value::String(s) if k == "is" => s.clone(),
            Value::String(s) => format!("{k} {s}"),
            other => format!("{k} {other}"),
        })
        .collect();
    let mut about = String::new();
    for of in ["service", "zone"] {
        if let Some(one) = line[of].as_str().filter(|o| !o.is_empty()) {
            about.push_str(&format!(" {one}"));
        }
    }
    let missed = match line["missed"].as_u64() {
        Some(0) => String::new(),
        Some(n) => format!(" ({n} before it not told)"),
        None if line["after"].is_string() => " (a new term)".to_string(),
        None => String::new(),
    };
    Some(format!("{key}{about}: {}{missed}", words.join(", ")))
}

fn keep(cursor: &Cursor, kept: Option<&Path>) -> Result<()> {
    let Some(path) = kept else { return Ok(()) };
    let beside = path.with_extension("part");
    std::fs::write(&beside, cursor.write() + "\n")
        .and_then(|()| std::fs::rename(&beside, path))
        .map_err(|e| end(UNUSABLE, format!("{}: {e} (name a file that can be written)", path.display())))
}

struct Taker<'w> {
    wish: &'w Wish,
    cursor: Cursor,
    out: std::io::StdoutLock<'static>,
}

impl Taker<'_> {
    fn line(&mut self, text: &str) -> Result<bool> {
        let Ok(line) = serde_json::from_str::<Value>(text) else { return Ok(false) };
        if let Some(cursor) = line["cursor"].as_str() {
            self.cursor.merge(Cursor::read(cursor)?);
            keep(&self.cursor, self.wish.kept.as_deref())?;
            return Ok(false);
        }
        if self.wish.json {
            writeln!(self.out, "{text}")?;
        } else if let Some(shown) = shown(&line) {
            writeln!(self.out, "{shown}")?;
        }
        self.out.flush()?;
        if let Some(at) = line["at"].as_str() {
            self.cursor.merge(Cursor::read(at)?);
        }
        Ok(true)
    }
}

fn refused(status: u16, body: &str) -> anyhow::Error {
    end(if status == 400 { UNUSABLE } else { UNREACHED }, format!("{status} {}", reason(body)))
}

/// `events`.
pub fn events(door: &Door, wish: &Wish) -> Result<u8> {
    let mut cursor = Cursor::default();
    if let Some(text) = wish.kept.as_deref().and_then(|p| std::fs::read_to_string(p).ok()) {
        cursor = Cursor::read(text.trim()).map_err(|e| end(UNUSABLE, e.to_string()))?;
    }
    let mut taker = Taker { wish, cursor, out: std::io::stdout().lock() };
    if wish.follow {
        return follow(door, &mut taker);
    }
    // Pages, until one brings nothing.
    loop {
        let (status, body) = any(door, &path(wish), &taker.cursor)?;
        if status != 200 {
            return Err(refused(status, &body));
        }
        let mut more = false;
        for line in body.lines() {
            more |= taker.line(line)?;
        }
        if !more {
            return Ok(DONE);
        }
    }
}

/// A page, from the first address that serves it.
fn any(door: &Door, path: &str, cursor: &Cursor) -> Result<(u16, String)> {
    let mut last = None;
    for at in &door.at {
        match call(*at, "POST", path, cursor.write().as_bytes(), ANSWERS) {
            Ok(a) if matches!(a.status, 200 | 400) => return Ok((a.status, a.body)),
            Ok(a) => last = Some(refused(a.status, &a.body)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| end(UNREACHED, "nobody answers")))
}

fn follow(door: &Door, taker: &mut Taker) -> Result<u8> {
    let began = Instant::now();
    let over = |within: Option<Duration>| within.is_some_and(|w| began.elapsed() >= w);
    let (mut n, mut silent) = (0, Instant::now());
    loop {
        let at = door.at[n % door.at.len()];
        n += 1;
        let mut went = || -> Result<()> {
            let body = taker.cursor.write();
            let mut stream = call::open(at, "POST", &path(taker.wish), body.as_bytes(), STILL)?;
            if stream.status != 200 {
                let whole = stream.whole()?;
                return Err(refused(whole.status, &whole.body));
            }
            // So that the end is noticed in time.
            let left =
                taker.wish.within.map(|w| w.saturating_sub(began.elapsed()).max(Duration::from_millis(10)));
            stream.patience(left.unwrap_or(STILL).min(STILL))?;
            while let Some(line) = stream.next_line()? {
                silent = Instant::now();
                taker.line(&line)?;
                if over(taker.wish.within) {
                    break;
                }
            }
            Ok(())
        };
        let result = went();
        if over(taker.wish.within) {
            keep(&taker.cursor, taker.wish.kept.as_deref())?;
            return Ok(DONE);
        }
        if let Err(e) = result {
            if e.downcast_ref::<crate::outcome::End>().is_some_and(|end| end.code == UNUSABLE) {
                return Err(e);
            }
            if n >= door.at.len() && silent.elapsed() > STILL {
                return Err(end(
                    UNREACHED,
                    format!("no node serves the feed: {e:#} (start a role with --feed, name it with --at)"),
                ));
            }
            if !taker.wish.json {
                eprintln!("{at}: {e:#}; going on at the next node");
            }
        }
        std::thread::sleep(AGAIN);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn lines_are_shown_with_what_was_not_told() {
        let event = json!({ "kind": "upstream", "key": "upstream/10.0.0.4", "service": "quotes", "zone": "a", "after": "1.0.2",
            "missed": 2, "state": { "is": "draining", "id": "u4" } });
        let text = shown(&event).expect("an event");
        assert!(
            text.starts_with("upstream/10.0.0.4 quotes a: ") && text.ends_with("(2 before it not told)"),
            "{text}"
        );
        let gap = json!({ "gap": "item", "count": 7, "more": false, "why": "not seen here", "snapshot": "http://x" });
        assert!(shown(&gap).expect("a gap").starts_with("! item: 7 not told, not seen here"));
        assert_eq!(shown(&json!({ "cursor": "x" })), None);
    }
}
