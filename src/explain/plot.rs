use std::fmt;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use super::LossReport;

const SIZE_PIXELS: (u32, u32) = (1_000, 500);
const MARGIN_PIXELS: u32 = 12;
const LABEL_AREA_PIXELS: u32 = 40;

/// The plot could not be drawn or written. Holds `PATH: CAUSE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlotError(pub String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot write the plot to {}", self.0)
    }
}

impl std::error::Error for PlotError {}

/// Plots lost requests per second into an SVG file, with one line for each cause.
///
/// # Errors
/// If the file can't be written.
pub fn plot(report: &LossReport, path: &Path) -> Result<(), PlotError> {
    draw(report, path).map_err(|fault| PlotError(format!("{}: {fault}", path.display())))
}

fn draw(report: &LossReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = report.by_second();
    let names: Vec<String> = report.by_name().keys().map(|name| name.to_string()).collect();
    let last_second = seconds.last().map_or(1, |(second, _)| *second).max(1);
    let max_count =
        seconds.iter().flat_map(|(_, causes)| causes.values()).max().copied().unwrap_or(1);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABEL_AREA_PIXELS)
        .y_label_area_size(LABEL_AREA_PIXELS)
        .build_cartesian_2d(0..last_second, 0..max_count)?;
    chart.configure_mesh().x_desc("second").y_desc("requests lost").draw()?;
    for (index, name) in names.iter().enumerate() {
        let colour = Palette99::pick(index).mix(1.0);
        let counts = (0..=last_second).map(|second| {
            let causes = seconds.iter().find(|(at, _)| *at == second).map(|(_, causes)| causes);
            let count = causes.and_then(|causes| causes.get(name.as_str()));
            (second, count.copied().unwrap_or(0))
        });
        let series = chart.draw_series(LineSeries::new(counts, colour))?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
