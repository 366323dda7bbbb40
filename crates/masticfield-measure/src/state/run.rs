//! The phases of the experiment.

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
use super::load::{self, Kind, Stream, Until, Written};
use super::node::Node;
use crate::experiment::{ExperimentArgs, ExperimentError};

/// Time for which each rate is measured.
const PERIOD: Duration = Duration::from_secs(3);

/// Leaders that are lost.
const FAILOVERS: usize = 20;

/// Changes that a replica is behind, or reads after a restart.
const CHANGES: u64 = 100_000;

/// Bytes of the headers of a TCP segment and of its acknowledgement.
const SEGMENT_BYTES: u64 = 104;

/// Claims in one command when all claims are checked at the end.
const CHECK_BATCH: usize = 1_000;

/// Runs the experiment.
pub(super) fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    Ok(runtime.block_on(measure(args.seed))?)
}

async fn measure(seed: u64) -> Result<Value, StateError> {
    let dir = tempfile::tempdir().context(IoSnafu)?;
    let group = Group::start().await?;
    // Other load on the disk varies, so its rate is taken before, between and after.
    let mut syncs = [0.0; 3];
    syncs[0] = disk::syncs_per_second(dir.path())?;
    let commits = rate(&group, Kind::Nothing, seed).await?;
    syncs[1] = disk::syncs_per_second(dir.path())?;
    let claims = rate(&group, Kind::Claims, seed).await?;
    syncs[2] = disk::syncs_per_second(dir.path())?;
    let (mut failovers, streamed) = failovers(&group, seed).await?;
    failovers.sort_unstable_by(f64::total_cmp);
    let (catch_up, restart_ms, restart_all_ms) = come_back(&group).await?;
    let idle = idle(&group).await?;
    let mut granted = claims.granted;
    granted.extend(&streamed.granted);
    let lost = lost(&group, &granted, streamed.accepted_note).await?;
    let per_second = |count: u64| count as f64 / PERIOD.as_secs_f64();
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
        "in_force_ms": null,
        "catch_up_changes_per_s": catch_up.round(),
        "restart_100k_ms": restart_ms.round(),
        "restart_all_100k_ms": restart_all_ms.round(),
        "rss_mb": idle.rss_mb.round(),
        "idle_bytes_per_s": idle.bytes_per_s.round(),
        "idle_cpu_percent": (idle.cpu_percent * 100.0).round() / 100.0,
        "checked_claims": granted.len(),
        "checked_notes": streamed.accepted_note,
        "lost": lost,
        "reverted": streamed.reverted,
    }))
}

async fn rate(group: &Group, kind: Kind, seed: u64) -> Result<Written, StateError> {
    let (_, leader) = group.leader().await?;
    let until = Until {
        period: PERIOD,
        count: u64::MAX,
    };
    Ok(load::write(&leader, kind, seed, until).await)
}

fn quantile_ms(written: &Written, quantile: f64) -> f64 {
    let us = written.latency_us.value_at_quantile(quantile);
    (us as f64 / 10.0).round() / 100.0
}

/// Kills one leader after the other under a stream of notes and claims.
async fn failovers(group: &Group, seed: u64) -> Result<(Vec<f64>, Stream), StateError> {
    let stop = Arc::new(AtomicBool::new(false));
    let stream = load::stream(group.watch(), seed + 1, 1, Arc::clone(&stop));
    let stream = tokio::spawn(stream);
    let mut times = Vec::new();
    // As a control process does, so that a restart does not read all of the load again.
    group.nodes().iter().for_each(Node::snapshot);
    for _ in 0..FAILOVERS {
        let (at, _) = group.leader().await?;
        let start = Instant::now();
        group.kill(at).await;
        commit_anywhere(group).await?;
        times.push(start.elapsed().as_secs_f64() * 1_000.0);
        group.open(at).await?;
        let index = commit_anywhere(group).await?;
        group.wait_applied(index).await?;
    }
    stop.store(true, Ordering::Relaxed);
    let stream = stream.await.expect("the stream does not panic");
    Ok((times, stream))
}

/// Commits a command at whichever replica leads; returns its index.
async fn commit_anywhere(group: &Group) -> Result<u64, StateError> {
    loop {
        let (_, leader) = group.leader().await?;
        let nothing = Envelope::new(load::now_ms(), Command::Nothing);
        let payload = nothing.encode().expect("commands hold only plain values");
        if let Ok(index) = leader.handle().propose(payload).await {
            return Ok(index);
        }
    }
}

/// Changes a second of a replica that was away, and the times of restarts, in milliseconds.
async fn come_back(group: &Group) -> Result<(f64, f64, f64), StateError> {
    let (leader, _) = group.leader().await?;
    let away = (leader + 1) % SIZE;
    group.kill(away).await;
    write_changes(group).await?;
    let index = commit_anywhere(group).await?;
    let start = Instant::now();
    group.open(away).await?;
    group.wait_applied(index).await?;
    let catch_up = CHANGES as f64 / start.elapsed().as_secs_f64();
    group.kill(away).await;
    let start = Instant::now();
    group.open(away).await?;
    group.wait_applied(index).await?;
    let restart = start.elapsed();
    for at in 0..SIZE {
        group.kill(at).await;
    }
    let start = Instant::now();
    group.open_all().await?;
    let index = commit_anywhere(group).await?;
    group.wait_applied(index).await?;
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    Ok((catch_up, ms(restart), ms(start.elapsed())))
}

async fn write_changes(group: &Group) -> Result<(), StateError> {
    let mut left = CHANGES;
    while left > 0 {
        let (_, leader) = group.leader().await?;
        let until = Until {
            period: Duration::from_mins(5),
            count: left,
        };
        left -= load::write(&leader, Kind::Nothing, 0, until).await.count;
    }
    Ok(())
}

/// What the replicas cost without any load.
struct Idle {
    /// Of one replica.
    cpu_percent: f64,
    /// Of all three.
    rss_mb: f64,
    /// Of the leader, in both directions, with the headers of TCP.
    bytes_per_s: f64,
}

async fn idle(group: &Group) -> Result<Idle, StateError> {
    // The load before this has settled after a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let traffic = || -> u64 {
        let sent = group
            .nodes()
            .into_iter()
            .map(|node| node.handle().traffic());
        sent.map(|sent| sent.sent_bytes + SEGMENT_BYTES * sent.sent_messages)
            .sum()
    };
    let (before, cpu_before) = (traffic(), cpu_seconds()?);
    tokio::time::sleep(PERIOD).await;
    let (after, cpu_after) = (traffic(), cpu_seconds()?);
    let process = procfs::process::Process::myself().context(ProcessSnafu)?;
    let stat = process.stat().context(ProcessSnafu)?;
    let rss = stat.rss * procfs::page_size();
    Ok(Idle {
        cpu_percent: 100.0 * (cpu_after - cpu_before) / PERIOD.as_secs_f64() / SIZE as f64,
        rss_mb: rss as f64 / 1e6,
        // Every message is sent or received by the leader.
        bytes_per_s: (after - before) as f64 / PERIOD.as_secs_f64(),
    })
}

fn cpu_seconds() -> Result<f64, StateError> {
    let process = procfs::process::Process::myself().context(ProcessSnafu)?;
    let stat = process.stat().context(ProcessSnafu)?;
    Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
}

/// Acknowledged claims and notes that a replica does not hold.
async fn lost(group: &Group, granted: &[Claim], note: u64) -> Result<u64, StateError> {
    let index = commit_anywhere(group).await?;
    group.wait_applied(index).await?;
    let mut lost = 0;
    for node in group.nodes() {
        let version = node.with_state(|state| state.config().version());
        lost += note.saturating_sub(version);
        // A copy of the state answers what the replica would answer.
        let mut state = node.with_state(Clone::clone);
        for claims in granted.chunks(CHECK_BATCH) {
            let again = Envelope::new(load::now_ms(), Command::Claims(claims.to_vec()));
            let Reply::Claims(verdicts) = state.apply(state.applied() + 1, &again) else {
                lost += claims.len() as u64;
                continue;
            };
            let held = |verdict: &&ClaimVerdict| **verdict == ClaimVerdict::AlreadyYours;
            lost += (claims.len() - verdicts.iter().filter(held).count()) as u64;
        }
    }
    Ok(lost)
}
