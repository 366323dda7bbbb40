//! The handle of the lease actor.

use masticfield_core::operator::{EntryRow, RolloutStatus};
use xtra::Address;

use super::lease_actor::{LeaseActor, ReadProgress, RolloutProgress};
use crate::{ControlHandle, ProposalError};

/// Reads the progress of the roll-out of release notes.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHandle {
    control: ControlHandle,
    actor: Address<LeaseActor>,
}

impl LeaseHandle {
    pub(super) const fn new(control: ControlHandle, actor: Address<LeaseActor>) -> Self {
        Self { control, actor }
    }

    /// The status of the roll-out of a release note; only the leader knows the entries.
    ///
    /// # Errors
    ///
    /// Fails if the process is stopping.
    pub(crate) async fn rollout(&self, number: u64) -> Result<RolloutStatus, ProposalError> {
        let progress = self.progress().await?;
        let note = self.control.query(move |state| {
            let note = state.notes().note(number);
            note.map(|note| (note.in_force_at_ms().is_some(), note.rollout_ms()))
        });
        let (recorded_in_force, in_force_after_ms) = note.await?.unwrap_or_default();
        let (acknowledged, pending): (Vec<_>, Vec<_>) = progress
            .leased
            .iter()
            .partition(|entry| entry.version >= number);
        let ids = |entries: Vec<&EntryRow>| entries.iter().map(|entry| entry.entry).collect();
        let mut pending: Vec<_> = ids(pending);
        // Joining entries cannot serve an earlier version, but the roll-out is complete only once
        // they serve this one.
        let joining = !progress.joining.is_empty();
        pending.extend(progress.joining);
        Ok(RolloutStatus {
            number,
            acknowledged: ids(acknowledged),
            pending,
            in_force: (recorded_in_force || progress.in_force >= number) && !joining,
            in_force_after_ms,
        })
    }

    /// The entries that may hold a lease; none on a replica that does not lead.
    ///
    /// # Errors
    ///
    /// Fails if the process is stopping.
    pub(crate) async fn entry_rows(&self) -> Result<Vec<EntryRow>, ProposalError> {
        Ok(self.progress().await?.leased)
    }

    async fn progress(&self) -> Result<RolloutProgress, ProposalError> {
        let progress = self.actor.send(ReadProgress).await;
        progress.map_err(|_gone| ProposalError::Stopping)
    }
}
