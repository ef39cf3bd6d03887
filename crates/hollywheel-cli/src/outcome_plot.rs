//! Plot of the outcomes of requests over time.

use std::path::Path;

use hollywheel_types::SortedMap;
use plotters::prelude::*;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::error::CliError;
use crate::log_lines::LogLine;

const SIZE: (u32, u32) = (1000, 520);

/// Maximum number of intervals; longer logs are counted in longer intervals.
const MAX_INTERVALS: i64 = 600;

/// Maximum number of causes with a line of their own; the rest share one.
const MAX_CAUSES: usize = 7;

/// Name of the line of all requests.
const ALL_NAME: &str = "ended";

/// The number of requests in each interval that ended in the same way.
#[derive(Clone, Debug, Eq, PartialEq)]
struct OutcomeSeries {
    name: String,
    counts: Vec<u32>,
}

impl OutcomeSeries {
    fn empty(name: &str, intervals: usize) -> Self {
        Self {
            name: name.to_owned(),
            counts: vec![0; intervals],
        }
    }

    fn add(&mut self, other: &Self) {
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            *count += added;
        }
    }

    fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }
}

/// The series of a plot and the length of their intervals in seconds.
#[derive(Clone, Debug)]
struct OutcomeCounts {
    interval: i64,
    series: Vec<OutcomeSeries>,
}

/// Draws the number of requests by outcome and cause over time as an SVG file.
///
/// `ended` holds the events at the ends of requests.
///
/// # Errors
///
/// Returns [`CliError::Argument`] if there is no event, or [`CliError::File`] if the file can't be
/// written.
pub(crate) fn draw_outcomes<'a>(
    path: &Path,
    ended: impl IntoIterator<Item = &'a LogLine>,
) -> Result<(), CliError> {
    let Some(counts) = count_outcomes(ended) else {
        return Err(CliError::Argument(
            "--plot: the files contain no end of a request (HW7201); log at level info".to_owned(),
        ));
    };
    draw(path, &counts).map_err(|error| CliError::File {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

/// Counts requests by outcome and cause in intervals; none without requests.
fn count_outcomes<'a>(ended: impl IntoIterator<Item = &'a LogLine>) -> Option<OutcomeCounts> {
    let ends: Vec<(i64, String)> = ended
        .into_iter()
        .filter_map(|line| {
            let time = OffsetDateTime::parse(&line.timestamp, &Rfc3339).ok()?;
            Some((time.unix_timestamp(), series_name(line)))
        })
        .collect();
    let first = ends.iter().map(|(second, _)| *second).min()?;
    let last = ends.iter().map(|(second, _)| *second).max()?;
    let interval = (last - first) / MAX_INTERVALS + 1;
    let index = |second: i64| usize::try_from((second - first) / interval).unwrap_or(0);
    let intervals = index(last) + 1;
    let mut by_name: SortedMap<String, OutcomeSeries> = SortedMap::new();
    for (second, name) in &ends {
        let series =
            by_name.get_or_insert_with(name.clone(), || OutcomeSeries::empty(name, intervals));
        series.counts[index(*second)] += 1;
    }
    let mut causes: Vec<OutcomeSeries> = by_name.values().cloned().collect();
    causes.sort_by_key(|series| std::cmp::Reverse(series.total()));
    let mut all = OutcomeSeries::empty(ALL_NAME, intervals);
    for cause in &causes {
        all.add(cause);
    }
    if causes.len() > MAX_CAUSES {
        let mut rest = OutcomeSeries::empty("other causes", intervals);
        for cause in causes.drain(MAX_CAUSES - 1..) {
            rest.add(&cause);
        }
        causes.push(rest);
    }
    causes.insert(0, all);
    Some(OutcomeCounts {
        interval,
        series: causes,
    })
}

/// Returns the outcome of a request, with the cause if there is one.
fn series_name(line: &LogLine) -> String {
    let (outcome, reason) = (line.field("outcome"), line.field("reason"));
    match reason.as_str() {
        "" => outcome,
        _ => format!("{outcome}: {reason}"),
    }
}

fn draw(path: &Path, counts: &OutcomeCounts) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let intervals = counts.series[0].counts.len();
    let end = intervals as f64 * counts.interval as f64;
    let top = counts.series[0].counts.iter().max().copied().unwrap_or(0);
    let caption = match counts.interval {
        1 => "requests per second".to_owned(),
        interval => format!("requests per {interval} seconds"),
    };
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(top) * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first request ended")
        .draw()?;
    for (position, series) in counts.series.iter().enumerate() {
        let color = match position {
            0 => BLACK.to_rgba(),
            _ => Palette99::pick(position - 1).to_rgba(),
        };
        // Two points for each interval make steps.
        let points = series.counts.iter().enumerate().flat_map(|(index, count)| {
            let start = index as f64 * counts.interval as f64;
            let height = f64::from(*count);
            [(start, height), (start + counts.interval as f64, height)]
        });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(format!("{} ({})", series.name, series.total()))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
