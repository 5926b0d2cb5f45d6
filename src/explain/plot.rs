use std::fmt;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use super::Lost;

const SIZE_PIXELS: (u32, u32) = (1_000, 500);
const MARGIN_PIXELS: u32 = 12;
const LABELS_PIXELS: u32 = 40;

/// The plot could not be drawn or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlotFault(pub String);

impl fmt::Display for PlotFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot can't be written: {}", self.0)
    }
}

impl std::error::Error for PlotFault {}

/// Draws lost requests by second into an SVG file, a line for each cause.
///
/// # Errors
/// If the file can't be written.
pub fn plot(lost: &Lost, path: &Path) -> Result<(), PlotFault> {
    draw(lost, path).map_err(|fault| PlotFault(fault.to_string()))
}

fn draw(lost: &Lost, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = lost.by_second();
    let names: Vec<String> = lost.by_name().keys().map(|name| name.to_string()).collect();
    let last = seconds.last().map_or(1, |(second, _)| *second).max(1);
    let most = seconds.iter().flat_map(|(_, causes)| causes.values()).max().copied().unwrap_or(1);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABELS_PIXELS)
        .y_label_area_size(LABELS_PIXELS)
        .build_cartesian_2d(0..last, 0..most)?;
    chart.configure_mesh().x_desc("second").y_desc("requests lost").draw()?;
    for (at, name) in names.iter().enumerate() {
        let colour = Palette99::pick(at).mix(1.0);
        let counts = (0..=last).map(|second| {
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
