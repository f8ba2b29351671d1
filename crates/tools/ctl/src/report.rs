//! One HTML file: load, refusals, owners and events, as plots drawn here. It loads nothing from anywhere.
use crate::events;
use crate::mesh::{list, text, Door, Picture};
use crate::outcome::{end, DONE, UNUSABLE};
use crate::{apply, call, doctor};
use anyhow::Result;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

/// Points of a plot at most; a longer watch is looked at more seldom.
const POINTS: usize = 600;
/// Between two looks at least.
const LOOK: Duration = Duration::from_secs(1);
/// Events in the table at most, the newest.
const EVENTS: usize = 500;
/// Curves of a plot at most; the rest is summed up.
const CURVES: usize = 8;
const COLOURS: [&str; CURVES] =
    ["#1b6ca8", "#c8553d", "#3a7d44", "#8e5aa8", "#b8860b", "#2a9d8f", "#6b705c", "#d1495b"];

/// Text that may stand in HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// A curve: its name and its points, seconds and values.
type Curve = (String, Vec<(f64, f64)>);

/// A plot of curves over time.
fn plot(title: &str, unit: &str, curves: &[Curve]) -> String {
    let (w, h, left, bottom) = (760.0, 220.0, 56.0, 24.0);
    let points = || curves.iter().flat_map(|c| c.1.iter());
    let end = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max).max(1.0) * 1.1;
    let x = |t: f64| left + (w - left - 8.0) * t / end;
    let y = |v: f64| 8.0 + (h - 8.0 - bottom) * (1.0 - v / top);
    let mut out = format!(
        "<h2>{}</h2>\n<svg viewBox=\"0 0 {w} {h}\" role=\"img\" aria-label=\"{}\">\n",
        escaped(title),
        escaped(title)
    );
    for i in 0..=4 {
        let v = top * f64::from(i) / 4.0;
        let _ = writeln!(
            out,
            "<line x1=\"{left}\" x2=\"{:.1}\" y1=\"{:.1}\" y2=\"{:.1}\" class=\"g\"/><text x=\"{:.1}\" y=\"{:.1}\" class=\"e\">{}</text>",
            w - 8.0, y(v), y(v), left - 6.0, y(v) + 4.0, if top < 10.0 { format!("{v:.1}") } else { format!("{v:.0}") }
        );
        let t = end * f64::from(i) / 4.0;
        let _ = writeln!(out, "<text x=\"{:.1}\" y=\"{:.1}\" class=\"m\">{t:.0} s</text>", x(t), h - 6.0);
    }
    for (n, (_, points)) in curves.iter().enumerate() {
        let line: Vec<String> = points.iter().map(|(t, v)| format!("{:.1},{:.1}", x(*t), y(*v))).collect();
        let _ = writeln!(out, "<polyline points=\"{}\" stroke=\"{}\"/>", line.join(" "), COLOURS[n % CURVES]);
    }
    out.push_str("</svg>\n<p class=\"k\">");
    for (n, (name, _)) in curves.iter().enumerate() {
        let _ = write!(
            out,
            "<span style=\"color:{}\">&#9632;</span> {} &nbsp; ",
            COLOURS[n % CURVES],
            escaped(name)
        );
    }
    let _ = writeln!(out, "({})</p>", escaped(unit));
    out
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut out = String::from("<table><tr>");
    head.iter().for_each(|h| out.push_str(&format!("<th>{}</th>", escaped(h))));
    out.push_str("</tr>\n");
    for row in rows {
        out.push_str("<tr>");
        row.iter().for_each(|c| out.push_str(&format!("<td>{}</td>", escaped(c))));
        out.push_str("</tr>\n");
    }
    out.push_str("</table>\n");
    out
}

/// One look at all counters: when, and by node and counter.
type Look = (f64, BTreeMap<String, Value>);

fn look(began: Instant, picture: &Picture) -> Look {
    let told = picture.iter().filter_map(|(ip, t)| Some((ip.to_string(), t.figures.clone()?)));
    (began.elapsed().as_secs_f64(), told.collect())
}

/// How much a counter rose a second, node by node; of the smaller ones the sum.
fn rates(looks: &[Look], counters: &[&str]) -> Vec<Curve> {
    let mut curves: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for pair in looks.windows(2) {
        let [(t0, a), (t1, b)] = pair else { continue };
        for (ip, now) in b {
            let sum = |v: &Value| counters.iter().filter_map(|c| v[*c].as_u64()).sum::<u64>();
            let Some(before) = a.get(ip).map(sum) else { continue };
            // A process that began anew counts from nothing.
            let rose = sum(now).saturating_sub(before) as f64 / (t1 - t0).max(0.001);
            curves.entry(ip.clone()).or_default().push((*t1, rose));
        }
    }
    let mut all: Vec<Curve> = curves.into_iter().filter(|(_, p)| p.iter().any(|p| p.1 > 0.0)).collect();
    let weight = |c: &Curve| -> i64 { -(c.1.iter().map(|p| p.1).sum::<f64>() * 1e3) as i64 };
    all.sort_by_key(weight);
    if all.len() > CURVES {
        let mut rest: BTreeMap<u64, f64> = BTreeMap::new();
        for (_, points) in all.split_off(CURVES - 1) {
            points.iter().for_each(|(t, v)| *rest.entry((t * 1e3) as u64).or_default() += v);
        }
        all.push(("others".to_string(), rest.into_iter().map(|(t, v)| (t as f64 / 1e3, v)).collect()));
    }
    all
}

fn level(looks: &[Look], name: &str, of: impl Fn(&Value) -> f64) -> Curve {
    (name.to_string(), looks.iter().map(|(t, all)| (*t, all.values().map(&of).sum())).collect())
}

fn page(looks: &[Look], picture: &Picture, findings: &[doctor::Finding], events: &[String]) -> String {
    let number = |v: &Value, key: &str| v[key].as_f64().unwrap_or(0.0);
    let mut out = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>The mesh</title>\n<style>body{font:15px system-ui,sans-serif;\
         margin:2em auto;max-width:60em;padding:0 1em;color:#222}svg{width:100%;background:#fafafa}polyline{fill:none;stroke-width:1.6}\
         .g{stroke:#ddd}text{font-size:11px;fill:#555}.e{text-anchor:end}.m{text-anchor:middle}table{border-collapse:collapse;width:100%}\
         td,th{border-bottom:1px solid #ddd;padding:.2em .6em;text-align:left;vertical-align:top}.k{margin-top:0}h2{margin-bottom:.2em}</style></head><body>\n",
    );
    let there = picture.values().filter(|t| t.state.is_some()).count();
    let span = looks.last().map_or(0.0, |l| l.0);
    let bad = findings.iter().filter(|f| f.weight == doctor::Weight::Bad).count();
    let _ = writeln!(out, "<h1>The mesh</h1><p>{there} of {} nodes answer; watched for {span:.0} s; {bad} findings to mend.</p>", picture.len());
    out.push_str(&plot("Requests read, by sidecar", "a second", &rates(looks, &["requests"])));
    out.push_str(&plot("Told to come back, or failed", "a second", &rates(looks, &["refused", "failed"])));
    out.push_str(&plot("Turned away by gates", "a second", &rates(looks, &["turned"])));
    let levels = [
        level(looks, "at work at upstreams", |v| number(v, "gateOut")),
        level(looks, "waiting at gates", |v| number(v, "gateWaiting")),
        level(looks, "upstreams avoided, over all sidecars", |v| {
            list(v, "desks").map(|d| number(d, "avoided")).sum()
        }),
    ];
    out.push_str(&plot("At work, waiting, avoided", "now", &levels));
    let found: Vec<Vec<String>> = findings
        .iter()
        .map(|f| vec![f.name.to_string(), f.about.clone(), f.seen.clone(), f.likely.clone()])
        .collect();
    out.push_str("<h2>Findings</h2>\n");
    out.push_str(&table(&["what", "where", "seen", "likely"], &found));
    let mut owners = Vec::new();
    for (ip, told) in picture {
        let keys = told.state.iter().flat_map(|s| list(&s["ledger"], "keys"));
        for key in keys.filter(|k| k["role"] == "owner") {
            let at = &key["accepted"];
            owners.push(vec![
                text(key, "key").to_string(),
                ip.to_string(),
                at["round"].to_string(),
                at["change"].to_string(),
            ]);
        }
    }
    owners.sort();
    out.push_str("<h2>Owners</h2>\n");
    out.push_str(&table(&["key", "owner", "round", "change"], &owners));
    out.push_str("<h2>Events, the newest last</h2>\n");
    let rows: Vec<Vec<String>> = events.iter().map(|e| vec![e.clone()]).collect();
    out.push_str(&table(&["event"], &rows));
    out.push_str("</body></html>\n");
    out
}

/// `report FILE`: watch the mesh for a while and write the page.
pub fn report(door: &Door, path: &Path, span: Duration, json: bool) -> Result<u8> {
    let began = Instant::now();
    let pause = LOOK.max(span / POINTS as u32);
    let first = door.picture()?;
    let mut looks = vec![look(began, &first)];
    let (mut picture, mut said) = (first.clone(), Instant::now());
    while began.elapsed() < span {
        std::thread::sleep(pause.min(span.saturating_sub(began.elapsed())).max(Duration::from_millis(200)));
        picture = door.picture()?;
        looks.push(look(began, &picture));
        if !json && said.elapsed() > Duration::from_secs(5) {
            said = Instant::now();
            eprintln!("watched for {:.0} of {:.0} s", began.elapsed().as_secs_f64(), span.as_secs_f64());
        }
    }
    let standing = apply::standing(door).ok();
    let findings =
        doctor::lasting(doctor::look(&first, standing.as_ref()), doctor::look(&picture, standing.as_ref()));
    let mut events = Vec::new();
    for at in &door.at {
        if let Ok(a) = call::call(*at, "GET", "/-/Post.Events?limit=1000", b"", crate::mesh::ANSWERS) {
            if a.status == 200 {
                let lines = a.body.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
                events = lines.filter_map(|l| events::shown(&l)).collect();
                break;
            }
        }
    }
    if events.is_empty() {
        events.push("no events: no node named with --at was started with --feed".to_string());
    }
    let events = &events[events.len().saturating_sub(EVENTS)..];
    std::fs::write(path, page(&looks, &picture, &findings, events))
        .map_err(|e| end(UNUSABLE, format!("{}: {e} (name a file that can be written)", path.display())))?;
    if json {
        println!(
            "{}",
            json!({ "file": path.display().to_string(), "looks": looks.len(), "findings": findings.len() })
        );
    } else {
        println!("{}: {} looks at {} nodes", path.display(), looks.len(), picture.len());
    }
    Ok(DONE)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_holds_its_plots_and_nothing_from_elsewhere() {
        let looks: Vec<Look> = (0..20u32)
            .map(|t| {
                let one = |n: u32| {
                    (format!("10.0.0.{n}"), json!({ "requests": t * n * 10, "refused": t, "gateOut": n }))
                };
                (f64::from(t), (1..=12).map(one).collect())
            })
            .collect();
        let curves = rates(&looks, &["requests"]);
        assert_eq!((curves.len(), curves[0].0.as_str()), (CURVES, "10.0.0.12"));
        assert!((curves[0].1[3].1 - 120.0).abs() < 1e-9 && curves[CURVES - 1].0 == "others");
        let page = page(&looks, &Picture::new(), &[], &["<script>x</script>".to_string()]);
        assert_eq!(page.matches("<svg").count(), 4);
        assert!(!page.contains("<script") && !page.contains("src=") && !page.contains("href="));
        assert!(!page.contains("NaN") && !page.contains("inf"));
    }
}
