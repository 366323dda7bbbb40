//! The handle that the other parts of the process use.

use masticfield_core::operator::{EntryRow, RolloutStatus};
use xtra::Address;

use super::lease_actor::{LeaseActor, Progress, ReadProgress};
use crate::{ControlHandle, ProposalError};

/// Reads how far the roll-out of notes is.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHandle {
    control: ControlHandle,
    actor: Address<LeaseActor>,
}

impl LeaseHandle {
    pub(super) const fn new(control: ControlHandle, actor: Address<LeaseActor>) -> Self {
        Self { control, actor }
    }

    /// How far the roll-out of a note is, as the leader knows it.
    ///
    /// # Errors
    ///
    /// Fails if the process stops.
    pub(crate) async fn rollout(&self, number: u64) -> Result<RolloutStatus, ProposalError> {
        let progress = self.progress().await?;
        let note = self.control.query(move |state| {
            let note = state.notes().note(number);
            note.map(|note| (note.in_force_at_ms().is_some(), note.rollout_ms()))
        });
        let (recorded, in_force_after_ms) = note.await?.unwrap_or_default();
        let (served, pending): (Vec<_>, Vec<_>) = progress
            .leased
            .iter()
            .partition(|entry| entry.version >= number);
        let ids = |entries: Vec<&EntryRow>| entries.iter().map(|entry| entry.entry).collect();
        let mut pending: Vec<_> = ids(pending);
        // They cannot serve an earlier version, but whoever waits wants them to serve this one.
        let joining = !progress.joining.is_empty();
        pending.extend(progress.joining);
        Ok(RolloutStatus {
            number,
            acknowledged: ids(served),
            pending,
            in_force: (recorded || progress.in_force >= number) && !joining,
            in_force_after_ms,
        })
    }

    /// The entries that may hold a lease.
    ///
    /// # Errors
    ///
    /// Fails if the process stops.
    pub(crate) async fn entry_rows(&self) -> Result<Vec<EntryRow>, ProposalError> {
        Ok(self.progress().await?.leased)
    }

    async fn progress(&self) -> Result<Progress, ProposalError> {
        let progress = self.actor.send(ReadProgress).await;
        progress.map_err(|_gone| ProposalError::Stopping)
    }
}
