//! The agent daemon: `egret-agent`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use argh::FromArgs;
use egret_agent::{Agent, IDLE_CONNECTIONS, Options};
use egret_events::Code;
use egret_model::{DataCentre, HostName};
use egret_node::{HttpClient, HttpLimits, HttpServer, LogFormat, init_stderr_log, run_daemon, stop_signal};
use egret_settings::{Environment, SettingsReader, check_or_exit};

const TRAFFIC_THREADS: usize = 1;

/// Follows the platform's configuration and host list for one host.
///
/// Every option can be given as a variable too: --gossip-ms as EGRET_GOSSIP_MS.
#[derive(FromArgs)]
struct Args {
    /// name of this host
    #[argh(option)]
    host: Option<String>,
    /// data centre of this host
    #[argh(option)]
    data_centre: Option<String>,
    /// address to listen on, as peers reach it
    #[argh(option)]
    listen: Option<String>,
    /// address of the platform's configuration service
    #[argh(option)]
    platform: Option<String>,
    /// comma-separated agents to ask at start
    #[argh(option)]
    peers: Option<String>,
    /// milliseconds between questions to peers (default 1000)
    #[argh(option)]
    gossip_ms: Option<String>,
    /// milliseconds that requests in flight get at the end (default 5000)
    #[argh(option)]
    grace_ms: Option<String>,
    /// log format: text or json (default text)
    #[argh(option)]
    log_format: Option<String>,
    /// least log level: error, warn, info or debug (default info)
    #[argh(option)]
    log_level: Option<String>,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let host: Option<HostName> = reader.optional("host", args.host, Some("local"));
    let data_centre: Option<DataCentre> = reader.optional("data-centre", args.data_centre, Some("local"));
    let address: Option<SocketAddr> = reader.optional("listen", args.listen, Some("127.0.0.1:7400"));
    let platform: Option<SocketAddr> = reader.optional("platform", args.platform, Some("127.0.0.1:7000"));
    let seed_peers = reader.list("peers", args.peers);
    let gossip_interval =
        Duration::from_millis(reader.number("gossip-ms", args.gossip_ms, "1000", 10..=60_000));
    let grace = Duration::from_millis(reader.number("grace-ms", args.grace_ms, "5000", 0..=600_000));
    let log_format: Option<LogFormat> = reader.optional("log-format", args.log_format, Some("text"));
    let log_level: String = reader.value("log-level", args.log_level, Some("info"));
    check_or_exit(reader, args.check);
    let (Some(host), Some(data_centre), Some(address), Some(platform)) =
        (host, data_centre, address, platform)
    else {
        return ExitCode::from(2);
    };
    init_stderr_log(log_format.unwrap_or_default(), &log_level);
    let client = HttpClient::open_from(IDLE_CONNECTIONS, address);
    let options = Options { host, data_centre, address, client, platform, seed_peers, gossip_interval };
    run_daemon(TRAFFIC_THREADS, async |traffic| {
        let agent = Agent::spawn(options);
        let journal = agent.ops().journal.clone();
        let server = match HttpServer::bind(&traffic, address, HttpLimits::default(), agent.handler()).await {
            Ok(server) => server,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        journal.record(Code::Started, None, format!("listening on {}", server.address()));
        stop_signal().await;
        agent.ops().start_shutdown();
        journal.record(Code::Stopping, None, "");
        server.stop(grace).await;
        journal.record(Code::Stopped, None, "");
        ExitCode::SUCCESS
    })
}
