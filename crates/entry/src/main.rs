//! The entry daemon: `egret-entry`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use argh::FromArgs;
use egret_entry::{Entry, Options};
use egret_events::{Clock, Code, Journal};
use egret_model::HostName;
use egret_node::{
    AgentWatcher, HttpClient, HttpLimits, HttpServer, ListenError, LogFormat, init_stderr_log, run_daemon,
    stop_signal,
};
use egret_settings::{Environment, SettingsReader, check_or_exit};
use tokio::runtime::Handle;

/// Answers callers' queries.
///
/// Every option can be given as a variable too: --grace-ms as EGRET_GRACE_MS.
#[derive(FromArgs)]
struct Args {
    /// name of this host, as the platform lists it
    #[argh(option)]
    host: Option<String>,
    /// address to listen on for callers
    #[argh(option)]
    listen: Option<String>,
    /// address to listen on for other processes, as they reach it
    #[argh(option)]
    internal: Option<String>,
    /// address to bind for other processes, where it is not the one that they reach (default: the same)
    #[argh(option)]
    internal_listen: Option<String>,
    /// address of this host's agent
    #[argh(option)]
    agent: Option<String>,
    /// threads for traffic (default 2)
    #[argh(option)]
    threads: Option<String>,
    /// most bytes of a query (default 1048576)
    #[argh(option)]
    body_bytes: Option<String>,
    /// most bytes of a query's headers (default 16384)
    #[argh(option)]
    header_bytes: Option<String>,
    /// milliseconds in which a query's body must arrive (default 5000)
    #[argh(option)]
    body_timeout_ms: Option<String>,
    /// most connections of callers at a time (default 4096)
    #[argh(option)]
    connections: Option<String>,
    /// most shards of a query (default 10000)
    #[argh(option)]
    shards: Option<String>,
    /// milliseconds for which a ticket is valid (default 120000)
    #[argh(option)]
    ticket_ms: Option<String>,
    /// most used tickets that are remembered (default 100000)
    #[argh(option)]
    tickets: Option<String>,
    /// milliseconds between the signal to stop and the end of accepting (default 2000)
    #[argh(option)]
    notice_ms: Option<String>,
    /// milliseconds that requests in flight get after that (default 5000)
    #[argh(option)]
    grace_ms: Option<String>,
    /// log format: text or json (default text)
    #[argh(option)]
    log_format: Option<String>,
    /// least log level: error, warn, info or debug (default info)
    #[argh(option)]
    log_level: Option<String>,
    /// the only relay to ask, for benches only
    #[argh(option)]
    bench_relay: Option<String>,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

struct Servers {
    callers: HttpServer,
    internal: HttpServer,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let host: Option<HostName> = reader.optional("host", args.host, Some("local"));
    let address: Option<SocketAddr> = reader.optional("listen", args.listen, Some("127.0.0.1:8080"));
    let internal: Option<SocketAddr> = reader.optional("internal", args.internal, Some("127.0.0.1:7200"));
    let internal_listen: Option<SocketAddr> = reader.optional("internal-listen", args.internal_listen, None);
    let agent: Option<SocketAddr> = reader.optional("agent", args.agent, Some("127.0.0.1:7400"));
    let threads = reader.number("threads", args.threads, "2", 1..=64) as usize;
    let limits = HttpLimits {
        body_bytes: reader.number("body-bytes", args.body_bytes, "1048576", 1..=(64 << 20)) as usize,
        header_bytes: reader.number("header-bytes", args.header_bytes, "16384", 8192..=(1 << 20)) as usize,
        body_timeout: millis(reader.number("body-timeout-ms", args.body_timeout_ms, "5000", 1..=600_000)),
        connections: reader.number("connections", args.connections, "4096", 1..=1_000_000) as usize,
        ..HttpLimits::default()
    };
    let shards = reader.number("shards", args.shards, "10000", 1..=1_000_000) as usize;
    let ticket_lifetime = millis(reader.number("ticket-ms", args.ticket_ms, "120000", 1..=3_600_000));
    let tickets = reader.number("tickets", args.tickets, "100000", 1..=10_000_000) as usize;
    let notice = millis(reader.number("notice-ms", args.notice_ms, "2000", 0..=600_000));
    let grace = millis(reader.number("grace-ms", args.grace_ms, "5000", 0..=600_000));
    let bench_relay: Option<SocketAddr> = reader.optional("bench-relay", args.bench_relay, None);
    let log_format: Option<LogFormat> = reader.optional("log-format", args.log_format, Some("text"));
    let log_level: String = reader.value("log-level", args.log_level, Some("info"));
    check_or_exit(reader, args.check);
    let (Some(host), Some(address), Some(internal), Some(agent)) = (host, address, internal, agent) else {
        return ExitCode::from(2);
    };
    init_stderr_log(log_format.unwrap_or_default(), &log_level);
    let internal_listen = internal_listen.unwrap_or(internal);
    let options = Options {
        ticket_lifetime,
        tickets_max: tickets,
        shards_max: shards,
        bench_relay,
        ..Options::new(internal, internal_listen)
    };
    run_daemon(threads, async |traffic| {
        let journal = Journal::new(format!("entry@{host}"), Clock::new());
        let watcher = AgentWatcher::spawn(HttpClient::open(1), agent, journal.clone());
        let entry = Entry::spawn(options, watcher, journal.clone(), traffic.clone());
        let servers = match bind(&traffic, &entry, address, internal_listen, limits).await {
            Ok(servers) => servers,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        journal.record(Code::Started, None, format!("listening on {address}"));
        stop_signal().await;
        journal.record(Code::Stopping, None, "");
        entry.ops().start_shutdown();
        servers.callers.close_after_replies();
        tokio::time::sleep(notice).await;
        servers.callers.stop(grace).await;
        servers.internal.stop(grace).await;
        journal.record(Code::Stopped, None, "");
        ExitCode::SUCCESS
    })
}

async fn bind(
    traffic: &Handle,
    entry: &Entry,
    address: SocketAddr,
    internal: SocketAddr,
    limits: HttpLimits,
) -> Result<Servers, ListenError> {
    let callers = HttpServer::bind(traffic, address, limits, entry.caller_handler()).await?;
    let internal =
        HttpServer::bind(traffic, internal, HttpLimits::internal(), entry.internal_handler()).await?;
    Ok(Servers { callers, internal })
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
