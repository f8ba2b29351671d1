//! The report's folder: what a person looks at first, as SVG, and one HTML page that shows it all and fetches nothing from
//! outside.
use plotters::coord::Shift;
use plotters::prelude::*;
use silvercross_emulator::figures::Figures;
use silvercross_emulator::script::Script;
use std::fmt::Write;
use std::path::Path;

const SIZE: (u32, u32) = (900, 300);
const BANDS: [RGBColor; 4] =
    [RGBColor(214, 96, 77), RGBColor(67, 147, 195), RGBColor(127, 191, 123), RGBColor(175, 141, 195)];
const WORTH: RGBColor = RGBColor(33, 102, 172);
const TAIL: RGBColor = RGBColor(178, 24, 43);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn std::error::Error>>;
type Draw = fn(&Area<'_>, &Script, &Figures) -> Drawn;

/// Write the report of a run into a folder, which is made if it is not there.
pub fn write(folder: &Path, script: &Script, figures: &Figures) -> Result<(), String> {
    let told = |e: Box<dyn std::error::Error>| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let plots: [(&str, &str, Draw); 4] = [
        ("worth.svg", "Served worth by second", worth),
        ("latency.svg", "Time to the answer by second (ms)", latency),
        ("load.svg", "Attempts a second, each server", load),
        ("left-out.svg", "Who was sent how much when: white is nothing, so left out", left_out),
    ];
    let mut shown = String::new();
    for (file, title, draw) in plots {
        let mut text = String::new();
        {
            let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
            area.fill(&WHITE).map_err(|e| told(e.into()))?;
            // A run cut short before its first second has nothing to draw.
            if !figures.windows.is_empty() {
                draw(&area, script, figures).map_err(told)?;
            }
            area.present().map_err(|e| told(e.into()))?;
        }
        std::fs::write(folder.join(file), &text)
            .map_err(|e| format!("{}: {e}", folder.join(file).display()))?;
        let _ = write!(shown, "<h2>{title}</h2>\n{text}\n");
    }
    let page = folder.join("index.html");
    std::fs::write(&page, html(script, figures, &shown)).map_err(|e| format!("{}: {e}", page.display()))
}

fn end(script: &Script) -> f64 {
    script.length_s + 1.0
}

/// The times of the faults behind a plot, a colour to each.
fn bands<'a, 'b>(
    chart: &mut ChartContext<
        'b,
        SVGBackend<'a>,
        Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
    >,
    script: &Script,
    top: f64,
) -> Drawn {
    for (i, f) in script.faults.iter().enumerate() {
        let (from, to) = (f.at_s.min(end(script)), (f.at_s + f.for_s).min(end(script)));
        let colour = BANDS[i % BANDS.len()].mix(0.18);
        chart.draw_series(std::iter::once(Rectangle::new([(from, 0.0), (to, top)], colour.filled())))?;
    }
    Ok(())
}

fn worth(area: &Area<'_>, script: &Script, figures: &Figures) -> Drawn {
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end(script), 0.0..1.02)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).draw()?;
    bands(&mut chart, script, 1.02)?;
    let line = figures.windows.iter().map(|w| (w.t + 0.5, w.served_worth));
    chart.draw_series(LineSeries::new(line, WORTH.stroke_width(2)))?;
    Ok(())
}

fn latency(area: &Area<'_>, script: &Script, figures: &Figures) -> Drawn {
    let top = figures.windows.iter().map(|w| w.p99_ms).fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end(script), 0.0..top)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).draw()?;
    bands(&mut chart, script, top)?;
    let p50 = figures.windows.iter().map(|w| (w.t + 0.5, w.p50_ms));
    chart.draw_series(LineSeries::new(p50, WORTH.stroke_width(2)))?;
    let p99 = figures.windows.iter().map(|w| (w.t + 0.5, w.p99_ms));
    chart.draw_series(LineSeries::new(p99, TAIL.stroke_width(2)))?;
    Ok(())
}

fn most(figures: &Figures) -> f64 {
    f64::from(figures.reached.iter().flatten().copied().max().unwrap_or(1).max(1))
}

fn load(area: &Area<'_>, script: &Script, figures: &Figures) -> Drawn {
    let top = most(figures) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end(script), 0.0..top)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).draw()?;
    bands(&mut chart, script, top)?;
    let n = figures.reached.len().max(1);
    for (i, row) in figures.reached.iter().enumerate() {
        let colour = HSLColor(i as f64 / n as f64, 0.6, 0.45).mix(0.7);
        let line = row.iter().enumerate().map(|(t, v)| (t as f64 + 0.5, f64::from(*v)));
        chart.draw_series(LineSeries::new(line, colour.stroke_width(1)))?;
    }
    Ok(())
}

fn left_out(area: &Area<'_>, script: &Script, figures: &Figures) -> Drawn {
    let n = figures.reached.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end(script), 0.0..n)?;
    chart.configure_mesh().disable_mesh().y_desc("server").draw()?;
    let top = most(figures);
    for (i, row) in figures.reached.iter().enumerate() {
        let y = i as f64;
        let cells = row.iter().enumerate().filter(|(_, v)| **v > 0).map(|(t, v)| {
            let part = (f64::from(*v) / top).sqrt().clamp(0.12, 1.0);
            Rectangle::new([(t as f64, y), (t as f64 + 1.0, y + 0.9)], WORTH.mix(part).filled())
        });
        chart.draw_series(cells)?;
    }
    Ok(())
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn html(script: &Script, f: &Figures, plots: &str) -> String {
    let mut rows = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(rows, "<tr><td>{}</td><td>{}</td></tr>", escaped(name), escaped(&value));
    };
    match &f.void {
        Some(why) => row("void", why.clone()),
        None => {
            row("served worth", format!("{:.3}, the worst five seconds {:.3}", f.served_worth, f.worst_5s))
        }
    }
    f.by_class.iter().for_each(|(class, worth)| row(class, format!("{worth:.3}")));
    for (policy, worth) in &f.baselines {
        let broken = f.baselines_broken.get(policy).copied().unwrap_or(0);
        row(&format!("{policy} would have got"), format!("{worth:.3}, with {broken} breaches of the rules"));
    }
    row(
        "asks",
        format!(
            "{}: served {}, refused {}, failed {}, given up {}",
            f.asks, f.served, f.refused, f.failed, f.gave_up
        ),
    );
    row("time to the answer", format!("median {} ms, p99 {} ms", f.p50_ms, f.p99_ms));
    row("attempts a try", format!("{:.3}; {:.3} of them crossed sites", f.attempts_per_try, f.crossed));
    let r = &f.rules;
    let rules = [r.lost, r.sent_after, r.duplicated, r.drained_late, r.cold_fallen];
    row("rules broken (lost, sent after, duplicated, drained late, cold fallen)", format!("{rules:?}"));
    f.breaches.iter().for_each(|b| row("breach", b.clone()));
    for e in &f.expectations {
        let value = e.value.map_or("none".into(), |v| format!("{v:.3}"));
        row(
            &format!("expected: {}", e.figure),
            format!("{value}, {}", if e.held { "held" } else { "FAILED" }),
        );
    }
    if f.cut_short {
        row("cut short", "what is shown is of what was played".into());
    }
    let mut faults = String::new();
    for (i, fault) in script.faults.iter().enumerate() {
        let RGBColor(red, green, blue) = BANDS[i % BANDS.len()];
        let _ = writeln!(
            faults,
            "<li><span style=\"background:rgba({red},{green},{blue},.35)\">&nbsp;&nbsp;&nbsp;</span> {} from {} s for {} s</li>",
            escaped(&format!("{:?}", fault.kind)),
            fault.at_s,
            fault.for_s
        );
    }
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title>\n<style>body{{font-family:sans-serif;max-width:60em;\
         margin:2em auto;color:#222}}td{{padding:.15em .8em .15em 0;vertical-align:top}}h2{{font-size:1em;margin:1.4em 0 .2em}}\
         svg{{max-width:100%;height:auto}}ul{{list-style:none;padding:0}}</style></head>\n<body><h1>{name}</h1>\n<p>{about}</p>\n\
         <p>{mode}, {policy}, seed {seed}</p>\n<table>\n{rows}</table>\n<h2>What went wrong</h2>\n<ul>\n{faults}</ul>\n{plots}</body></html>\n",
        name = escaped(&script.name),
        about = escaped(&script.about),
        mode = f.mode,
        policy = escaped(&f.policy),
        seed = f.seed,
    )
}
