//! `report FILE`: watches the mesh for a while and writes load, rejections, owners and events as one HTML file.
mod document;
mod html;
mod samples;

pub(crate) use document::Report;
#[cfg(not(test))]
use samples::Sample;
#[cfg(test)]
pub(crate) use samples::{rates, Sample, MAX_CURVES};

use crate::configuration::current_configuration;
use crate::diagnosis::{diagnose, lasting};
use crate::error::Error;
use crate::event_text::event_text;
use crate::exit_code::ExitCode;
use crate::http_client::{call, Request};
use crate::mesh_client::{MeshClient, MeshView, CALL_TIMEOUT};
use crate::output::print_result;
use crate::wire::EVENTS_PATH;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

/// Points of a plot at most; a longer watch is looked at more seldom.
const MAX_POINTS: u32 = 600;
/// Between two looks at least.
const MIN_LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// The last look may come sooner, but not sooner than this.
const MIN_LAST_INTERVAL: Duration = Duration::from_millis(200);
/// Between two lines that show how long the watch goes on.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Events in the table at most, the newest.
const MAX_EVENTS: usize = 500;

/// What a watch brought.
struct Watch {
    samples: Vec<Sample>,
    first_view: MeshView,
    last_view: MeshView,
}

fn watch(client: &MeshClient, span: Duration, shows_progress: bool) -> Result<Watch, Error> {
    let began = Instant::now();
    let interval = MIN_LOOK_INTERVAL.max(span / MAX_POINTS);
    let sample = |view: &MeshView| Sample::new(began.elapsed().as_secs_f64(), view);
    let first_view = client.view()?;
    let mut samples = vec![sample(&first_view)];
    let (mut last_view, mut last_shown) = (first_view.clone(), Instant::now());
    while began.elapsed() < span {
        let left = span.saturating_sub(began.elapsed());
        std::thread::sleep(interval.min(left).max(MIN_LAST_INTERVAL));
        last_view = client.view()?;
        samples.push(sample(&last_view));
        if shows_progress && last_shown.elapsed() > PROGRESS_INTERVAL {
            last_shown = Instant::now();
            eprintln!("watched for {:.0} of {:.0} s", began.elapsed().as_secs_f64(), span.as_secs_f64());
        }
    }
    Ok(Watch { samples, first_view, last_view })
}

/// The newest events in words, from the first of the nodes named that serves the feed.
fn newest_events(client: &MeshClient) -> Vec<String> {
    let path = format!("{EVENTS_PATH}?limit=1000");
    let request = Request { method: "GET", path: &path, body: b"" };
    let answer = client
        .addresses
        .iter()
        .find_map(|node| call(*node, request, CALL_TIMEOUT).ok().filter(|response| response.status == 200));
    let body = answer.map(|response| response.body).unwrap_or_default();
    let lines = body.lines().filter_map(|line| serde_json::from_str(line).ok());
    let mut events: Vec<String> = lines.filter_map(|line| event_text(&line)).collect();
    if events.is_empty() {
        events.push("no events: no node named with --at was started with --feed".to_string());
    }
    events.split_off(events.len().saturating_sub(MAX_EVENTS))
}

/// `report FILE`.
///
/// # Errors
/// When none of the addresses given answers or the file can't be written.
pub(crate) fn report(
    client: &MeshClient,
    path: &Path,
    span: Duration,
    as_json: bool,
) -> Result<ExitCode, Error> {
    let watch = watch(client, span, !as_json)?;
    // Without a control node that answers, all else is reported all the same.
    let configuration = current_configuration(client).ok();
    let diagnose = |view| diagnose(view, configuration.as_ref());
    let findings = lasting(&diagnose(&watch.first_view), diagnose(&watch.last_view));
    let events = newest_events(client);
    let report =
        Report { samples: &watch.samples, view: &watch.last_view, findings: &findings, events: &events };
    std::fs::write(path, report.html()).map_err(Error::write_file(path))?;
    let (file, looks) = (path.display().to_string(), watch.samples.len());
    let lines = [format!("{file}: {looks} looks at {} nodes", watch.last_view.len())];
    let value = json!({ "file": file, "looks": looks, "findings": findings.len() });
    print_result(as_json, &value, &lines);
    Ok(ExitCode::Done)
}
