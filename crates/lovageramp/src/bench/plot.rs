//! SVG plot of the time to first token over the run.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use super::report::Report;

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (900, 360);
const MARGIN: i32 = 12;
const LABEL_AREA: i32 = 48;

/// Factor between the highest point and the top of the axis.
const HEADROOM: f64 = 1.1;

/// Quantiles plotted, with name and colour.
const QUANTILES: [(f64, &str, RGBColor); 2] = [(0.5, "p50", BLUE), (0.95, "p95", RED)];

/// Draws one chart per mix, stacked vertically.
pub(super) fn draw(path: &Path, reports: &[Report]) -> eyre::Result<()> {
    let charts = u32::try_from(reports.len())?;
    let root =
        SVGBackend::new(path, (CHART_SIZE.0, CHART_SIZE.1 * charts.max(1))).into_drawing_area();
    let error = |what: &str| eyre!("cannot draw {}: {what}", path.display());
    root.fill(&WHITE).map_err(|err| error(&err.to_string()))?;
    for (area, report) in root
        .split_evenly((reports.len().max(1), 1))
        .iter()
        .zip(reports)
    {
        draw_chart(area, report).map_err(|err| error(&err.to_string()))?;
    }
    root.present().map_err(|err| error(&err.to_string()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_chart(area: &Area<'_>, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = &report.tally.first_token_by_second;
    let highest = seconds
        .values()
        .map(|histogram| histogram.quantile_ms(0.95));
    let highest = highest.fold(1.0, f64::max) * HEADROOM;
    let title = format!(
        "{}: time to first token, {}/s, seed {}",
        report.mix, report.rate, report.seed
    );
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0..report.seconds.max(1), 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("ms")
        .draw()?;
    for (quantile, name, colour) in QUANTILES {
        let points = seconds.iter();
        let points = points.map(|(second, histogram)| (*second, histogram.quantile_ms(quantile)));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + MARGIN, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
