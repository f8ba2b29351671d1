//! The lines of the wire: their parts, read strictly where a value is required, leniently where unknown.
use silvercross_core::interface::{Action, Lifecycle, Micros, Outcome};
use silvercross_settings::seconds;
use std::fmt::Write;

/// One line: its name and its `name=value` parts.
pub struct Line<'a> {
    /// The message's name.
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    /// Split off the name.
    pub fn new(text: &'a str) -> Self {
        let text = text.strip_suffix('\r').unwrap_or(text);
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Line { name, rest }
    }

    /// The value of a part, if present.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.rest.split(' ').find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
    }

    /// The value of a text part, which extends to the end of the line.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        let mut at = 0;
        loop {
            let rest = self.rest.get(at..)?;
            if let Some(v) = rest.strip_prefix(key).and_then(|r| r.strip_prefix('=')) {
                return Some(v);
            }
            at += rest.find(' ')? + 1;
        }
    }

    /// A required value.
    pub fn need(&self, key: &str) -> Result<&'a str, String> {
        self.get(key).ok_or_else(|| format!("{}: {key} is missing", self.name))
    }

    fn bad(&self, key: &str, value: &str) -> String {
        format!("{}: {key}={value} is malformed", self.name)
    }

    /// A required whole number.
    pub fn whole(&self, key: &str) -> Result<u64, String> {
        let v = self.need(key)?;
        v.parse().map_err(|_| self.bad(key, v))
    }

    /// A whole number, or its default.
    pub fn whole_or(&self, key: &str, default: u64) -> Result<u64, String> {
        self.get(key).map_or(Ok(default), |v| v.parse().map_err(|_| self.bad(key, v)))
    }

    /// A required time.
    pub fn time(&self, key: &str) -> Result<Micros, String> {
        self.need(key)?;
        Ok(self.time_if(key)?.unwrap_or(0))
    }

    /// A time, if present.
    pub fn time_if(&self, key: &str) -> Result<Option<Micros>, String> {
        Ok(self.number_if(key)?.map(seconds))
    }

    /// A number, if present.
    pub fn number_if(&self, key: &str) -> Result<Option<f64>, String> {
        let Some(v) = self.get(key) else { return Ok(None) };
        match v.parse::<f64>() {
            Ok(x) if x.is_finite() => Ok(Some(x)),
            _ => Err(self.bad(key, v)),
        }
    }

    /// A bool, false when absent.
    pub fn flag(&self, key: &str) -> Result<bool, String> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(v) => Err(self.bad(key, v)),
        }
    }

    /// An outcome's number.
    pub fn outcome(&self, key: &str) -> Result<Outcome, String> {
        Ok(match self.whole(key)? {
            0 => Outcome::Served,
            1 => Outcome::Error,
            2 => Outcome::Rejected,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            n => return Err(self.bad(key, &n.to_string())),
        })
    }

    /// A lifecycle's name.
    pub fn lifecycle(&self) -> Result<Lifecycle, String> {
        match self.need("lifecycle")? {
            "Running" => Ok(Lifecycle::Running),
            "Stopping" => Ok(Lifecycle::Draining),
            "Deleted" => Ok(Lifecycle::Gone),
            v => Err(self.bad("lifecycle", v)),
        }
    }
}

struct Secs(Micros);

impl std::fmt::Display for Secs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        let us = self.0.unsigned_abs();
        write!(f, "{sign}{}.{:06}", us / 1_000_000, us % 1_000_000)
    }
}

/// Append the line of one action of instance `who`; `name` gives the wire's word for an upstream.
pub fn write(out: &mut String, who: u32, action: &Action, names: &[Box<str>]) {
    let name = |u: &silvercross_core::interface::UpstreamId| names.get(u.0 as usize).map_or("", |n| n);
    let done = match action {
        Action::Send { request, upstream, limit } => {
            let _ = write!(out, "ISSUE who={who} ticket={} upstream={}", request.0, name(upstream));
            match limit {
                Some(l) => writeln!(out, " cap_s={}", Secs(*l)),
                None => writeln!(out),
            }
        }
        Action::Cancel { request, attempt } => {
            writeln!(out, "RETRACT who={who} ticket={} attempt={attempt}", request.0)
        }
        Action::Refuse { request, retry_after } => match retry_after {
            Some(t) => {
                writeln!(out, "NOT_NOW who={who} ticket={} not_before_for_s={}", request.0, Secs(*t))
            }
            None => writeln!(out, "NOT_NOW who={who} ticket={}", request.0),
        },
        Action::Fail { request } => writeln!(out, "DROP_REQUEST who={who} ticket={}", request.0),
        Action::Timer { after, token } => {
            writeln!(out, "SLEEP who={who} in_s={} token={token}", Secs(*after))
        }
        Action::Subscribe(on) => writeln!(out, "SUBSCRIBE who={who} enable={}", *on as u8),
        Action::FetchList => writeln!(out, "SNAPSHOT who={who}"),
        Action::Probe(u) => writeln!(out, "SOUND_OUT who={who} upstream={}", name(u)),
        Action::CloseIdle(u) => writeln!(out, "HANG_UP who={who} upstream={}", name(u)),
        Action::Note(text) => {
            writeln!(out, "JOURNAL_LINE who={who} reason_text={}", text.replace('\n', " "))
        }
    };
    debug_assert!(done.is_ok());
}
