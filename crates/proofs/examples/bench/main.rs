//! Measures the product and simple baselines in a set of cases, one after the other.
//!
//! `scripts/bench [--out FILE] [--compare OLD] [CASE…]` runs it; docs/measurements/
//! keeps the results.

mod bytes;
mod cases;
mod faults;
mod row;
mod sites;
mod slopes;

use row::Row;

const CASES: [&str; 16] = [
    "cold",
    "idle",
    "calm",
    "straggler",
    "yard",
    "lost",
    "overload",
    "storm",
    "relay-lost",
    "dc-lost",
    "shedding",
    "rolling",
    "crashing",
    "sites",
    "slopes",
    "bytes",
];

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1);
    let (mut wanted, mut out, mut compare) = (Vec::new(), None, None);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--out" => out = args.next(),
            "--compare" => compare = args.next(),
            case if CASES.contains(&case) => wanted.push(case.to_owned()),
            other => {
                eprintln!("unknown case {other}: give one or more of {}", CASES.join(", "));
                std::process::exit(2);
            }
        }
    }
    if wanted.is_empty() {
        wanted = CASES.iter().map(|&case| case.to_owned()).collect();
    }
    let mut rows: Vec<Row> = Vec::new();
    println!("{}", Row::heading());
    for case in wanted {
        rows.extend(match case.as_str() {
            "cold" => cases::cold().await,
            "idle" => cases::idle().await,
            "calm" => cases::calm().await,
            "straggler" => cases::straggler().await,
            "yard" => faults::yard_assess().await,
            "lost" => faults::replica_lost().await,
            "overload" => cases::overload().await,
            "storm" => cases::storm().await,
            "relay-lost" => faults::relay_lost().await,
            "dc-lost" => faults::data_centre_lost().await,
            "shedding" => faults::shedding().await,
            "rolling" => faults::rolling().await,
            "crashing" => faults::crashing().await,
            "sites" => sites::run().await,
            "slopes" => slopes::run().await,
            _ => {
                // It runs on a paused clock, so on another runtime, and prints its own table.
                let counted = std::thread::spawn(bytes::run).join();
                counted.expect("the case bytes does not panic");
                Vec::new()
            }
        });
    }
    if let Some(old) = compare.and_then(|path| std::fs::read_to_string(path).ok()) {
        row::print_ratios(
            &rows,
            &serde_json::from_str::<Vec<Row>>(&old)
                .expect("the file of --compare holds rows of an earlier run"),
        );
    }
    if let Some(path) = out {
        let text = serde_json::to_string_pretty(&rows).expect("rows can be written as JSON");
        std::fs::write(path, text).expect("the file of --out can be written");
    }
}
