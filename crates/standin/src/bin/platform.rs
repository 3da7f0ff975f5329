//! The stand-in platform as a process: `egret-platform`.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use argh::FromArgs;
use egret_node::{run_daemon, stop_signal};
use egret_settings::{Environment, SettingsReader, check_or_exit};
use egret_standin::Platform;

const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the files of a directory as the keys of a platform, for tests and benches.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: Option<String>,
    /// directory whose files are the keys
    #[argh(option)]
    directory: Option<String>,
    /// print the effective settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut reader = SettingsReader::new(Environment::from_process());
    let address: Option<SocketAddr> = reader.optional("listen", args.listen, Some("127.0.0.1:7000"));
    let directory: Option<PathBuf> = reader.optional("directory", args.directory, None);
    check_or_exit(reader, args.check);
    run_daemon(1, async |traffic| {
        let Some(address) = address else { return ExitCode::from(2) };
        let platform = match Platform::bind(&traffic, address).await {
            Ok(platform) => platform,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        if let Some(directory) = directory {
            tokio::spawn(scan(platform, directory));
        }
        stop_signal().await;
        ExitCode::SUCCESS
    })
}

/// Stores what is in the directory; the head last, as its values must be there first.
async fn scan(platform: Platform, directory: PathBuf) {
    loop {
        let mut files: Vec<PathBuf> =
            std::fs::read_dir(&directory).into_iter().flatten().flatten().map(|entry| entry.path()).collect();
        files.sort_by_key(|path| (path.ends_with(egret_wire::CONFIG_HEAD_KEY), path.clone()));
        for path in files {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if let Ok(value) = std::fs::read_to_string(&path) {
                platform.put(name, &value);
            }
        }
        tokio::time::sleep(SCAN_INTERVAL).await;
    }
}
