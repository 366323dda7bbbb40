//! Measurements of the experiment.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts and bytes are far below 2^52"
)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use masticfield_core::claim::{Claim, ClaimVerdict};
use masticfield_state::{Command, Envelope, Reply};
use serde_json::{Value, json};
use snafu::ResultExt;

use super::disk;
use super::error::{IoSnafu, ProcessSnafu, StateError};
use super::group::{Group, SIZE};
use super::in_force::in_force_ms;
use super::load::{self, AcknowledgedWrites, Workload, WriteLimit, WriteResults};
use super::node::Node;
use crate::experiment::{ExperimentArgs, ExperimentError};

/// Time for which each rate is measured.
const MEASURE_PERIOD: Duration = Duration::from_secs(3);

/// Number of leaders that are killed, one after the other.
const FAILOVERS: usize = 20;

/// Number of release notes whose time until they are in force is measured.
const NOTES: u64 = 20;

/// Number of changes that a replica misses before it catches up, and replays after a restart.
const RECOVERED_CHANGES: u64 = 100_000;

/// Headers of a TCP segment and its acknowledgement, in bytes.
const SEGMENT_BYTES: u64 = 104;

/// Claims per command in the final check of all claims.
const CHECK_BATCH: usize = 1_000;

/// Runs the experiment.
pub(super) fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut report = measure(args.seed).await?;
        report["in_force_ms"] = json!(in_force_ms(NOTES).await?);
        Ok(report)
    })
}

async fn measure(seed: u64) -> Result<Value, StateError> {
    let dir = tempfile::tempdir().context(IoSnafu)?;
    let group = Group::start().await?;
    // Other load on the disk varies, so its sync rate is measured before, between and after.
    let mut syncs = [0.0; 3];
    syncs[0] = disk::syncs_per_second(dir.path())?;
    let commits = measure_writes(&group, Workload::NoOps, seed).await?;
    syncs[1] = disk::syncs_per_second(dir.path())?;
    let claims = measure_writes(&group, Workload::Claims, seed).await?;
    syncs[2] = disk::syncs_per_second(dir.path())?;
    let (mut failovers, acknowledged) = measure_failovers(&group, seed).await?;
    failovers.sort_unstable_by(f64::total_cmp);
    let (catch_up, restart_ms, restart_all_ms) = measure_recovery(&group).await?;
    let idle = measure_idle(&group).await?;
    let mut granted = claims.granted;
    granted.extend(&acknowledged.granted);
    let lost = count_lost(&group, &granted, acknowledged.accepted_note).await?;
    let per_second = |count: u64| count as f64 / MEASURE_PERIOD.as_secs_f64();
    Ok(json!({
        "commits_per_s": per_second(commits.count).round(),
        "claims_per_s": per_second(claims.count).round(),
        "sync_per_s": (syncs.iter().sum::<f64>() / 3.0).round(),
        "sync_per_s_each": syncs.map(f64::round),
        "commit_p50_ms": quantile_ms(&commits, 0.5),
        "commit_p99_ms": quantile_ms(&commits, 0.99),
        "failover_ms": {
            "median": failovers[FAILOVERS / 2].round(),
            "largest": failovers[FAILOVERS - 1].round(),
        },
        "catch_up_changes_per_s": catch_up.round(),
        "restart_100k_ms": restart_ms.round(),
        "restart_all_100k_ms": restart_all_ms.round(),
        "rss_mb": idle.rss_mb.round(),
        "idle_bytes_per_s": idle.bytes_per_s.round(),
        "idle_cpu_percent": (idle.cpu_percent * 100.0).round() / 100.0,
        "checked_claims": granted.len(),
        "checked_notes": acknowledged.accepted_note,
        "lost": lost,
        "reverted": acknowledged.reverted,
    }))
}

/// Runs a workload on the leader for [`MEASURE_PERIOD`].
async fn measure_writes(
    group: &Group,
    workload: Workload,
    seed: u64,
) -> Result<WriteResults, StateError> {
    let (_, leader) = group.leader().await?;
    let limit = WriteLimit {
        period: MEASURE_PERIOD,
        count: u64::MAX,
    };
    Ok(load::write(&leader, workload, seed, limit).await)
}

fn quantile_ms(results: &WriteResults, quantile: f64) -> f64 {
    let us = results.latency_us.value_at_quantile(quantile);
    (us as f64 / 10.0).round() / 100.0
}

/// Kills one leader after the other while release notes and claims are written.
///
/// Returns the time from each kill to the next commit in milliseconds, and the acknowledged
/// writes.
async fn measure_failovers(
    group: &Group,
    seed: u64,
) -> Result<(Vec<f64>, AcknowledgedWrites), StateError> {
    let stop = Arc::new(AtomicBool::new(false));
    let stream = load::write_during_failovers(group.watch_nodes(), seed + 1, 1, Arc::clone(&stop));
    let task = tokio::spawn(stream);
    let mut times = Vec::new();
    // A control process also takes snapshots; a restart then does not replay the earlier load.
    group.nodes().iter().for_each(Node::snapshot);
    for _ in 0..FAILOVERS {
        let (replica, _) = group.leader().await?;
        let start = Instant::now();
        group.kill(replica).await;
        commit_at_leader(group).await?;
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
        group.open(replica).await?;
        let index = commit_at_leader(group).await?;
        group.wait_applied(index).await?;
    }
    stop.store(true, Ordering::Relaxed);
    let acknowledged = task.await.expect("the writing task does not panic");
    Ok((times, acknowledged))
}

/// Commits an empty command at the current leader and returns its index.
async fn commit_at_leader(group: &Group) -> Result<u64, StateError> {
    loop {
        let (_, leader) = group.leader().await?;
        let no_op = Envelope::new(load::now_ms(), Command::Nothing);
        let payload = no_op.encode().expect("commands hold only plain values");
        if let Ok(index) = leader.handle().propose(payload).await {
            return Ok(index);
        }
    }
}

/// Measures how replicas recover [`RECOVERED_CHANGES`].
///
/// Returns the catch-up rate of a lagging replica in changes per second, and the time to restart
/// one replica and all replicas in milliseconds.
async fn measure_recovery(group: &Group) -> Result<(f64, f64, f64), StateError> {
    let (leader, _) = group.leader().await?;
    let lagging = (leader + 1) % SIZE;
    group.kill(lagging).await;
    write_changes(group).await?;
    let index = commit_at_leader(group).await?;
    let start = Instant::now();
    group.open(lagging).await?;
    group.wait_applied(index).await?;
    let catch_up = RECOVERED_CHANGES as f64 / start.elapsed().as_secs_f64();
    group.kill(lagging).await;
    let start = Instant::now();
    group.open(lagging).await?;
    group.wait_applied(index).await?;
    let restart = start.elapsed();
    for replica in 0..SIZE {
        group.kill(replica).await;
    }
    let start = Instant::now();
    group.open_all().await?;
    let index = commit_at_leader(group).await?;
    group.wait_applied(index).await?;
    let ms = |elapsed: Duration| elapsed.as_secs_f64() * 1_000.0;
    Ok((catch_up, ms(restart), ms(start.elapsed())))
}

/// Commits [`RECOVERED_CHANGES`] empty commands.
async fn write_changes(group: &Group) -> Result<(), StateError> {
    let mut remaining = RECOVERED_CHANGES;
    while remaining > 0 {
        let (_, leader) = group.leader().await?;
        let limit = WriteLimit {
            period: Duration::from_mins(5),
            count: remaining,
        };
        remaining -= load::write(&leader, Workload::NoOps, 0, limit).await.count;
    }
    Ok(())
}

/// Cost of the replicas without load.
struct IdleCost {
    /// Processor time of one replica, in percent of a core.
    cpu_percent: f64,
    /// Memory of the process with all three replicas, in megabytes.
    rss_mb: f64,
    /// Traffic of the leader in both directions, including TCP headers.
    bytes_per_s: f64,
}

async fn measure_idle(group: &Group) -> Result<IdleCost, StateError> {
    // The effects of the earlier load end within a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let traffic = || -> u64 {
        let traffic = group
            .nodes()
            .into_iter()
            .map(|node| node.handle().traffic());
        traffic
            .map(|traffic| traffic.sent_bytes + SEGMENT_BYTES * traffic.sent_messages)
            .sum()
    };
    let (bytes_before, cpu_before) = (traffic(), cpu_seconds()?);
    tokio::time::sleep(MEASURE_PERIOD).await;
    let (bytes_after, cpu_after) = (traffic(), cpu_seconds()?);
    let process = procfs::process::Process::myself().context(ProcessSnafu)?;
    let stat = process.stat().context(ProcessSnafu)?;
    let rss = stat.rss * procfs::page_size();
    Ok(IdleCost {
        cpu_percent: 100.0 * (cpu_after - cpu_before) / MEASURE_PERIOD.as_secs_f64() / SIZE as f64,
        rss_mb: rss as f64 / 1e6,
        // The leader is the sender or receiver of every message.
        bytes_per_s: (bytes_after - bytes_before) as f64 / MEASURE_PERIOD.as_secs_f64(),
    })
}

fn cpu_seconds() -> Result<f64, StateError> {
    let process = procfs::process::Process::myself().context(ProcessSnafu)?;
    let stat = process.stat().context(ProcessSnafu)?;
    Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
}

/// Counts acknowledged claims and release notes that are missing on some replica.
async fn count_lost(group: &Group, granted: &[Claim], note: u64) -> Result<u64, StateError> {
    let index = commit_at_leader(group).await?;
    group.wait_applied(index).await?;
    let mut lost = 0;
    for node in group.nodes() {
        let version = node.with_state(|state| state.config().version());
        lost += note.saturating_sub(version);
        // Repeating the claims on a copy of the state gives the reply that the replica would give.
        let mut state = node.with_state(Clone::clone);
        for claims in granted.chunks(CHECK_BATCH) {
            let repeated = Envelope::new(load::now_ms(), Command::Claims(claims.to_vec()));
            let Reply::Claims(verdicts) = state.apply(state.applied() + 1, &repeated) else {
                lost += claims.len() as u64;
                continue;
            };
            let held = |verdict: &&ClaimVerdict| **verdict == ClaimVerdict::AlreadyYours;
            lost += (claims.len() - verdicts.iter().filter(held).count()) as u64;
        }
    }
    Ok(lost)
}
