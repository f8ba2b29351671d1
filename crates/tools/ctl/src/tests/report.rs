//! The report draws its curves itself and loads nothing.
use crate::mesh_client::MeshView;
use crate::report::{rates, Report, Sample, MAX_CURVES};
use crate::wire::{Metric, NodeMetrics};
use serde_json::json;

#[test]
fn a_report_holds_its_plots_and_nothing_from_elsewhere() {
    let samples: Vec<Sample> = (0..20u32)
        .map(|t| {
            let node = |n: u32| {
                let metrics = json!({ "requests": t * n * 10, "refused": t, "gateOut": n });
                (format!("10.0.0.{n}"), NodeMetrics::new(metrics))
            };
            Sample { at_s: f64::from(t), metrics: (1..=12).map(node).collect() }
        })
        .collect();
    let curves = rates(&samples, &[Metric::Requests]);
    assert_eq!((curves.len(), curves[0].name.as_str()), (MAX_CURVES, "10.0.0.12"));
    assert!((curves[0].points[3].value - 120.0).abs() < 1e-9 && curves[MAX_CURVES - 1].name == "others");
    let events = ["<script>x</script>".to_string()];
    let report = Report { samples: &samples, view: &MeshView::new(), findings: &[], events: &events };
    let html = report.html();
    assert_eq!(html.matches("<svg").count(), 4);
    assert!(!html.contains("<script") && !html.contains("src=") && !html.contains("href="));
    assert!(!html.contains("NaN") && !html.contains("inf"));
}
