//! Cases of the second independent review. Usage: `egret-review-2 CASE RECORD`; the exit code is 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod http;
mod replica;
mod site;
mod store;

use std::{panic::catch_unwind, path::PathBuf, process::ExitCode};

use site::Record;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(run) = cases::find(&case) else {
        eprintln!("no case {case:?}");
        return ExitCode::from(2);
    };
    let Some(path) = std::env::args_os().nth(2).map(PathBuf::from) else {
        eprintln!("no file for the record is given");
        return ExitCode::from(2);
    };
    let result = catch_unwind(|| {
        let record = Record::create(&path);
        record.line(&format!("case {case}, trouble: {trouble}"));
        let broken = run(&record, trouble);
        record.line(if broken { "the rule was broken" } else { "the rule held" });
        broken
    });
    match result {
        Ok(broken) => {
            println!(
                "case {case}, trouble {trouble}: the rule {}",
                if broken { "was broken" } else { "held" }
            );
            ExitCode::from(u8::from(broken))
        }
        Err(_) => ExitCode::from(2),
    }
}
