//! Time to first token over the run, as SVG.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use super::report::Report;

const SIZE: (u32, u32) = (900, 360);
const MARGIN: i32 = 12;
const LABELS: i32 = 48;

/// Room above the highest point.
const HEADROOM: f64 = 1.1;

/// Quantiles that are drawn, with their name and colour.
const LINES: [(f64, &str, RGBColor); 2] = [(0.5, "p50", BLUE), (0.95, "p95", RED)];

/// Draws a chart for each mix, one below the other.
pub(super) fn draw(path: &Path, reports: &[Report]) -> eyre::Result<()> {
    let charts = u32::try_from(reports.len())?;
    let root = SVGBackend::new(path, (SIZE.0, SIZE.1 * charts.max(1))).into_drawing_area();
    let failed = |what: &str| eyre!("can't draw {}: {what}", path.display());
    root.fill(&WHITE).map_err(|err| failed(&err.to_string()))?;
    for (area, report) in root
        .split_evenly((reports.len().max(1), 1))
        .iter()
        .zip(reports)
    {
        chart(area, report).map_err(|err| failed(&err.to_string()))?;
    }
    root.present().map_err(|err| failed(&err.to_string()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn chart(area: &Area<'_>, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = &report.tally.seconds;
    let highest = seconds.values().map(|times| times.at(0.95));
    let highest = highest.fold(1.0, f64::max) * HEADROOM;
    let title = format!(
        "{}: time to first token, {}/s, seed {}",
        report.mix, report.rate, report.seed
    );
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0..report.seconds.max(1), 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("ms")
        .draw()?;
    for (quantile, name, colour) in LINES {
        let points = seconds.iter();
        let points = points.map(|(second, times)| (*second, times.at(quantile)));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + MARGIN, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
