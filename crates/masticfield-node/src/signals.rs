//! Graceful shutdown on a signal.

use masticfield_core::kernel::ShutdownTrigger;
use tokio::signal::unix::{SignalKind, signal};

/// Number of SIGXFSZ, which a write beyond the limit of the size of files raises.
const SIGXFSZ: i32 = 25;

/// Requests the shutdown on the first SIGTERM or SIGINT.
///
/// Also handles SIGXFSZ, which would end the process: the write returns an error as well.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn shut_down_on_signal(trigger: ShutdownTrigger) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut file_too_large = signal(SignalKind::from_raw(SIGXFSZ))?;
    tokio::spawn(async move { while file_too_large.recv().await.is_some() {} });
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
