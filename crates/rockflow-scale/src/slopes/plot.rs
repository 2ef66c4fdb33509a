//! A plot of each series: its points and the fit.

use crate::rows::{curves, Curve, Fit, Row};
use crate::Fault;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

const SIZE: (u32, u32) = (800, 500);
/// Steps of a fitted line.
const STEPS: usize = 100;

type Points = Vec<(f64, f64)>;

/// Draws a file for each figure of each series: `SERIES-FIGURE.svg`.
pub fn plot(folder: &Path, rows: &[Row]) -> Result<(), Fault> {
    let mut figures: BTreeMap<(String, String), Vec<(Curve, Points)>> = BTreeMap::new();
    for (curve, points) in curves(rows) {
        figures.entry((curve.series.clone(), curve.figure.clone())).or_default().push((curve, points));
    }
    for ((series, figure), curves) in figures {
        let words = |text: &str| text.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let path = folder.join(format!("{}-{}.svg", words(&series), words(&figure)));
        let row = rows.iter().find(|row| row.series == series && row.y.name == figure);
        let (x, unit) = row.map(|row| (row.x.name.clone(), row.y.unit.clone())).unwrap_or_default();
        let area = SVGBackend::new(&path, SIZE).into_drawing_area();
        draw(&area, &format!("{series}: {figure}"), &x, &unit, &curves)
            .map_err(|what| Fault(format!("{}: {what}", path.display())))?;
        println!("{}", path.display());
    }
    Ok(())
}

fn draw(
    area: &DrawingArea<SVGBackend, Shift>,
    title: &str,
    x: &str,
    unit: &str,
    curves: &[(Curve, Points)],
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let points = || curves.iter().flat_map(|(_, points)| points);
    let max_x = points().map(|(x, _)| *x).fold(0.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(0.0, f64::max).max(1e-9);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(90)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
    chart.configure_mesh().x_desc(x).y_desc(unit).draw()?;
    for (at, (curve, points)) in curves.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        chart.draw_series(points.iter().map(|point| Circle::new(*point, 4, color.filled())))?;
        let Ok(fit) = Fit::of(points) else { continue };
        let step = |no: usize| fit.from + (fit.to - fit.from) * no as f64 / STEPS as f64;
        let line = (0..=STEPS).map(step).map(|x| (x, fit.at(x)));
        let chosen: Vec<_> = curve.parameters.iter().map(|(name, value)| format!("{name} {value}")).collect();
        let label = format!("{} {fit}, {:.1}% left", chosen.join(", "), 100.0 * fit.left);
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
