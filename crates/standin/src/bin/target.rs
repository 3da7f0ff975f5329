//! Stand-in targets as a process: `egret-target`.

use std::{net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use egret_node::{run_daemon, stop_signal};
use egret_settings::{Environment, SettingsReader, check_or_exit};
use egret_standin::{Behaviour, Target};

const TRAFFIC_THREADS: usize = 1;

/// Serves stand-in targets on consecutive ports, for tests and benches.
#[derive(FromArgs)]
struct Args {
    /// address of the first target
    #[argh(option)]
    listen: Option<String>,
    /// number of targets
    #[argh(option)]
    count: Option<String>,
    /// behaviour of all targets, as JSON
    #[argh(option)]
    behaviour: Option<String>,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let first: Option<SocketAddr> = reader.optional("listen", args.listen, Some("127.0.0.1:7100"));
    let count = reader.number("count", args.count, "1", 1..=2000);
    let text: String = reader.value("behaviour", args.behaviour, Some("{}"));
    let behaviour: Behaviour = serde_json::from_str(&text).unwrap_or_else(|error| {
        reader.error("behaviour", &format!("is not valid ({error})"), "give JSON as docs/TARGETS.md shows");
        Behaviour::default()
    });
    check_or_exit(reader, args.check);
    run_daemon(TRAFFIC_THREADS, async |traffic| {
        let Some(first) = first else { return ExitCode::from(2) };
        for offset in 0..count as u16 {
            let address = SocketAddr::new(first.ip(), first.port() + offset);
            if let Err(error) = Target::bind(&traffic, address, behaviour.clone()).await {
                eprintln!("cannot listen on {address} ({error}): free the port or give another address");
                return ExitCode::FAILURE;
            }
        }
        stop_signal().await;
        ExitCode::SUCCESS
    })
}
