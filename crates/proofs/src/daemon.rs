//! Starts a daemon as a process, sends it signals and reads its resource usage.

use std::{
    collections::BTreeMap,
    fs::DirEntry,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// The kinds of daemons; each host runs one of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `egret-agent`.
    Agent,
    /// `egret-relay`.
    Relay,
    /// `egret-entry`.
    Entry,
}

/// The resources that a process has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Processor time in user and kernel mode, in seconds.
    pub cpu_secs: f64,
    /// Resident memory in megabytes.
    pub rss_mb: f64,
}

/// How long a process may take to stop after SIGSTOP on a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A running process of a daemon, killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
}

/// Returns the path of a program of this workspace, built in the same profile as the test.
///
/// # Panics
/// Panics if the path of the test's own executable is not known.
#[must_use]
pub fn binary_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test executable is known");
    let profile = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("test executables are two levels below the profile's directory");
    profile.join(name)
}

impl Daemon {
    /// Starts a program of this workspace.
    ///
    /// # Panics
    /// Panics if the program cannot be started; `cargo build --bins` must have built it.
    #[must_use]
    pub fn start(name: &str, args: &[String]) -> Self {
        let log =
            if std::env::var_os("EGRET_TEST_LOGS").is_some() { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(binary_path(name))
            .args(args)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                panic!("cannot start {name} ({error}): build it first with cargo build --bins")
            });
        Self { child }
    }

    /// Sends a signal to the process; a failure to send it is ignored.
    ///
    /// After SIGSTOP it waits until all threads have stopped: on a busy machine they run on until one of them
    /// gets a processor and takes the signal, and may begin work on what is sent to them meanwhile.
    ///
    /// # Panics
    /// Panics if the process does not stop in time.
    pub fn signal(&self, signal: Signal) {
        let is_sent = kill(Pid::from_raw(self.child.id().cast_signed()), signal).is_ok();
        let started = Instant::now();
        while is_sent && signal == Signal::SIGSTOP && !self.is_stopped() {
            assert!(started.elapsed() < STOP_TIMEOUT, "process {} does not stop", self.id());
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns whether no thread of the process can run: all are stopped or have ended.
    fn is_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.id())).into_iter().flatten().flatten();
        threads.into_iter().all(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // proc(5): the state follows the name in brackets; T is stopped, Z and X are ended.
            let state = stat.rsplit(')').next().and_then(|rest| rest.trim_start().chars().next());
            state.is_none_or(|state| "TZX".contains(state))
        })
    }

    /// Returns the exit code if the process has ended, other than by a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }

    /// Returns the resources used since the start, zero if they cannot be read.
    #[must_use]
    pub fn usage(&self) -> ResourceUsage {
        const TICKS_PER_SECOND: f64 = 100.0;
        const PAGE_MB: f64 = 4096.0 / 1_048_576.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        // proc(5): utime, stime and rss are fields 14, 15 and 24. The text after the bracket begins at field 3.
        ResourceUsage { cpu_secs: (field(11) + field(12)) / TICKS_PER_SECOND, rss_mb: field(21) * PAGE_MB }
    }

    /// Returns for how long each thread that serves traffic was ready to run but waited for a processor, by
    /// thread id.
    #[must_use]
    pub fn processor_waits(&self) -> BTreeMap<u32, Duration> {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.id())).into_iter().flatten().flatten();
        let wait = |thread: DirEntry| {
            let name = std::fs::read_to_string(thread.path().join("comm")).ok()?;
            let times = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            // The time on a processor, the time waiting for one, and how often it ran.
            let wait_ns =
                times.split_whitespace().nth(1)?.parse().ok().filter(|_| name.trim() == "traffic")?;
            Some((thread.file_name().to_str()?.parse().ok()?, Duration::from_nanos(wait_ns)))
        };
        threads.filter_map(wait).collect()
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
