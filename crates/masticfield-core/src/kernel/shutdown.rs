//! Graceful shutdown of a program.

use std::sync::Arc;

use tokio::sync::watch;

/// Receiver of the shutdown signal of a program.
#[derive(Debug, Clone)]
pub struct Shutdown {
    rx: watch::Receiver<bool>,
}

/// Sender of the shutdown signal; dropping the last one requests the shutdown too.
#[derive(Debug, Clone)]
pub struct ShutdownTrigger {
    tx: Arc<watch::Sender<bool>>,
}

impl Shutdown {
    /// Returns whether the shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        *self.rx.borrow() || self.rx.has_changed().is_err()
    }

    /// Waits until the shutdown is requested.
    pub async fn requested(&mut self) {
        // A closed channel means that every trigger was dropped, which requests it too.
        drop(self.rx.wait_for(|requested| *requested).await);
    }
}

impl ShutdownTrigger {
    /// Creates a trigger for a shutdown that has not been requested.
    #[expect(
        clippy::new_without_default,
        reason = "dropping it requests the shutdown, so it is created explicitly"
    )]
    pub fn new() -> Self {
        Self {
            tx: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Requests the shutdown.
    pub fn shut_down(&self) {
        self.tx.send_replace(true);
    }

    /// Returns a receiver of the signal.
    pub fn subscribe(&self) -> Shutdown {
        Shutdown {
            rx: self.tx.subscribe(),
        }
    }
}
