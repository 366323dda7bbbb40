//! The graceful end of a program.

use std::sync::Arc;

use tokio::sync::watch;

/// Tells the parts of a program that it ends.
#[derive(Debug, Clone)]
pub struct Shutdown {
    rx: watch::Receiver<bool>,
}

/// Ends a program; dropping the last one ends it too.
#[derive(Debug, Clone)]
pub struct ShutdownTrigger {
    tx: Arc<watch::Sender<bool>>,
}

impl Shutdown {
    /// Whether the end has begun.
    pub fn is_requested(&self) -> bool {
        *self.rx.borrow() || self.rx.has_changed().is_err()
    }

    /// Waits until the end begins.
    pub async fn requested(&mut self) {
        // A closed channel means that the trigger is gone, which is an end as well.
        drop(self.rx.wait_for(|begun| *begun).await);
    }
}

impl ShutdownTrigger {
    /// Creates a trigger that has not been pulled.
    #[expect(clippy::new_without_default, reason = "a trigger is made on purpose")]
    pub fn new() -> Self {
        Self {
            tx: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Begins the end.
    pub fn shut_down(&self) {
        self.tx.send_replace(true);
    }

    /// A receiver of the end.
    pub fn subscribe(&self) -> Shutdown {
        Shutdown {
            rx: self.tx.subscribe(),
        }
    }
}
