//! How many hosts a pool needs.

use std::time::Duration;

use crate::job::Resources;

/// Room above the demand, so that arrivals that cluster do not wait.
const HEADROOM: f64 = 1.15;

/// Hosts beyond the demand: one may fail, and a burst needs some room at once.
const SPARE_HOSTS: u32 = 1;

/// Fewest hosts of a pool that has any queue.
const FEWEST_HOSTS: u32 = 3;

/// What a pool's jobs ask for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolLoad {
    /// Reserved by what runs.
    pub running: Resources,
    /// Wanted by tasks that could start now, as far as they would still be waiting when a host
    /// has come; see [`share_when_host_comes`].
    pub waiting: Resources,
    /// Work that jobs have brought of late, in cores: core-seconds in each second.
    pub offered_cores: f64,
    /// Most hosts that a step needs because of what keeps its tasks apart.
    pub spread_hosts: u32,
}

/// Time until a host that is asked for takes tasks.
pub(super) const HOST_COMES: Duration = Duration::from_millis(1_500);

/// Share of a waiting task's need that is still there when a host has come.
///
/// Room that short tasks wait for becomes free several times meanwhile.
#[expect(clippy::cast_precision_loss, reason = "milliseconds of a task")]
pub fn residual_demand(estimate_ms: u64) -> f64 {
    let waits = HOST_COMES.as_millis() as f64;
    (estimate_ms as f64 / waits).clamp(SMALLEST_SHARE, 1.0)
}

/// Smallest share that a waiting task counts with.
const SMALLEST_SHARE: f64 = 0.1;

/// Hosts that a pool needs, for a surge in which each queue asks several times its mean.
///
/// What runs and waits shows the demand of jobs that are here; what was offered of late shows
/// the demand of a surge before its backlog has grown.
pub fn required_hosts(load: &PoolLoad, host: Resources) -> u32 {
    let here = load.running.saturating_add(load.waiting);
    let cores = here.cores().max(load.offered_cores * HEADROOM);
    let by_cores = hosts(cores, host.cores());
    let by_memory = hosts(number(here.memory_mb), number(host.memory_mb));
    let by_gpus = hosts(number(here.gpus), number(host.gpus));
    let needed = by_cores.max(by_memory).max(by_gpus).max(load.spread_hosts);
    (needed + SPARE_HOSTS).max(FEWEST_HOSTS)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small whole number"
)]
fn hosts(need: f64, each: f64) -> u32 {
    if each <= 0.0 {
        return 0;
    }
    (need / each).ceil().min(f64::from(u32::MAX)) as u32
}

#[expect(clippy::cast_precision_loss, reason = "resources of a pool")]
fn number(value: u64) -> f64 {
    value as f64
}
