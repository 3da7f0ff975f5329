//! `egret-timeline`: prints the events of all processes on one timeline, or the log lines of one
//! request.

use std::{fs, net::SocketAddr, path::Path, process::ExitCode, time::Duration};

use argh::FromArgs;
use egret_events::{Event, EventFilter, LogLine, merge_journals, request_timeline};
use egret_model::QueryId;
use egret_node::HttpClient;
use egret_settings::{Environment, SettingsReader, check_or_exit};
use egret_wire::EVENTS_PATH;

/// The time that one process may take to send its events.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Merges the event journals of all processes into one timeline in causal order.
#[derive(FromArgs)]
struct Args {
    /// comma-separated addresses of agents, relays and entries (internal)
    #[argh(option)]
    from: Option<String>,
    /// print the lines of this request from the log files of all hosts, ordered by the request's age
    #[argh(option)]
    request: Option<String>,
    /// log files for --request; a file's name without its extension is taken as the host's name
    #[argh(positional)]
    logs: Vec<String>,
    /// only events of this query
    #[argh(option)]
    query: Option<String>,
    /// only events with this number
    #[argh(option)]
    event: Option<String>,
    /// only events of processes on this host
    #[argh(option)]
    only_host: Option<String>,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if let Some(request) = &args.request {
        return print_request(request, &args.logs);
    }
    let mut reader = SettingsReader::new(Environment::from_process());
    let from: Vec<SocketAddr> = reader.list("from", args.from);
    let query: Option<QueryId> = reader.optional("query", args.query, None);
    let number: Option<u16> = reader.optional("event", args.event, None);
    let host: Option<String> = reader.optional("only-host", args.only_host, None);
    if from.is_empty() {
        reader.error("from", "names no process", "give at least one address");
    }
    check_or_exit(reader, args.check);
    let (journals, failed) = read_journals(&from).await;
    let filter = EventFilter { query, number, host };
    for event in merge_journals(journals).iter().filter(|event| filter.matches(event)) {
        if args.json {
            println!("{}", serde_json::to_string(event).expect("events are serialisable"));
        } else {
            println!("{event}");
        }
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn print_request(request: &str, logs: &[String]) -> ExitCode {
    if logs.is_empty() {
        eprintln!("--request needs log files: give those of all hosts as arguments");
        return ExitCode::FAILURE;
    }
    let mut lines = Vec::new();
    let mut failed = false;
    for log in logs {
        let host = Path::new(log).file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
        match fs::read(log) {
            Ok(text) => {
                let text = String::from_utf8_lossy(&text);
                lines.extend(text.lines().filter_map(|line| LogLine::parse(&host, line)));
            }
            Err(error) => {
                eprintln!("{log} cannot be read ({error}): check its path and permissions");
                failed = true;
            }
        }
    }
    let timeline = request_timeline(request, lines);
    for line in &timeline {
        println!("{line}");
    }
    if timeline.is_empty() {
        eprintln!(
            "no log line has the request identifier {request}: check it, and give the log files of all hosts"
        );
        failed = true;
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Returns the journals that could be read, and whether any could not.
async fn read_journals(from: &[SocketAddr]) -> (Vec<Vec<Event>>, bool) {
    let client = HttpClient::open(1);
    let mut journals = Vec::new();
    let mut failed = false;
    for &address in from {
        let read = client.get(address, EVENTS_PATH, READ_TIMEOUT).await;
        match read.map(|exchange| serde_json::from_slice::<Vec<Event>>(&exchange.body)) {
            Ok(Ok(events)) => journals.push(events),
            Ok(Err(error)) => {
                eprintln!(
                    "{address} did not send events ({error}): check that it is the internal address of an egretcross process"
                );
                failed = true;
            }
            Err(error) => {
                eprintln!("{error}");
                failed = true;
            }
        }
    }
    (journals, failed)
}
