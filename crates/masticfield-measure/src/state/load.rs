//! Writers that put load on the replicas.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use masticfield_core::claim::{Claim, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_core::note::ReleaseNote;
use masticfield_state::{Command, Envelope, Reply};
use tokio::sync::watch;

use super::node::Node;

/// Number of concurrent writers; each waits for a reply before its next command.
pub(super) const WRITERS: u16 = 64;

/// Results of all writers of one measurement.
#[derive(Debug)]
pub(super) struct WriteResults {
    /// Number of replies.
    pub(super) count: u64,
    /// Time from the proposal to the reply, in microseconds.
    pub(super) latency_us: Histogram<u64>,
    /// Claims that were granted.
    pub(super) granted: Vec<Claim>,
}

/// Commands that the writers propose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Workload {
    /// Commands that change nothing.
    NoOps,
    /// One claim in each command.
    Claims,
}

/// Milliseconds since the Unix epoch.
pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Claim with a key that is unique to the seed, writer and sequence number.
pub(super) fn claim(seed: u64, writer: u16, sequence: u64) -> Claim {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&seed.to_le_bytes());
    digest[8..].copy_from_slice(&(sequence << 16 | u64::from(writer)).to_le_bytes());
    Claim {
        key: ClaimKey::from_digest(digest, now_ms() / 1_000),
        fingerprint: digest,
        request: RequestId::new(EntryId::new(writer), sequence),
    }
}

/// Runs all writers against one replica until the limit is reached.
pub(super) async fn write(
    node: &Node,
    workload: Workload,
    seed: u64,
    limit: WriteLimit,
) -> WriteResults {
    let remaining = Arc::new(AtomicU64::new(limit.count));
    let end = Instant::now() + limit.period;
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let (node, remaining) = (node.clone(), Arc::clone(&remaining));
            tokio::spawn(run_writer(node, workload, (seed, writer), remaining, end))
        })
        .collect();
    let mut total = WriteResults::new();
    for writer in writers {
        let results = writer.await.expect("a writer does not panic");
        total.count += results.count;
        total.granted.extend(results.granted);
        let added = total.latency_us.add(&results.latency_us);
        added.expect("the histograms have the same bounds");
    }
    total
}

/// Time limit and total number of commands, whichever is reached first.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteLimit {
    pub(super) period: Duration,
    pub(super) count: u64,
}

impl WriteResults {
    fn new() -> Self {
        Self {
            count: 0,
            latency_us: Histogram::new(3).expect("three digits are within bounds"),
            granted: Vec::new(),
        }
    }
}

async fn run_writer(
    node: Node,
    workload: Workload,
    (seed, writer): (u64, u16),
    remaining: Arc<AtomicU64>,
    end: Instant,
) -> WriteResults {
    let mut results = WriteResults::new();
    while Instant::now() < end && reserve_write(&remaining) {
        let claim = claim(seed, writer, results.count);
        let command = match workload {
            Workload::NoOps => Command::Nothing,
            Workload::Claims => Command::Claims(vec![claim]),
        };
        let start = Instant::now();
        let reply = node.propose(&Envelope::new(now_ms(), command)).await;
        let Ok(reply) = reply else { break };
        let us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        results.latency_us.saturating_record(us);
        results.count += 1;
        if reply == Reply::Claims(vec![ClaimVerdict::Granted]) {
            results.granted.push(claim);
        }
    }
    results
}

/// Takes one of the remaining writes; returns `false` if there is none.
fn reserve_write(remaining: &AtomicU64) -> bool {
    let reserved = remaining.try_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
        remaining.checked_sub(1)
    });
    reserved.is_ok()
}

/// Writes that were acknowledged while leaders failed.
#[derive(Debug, Default)]
pub(super) struct AcknowledgedWrites {
    /// Claims that were granted.
    pub(super) granted: Vec<Claim>,
    /// Number of the last release note that was accepted.
    pub(super) accepted_note: u64,
    /// Reads of a version lower than one that had been acknowledged before.
    pub(super) reverted: u64,
}

/// Writes release notes and claims to the current leader and reads its version, until `stop`.
pub(super) async fn write_during_failovers(
    nodes: watch::Receiver<Vec<Option<Node>>>,
    seed: u64,
    first_note: u64,
    stop: Arc<AtomicBool>,
) -> AcknowledgedWrites {
    let mut writes = AcknowledgedWrites {
        accepted_note: first_note - 1,
        ..AcknowledgedWrites::default()
    };
    let mut sequence = 0;
    while !stop.load(Ordering::Relaxed) {
        let running = nodes.borrow().clone();
        let leader = running
            .into_iter()
            .flatten()
            .find(|node| node.handle().status().holds_lease());
        let Some(leader) = leader else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        sequence += 1;
        writes
            .write_claim(&leader, claim(seed, u16::MAX, sequence))
            .await;
        writes.write_note(&leader).await;
        if let Some(version) = leader.read_version() {
            writes.reverted += u64::from(version < writes.accepted_note);
        }
    }
    writes
}

impl AcknowledgedWrites {
    async fn write_claim(&mut self, leader: &Node, claim: Claim) {
        let command = Command::Claims(vec![claim]);
        let reply = leader.propose(&Envelope::new(now_ms(), command)).await;
        if reply == Ok(Reply::Claims(vec![ClaimVerdict::Granted])) {
            self.granted.push(claim);
        }
    }

    async fn write_note(&mut self, leader: &Node) {
        let note = ReleaseNote {
            number: self.accepted_note + 1,
            builds_on: self.accepted_note,
            summary: "nothing changes".into(),
            ..ReleaseNote::default()
        };
        let command = Command::Note(Box::new(note));
        let reply = leader.propose(&Envelope::new(now_ms(), command)).await;
        if matches!(reply, Ok(Reply::Note(Ok(_)))) {
            self.accepted_note += 1;
        }
    }
}
