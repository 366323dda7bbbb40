//! Hands the stream of state changes to its consumer.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::StateChange;

/// The state changes that concern leases, in the order of the log, for a single consumer.
#[derive(Debug, Clone)]
pub(crate) struct StateChanges(Arc<Mutex<Option<mpsc::UnboundedReceiver<StateChange>>>>);

impl StateChanges {
    pub(super) fn new(rx: mpsc::UnboundedReceiver<StateChange>) -> Self {
        Self(Arc::new(Mutex::new(Some(rx))))
    }

    /// Takes the stream; later calls return a closed one.
    pub(crate) fn take(&self) -> mpsc::UnboundedReceiver<StateChange> {
        let taken = self.0.lock().take();
        taken.unwrap_or_else(|| mpsc::unbounded_channel().1)
    }
}
