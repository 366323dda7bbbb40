//! The task that begins the leadership when this replica is elected.

use masticfield_core::kernel::Shutdown;
use masticfield_core::timer::Timer;
use masticfield_state::{Command, LeaderAddresses};
use std::time::Duration;

use crate::ControlHandle;

/// Delay before the first command of a term is proposed again after it was not committed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Commits the first command of each term that this replica leads.
///
/// The command publishes the leader's addresses to every replica. Once it is applied, the state
/// holds everything that earlier leaders committed, and leases may be granted.
pub(super) async fn run(
    control: ControlHandle,
    addresses: LeaderAddresses,
    timer: Timer,
    mut shutdown: Shutdown,
) {
    let mut status = control.watch_status();
    let mut committed_term = 0;
    loop {
        let current = *status.borrow_and_update();
        let is_leader = current.leader == Some(current.id);
        if is_leader && current.term > committed_term {
            let term = current.term;
            match control.propose(Command::Lead { term, addresses }).await {
                Ok(_verdict) => {
                    log::info!(term; "this replica leads");
                    committed_term = term;
                }
                Err(error) => {
                    let error = masticfield_node::program::error_chain(&error);
                    log::info!(term, error; "cannot commit the first command of the term");
                    timer.after(RETRY_DELAY).recv().await;
                }
            }
            if !shutdown.is_requested() {
                continue;
            }
        }
        tokio::select! {
            () = shutdown.requested() => return,
            changed = status.changed() => if changed.is_err() {
                return;
            },
        }
    }
}
