//! The task that takes up the lead when this replica is elected.

use masticfield_core::kernel::Shutdown;
use masticfield_core::timer::Timer;
use masticfield_state::{Command, LeaderAddresses};
use std::time::Duration;

use crate::ControlHandle;

/// Pause before a lead that could not be committed is proposed again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Commits the first command of each term that this replica leads.
///
/// The command tells every replica where the leader is reached. Once it is applied, the state
/// holds all that earlier leaders committed, and leases may be granted.
pub(super) async fn run(
    control: ControlHandle,
    addresses: LeaderAddresses,
    timer: Timer,
    mut shutdown: Shutdown,
) {
    let mut status = control.watch_status();
    let mut committed_term = 0;
    loop {
        let now = *status.borrow_and_update();
        let leads = now.leader == Some(now.id);
        if leads && now.term > committed_term {
            let term = now.term;
            match control.propose(Command::Lead { term, addresses }).await {
                Ok(_verdict) => {
                    log::info!(term; "this replica leads");
                    committed_term = term;
                }
                Err(error) => {
                    let error = masticfield_node::program::chain(&error);
                    log::info!(term, error; "the lead could not be taken up");
                    timer.after(RETRY_PAUSE).recv().await;
                }
            }
            if !shutdown.is_begun() {
                continue;
            }
        }
        tokio::select! {
            () = shutdown.begun() => return,
            changed = status.changed() => if changed.is_err() {
                return;
            },
        }
    }
}
