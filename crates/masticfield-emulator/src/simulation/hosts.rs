//! Hosts: the list, orders about them, and waves of upkeep.

use std::sync::Arc;

use masticfield_jobs::job::{Resources, RunId};
use masticfield_jobs::leader::{Event, HostError, ListedHost};
use masticfield_jobs::state::{HostClaim, WaveOrder};
use rand::RngExt;

use super::{HAND_OVER_MS, Happening, LEAD_MS, MOVE_MS, Simulation, UPKEEP_MS};

/// Hosts of the wave in upkeep at the same time, at most.
const WAVE_CAP: u32 = 3;

impl Simulation {
    /// Whether a run on a sound executor is still asked for.
    pub(super) fn wants(&self, run: RunId) -> bool {
        let job = self.state.job(run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        let current =
            task.is_some_and(|task| task.runs.iter().any(|(number, _)| *number == run.number));
        current && job.is_some_and(|job| job.needs(run))
    }

    pub(super) fn start_wave(&mut self) {
        let hosts = self
            .hosts
            .iter()
            .step_by(2)
            .map(|host| Arc::clone(&host.name));
        let order = WaveOrder {
            number: 1,
            hosts: hosts.collect(),
            duration_ms: self.day.upkeep_window_ms,
            cap: WAVE_CAP,
        };
        let ask = self.next_ask();
        self.tell(
            self.epoch,
            Event::Wave {
                reply_to: ask,
                order,
            },
        );
    }

    pub(super) fn list(&self) -> Vec<ListedHost> {
        let hosts = self.hosts.iter();
        hosts
            .map(|host| ListedHost {
                name: Arc::clone(&host.name),
                pool: Arc::clone(&host.pool),
                up: host.executor.is_some(),
                kind: Some("kind".into()),
                capacity: Resources {
                    cpu_milli: self.day.fleet.host_cpu_milli,
                    memory_mb: self.day.fleet.host_memory_mb,
                    gpus: 0,
                },
                executor: host
                    .executor
                    .map(|index| Arc::clone(&self.executors[index].life.id)),
            })
            .collect()
    }

    pub(super) fn order_host(&mut self, name: Arc<str>, claim: HostClaim, number: u64) {
        let fence = self.epoch * 1_000_000 + number;
        self.check_turns(&name);
        let result = self.take_host(&name, &claim, fence);
        let lost = self.rng.random_bool(self.day.faults.lost_answers);
        let result = if lost {
            Err(HostError::Unknown)
        } else {
            result
        };
        let event = Event::HostOrderResult {
            host: name,
            claim,
            result,
        };
        self.later(15, Happening::Tell(self.epoch, event));
    }

    /// No more hosts of the wave are in upkeep at once than the operator allows.
    fn check_cap(&mut self, name: &Arc<str>) {
        let away = self
            .hosts
            .iter()
            .filter(|host| host.in_upkeep && self.now < host.back);
        let away = away.count();
        if away >= WAVE_CAP as usize {
            let text = format!("{}: upkeep of {name} begins beside {away} others", self.now);
            self.ledger.broken.push(text);
        }
    }

    /// Two leaders must not take turns with a host within the lease.
    fn check_turns(&mut self, name: &Arc<str>) {
        let host = self.hosts.iter_mut().find(|host| host.name == *name);
        let Some(host) = host else {
            return;
        };
        let before = host.asked.replace((self.epoch, self.now));
        if let Some((epoch, at)) = before
            && epoch != self.epoch
            && self.now < at + HAND_OVER_MS
        {
            let text = format!(
                "{}: {name} is asked for, and was by another leader at {at}",
                self.now
            );
            self.ledger.broken.push(text);
        }
    }

    pub(super) fn take_host(
        &mut self,
        name: &Arc<str>,
        claim: &HostClaim,
        fence: u64,
    ) -> Result<(), HostError> {
        let index = self.hosts.iter().position(|host| host.name == *name);
        let index = index.ok_or(HostError::Unsuitable)?;
        let host = &mut self.hosts[index];
        if fence <= host.fence {
            return Err(HostError::Fence);
        }
        host.fence = fence;
        let done = match claim {
            HostClaim::Move { pool } => host.pool == *pool,
            HostClaim::Upkeep { .. } => host.tended,
        };
        if done {
            return Ok(());
        }
        if self.now < host.back || host.executor.is_none() {
            return Err(HostError::NotUp);
        }
        let time = match claim {
            HostClaim::Move { pool } => {
                host.pool = Arc::clone(pool);
                self.report.moves += 1;
                MOVE_MS
            }
            HostClaim::Upkeep { .. } => {
                host.tended = true;
                self.check_cap(name);
                UPKEEP_MS
            }
        };
        let host = &mut self.hosts[index];
        host.back = self.now + time;
        host.in_upkeep = matches!(claim, HostClaim::Upkeep { .. });
        if let Some(executor) = self.hosts[index].executor {
            self.advance(executor);
            let runs: Vec<_> = self.executors[executor].running.keys().copied().collect();
            for run in runs {
                self.ledger.ends_by_order(self.now, run);
            }
            self.end_executor(executor);
        }
        self.later(time, Happening::HostBack(index));
        Ok(())
    }

    pub(super) fn count_hosts(&mut self, at: u64) {
        let serving = self
            .hosts
            .iter()
            .filter(|host| &*host.pool != "standby")
            .count();
        #[expect(clippy::cast_precision_loss, reason = "seconds of a simulated day")]
        let seconds = (at - self.counted) as f64 / 1_000.0 * serving as f64;
        if at <= LEAD_MS + self.day.load_ms {
            self.report.host_seconds += seconds;
        }
        self.counted = at;
        self.note_ends();
    }
}
