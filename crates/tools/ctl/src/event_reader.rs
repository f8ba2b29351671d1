//! `events`: the event feed, batch by batch, or followed from node to node. What came is kept as a cursor, so that nothing is shown
//! twice.
use crate::command_line::EventQuery;
use crate::error::Error;
use crate::event_text::event_text;
use crate::exit_code::ExitCode;
use crate::http_client::{call, open, CallError, Request};
use crate::mesh_client::{reason, MeshClient, CALL_TIMEOUT};
use crate::wire::EVENTS_PATH;
use serde_json::Value;
use silvercross_event_feed::Cursor;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// A feed that is followed sends a line at least this often, if only an empty one.
const FEED_SILENCE_TIMEOUT: Duration = Duration::from_secs(40);
/// Between two attempts to find a node that serves the feed.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Once the time is out, a wait still lasts so long: a time limit of 0 is none.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(10);
/// Events in a batch.
const MAX_BATCH_EVENTS: usize = 1000;

/// A value as it stands in a query (RFC 3986, section 2.1); the commas between values stay.
fn percent_encoded(value: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.,".contains(&byte);
    value
        .bytes()
        .map(|byte| if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}

fn path(query: &EventQuery) -> String {
    let mut path = format!("{EVENTS_PATH}?");
    for filter in &query.filters {
        path.push_str(&format!("{}={}&", filter.key.query_name(), percent_encoded(&filter.values)));
    }
    if query.is_followed {
        path + "follow=1"
    } else {
        format!("{path}limit={MAX_BATCH_EVENTS}")
    }
}

fn keep(cursor: &Cursor, file: Option<&Path>) -> Result<(), Error> {
    let Some(path) = file else { return Ok(()) };
    // Renamed when it is complete: a run that is killed leaves the cursor before.
    let beside = path.with_extension("part");
    std::fs::write(&beside, cursor.to_text() + "\n")
        .and_then(|()| std::fs::rename(&beside, path))
        .map_err(Error::write_file(path))
}

fn kept_cursor(file: Option<&Path>) -> Result<Cursor, Error> {
    match file.and_then(|path| std::fs::read_to_string(path).ok()) {
        Some(text) => Cursor::parse(text.trim()).map_err(Error::KeptCursor),
        None => Ok(Cursor::default()),
    }
}

fn not_served(node: SocketAddr, status: u16, body: &str) -> Error {
    let reason = reason(body);
    if status == 400 {
        Error::QueryRejected { status, reason }
    } else {
        Error::Status { called: format!("{node}{EVENTS_PATH}"), status, reason }
    }
}

/// Reads the feed: prints what comes and remembers up to where.
struct EventReader<'q> {
    query: &'q EventQuery,
    cursor: Cursor,
    out: std::io::StdoutLock<'static>,
}

impl EventReader<'_> {
    fn keep_cursor(&self) -> Result<(), Error> {
        keep(&self.cursor, self.query.cursor_file.as_deref())
    }

    fn merge(&mut self, cursor: &str) -> Result<(), Error> {
        self.cursor.merge(Cursor::parse(cursor).map_err(Error::SentCursor)?);
        Ok(())
    }

    /// Take a line; whether it was an event.
    fn take_line(&mut self, text: &str) -> Result<bool, Error> {
        let Ok(line) = serde_json::from_str::<Value>(text) else { return Ok(false) };
        if let Some(cursor) = line["cursor"].as_str() {
            self.merge(cursor)?;
            self.keep_cursor()?;
            return Ok(false);
        }
        if self.query.as_json {
            writeln!(self.out, "{text}").map_err(Error::Output)?;
        } else if let Some(shown) = event_text(&line) {
            writeln!(self.out, "{shown}").map_err(Error::Output)?;
        }
        self.out.flush().map_err(Error::Output)?;
        if let Some(at) = line["at"].as_str() {
            self.merge(at)?;
        }
        Ok(true)
    }

    /// A batch, from the first address that serves it.
    fn batch(&self, client: &MeshClient) -> Result<String, Error> {
        let (path, body) = (path(self.query), self.cursor.to_text());
        let request = Request { method: "POST", path: &path, body: body.as_bytes() };
        let mut last = Error::NoAnswer { last: None };
        for node in &client.addresses {
            match call(*node, request, CALL_TIMEOUT) {
                Ok(response) if response.status == 200 => return Ok(response.body),
                Ok(response) if response.status == 400 => {
                    return Err(not_served(*node, response.status, &response.body));
                }
                Ok(response) => last = not_served(*node, response.status, &response.body),
                Err(error) => last = error.into(),
            }
        }
        Err(last)
    }

    /// Batches, until one brings nothing.
    fn read_batches(&mut self, client: &MeshClient) -> Result<ExitCode, Error> {
        loop {
            let mut has_events = false;
            for line in self.batch(client)?.lines() {
                has_events |= self.take_line(line)?;
            }
            if !has_events {
                return Ok(ExitCode::Done);
            }
        }
    }

    /// Follow the feed at one node for as long as it is served and time is left.
    fn follow_at(&mut self, node: SocketAddr, clock: &mut FollowClock) -> Result<(), Error> {
        let failed = |fault| CallError { node, fault };
        let (path, body) = (path(self.query), self.cursor.to_text());
        let request = Request { method: "POST", path: &path, body: body.as_bytes() };
        let mut stream = open(node, request, FEED_SILENCE_TIMEOUT).map_err(failed)?;
        if stream.status != 200 {
            let response = stream.read_to_end().map_err(failed)?;
            return Err(not_served(node, response.status, &response.body));
        }
        stream.set_read_timeout(clock.read_timeout()).map_err(failed)?;
        while let Some(line) = stream.next_line().map_err(failed)? {
            clock.last_line = Instant::now();
            self.take_line(&line)?;
            if clock.is_over() {
                break;
            }
        }
        Ok(())
    }

    /// Follow the feed, at the next address when one is lost.
    fn follow(&mut self, client: &MeshClient) -> Result<ExitCode, Error> {
        let mut clock = FollowClock::new(self.query.span);
        for attempt in 1.. {
            let node = client.addresses[(attempt - 1) % client.addresses.len()];
            let result = self.follow_at(node, &mut clock);
            if clock.is_over() {
                self.keep_cursor()?;
                break;
            }
            if let Err(error) = result {
                if error.exit_code() == ExitCode::Unusable {
                    return Err(error);
                }
                let were_all_tried = attempt >= client.addresses.len();
                if were_all_tried && clock.last_line.elapsed() > FEED_SILENCE_TIMEOUT {
                    return Err(Error::NoFeed { last: Box::new(error) });
                }
                if !self.query.as_json {
                    eprintln!("{error}; going on at the next node");
                }
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        Ok(ExitCode::Done)
    }
}

/// How long a feed is followed, and when it last brought something.
struct FollowClock {
    began: Instant,
    span: Option<Duration>,
    last_line: Instant,
}

impl FollowClock {
    fn new(span: Option<Duration>) -> Self {
        FollowClock { began: Instant::now(), span, last_line: Instant::now() }
    }

    fn is_over(&self) -> bool {
        self.span.is_some_and(|span| self.began.elapsed() >= span)
    }

    /// How long a line is waited for, so that the end of the span is noticed in time.
    fn read_timeout(&self) -> Duration {
        let left = self.span.map(|span| span.saturating_sub(self.began.elapsed()).max(MIN_READ_TIMEOUT));
        left.unwrap_or(FEED_SILENCE_TIMEOUT).min(FEED_SILENCE_TIMEOUT)
    }
}

/// `events`.
///
/// # Errors
/// When the query is rejected, none of the nodes named serves the feed, or the cursor can't be read or kept.
pub(crate) fn events(client: &MeshClient, query: &EventQuery) -> Result<ExitCode, Error> {
    let cursor = kept_cursor(query.cursor_file.as_deref())?;
    let mut reader = EventReader { query, cursor, out: std::io::stdout().lock() };
    if query.is_followed {
        reader.follow(client)
    } else {
        reader.read_batches(client)
    }
}
