//! The loop that decides on jobs.

use std::fs::File;
use std::io::{self, Write as _};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use masticfield_control::jobs::{
    JobControl, JobControlHandle, JobMetrics, OperatorOutcome, OperatorRequestKind, WaveProgress,
};
use masticfield_core::ids::ReplicaId;
use masticfield_jobs::leader::{LeaderOptions, Refusal, Reply};
use masticfield_jobs::state::WaveOrder;
use masticfield_replica::{Applied, AppliedKind, ReplicaHandle, ReplicaOptions};
use prometheus::Registry;
use prometheus::proto::Metric;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

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

/// A replica with its job control and a disk that can be full.
struct Member {
    replica: ReplicaHandle,
    control: JobControlHandle,
    is_full: Arc<AtomicBool>,
    registry: Registry,
    running: JoinHandle<()>,
    _dir: tempfile::TempDir,
    _orders: mpsc::UnboundedReceiver<masticfield_control::jobs::OutboundOrder>,
}

async fn start_group() -> Vec<Member> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").unwrap();
    let listeners: Vec<_> = (0..3).map(bind).collect();
    let peer = |index: usize| {
        let address = listeners[index].local_addr().unwrap();
        (ReplicaId::new(index as u64 + 1), address)
    };
    let peers: Vec<_> = (0..3).map(peer).collect();
    let mut members = Vec::new();
    for (index, listener) in listeners.into_iter().enumerate() {
        let dir = tempfile::tempdir().unwrap();
        let is_full = Arc::new(AtomicBool::new(false));
        let full = Arc::clone(&is_full);
        let others = peers.iter().copied().filter(|peer| *peer != peers[index]);
        let options = ReplicaOptions::new(peers[index].0, dir.path())
            .listener(listener)
            .peers(others)
            .write(Arc::new(move |mut file: &File, bytes: &[u8]| {
                if full.load(Ordering::SeqCst) {
                    return Err(io::ErrorKind::StorageFull.into());
                }
                file.write_all(bytes)
            }));
        let (replica, applied) = ReplicaHandle::open(options).await.unwrap();
        let (orders, orders_rx) = mpsc::unbounded_channel();
        let registry = Registry::new();
        let metrics = JobMetrics::register(&registry).unwrap();
        let leader = LeaderOptions::new(Duration::from_secs(5));
        let (job_control, control) =
            JobControl::new(replica.clone(), applied, leader, orders, metrics);
        let running = tokio::spawn(job_control.run());
        members.push(Member {
            replica,
            control,
            is_full,
            registry,
            running,
            _dir: dir,
            _orders: orders_rx,
        });
    }
    members
}

fn wave(number: u64) -> WaveOrder {
    WaveOrder {
        number,
        hosts: vec!["host".into()],
        duration_ms: 1_000,
        cap: 1,
    }
}

/// Guards against requests that wait for their time-out, and against reads that are refused, while
/// only the leader has space.
#[tokio::test]
async fn requests_are_refused_at_once_while_a_majority_has_no_space() {
    let members = start_group().await;
    let scenario = async {
        let leader = loop {
            let found = members
                .iter()
                .find(|member| member.control.view().is_leader);
            match found {
                Some(leader) => break leader,
                None => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        assert_eq!(leader.control.start_wave(wave(1)).await, Reply::Done);
        let followers = || {
            members
                .iter()
                .filter(|member| !std::ptr::eq(*member, leader))
        };
        for follower in followers() {
            follower.is_full.store(true, Ordering::SeqCst);
        }
        let control = leader.control.clone();
        let waiting = tokio::spawn(async move { control.start_wave(wave(2)).await });
        let mut status = leader.replica.watch_status();
        drop(status.wait_for(|status| status.majority_lacks_space).await);
        let refused = leader.control.start_wave(wave(3)).await;
        assert_eq!(refused, Reply::Refused(Refusal::NotReady));
        assert_ne!(leader.control.read_wave(1).await, WaveProgress::NotReady);
        for follower in followers() {
            follower.is_full.store(false, Ordering::SeqCst);
        }
        assert_eq!(waiting.await.unwrap(), Reply::Done);
        drop(status.wait_for(|status| !status.majority_lacks_space).await);
        assert_eq!(leader.control.read_wave(3).await, WaveProgress::Unknown);
        assert_eq!(leader.control.start_wave(wave(4)).await, Reply::Done);
    };
    let ended = tokio::time::timeout(Duration::from_mins(1), scenario).await;
    ended.expect("the group works again");
}

/// Guards against a request of an operator that leaves no trace of how long it took and how it ended.
#[tokio::test]
async fn each_request_of_an_operator_is_counted_by_its_outcome() {
    let members = start_group().await;
    let control = &members[0].control;
    let answered = control.record_operator_request(OperatorRequestKind::PutConfig, Some(7));
    answered.finish(OperatorOutcome::Redirected);
    drop(control.record_operator_request(OperatorRequestKind::ReadWave, None));
    let counted = operator_requests(&members[0].registry);
    let expected = [
        ("put-config", "redirected", 1),
        ("read-wave", "disconnected", 1),
    ];
    assert_eq!(
        counted,
        expected.map(|(request, outcome, count)| (request.into(), outcome.into(), count))
    );
}

/// Returns the counted requests of operators as kind, outcome and number, in the order of the kinds.
fn operator_requests(registry: &Registry) -> Vec<(String, String, u64)> {
    let families = registry.gather();
    let family = families
        .iter()
        .find(|family| family.name() == "masticfield_operator_request_seconds");
    let metrics = family.map_or(&[][..], |family| family.get_metric());
    let label = |metric: &Metric, name: &str| {
        let labels = metric.get_label();
        let found = labels.iter().find(|label| label.name() == name);
        found.unwrap().value().to_owned()
    };
    let mut counted: Vec<_> = metrics
        .iter()
        .map(|metric| {
            let count = metric.get_histogram().get_sample_count();
            (label(metric, "request"), label(metric, "outcome"), count)
        })
        .collect();
    counted.sort();
    counted
}

/// Returns the index of the leader, once one of the members leads.
async fn leader_of(members: &[Member]) -> usize {
    loop {
        let found = members
            .iter()
            .position(|member| member.control.view().is_leader);
        match found {
            Some(index) => return index,
            None => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Over loopback; the time depends on the machine and is only printed. The bound is checked on a
/// virtual clock, by `a_group_that_lost_its_leader_stores_again_in_time` of the replica.
#[tokio::test]
async fn a_decision_is_stored_after_the_loss_of_the_leader() {
    let scenario = async {
        let mut members = start_group().await;
        let leader = leader_of(&members).await;
        assert_eq!(
            members[leader].control.start_wave(wave(1)).await,
            Reply::Done
        );
        let lost = members.swap_remove(leader);
        let lost_address = lost.control.view().leader;
        lost.running.abort();
        drop(lost);
        let started = Instant::now();
        let names_lost = |member: &Member| member.control.view().leader == lost_address;
        while members.iter().all(names_lost) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let unnamed = started.elapsed();
        let leader = leader_of(&members).await;
        let elected = started.elapsed();
        let stored = members[leader].control.start_wave(wave(2)).await;
        assert_eq!(stored, Reply::Done);
        println!(
            "after {unnamed:.0?} not all name the lost leader, after {elected:.0?} another leads, \
             after {:.0?} it has stored a decision",
            started.elapsed()
        );
    };
    let ended = tokio::time::timeout(Duration::from_mins(1), scenario).await;
    ended.expect("another leader stores a decision");
}
