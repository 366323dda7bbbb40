//! The stream of changes that concern leases.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::StateChange;

/// The changes of the state in the order of the log, for the one part that takes them.
#[derive(Debug, Clone)]
pub(crate) struct StateChanges(Arc<Mutex<Option<mpsc::UnboundedReceiver<StateChange>>>>);

impl StateChanges {
    pub(super) fn new(rx: mpsc::UnboundedReceiver<StateChange>) -> Self {
        Self(Arc::new(Mutex::new(Some(rx))))
    }

    /// Takes the stream; a closed one if it was taken before.
    pub(crate) fn take(&self) -> mpsc::UnboundedReceiver<StateChange> {
        let taken = self.0.lock().take();
        taken.unwrap_or_else(|| mpsc::unbounded_channel().1)
    }
}
