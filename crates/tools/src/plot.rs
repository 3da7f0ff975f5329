//! Plots of measured rows: one bar for each variant of each case.
//!
//! ```
//! use egret_tools::plot::{Measure, MeasuredRow, draw};
//!
//! let rows = r#"[{"case": "calm", "variant": "egretcross", "p99_ms": 64.1},
//!                {"case": "calm", "variant": "random", "p99_ms": 66.0}]"#;
//! let rows: Vec<MeasuredRow> = serde_json::from_str(rows).unwrap();
//! let svg = draw(&rows, Measure::P99).unwrap();
//! assert!(svg.starts_with("<svg") && svg.contains("calm, random"));
//! ```

mod error;
mod measure;
mod measured_row;

use plotters::prelude::*;

pub use error::PlotError;
pub use measure::Measure;
pub use measured_row::MeasuredRow;

const WIDTH_PX: u32 = 960;
const ROW_HEIGHT_PX: u32 = 18;
const FRAME_HEIGHT_PX: u32 = 90;
const LABEL_WIDTH_PX: u32 = 330;
const FONT: &str = "sans-serif";
const FONT_SIZE_PX: u32 = 12;
/// The share of a row's height that its bar leaves free above and below.
const GAP: f64 = 0.15;
/// Room to the right of the longest bar, as a share of it.
const HEADROOM: f64 = 1.15;

/// Draws rows as horizontal bars and returns the SVG text.
///
/// Rows keep their order, so that the variants of a case stand together.
///
/// # Errors
/// Fails where there is no row, or no row has a value.
pub fn draw(rows: &[MeasuredRow], measure: Measure) -> Result<String, PlotError> {
    let longest = rows.iter().map(|row| measure.value_in(row)).fold(0.0, f64::max);
    if longest <= 0.0 {
        return Err(PlotError::NoValue { measure });
    }
    let mut svg = String::new();
    draw_into(&mut svg, rows, measure, longest * HEADROOM)
        .map_err(|error| PlotError::Drawing { reason: error.to_string() })?;
    Ok(svg)
}

fn draw_into(
    svg: &mut String,
    rows: &[MeasuredRow],
    measure: Measure,
    longest: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let height = FRAME_HEIGHT_PX + ROW_HEIGHT_PX * rows.len() as u32;
    let area = SVGBackend::with_string(svg, (WIDTH_PX, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .caption(measure.title(), (FONT, FONT_SIZE_PX + 4))
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH_PX)
        .build_cartesian_2d(0.0..longest, 0.0..rows.len() as f64)?;
    // The first row stands at the top.
    let bottom_of = |at: usize| (rows.len() - 1 - at) as f64;
    chart.configure_mesh().disable_y_mesh().disable_y_axis().label_style((FONT, FONT_SIZE_PX)).draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(at, row)| {
        let bottom = bottom_of(at);
        let color = if row.is_product() { BLUE.filled() } else { RGBColor(170, 170, 170).filled() };
        Rectangle::new([(0.0, bottom + GAP), (measure.value_in(row), bottom + 1.0 - GAP)], color)
    }))?;
    chart.draw_series(rows.iter().enumerate().map(|(at, row)| {
        let place = (measure.value_in(row), bottom_of(at) + 0.75);
        Text::new(format!(" {:.2}", measure.value_in(row)), place, (FONT, FONT_SIZE_PX))
    }))?;
    let plot = chart.plotting_area().strip_coord_spec();
    let (left, _) = plot.get_base_pixel();
    let style = (FONT, FONT_SIZE_PX).into_font().color(&BLACK);
    for (at, row) in rows.iter().enumerate() {
        let (_, top) = chart.backend_coord(&(0.0, bottom_of(at) + 0.8));
        let label = format!("{}, {}", row.case, row.variant);
        area.draw_text(&label, &style, (left - LABEL_WIDTH_PX as i32, top))?;
    }
    area.present()?;
    Ok(())
}
