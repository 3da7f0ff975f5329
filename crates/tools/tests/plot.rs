//! Plots of measured rows.

use egret_tools::plot::{Measure, MeasuredRow, PlotError, draw};

fn row(case: &str, variant: &str, p99_ms: f64) -> MeasuredRow {
    MeasuredRow { case: case.to_owned(), variant: variant.to_owned(), p99_ms, ..MeasuredRow::default() }
}

#[test]
fn every_row_has_a_bar_a_label_and_its_value() {
    let rows =
        [row("calm", "egretcross", 64.06), row("calm", "random", 71.5), row("lost", "egretcross", 5.0)];
    let svg = draw(&rows, Measure::P99).unwrap();
    for text in ["calm, egretcross", "calm, random", "lost, egretcross", "64.06", "71.50", "5.00"] {
        assert!(svg.contains(text), "{text} is missing");
    }
    let bars = svg.matches("#0000FF").count();
    assert_eq!(bars, 2, "rows of the product stand out");
}

#[test]
fn rows_without_a_value_are_refused_with_a_remedy() {
    for rows in [vec![], vec![row("calm", "egretcross", 0.0)]] {
        let error = draw(&rows, Measure::P99).unwrap_err();
        assert_eq!(error, PlotError::NoValue { measure: Measure::P99 });
        assert!(error.to_string().contains("give another measure"), "{error}");
    }
}

#[test]
fn measures_are_named_as_they_are_read() {
    for name in ["p50", "p99", "p99.9", "in-time", "coverage", "extra"] {
        assert_eq!(name.parse::<Measure>().unwrap().to_string(), name);
    }
    let error = "p98".parse::<Measure>().unwrap_err().to_string();
    assert!(error.contains("p99.9"), "{error}");
}
