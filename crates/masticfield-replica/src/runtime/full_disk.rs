//! Behaviour of a running replica whose data folder cannot be written for lack of space.

use std::time::Duration;

use masticfield_core::clock::boot_now;

use super::running::RunningReplica;
use crate::consensus::Event;
use crate::{PersistentState, Write};

/// Interval of the attempts to write again.
///
/// An attempt writes 256 KiB. Callers wait for the end of the condition, and their jobs lose value
/// within seconds.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A lack of space, from the first failed write until the folder is written again.
#[derive(Debug, Clone, Copy)]
pub(super) struct NoSpace {
    since: Duration,
    next_attempt: Duration,
    /// Whether an attempt is running on the disk thread.
    pub(super) attempting: bool,
}

impl RunningReplica {
    /// Handles a write or an attempt to write again that failed for lack of space.
    ///
    /// Nothing that was to be written since the last successful sync takes effect, as if the replica
    /// had crashed before.
    pub(super) fn on_no_space(&mut self, reason: &str) {
        let now = boot_now();
        self.syncing_messages = None;
        if let Some(no_space) = &mut self.no_space {
            no_space.attempting = false;
            no_space.next_attempt = now + RETRY_INTERVAL;
            return;
        }
        log::warn!(reason, retry:? = RETRY_INTERVAL; "no space in the data folder; the replica only follows until there is");
        self.no_space = Some(NoSpace {
            since: now,
            next_attempt: now + RETRY_INTERVAL,
            attempting: false,
        });
        self.step(Event::NoSpace);
        self.pending_writes.clear();
        self.pending_messages.clear();
    }

    /// Starts an attempt to write again, if one is due.
    pub(super) fn retry_disk(&mut self) {
        let hard_state = self.replica.hard_state();
        let Some(no_space) = &mut self.no_space else {
            return;
        };
        if !no_space.attempting && boot_now() >= no_space.next_attempt {
            no_space.attempting = true;
            self.disk.recover(hard_state);
        }
    }

    /// Takes part again with what is stored.
    pub(super) fn on_recovered(&mut self, stored: PersistentState) {
        let Some(no_space) = self.no_space.take() else {
            return;
        };
        let lasted = boot_now().saturating_sub(no_space.since);
        log::info!(last_index = stored.last_index(), lasted:?; "the data folder has space again; the replica takes part");
        let is_newer = stored.hard_state != self.replica.hard_state();
        self.step(Event::SpaceAvailable(stored));
        if is_newer {
            // The term may have changed while the attempt was running.
            let hard_state = self.replica.hard_state();
            self.pending_writes.insert(0, Write::HardState(hard_state));
        }
    }
}
