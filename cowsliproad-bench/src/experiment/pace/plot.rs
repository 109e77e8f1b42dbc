//! How long passes last, by policy: what share of them is shorter.

use std::error::Error;

use hdrhistogram::Histogram;
use plotters::{
    prelude::{
        ChartBuilder, IntoDrawingArea, LineSeries, PathElement, SVGBackend,
    },
    style::{BLACK, Color, IntoFont, Palette, Palette99, WHITE},
};

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// The longest pass that is shown, in milliseconds.
const LONGEST_MS: f64 = 300.0;

/// A policy's passes, in milliseconds.
pub struct Curve<'a> {
    /// The policy.
    pub name: &'a str,
    /// Its passes.
    pub passes: Histogram<u64>,
}

/// Draws curves as SVG, with a line at the longest pass that callers bear.
pub fn draw(
    title: &str,
    curves: &[Curve],
    bound_ms: f64,
) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18).into_font())
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..LONGEST_MS, 0.0..100.0)?;
        chart
            .configure_mesh()
            .x_desc("pass, ms")
            .y_desc("shorter, %")
            .draw()?;
        let bound = [(bound_ms, 0.0), (bound_ms, 100.0)];
        chart.draw_series(LineSeries::new(bound, &BLACK))?;
        for (place, curve) in curves.iter().enumerate() {
            let color = Palette99::pick(place).to_rgba();
            let points = (0..=100).map(|percent| {
                let at = curve.passes.value_at_percentile(f64::from(percent));
                (at as f64, f64::from(percent))
            });
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(curve.name)
                .legend(move |(x, y)| {
                    let line = vec![(x, y), (x + 16, y)];
                    PathElement::new(line, color.stroke_width(2))
                });
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}
