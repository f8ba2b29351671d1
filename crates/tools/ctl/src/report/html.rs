//! HTML that loads nothing from anywhere: escaped text, tables, and plots of curves over time as SVG.
use super::samples::{Curve, Point, MAX_CURVES};
use std::fmt::Write as _;

const COLOURS: [&str; MAX_CURVES] =
    ["#1b6ca8", "#c8553d", "#3a7d44", "#8e5aa8", "#b8860b", "#2a9d8f", "#6b705c", "#d1495b"];
/// Lines of the grid, beside the one at 0, in either direction.
const GRID_LINES: u32 = 4;
/// Below this a plot's values are written with one decimal.
const DECIMALS_BELOW: f64 = 10.0;

/// Text that may stand in HTML.
pub(crate) fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// A table of text.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut html = String::from("<table><tr>");
    head.iter().for_each(|title| html.push_str(&format!("<th>{}</th>", escaped(title))));
    html.push_str("</tr>\n");
    for row in rows {
        html.push_str("<tr>");
        row.iter().for_each(|cell| html.push_str(&format!("<td>{}</td>", escaped(cell))));
        html.push_str("</tr>\n");
    }
    html.push_str("</table>\n");
    html
}

/// Where values come to lie in a plot.
struct Scale {
    end_s: f64,
    top: f64,
}

impl Scale {
    const WIDTH: f64 = 760.0;
    const HEIGHT: f64 = 220.0;
    const LEFT: f64 = 56.0;
    const BOTTOM: f64 = 24.0;
    /// The margin at the top and on the right.
    const MARGIN: f64 = 8.0;

    fn new(curves: &[Curve]) -> Self {
        let points = || curves.iter().flat_map(|curve| &curve.points);
        let end_s = points().map(|point| point.at_s).fold(1.0, f64::max);
        let top = points().map(|point| point.value).fold(0.0, f64::max).max(1.0) * 1.1;
        Scale { end_s, top }
    }

    fn x(&self, at_s: f64) -> f64 {
        Scale::LEFT + (Scale::WIDTH - Scale::LEFT - Scale::MARGIN) * at_s / self.end_s
    }

    fn y(&self, value: f64) -> f64 {
        Scale::MARGIN + (Scale::HEIGHT - Scale::MARGIN - Scale::BOTTOM) * (1.0 - value / self.top)
    }

    fn grid(&self) -> String {
        let (left, right) = (Scale::LEFT, Scale::WIDTH - Scale::MARGIN);
        let (label_x, label_y) = (left - 6.0, Scale::HEIGHT - 6.0);
        let mut svg = String::new();
        for line in 0..=GRID_LINES {
            let part = f64::from(line) / f64::from(GRID_LINES);
            let (value, at_s) = (self.top * part, self.end_s * part);
            let (x, y) = (self.x(at_s), self.y(value));
            let label = if self.top < DECIMALS_BELOW { format!("{value:.1}") } else { format!("{value:.0}") };
            // Writing to a string can't fail.
            let _ = writeln!(
                svg,
                "<line x1=\"{left}\" x2=\"{right:.1}\" y1=\"{y:.1}\" y2=\"{y:.1}\" class=\"g\"/>\
                 <text x=\"{label_x:.1}\" y=\"{:.1}\" class=\"e\">{label}</text>\n\
                 <text x=\"{x:.1}\" y=\"{label_y:.1}\" class=\"m\">{at_s:.0} s</text>",
                y + 4.0
            );
        }
        svg
    }

    fn polyline(&self, curve: &Curve, colour: &str) -> String {
        let point = |point: &Point| format!("{:.1},{:.1}", self.x(point.at_s), self.y(point.value));
        let points: Vec<String> = curve.points.iter().map(point).collect();
        format!("<polyline points=\"{}\" stroke=\"{colour}\"/>\n", points.join(" "))
    }
}

/// A plot of curves over time, with its legend.
pub(crate) fn plot(title: &str, unit: &str, curves: &[Curve]) -> String {
    let (scale, title) = (Scale::new(curves), escaped(title));
    let (width, height) = (Scale::WIDTH, Scale::HEIGHT);
    let mut html = format!(
        "<h2>{title}</h2>\n<svg viewBox=\"0 0 {width} {height}\" role=\"img\" aria-label=\"{title}\">\n{}",
        scale.grid()
    );
    let coloured = || curves.iter().zip(COLOURS.iter().cycle());
    coloured().for_each(|(curve, colour)| html.push_str(&scale.polyline(curve, colour)));
    html.push_str("</svg>\n<p class=\"k\">");
    for (curve, colour) in coloured() {
        let name = escaped(&curve.name);
        let _ = write!(html, "<span style=\"color:{colour}\">&#9632;</span> {name} &nbsp; ");
    }
    let _ = writeln!(html, "({})</p>", escaped(unit));
    html
}
