//! Order of payloads in the log.

use std::time::Duration;

use masticfield_core::ids::ReplicaId;
use masticfield_replica::{AppliedKind, ReplicaHandle, ReplicaOptions};
use tempfile::TempDir;

/// Timeout for the election of a single replica.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Under load, one step of the job leader yields more commands than fit into one entry. Entries of
/// a later step must not come between them: the command that ends an executor's incarnation would
/// otherwise undo the ends of its runs that were decided before.
#[tokio::test]
async fn payloads_that_are_proposed_together_stay_together() {
    let dir = TempDir::new().unwrap();
    let options = ReplicaOptions::new(ReplicaId::new(1), dir.path()).may_bootstrap(true);
    let (replica, mut applied) = ReplicaHandle::open(options).await.unwrap();
    let mut status = replica.watch_status();
    let leads = status.wait_for(|status| status.lease_until.is_some());
    let leads = tokio::time::timeout(ELECTION_TIMEOUT, leads).await;
    assert!(leads.expect("a single replica leads").is_ok());
    let first = replica.propose_all([1, 2, 3].map(|byte| vec![byte]));
    let second = replica.propose(vec![4]);
    let (first, second) = tokio::join!(first, second);
    assert!(first.is_ok() && second.is_ok());
    let mut order = Vec::new();
    while order.len() < 4 {
        let entry = applied.recv().await.unwrap();
        if entry.kind == AppliedKind::Payload {
            order.extend_from_slice(&entry.payload);
        }
    }
    assert_eq!(order, [1, 2, 3, 4]);
}
