//! Plot of the requests served on time over load.

use crate::callers::ROUTES;
use crate::day::run;
use crate::scenario::{Scenario, Way};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

const PATH: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/plots/hard-load.svg"
);
const SIZE: (u32, u32) = (900, 360);
const COLOURS: [RGBColor; 3] = [RED, BLUE, GREEN];
const LOADS: [f64; 7] = [1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0];

fn draw(area: &DrawingArea<SVGBackend, Shift>, way: Way) -> Result<(), Box<dyn Error>> {
    let runs = LOADS.map(|load| (load, run(Scenario::measured(way, load))));
    let title = match way {
        Way::Today => "Requests on time before",
        Way::Queue => "Requests on time with a queue",
    };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(40)
        .build_cartesian_2d(1.0..4.0, 0.0..1.0)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("load").y_desc("fraction on time").draw()?;
    for (route, colour) in COLOURS.into_iter().enumerate() {
        let shares = runs.iter();
        let shares = shares.map(|(load, run)| (*load, run.routes[route].on_time_share()));
        chart
            .draw_series(LineSeries::new(shares, colour))?
            .label(ROUTES[route].name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

/// Draws the plot of `docs/design/hard-load.md`.
#[test]
#[ignore = "writes docs/plots/hard-load.svg"]
fn plot_on_time_by_load() {
    let root = SVGBackend::new(PATH, SIZE).into_drawing_area();
    root.fill(&WHITE).unwrap();
    for (area, way) in root
        .split_evenly((1, 2))
        .iter()
        .zip([Way::Today, Way::Queue])
    {
        draw(area, way).unwrap();
    }
    root.present().unwrap();
}
