//! One thread for control state and others for traffic.

use std::process::ExitCode;

use tokio::runtime::{Builder, Handle};

/// Runs a daemon: `daemon` on this thread, traffic on `traffic_threads` others.
///
/// Control work keeps its own thread, so that a burst of queries cannot delay a
/// drain or a new configuration.
///
/// # Panics
/// Panics where the operating system gives no threads.
pub fn run_daemon(traffic_threads: usize, daemon: impl AsyncFnOnce(Handle) -> ExitCode) -> ExitCode {
    let traffic = Builder::new_multi_thread()
        .worker_threads(traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .expect("the operating system gives threads");
    let control =
        Builder::new_current_thread().enable_all().build().expect("the operating system gives threads");
    let code = control.block_on(daemon(traffic.handle().clone()));
    traffic.shutdown_background();
    code
}
