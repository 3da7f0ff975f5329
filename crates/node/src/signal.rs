//! Waiting for the signal to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
/// Panics where the signals cannot be watched, which no running system refuses.
pub async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be watched");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be watched");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
