//! Host daemons: the program of the deploy file as separate processes on loopback addresses.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::read_message;

/// The lowest of a host's ports; hosts differ by address, as on the platform.
const PORT: u16 = 21_000;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

#[cfg(target_os = "linux")]
pub const SIGSTOP: i32 = 19;
#[cfg(target_os = "linux")]
pub const SIGCONT: i32 = 18;

/// Where the hosts of one case run.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zone: &'static str,
    pub ips: Vec<String>,
}

#[derive(Debug)]
pub struct Host {
    pub ip: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
    log: PathBuf,
}

/// Returns loopback addresses that no other run uses.
pub fn loopback_ips(count: usize) -> Vec<String> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (1..=count).map(|at| format!("127.{}.{low}.{at}", high % 100 + 20)).collect()
}

impl Fleet {
    pub fn spawn_host(&self, at: usize) -> Host {
        let ip = self.ips[at].clone();
        let settings = self.folder.join(format!("{ip}.toml"));
        std::fs::write(&settings, self.settings(&ip)).expect("the temporary folder is writable");
        let log = self.folder.join(format!("{ip}.log"));
        // The command of deploy/system.toml.
        let child = Command::new("target/release/egretcross")
            .arg("front")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("EGRETCROSS_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("the temporary folder is writable"))
            .spawn()
            .unwrap_or_else(|error| crate::cannot_run(&format!("target/release/egretcross: {error}")));
        let address = |offset: u16| SocketAddr::new(ip.parse().expect("an address"), PORT + offset);
        Host { callers: address(0), ready: address(1), ip, child, log }
    }

    fn settings(&self, ip: &str) -> String {
        let seeds: Vec<String> = self.ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", PORT + 2)).collect();
        format!(
            r#"node_name = "front-{zone}-{ip}"
role = "front"
class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "muscat"
internal_ports = [{internal_first},{internal_last}]
seeds = [{seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zone} = "muscat"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.17
cores = 1
memory_mb = 182
max_fds = 2870
link_mbps = 700.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 129
recovery_s = 12
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"#,
            zone = self.zone,
            internal_first = PORT + 3,
            internal_last = PORT + 9,
            seeds = seeds.join(","),
            front = PORT,
            ready = PORT + 1,
            control = PORT + 2,
            store = self.store,
        )
    }
}

impl Host {
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
        let question = format!("GET /egretcross/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        if stream.write_all(question.as_bytes()).is_err() {
            return false;
        }
        matches!(read_message(&mut BufReader::new(stream)), Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                crate::cannot_run("a host did not become ready");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a call without pointers, to a process that this one started and has not waited for.
        unsafe { kill(self.child.id().cast_signed(), signal) };
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Creates an empty temporary folder.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("egretcross-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    folder
}

pub fn remove(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
