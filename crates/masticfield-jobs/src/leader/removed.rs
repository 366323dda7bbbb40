//! Incarnations of executors that were removed, and announce themselves again.
//!
//! An announcement may be sent before the incarnation ends and arrive after its removal. It does not
//! show that the executor runs; a report of its runs does, which also shows that calls for former
//! incarnations are refused from then on.

use std::sync::Arc;
use std::time::Duration;

use super::{Leader, Moment};
use crate::state::Command;

/// Time for which removed incarnations are recorded, longer than announcements are held up on their way.
const RETENTION: Duration = Duration::from_mins(1);

impl Leader {
    /// Records that an incarnation is removed, and so all earlier ones of the executor.
    pub(super) fn record_removed(&mut self, now: Moment, id: &Arc<str>, started_ms: u64) {
        let id = Arc::clone(id);
        self.removed_until
            .insert(Arc::clone(&id), now.monotonic + RETENTION);
        self.propose(Command::Removed { id, started_ms });
    }

    /// Takes over which incarnations were removed, which the former leader may have done right before.
    pub(super) fn take_over_removed(&mut self, now: Moment) {
        let ids = self.state.removed_incarnations().map(|(id, _)| id);
        let until = now.monotonic + RETENTION;
        self.removed_until = ids.map(|id| (Arc::clone(id), until)).collect();
    }

    /// Removes from the state the records of incarnations that were removed long ago.
    pub(super) fn forget_removed(&mut self, now: Moment) {
        let expired = self
            .removed_until
            .extract_if(.., |_, until| *until < now.monotonic);
        let ids: Vec<_> = expired.map(|(id, _)| id).collect();
        if !ids.is_empty() {
            self.propose(Command::ForgetRemoved { ids });
        }
    }
}
