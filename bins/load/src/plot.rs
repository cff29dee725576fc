//! Draws the plots of an experiment as SVG files.

use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::{
    cmd::Error,
    experiment::Report,
    stats::{RunStats, SLICE_LENGTH},
};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);

/// Name and points of one line of a plot.
type NamedSeries = (String, Vec<(f64, f64)>);

/// Writes three plots into `dir`: goodput over time, and the distributions of the time to the
/// first token and of the time between tokens. Uses the first seed of each row.
///
/// # Errors
///
/// [`Error::Draw`] if a plot cannot be drawn or written.
pub fn draw(report: &Report, dir: &Path) -> Result<(), Error> {
    let goodput = first_seed_series(report, goodput_points);
    let first = first_seed_series(report, |stats| percentile_points(&stats.first_token));
    let gaps = first_seed_series(report, |stats| percentile_points(&stats.gaps));
    let path = |part: &str| dir.join(format!("{}-{part}.svg", report.name));
    write_chart(&path("goodput"), "good requests a second", "seconds", &goodput)?;
    write_chart(&path("first"), "time to first token, ms", "percentile", &first)?;
    write_chart(&path("gap"), "time between tokens, ms", "percentile", &gaps)
}

fn first_seed_series(
    report: &Report,
    points: impl Fn(&RunStats) -> Vec<(f64, f64)>,
) -> Vec<NamedSeries> {
    let first = report.rows.iter().zip(&report.runs);
    let first = first.filter_map(|(row, runs)| Some((&row.name, runs.run_stats.first()?)));
    first.map(|(name, stats)| (name.clone(), points(stats))).collect()
}

fn goodput_points(stats: &RunStats) -> Vec<(f64, f64)> {
    let length = SLICE_LENGTH.as_secs_f64();
    let point = |(index, counts): (usize, &crate::stats::RequestCounts)| {
        (index as f64 * length, counts.good as f64 / length)
    };
    stats.slices.iter().enumerate().map(point).collect()
}

fn percentile_points(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let value = |q: u32| histogram.value_at_percentile(f64::from(q)) as f64 / 1e3;
    (1..100).map(|q| (f64::from(q), value(q))).collect()
}

fn write_chart(
    path: &Path,
    y_label: &str,
    x_label: &str,
    all_series: &[NamedSeries],
) -> Result<(), Error> {
    let failed = |message: String| Error::Draw { path: path.display().to_string(), message };
    draw_chart(path, y_label, x_label, all_series).map_err(|error| failed(error.to_string()))
}

fn draw_chart(
    path: &Path,
    y_label: &str,
    x_label: &str,
    all_series: &[NamedSeries],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || all_series.iter().flat_map(|(_, points)| points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1e-3, f64::max) * 1.05;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw()?;
    for (index, (name, points)) in all_series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
