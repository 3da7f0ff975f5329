//! Draws measured rows as an SVG picture: `egret-plot`.

use std::{fs, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use egret_settings::{Environment, SettingsReader, check_or_exit};
use egret_tools::plot::{Measure, MeasuredRow, draw};

/// Draws the rows that scripts/bench --out wrote.
#[derive(FromArgs)]
struct Args {
    /// file with the rows as JSON
    #[argh(option)]
    input: Option<String>,
    /// file for the picture
    #[argh(option)]
    output: Option<String>,
    /// what to show: p50, p99, p99.9, in-time, coverage or extra (default p99)
    #[argh(option)]
    measure: Option<String>,
    /// comma-separated beginnings of the cases to show (default: all)
    #[argh(option)]
    cases: Option<String>,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let input: PathBuf = reader.value("input", args.input, None);
    let output: PathBuf = reader.value("output", args.output, None);
    let measure: Option<Measure> = reader.optional("measure", args.measure, Some("p99"));
    let cases: Vec<String> = reader.list("cases", args.cases);
    check_or_exit(reader, args.check);
    let drawn = read(&input).and_then(|mut rows| {
        rows.retain(|row| cases.is_empty() || cases.iter().any(|case| row.case.starts_with(case)));
        draw(&rows, measure.unwrap_or(Measure::P99)).map_err(|error| error.to_string())
    });
    let written = drawn.and_then(|svg| {
        fs::write(&output, svg)
            .map_err(|error| format!("{} cannot be written ({error}): give another file", output.display()))
    });
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::FAILURE
        }
    }
}

fn read(input: &PathBuf) -> Result<Vec<MeasuredRow>, String> {
    let remedy = "give a file that scripts/bench --out wrote";
    let text = fs::read_to_string(input)
        .map_err(|error| format!("{} cannot be read ({error}): {remedy}", input.display()))?;
    serde_json::from_str(&text)
        .map_err(|error| format!("{} has no rows ({error}): {remedy}", input.display()))
}
