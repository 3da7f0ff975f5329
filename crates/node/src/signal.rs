//! The signals that stop a daemon.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Panics
/// Panics if no signal handler can be installed, which does not happen on a working system.
pub async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("a signal handler can be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
