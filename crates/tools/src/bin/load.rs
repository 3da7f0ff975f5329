//! Sends an open-loop load and reports: `egret-load`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use argh::FromArgs;
use egret_client::Client;
use egret_settings::{Environment, SettingsReader, check_or_exit};
use egret_tools::load::{Plan, run};

/// Sends queries at times fixed beforehand and reports latency, coverage and extra attempts.
#[derive(FromArgs)]
struct Args {
    /// comma-separated entries
    #[argh(option)]
    entries: Option<String>,
    /// group to ask
    #[argh(option)]
    group: Option<String>,
    /// class of work
    #[argh(option)]
    class: Option<String>,
    /// body as JSON; %N becomes the query's number
    #[argh(option)]
    body: Option<String>,
    /// time budget in milliseconds (default 74)
    #[argh(option)]
    budget_ms: Option<String>,
    /// queries per second (default 50)
    #[argh(option)]
    rate: Option<String>,
    /// seconds to send (default 10)
    #[argh(option)]
    seconds: Option<String>,
    /// seed of the arrival times (default 1)
    #[argh(option)]
    seed: Option<String>,
    /// mark every query as non-idempotent
    #[argh(switch)]
    non_idempotent: bool,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let mut entries: Vec<SocketAddr> = reader.list("entries", args.entries);
    if entries.is_empty() {
        entries.push(SocketAddr::from(([127, 0, 0, 1], 8080)));
    }
    let plan = Plan {
        group: reader.value("group", args.group, Some("field-desk")),
        class: reader.value("class", args.class, Some("field-lookup")),
        body: reader.value("body", args.body, Some(r#"{"field":"nizwa","n":%N}"#)),
        budget: Duration::from_millis(reader.number("budget-ms", args.budget_ms, "74", 1..=60_000)),
        rate: reader.number("rate", args.rate, "50", 1..=1_000_000) as f64,
        duration: Duration::from_secs(reader.number("seconds", args.seconds, "10", 1..=3600)),
        seed: reader.number("seed", args.seed, "1", 0..=u64::MAX),
        non_idempotent: args.non_idempotent,
    };
    check_or_exit(reader, args.check);
    let runtime = tokio::runtime::Runtime::new().expect("the operating system gives threads");
    match runtime.block_on(run(&Client::open(entries), &plan)) {
        Ok(report) if args.json => {
            println!("{}", serde_json::to_string(&report.summary()).expect("numbers have a JSON form"));
            ExitCode::SUCCESS
        }
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
