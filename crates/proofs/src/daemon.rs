//! One daemon as a process.

use std::{
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// The role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `egret-agent`.
    Agent,
    /// `egret-relay`.
    Relay,
    /// `egret-entry`.
    Entry,
}

/// What a process used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Processor time in seconds.
    pub cpu_secs: f64,
    /// Resident memory in megabytes.
    pub rss_mb: f64,
}

/// A running daemon; dropping it kills it.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
}

/// Returns the path of a program of this workspace, built beside the test.
///
/// # Panics
/// Panics where the test's own path is not known.
#[must_use]
pub fn binary_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own path");
    let profile =
        test.parent().and_then(|deps| deps.parent()).expect("tests lie two levels below their profile");
    profile.join(name)
}

impl Daemon {
    /// Starts a program of this workspace.
    ///
    /// # Panics
    /// Panics where the program cannot be started: build the binaries first.
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
                panic!("{name} cannot be started ({error}): run cargo build --bins first")
            });
        Self { child }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }

    /// Returns the exit code, where the process ended by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }

    /// Returns what the process used so far.
    #[must_use]
    pub fn usage(&self) -> ResourceUsage {
        const TICKS_PER_SECOND: f64 = 100.0;
        const PAGE_MB: f64 = 4096.0 / 1_048_576.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        // Fields 14, 15 and 24 of the line; the first two stand before the bracket.
        ResourceUsage { cpu_secs: (field(11) + field(12)) / TICKS_PER_SECOND, rss_mb: field(21) * PAGE_MB }
    }

    /// Returns the process's identifier.
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
