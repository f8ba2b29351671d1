//! A plot of a play as SVG: times of requests above, steps of all nodes below.
use super::model::STEPS;
use super::observation::{Observations, Requester};
use super::statistics::median_in_second;
use anyhow::{anyhow, Context, Result};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (900, 640);
/// The height of the upper part, in pixels.
const UPPER_HEIGHT: u32 = 420;
/// The highest value of the upper part is at least this, in milliseconds.
const MIN_TOP_MS: f64 = 10.0;

/// A line of points (seconds, value) in a colour.
struct PlotLine {
    points: Vec<(f64, f64)>,
    colour: RGBAColor,
}

/// One part of the plot.
struct Chart {
    caption: String,
    unit: &'static str,
    end_s: f64,
    top: f64,
    lines: Vec<PlotLine>,
}

impl Chart {
    fn draw(self, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Result<()> {
        let failed = |cause: &dyn std::fmt::Display| anyhow!("{}: {cause}", self.caption);
        let mut chart = ChartBuilder::on(area)
            .caption(&self.caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..self.end_s, 0.0..self.top)
            .map_err(|error| failed(&error))?;
        let mut axes = chart.configure_mesh();
        axes.light_line_style(TRANSPARENT).y_desc(self.unit).x_desc("s");
        axes.draw().map_err(|error| failed(&error))?;
        for line in self.lines {
            let series = LineSeries::new(line.points, line.colour.stroke_width(1));
            chart.draw_series(series).map_err(|error| failed(&error))?;
        }
        Ok(())
    }
}

/// A colour of its own for each of so many.
fn colour(number: usize, count: usize) -> RGBAColor {
    HSLColor(number as f64 / count.max(1) as f64, 0.6, 0.45).mix(0.8)
}

/// Medians by second, in the middle of each.
fn median_line(
    seen: &Observations,
    end_s: f64,
    requester: Requester,
    side: Option<usize>,
) -> Vec<(f64, f64)> {
    let point = |second: usize| {
        median_in_second(seen, second, requester, side).map(|median| (second as f64 + 0.5, median))
    };
    (0..=end_s as usize).filter_map(point).collect()
}

fn request_chart(title: &str, seen: &Observations, end_s: f64, side_count: usize) -> Chart {
    let line =
        |requester, side, colour| PlotLine { points: median_line(seen, end_s, requester, side), colour };
    let mut lines: Vec<PlotLine> = (0..side_count)
        .map(|side| line(Requester::MemberRead, Some(side), colour(side, side_count)))
        .collect();
    lines.push(line(Requester::OtherRead, None, BLACK.mix(0.9)));
    lines.push(line(Requester::MemberOrder, None, BLACK.mix(0.4)));
    let values = lines.iter().flat_map(|line| &line.points).map(|point| point.1);
    let top = values.fold(MIN_TOP_MS, f64::max) * 1.05;
    let caption = format!(
        "{title}: median of a member's reads by node (colours), others' reads (black), its orders (grey)"
    );
    Chart { caption, unit: "ms", end_s, top, lines }
}

/// A node's steps as stairs.
fn stairs(seen: &Observations, node: usize) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64)> = Vec::new();
    for sample in seen.steps.iter().filter(|sample| sample.node == node) {
        let step = f64::from(sample.step.step);
        if let Some(last) = points.last().copied().filter(|last| last.1 != step) {
            points.push((sample.at_s, last.1));
        }
        points.push((sample.at_s, step));
    }
    points
}

fn step_chart(seen: &Observations, end_s: f64, node_count: usize) -> Chart {
    let line = |node| PlotLine { points: stairs(seen, node), colour: colour(node, node_count) };
    let lines = (0..node_count).map(line).collect();
    let caption = format!("step on each of {node_count} nodes");
    Chart { caption, unit: "step", end_s, top: f64::from(STEPS) + 0.5, lines }
}

/// Draw a play into a file.
///
/// # Errors
/// When it can't be drawn or written.
pub(crate) fn plot(
    file: &Path,
    title: &str,
    seen: &Observations,
    node_count: usize,
    side_count: usize,
) -> Result<()> {
    let failed = |cause: &dyn std::fmt::Display| anyhow!("{}: {cause}", file.display());
    let end_s = seen.samples.iter().map(|sample| sample.at_s).fold(1.0, f64::max);
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(|error| failed(&error))?;
        let (upper, lower) = root.split_vertically(UPPER_HEIGHT);
        request_chart(title, seen, end_s, side_count).draw(&upper)?;
        step_chart(seen, end_s, node_count).draw(&lower)?;
        root.present().map_err(|error| failed(&error))?;
    }
    std::fs::write(file, text).with_context(|| file.display().to_string())
}
