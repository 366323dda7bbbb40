//! Number of hosts that a pool needs.

use std::time::Duration;

use crate::job::Resources;

/// Factor on the offered load, so that clustered arrivals do not wait.
const HEADROOM: f64 = 1.15;

/// Hosts beyond the demand: one may fail, and a burst needs some free capacity at once.
const SPARE_HOSTS: u32 = 1;

/// Minimum number of hosts of a pool.
const MIN_HOSTS: u32 = 3;

/// Time until a host that is requested now accepts tasks.
pub(super) const HOST_ARRIVAL: Duration = Duration::from_millis(1_500);

/// Minimum share of a waiting task's need that counts as demand.
const MIN_RESIDUAL: f64 = 0.1;

/// Demand of a pool's jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolLoad {
    /// Resources that runs reserve.
    pub running: Resources,
    /// Resources that startable tasks will still be waiting for when a requested host arrives;
    /// see [`residual_demand`].
    pub waiting: Resources,
    /// Forecast rate of work from submitted jobs, in cores.
    pub offered_cores: f64,
    /// Minimum number of hosts to satisfy every step's limit of tasks per executor.
    pub spread_hosts: u32,
}

/// Returns the share of a waiting task's need that remains when a requested host arrives.
///
/// Capacity that short tasks wait for becomes free several times before the host arrives.
#[expect(clippy::cast_precision_loss, reason = "milliseconds of a task")]
pub fn residual_demand(estimate_ms: u64) -> f64 {
    let arrival_ms = HOST_ARRIVAL.as_millis() as f64;
    (estimate_ms as f64 / arrival_ms).clamp(MIN_RESIDUAL, 1.0)
}

/// Returns the number of hosts that a pool needs, given the capacity of one host.
///
/// Sized for surges, in which each queue demands several times its mean. Running and waiting tasks
/// show the demand of jobs that have arrived; the offered load shows the demand of a surge before
/// its backlog has grown.
pub fn required_hosts(load: &PoolLoad, host: Resources) -> u32 {
    let present = load.running.saturating_add(load.waiting);
    let cores = present.cores().max(load.offered_cores * HEADROOM);
    let by_cores = hosts(cores, host.cores());
    let by_memory = hosts(to_f64(present.memory_mb), to_f64(host.memory_mb));
    let by_gpus = hosts(to_f64(present.gpus), to_f64(host.gpus));
    let needed = by_cores.max(by_memory).max(by_gpus).max(load.spread_hosts);
    needed.saturating_add(SPARE_HOSTS).max(MIN_HOSTS)
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
fn to_f64(value: u64) -> f64 {
    value as f64
}
