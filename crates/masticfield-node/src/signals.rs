//! Graceful shutdown on a signal.

use masticfield_core::kernel::ShutdownTrigger;
use tokio::signal::unix::{SignalKind, signal};

/// Requests the shutdown on the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn shut_down_on_signal(trigger: ShutdownTrigger) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        log::info!(signal = name; "stopping");
        trigger.shut_down();
    });
    Ok(())
}
