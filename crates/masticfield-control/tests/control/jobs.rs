//! The loop that decides on jobs.

use std::time::Duration;

use masticfield_control::jobs::{JobControl, JobMetrics};
use masticfield_core::ids::ReplicaId;
use masticfield_jobs::leader::LeaderOptions;
use masticfield_replica::{Applied, AppliedKind, ReplicaHandle, ReplicaOptions};
use prometheus::Registry;
use rstest::rstest;
use tokio::sync::mpsc;

/// A later version may commit entries that this one does not know. A replica that skipped one would
/// go on with a state that differs from that of the others.
#[rstest]
#[case::command(AppliedKind::Payload)]
#[case::snapshot(AppliedKind::Snapshot)]
#[tokio::test]
async fn an_entry_that_cannot_be_read_ends_the_loop(#[case] kind: AppliedKind) {
    let dir = tempfile::tempdir().unwrap();
    let options = ReplicaOptions::new(ReplicaId::new(1), dir.path());
    let (replica, _committed) = ReplicaHandle::open(options).await.unwrap();
    let (applied_tx, applied) = mpsc::channel(1);
    let (orders, _orders_rx) = mpsc::unbounded_channel();
    let metrics = JobMetrics::register(&Registry::new()).unwrap();
    let leader = LeaderOptions::new(Duration::from_secs(5));
    let (control, _handle) = JobControl::new(replica, applied, leader, orders, metrics);
    let running = tokio::spawn(control.run());
    let entry = Applied {
        index: 1,
        payload: vec![1, 99].into(),
        kind,
    };
    applied_tx.send(entry).await.unwrap();
    let ended = tokio::time::timeout(Duration::from_secs(20), running).await;
    assert!(ended.is_ok(), "the loop goes on");
}
