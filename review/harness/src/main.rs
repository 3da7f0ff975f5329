//! The cases that are shown by a script. Each subcommand plays one case and writes its record.

mod client;
mod host;
mod http;
mod judge;
mod random;
mod replica;
mod store;

mod crashing;
mod crashing_query;
mod crashing_request;
mod frozen_gatherer;

use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Instant;

/// What a case was found to do.
pub enum Verdict {
    Held,
    Broken,
}

/// What was sent, answered and run, in the order of the lines.
pub struct Record {
    began_at: Instant,
    text: String,
}

impl Record {
    fn new() -> Self {
        Self { began_at: Instant::now(), text: String::new() }
    }

    /// Adds a line about a moment.
    pub fn at(&mut self, at: Instant, line: &str) {
        let seconds = at.saturating_duration_since(self.began_at).as_secs_f64();
        let _ = writeln!(self.text, "{seconds:8.3} {line}");
    }

    /// Adds a line about now; it is printed, too.
    pub fn note(&mut self, line: &str) {
        println!("{line}");
        self.at(Instant::now(), line);
    }
}

/// Ends the process, as the case could not run. Processes that were started end with their parent's guards.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::panic::panic_any(CannotRun)
}

struct CannotRun;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record_file) = match (args.next(), args.next()) {
        (Some(case), Some(file)) => (case, PathBuf::from(file)),
        _ => {
            eprintln!("usage: review-harness CASE RECORD");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::new();
    record.note(&format!("case {case}, with the disruption: {trouble}"));
    let play = std::panic::AssertUnwindSafe(|| match case.as_str() {
        "frozen-gatherer" => frozen_gatherer::play(&mut record, trouble),
        "crashing-query" => crashing_query::play(&mut record, trouble),
        "crashing-request" => crashing_request::play(&mut record, trouble),
        _ => cannot_run("there is no such case"),
    });
    let verdict = std::panic::catch_unwind(play);
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held"),
        Ok(Verdict::Broken) => (1, "the rule was broken"),
        Err(_) => (2, "the case could not run"),
    };
    record.note(text);
    if let Err(error) = std::fs::write(&record_file, &record.text) {
        eprintln!("{}: {error}", record_file.display());
        std::process::exit(2);
    }
    std::process::exit(code);
}
