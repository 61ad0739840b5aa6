//! Measurements of one quantity at several sizes.

use std::path::Path;

use plotters::prelude::*;
use tabled::builder::Builder;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 360);

/// Measurements of one quantity, by size.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the output, and file name of the plot.
    pub name: &'static str,
    /// What the size counts, such as members.
    pub size_label: &'static str,
    /// Unit of the measured values.
    pub unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    pub const fn new(name: &'static str, size_label: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            size_label,
            unit,
            points: Vec::new(),
        }
    }

    pub fn push(&mut self, size: u32, value: f64) {
        self.points.push((f64::from(size), value));
    }

    /// Formats the least-squares line through the points.
    pub fn format_fit(&self) -> String {
        let (slope, intercept) = self.fit_line();
        let Self {
            name,
            size_label,
            unit,
            ..
        } = self;
        format!("{name}: {intercept:.3} {unit} + {slope:.6} {unit} * {size_label}")
    }

    /// Draws the points and the least-squares line to an SVG file in `dir`.
    pub fn draw(&self, dir: &Path) -> anyhow::Result<()> {
        let path = dir.join(format!("{}.svg", self.name));
        let root = SVGBackend::new(&path, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let right = self.points.iter().map(|p| p.0).fold(1.0, f64::max);
        let top = self
            .points
            .iter()
            .map(|p| p.1)
            .fold(f64::MIN_POSITIVE, f64::max)
            * 1.2;
        let (slope, intercept) = self.fit_line();
        let mut chart = ChartBuilder::on(&root)
            .margin(12)
            .caption(self.name, ("sans-serif", 18))
            .x_label_area_size(36)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(self.size_label)
            .y_desc(self.unit)
            .draw()?;
        let line = [
            (0.0, intercept.max(0.0)),
            (right, slope.mul_add(right, intercept)),
        ];
        chart.draw_series(LineSeries::new(line, &BLUE))?;
        let dots = self
            .points
            .iter()
            .map(|p| Circle::new(*p, 4, BLACK.filled()));
        chart.draw_series(dots)?;
        root.present()?;
        Ok(())
    }

    /// Slope and intercept of the least-squares line.
    fn fit_line(&self) -> (f64, f64) {
        let count = self.points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / count;
        let squares: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let products: f64 = self
            .points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum();
        let slope = if squares > 0.0 {
            products / squares
        } else {
            0.0
        };
        (slope, slope.mul_add(-mean_x, mean_y))
    }
}

/// Formats all series as a table with one column for each.
pub fn table(series: &[Series]) -> String {
    let mut builder = Builder::default();
    let Some(first) = series.first() else {
        return String::new();
    };
    let names = series.iter().map(|s| format!("{} ({})", s.name, s.unit));
    builder.push_record(std::iter::once(first.size_label.to_owned()).chain(names));
    for (row, (size, _)) in first.points.iter().enumerate() {
        let values = series.iter().map(|s| format!("{:.3}", s.points[row].1));
        builder.push_record(std::iter::once(size.to_string()).chain(values));
    }
    builder.build().to_string()
}
