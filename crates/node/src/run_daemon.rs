//! Runs a daemon with one thread for control tasks and others for traffic.

use std::process::ExitCode;

use tokio::runtime::{Builder, Handle};

/// Runs `daemon` on the calling thread and passes it a runtime of `traffic_threads` other threads.
///
/// Control tasks have a thread of their own, so that a burst of queries cannot delay a
/// drain or a new configuration.
///
/// # Panics
/// Panics if the operating system provides no threads.
pub fn run_daemon(traffic_threads: usize, daemon: impl AsyncFnOnce(Handle) -> ExitCode) -> ExitCode {
    let traffic = Builder::new_multi_thread()
        .worker_threads(traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .expect("the operating system provides threads");
    let control =
        Builder::new_current_thread().enable_all().build().expect("the operating system provides threads");
    let code = control.block_on(daemon(traffic.handle().clone()));
    traffic.shutdown_background();
    code
}
