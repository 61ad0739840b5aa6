//! One figure measured at several sizes.

use std::path::Path;

use plotters::prelude::*;
use tabled::builder::Builder;

/// Size of a plot in pixels.
const PLOT: (u32, u32) = (640, 360);

/// A figure by size.
#[derive(Clone, Debug)]
pub struct Series {
    /// File name of the plot.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Sizes with figures.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    pub const fn new(name: &'static str, size: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            size,
            unit,
            points: Vec::new(),
        }
    }

    pub fn push(&mut self, size: u32, figure: f64) {
        self.points.push((f64::from(size), figure));
    }

    /// The least-squares line through the points, in words.
    pub fn slope_line(&self) -> String {
        let (slope, start) = self.fit();
        let Self {
            name, size, unit, ..
        } = self;
        format!("{name}: {start:.3} {unit} + {slope:.6} {unit} for each of {size}")
    }

    /// Draws the points and the line.
    pub fn draw(&self, folder: &Path) -> anyhow::Result<()> {
        let path = folder.join(format!("{}.svg", self.name));
        let root = SVGBackend::new(&path, PLOT).into_drawing_area();
        root.fill(&WHITE)?;
        let right = self.points.iter().map(|p| p.0).fold(1.0, f64::max);
        let top = self
            .points
            .iter()
            .map(|p| p.1)
            .fold(f64::MIN_POSITIVE, f64::max)
            * 1.2;
        let (slope, start) = self.fit();
        let mut chart = ChartBuilder::on(&root)
            .margin(12)
            .caption(self.name, ("sans-serif", 18))
            .x_label_area_size(36)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(self.size)
            .y_desc(self.unit)
            .draw()?;
        let line = [(0.0, start.max(0.0)), (right, slope.mul_add(right, start))];
        chart.draw_series(LineSeries::new(line, &BLUE))?;
        let dots = self
            .points
            .iter()
            .map(|p| Circle::new(*p, 4, BLACK.filled()));
        chart.draw_series(dots)?;
        root.present()?;
        Ok(())
    }

    /// Slope and start of the least-squares line.
    fn fit(&self) -> (f64, f64) {
        let count = self.points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let together: f64 = self
            .points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        (slope, slope.mul_add(-mean_x, mean_y))
    }
}

/// All series side by side.
pub fn table(found: &[Series]) -> String {
    let mut builder = Builder::default();
    let Some(first) = found.first() else {
        return String::new();
    };
    let names = found.iter().map(|s| format!("{} ({})", s.name, s.unit));
    builder.push_record(std::iter::once(first.size.to_owned()).chain(names));
    for (row, (size, _)) in first.points.iter().enumerate() {
        let figures = found.iter().map(|s| format!("{:.3}", s.points[row].1));
        builder.push_record(std::iter::once(size.to_string()).chain(figures));
    }
    builder.build().to_string()
}
