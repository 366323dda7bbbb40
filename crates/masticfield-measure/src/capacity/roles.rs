//! Traffic of each role at a given installation size.

use masticfield_core::config::FleetConfig;
use serde_json::{Value, json};

use super::leader_cost::CONTROL_INTERVAL;
use super::messages::MessageSizes;
use super::{LeaderCost, Size};
use crate::experiment::ExperimentError;

/// Limit of the control traffic of a node, in bytes per second.
const MAX_BYTES_PER_S: f64 = 6_000.0;

/// Limit of the processor time that a node spends on control, in percent of a core.
const MAX_CPU_PERCENT: f64 = 2.0;

/// Limit of the memory that a node spends on control, in megabytes.
const MAX_RSS_MB: f64 = 64.0;

/// Replicas of the durable state in one region.
const REPLICAS_IN_ONE_REGION: u32 = 3;

/// Replicas of the durable state in four regions, distributed as 2 + 2 + 2 + 1.
const REPLICAS_IN_FOUR_REGIONS: u32 = 7;

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// Hosts that fail per day at 2,300 workers.
const FAILURES_PER_DAY: f64 = 30.0;

/// Hosts that are restarted or replaced per day at 2,300 workers.
const RESTARTS_PER_DAY: f64 = 390.0;

/// Number of workers to which the daily failures and restarts refer.
const REFERENCE_WORKERS: f64 = 2_300.0;

/// Reports of a worker about one restart: draining, drained, rebooting and healthy again.
const REPORTS_PER_RESTART: f64 = 4.0;

/// Planned actions for one restart or failure.
const ACTIONS_PER_EVENT: f64 = 4.0;

/// Tasks that a worker runs at the same time.
const TASKS_PER_WORKER: f64 = 1.0;

/// Interval at which the usage of a task is reported, in seconds.
const USAGE_INTERVAL_S: f64 = 15.0;

/// Interval at which the leases of all hosts are renewed, in seconds.
const HOST_LEASE_INTERVAL_S: f64 = 15.0;

/// Interval at which an entry renews its lease, in seconds.
const ENTRY_LEASE_INTERVAL_S: f64 = 1.0;

/// Interval at which an upstream announces itself, in seconds.
const ANNOUNCE_INTERVAL_S: f64 = 5.0;

/// Name of a source of traffic and its bytes per second.
pub(super) type TrafficSource = (&'static str, f64);

/// Traffic that the control leader sends and receives, by source.
pub(super) fn leader_bytes_per_s(size: Size, messages: &MessageSizes) -> Vec<TrafficSource> {
    let workers = f64::from(size.workers);
    let scale = workers / REFERENCE_WORKERS;
    let events_per_s = (FAILURES_PER_DAY + RESTARTS_PER_DAY) * scale / DAY_S;
    let changes_per_s = f64::from(size.changes_a_day) / DAY_S;
    let entries = f64::from(size.entries);
    let followers = f64::from(replicas(size.regions) - 1);
    vec![
        (
            "platform: polls",
            messages.poll / CONTROL_INTERVAL.as_secs_f64(),
        ),
        (
            "platform: reports of workers",
            events_per_s * REPORTS_PER_RESTART * messages.worker_report,
        ),
        (
            "platform: usage of tasks",
            workers * TASKS_PER_WORKER * messages.task_report / USAGE_INTERVAL_S,
        ),
        (
            "platform: leases of hosts",
            messages.host_leases / HOST_LEASE_INTERVAL_S,
        ),
        (
            "followers: changes",
            changes_per_s * messages.change * followers,
        ),
        (
            "followers: actions",
            events_per_s * ACTIONS_PER_EVENT * messages.action * followers,
        ),
        (
            "entries: leases",
            entries * messages.entry_lease / ENTRY_LEASE_INTERVAL_S,
        ),
        (
            "entries: configuration",
            entries * changes_per_s * messages.config,
        ),
    ]
}

/// Replicas of the durable state that an installation runs.
///
/// With three regions or more, they keep a majority when any one region is lost.
const fn replicas(regions: u32) -> u32 {
    match regions {
        0 | 1 => REPLICAS_IN_ONE_REGION,
        2 | 3 => 5,
        _ => REPLICAS_IN_FOUR_REGIONS,
    }
}

/// Report with one row per role and the message sizes behind them.
pub(super) fn rows(
    size: Size,
    config: &FleetConfig,
    leader: &LeaderCost,
) -> Result<Value, ExperimentError> {
    let messages = MessageSizes::measure(size, config)?;
    let changes_per_s = f64::from(size.changes_a_day) / DAY_S;
    let events_per_s = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / DAY_S;
    let follower = vec![
        ("changes", changes_per_s * messages.change),
        (
            "actions",
            events_per_s * ACTIONS_PER_EVENT * messages.action,
        ),
    ];
    let upstreams = f64::from(size.workers) / f64::from(size.entries);
    let entry = vec![
        ("lease", messages.entry_lease / ENTRY_LEASE_INTERVAL_S),
        ("configuration", changes_per_s * messages.config),
        (
            "announcements of upstreams",
            upstreams * messages.announcement / ANNOUNCE_INTERVAL_S,
        ),
    ];
    let worker = vec![
        ("announcement", messages.announcement / ANNOUNCE_INTERVAL_S),
        (
            "usage",
            TASKS_PER_WORKER * messages.task_report / USAGE_INTERVAL_S,
        ),
    ];
    Ok(json!({
        "control leader": row(&leader_bytes_per_s(size, &messages), Some((leader.cpu_percent, leader.rss_mb))),
        "control follower": row(&follower, Some((changes_per_s * leader.change_ms / 10.0, leader.rss_mb))),
        "entry": row(&entry, None),
        "worker or upstream": row(&worker, None),
        "message_bytes": {
            "change": messages.change,
            "action": messages.action,
            "configuration": messages.config,
            "lease of an entry": messages.entry_lease,
            "report of a worker": messages.worker_report,
            "report of a task": messages.task_report,
            "leases of all hosts": messages.host_leases,
            "announcement": messages.announcement,
        },
    }))
}

fn row(sources: &[TrafficSource], process: Option<(f64, f64)>) -> Value {
    let bytes: f64 = sources.iter().map(|source| source.1).sum();
    let parts: Vec<_> = sources
        .iter()
        .map(|(name, bytes)| json!({ "part": name, "bytes_per_s": bytes }))
        .collect();
    let (cpu, rss) = process.unzip();
    let over = bytes > MAX_BYTES_PER_S
        || cpu.is_some_and(|cpu| cpu > MAX_CPU_PERCENT)
        || rss.is_some_and(|rss| rss > MAX_RSS_MB);
    json!({
        "bytes_per_s": bytes,
        "cpu_percent": cpu,
        "rss_mb": rss,
        "over": over,
        "parts": parts,
    })
}
