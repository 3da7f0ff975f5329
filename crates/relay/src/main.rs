//! The relay daemon: `egret-relay`.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use argh::FromArgs;
use egret_events::{Clock, Code, Journal};
use egret_model::HostName;
use egret_node::{
    AgentWatcher, HttpClient, HttpLimits, HttpServer, LogFormat, init_stderr_log, run_daemon, stop_signal,
};
use egret_policy::Baseline;
use egret_relay::{Options, Relay};
use egret_settings::{Environment, SettingsReader, check_or_exit};

/// Owns the connections to the targets of the services assigned to this host.
///
/// Every option can be given as a variable too: --grace-ms as EGRET_GRACE_MS.
#[derive(FromArgs)]
struct Args {
    /// name of this host, as the platform lists it
    #[argh(option)]
    host: Option<String>,
    /// address to listen on, as entries reach it
    #[argh(option)]
    listen: Option<String>,
    /// address of this host's agent
    #[argh(option)]
    agent: Option<String>,
    /// threads for traffic (default 2)
    #[argh(option)]
    threads: Option<String>,
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
    /// simple design to compare with, for benches only (default none)
    #[argh(option)]
    bench_baseline: Option<String>,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let host: Option<HostName> = reader.optional("host", args.host, Some("local"));
    let address: Option<SocketAddr> = reader.optional("listen", args.listen, Some("127.0.0.1:7300"));
    let agent: Option<SocketAddr> = reader.optional("agent", args.agent, Some("127.0.0.1:7400"));
    let threads = reader.number("threads", args.threads, "2", 1..=64) as usize;
    let notice = Duration::from_millis(reader.number("notice-ms", args.notice_ms, "2000", 0..=600_000));
    let grace = Duration::from_millis(reader.number("grace-ms", args.grace_ms, "5000", 0..=600_000));
    let baseline: Baseline = reader.value("bench-baseline", args.bench_baseline, Some("none"));
    let log_format: Option<LogFormat> = reader.optional("log-format", args.log_format, Some("text"));
    let log_level: String = reader.value("log-level", args.log_level, Some("info"));
    check_or_exit(reader, args.check);
    let (Some(host), Some(address), Some(agent)) = (host, address, agent) else { return ExitCode::from(2) };
    init_stderr_log(log_format.unwrap_or_default(), &log_level);
    let journal_name = format!("relay@{host}");
    let options = Options { baseline, ..Options::new(host, address) };
    run_daemon(threads, async |traffic| {
        let journal = Journal::new(journal_name, Clock::new());
        let watcher = AgentWatcher::spawn(HttpClient::open(1), agent, journal.clone());
        let relay = Relay::spawn(options, watcher, journal.clone(), traffic.clone());
        let server = match HttpServer::bind(&traffic, address, HttpLimits::internal(), relay.handler()).await
        {
            Ok(server) => server,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        journal.record(Code::Started, None, format!("listening on {}", server.address()));
        stop_signal().await;
        journal.record(Code::Stopping, None, "");
        relay.ops().start_shutdown();
        server.close_after_replies();
        tokio::time::sleep(notice).await;
        server.stop(grace).await;
        journal.record(Code::Stopped, None, "");
        ExitCode::SUCCESS
    })
}
