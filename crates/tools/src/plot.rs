//! Bar charts of measured rows, with one bar for each variant of each case.
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
/// The part of a row's height that stays empty above its bar, and again below it.
const BAR_MARGIN: f64 = 0.15;
/// The length of the horizontal axis as a multiple of the longest bar.
const AXIS_TO_LONGEST_BAR: f64 = 1.15;

/// Draws rows as horizontal bars and returns the SVG text.
///
/// Rows keep their order, so that the variants of a case stay together.
///
/// # Errors
/// Fails if there is no row, if no row has a value above 0, or if the drawing library fails.
pub fn draw(rows: &[MeasuredRow], measure: Measure) -> Result<String, PlotError> {
    let longest = rows.iter().map(|row| measure.value_in(row)).fold(0.0, f64::max);
    if longest <= 0.0 {
        return Err(PlotError::NoValue { measure });
    }
    let mut svg = String::new();
    draw_into(&mut svg, rows, measure, longest * AXIS_TO_LONGEST_BAR)
        .map_err(|error| PlotError::Drawing { reason: error.to_string() })?;
    Ok(svg)
}

fn draw_into(
    svg: &mut String,
    rows: &[MeasuredRow],
    measure: Measure,
    axis_end: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let height = FRAME_HEIGHT_PX + ROW_HEIGHT_PX * rows.len() as u32;
    let area = SVGBackend::with_string(svg, (WIDTH_PX, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .caption(measure.title(), (FONT, FONT_SIZE_PX + 4))
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH_PX)
        .build_cartesian_2d(0.0..axis_end, 0.0..rows.len() as f64)?;
    // The vertical axis points upwards, but the first row is drawn at the top.
    let bottom_of = |index: usize| (rows.len() - 1 - index) as f64;
    chart.configure_mesh().disable_y_mesh().disable_y_axis().label_style((FONT, FONT_SIZE_PX)).draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let bottom = bottom_of(index);
        let color = if row.is_product() { BLUE.filled() } else { RGBColor(170, 170, 170).filled() };
        Rectangle::new(
            [(0.0, bottom + BAR_MARGIN), (measure.value_in(row), bottom + 1.0 - BAR_MARGIN)],
            color,
        )
    }))?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let position = (measure.value_in(row), bottom_of(index) + 0.75);
        Text::new(format!(" {:.2}", measure.value_in(row)), position, (FONT, FONT_SIZE_PX))
    }))?;
    let plot = chart.plotting_area().strip_coord_spec();
    let (left, _) = plot.get_base_pixel();
    let style = (FONT, FONT_SIZE_PX).into_font().color(&BLACK);
    for (index, row) in rows.iter().enumerate() {
        let (_, top) = chart.backend_coord(&(0.0, bottom_of(index) + 0.8));
        let label = format!("{}, {}", row.case, row.variant);
        area.draw_text(&label, &style, (left - LABEL_WIDTH_PX as i32, top))?;
    }
    area.present()?;
    Ok(())
}
