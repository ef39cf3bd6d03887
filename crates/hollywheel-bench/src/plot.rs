//! Plots of the results of an experiment.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::error::BenchError;
use crate::result::{MetricRow, RunResult, metric_rows};

const SIZE: (u32, u32) = (1000, 520);

/// Fraction of a scenario's width that its marks occupy.
const GROUP_WIDTH: f64 = 0.6;

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Plots the means and confidence intervals of a metric over the scenarios as an SVG file.
///
/// # Errors
///
/// Returns [`BenchError::Field`] if no result has the metric, or [`BenchError::Plot`] if
/// the file cannot be drawn.
pub fn draw_results(path: &Path, results: &[RunResult], metric: &str) -> Result<(), BenchError> {
    let mut rows = metric_rows(results);
    let names = metric_names(&rows);
    rows.retain(|row| row.metric == metric);
    if rows.is_empty() {
        let expected = format!("one of {}", names.join("; "));
        return Err(BenchError::field("metric", expected));
    }
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    draw(&area, &rows, metric).map_err(|error| BenchError::Plot {
        message: error.to_string(),
    })
}

fn metric_names(rows: &[MetricRow]) -> Vec<String> {
    unique(rows.iter().map(|row| &row.metric))
}

fn unique<'a>(names: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut seen: Vec<String> = Vec::new();
    for name in names {
        if !seen.contains(name) {
            seen.push(name.clone());
        }
    }
    seen
}

fn draw(
    area: &SvgArea<'_>,
    rows: &[MetricRow],
    metric: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let scenarios = unique(rows.iter().map(|row| &row.scenario));
    let policies = unique(rows.iter().map(|row| &row.policy));
    let top = rows.iter().map(|row| row.interval.high).fold(0.0, f64::max);
    let width = scenarios.len() as f64;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(metric, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..(top * 1.1).max(f64::MIN_POSITIVE))?;
    let label = |x: &f64| {
        let at = x.floor();
        let centred = (x - at - 0.5).abs() < 1e-6;
        let name = scenarios.get(at as usize).filter(|_| centred);
        name.cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() * 2 + 1)
        .x_label_formatter(&label)
        .draw()?;
    for (at, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let offset = (at as f64 + 0.5) / policies.len() as f64 - 0.5;
        let marks = rows.iter().filter(|row| row.policy == *policy);
        let points: Vec<(f64, &MetricRow)> = marks
            .map(|row| {
                let scenario = scenarios.iter().position(|name| *name == row.scenario);
                let centre = scenario.unwrap_or(0) as f64 + 0.5;
                (centre + offset * GROUP_WIDTH, row)
            })
            .collect();
        let bars = points.iter().map(|(x, row)| {
            let ends = vec![(*x, row.interval.low.max(0.0)), (*x, row.interval.high)];
            PathElement::new(ends, color.stroke_width(2))
        });
        chart.draw_series(bars)?;
        let means = points
            .iter()
            .map(|(x, row)| Circle::new((*x, row.interval.mean), 4, color.filled()));
        chart
            .draw_series(means)?
            .label(policy)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
