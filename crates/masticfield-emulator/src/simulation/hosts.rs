//! Hosts: the platform's list, requests about hosts, and waves of upkeep.

use std::sync::Arc;

use masticfield_jobs::job::RunId;
use masticfield_jobs::leader::{Event, HostError, ListedHost};
use masticfield_jobs::state::{HostClaim, WaveOrder};
use rand::RngExt;

use super::{HANDOVER_MS, MOVE_MS, ScheduledEvent, Simulation, UPKEEP_MS, WARMUP_MS};

impl Simulation {
    /// Returns whether the committed state has the run and its job still needs it.
    pub(super) fn is_needed(&self, run: RunId) -> bool {
        let job = self.state.job(run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        let current =
            task.is_some_and(|task| task.runs.iter().any(|(number, _)| *number == run.number));
        current && job.is_some_and(|job| job.needs(run))
    }

    /// Starts a wave of upkeep for every second host.
    pub(super) fn start_wave(&mut self) {
        let hosts = self
            .hosts
            .iter()
            .step_by(2)
            .map(|host| Arc::clone(&host.name));
        let order = WaveOrder {
            number: 1,
            hosts: hosts.collect(),
            duration_ms: self.scenario.upkeep_window_ms,
            cap: self.scenario.upkeep_cap,
        };
        let reply_id = self.next_reply_id();
        self.notify_leader(
            self.epoch,
            Event::Wave {
                reply_to: reply_id,
                order,
            },
        );
    }

    /// Counts the hosts of the wave whose upkeep has not begun by the wave's end.
    pub(super) fn count_late_upkeeps(&mut self) {
        let hosts = self.hosts.iter().step_by(2);
        let late = hosts.filter(|host| !host.upkeep_begun).count();
        self.report.late_upkeeps = u32::try_from(late).unwrap_or(u32::MAX);
    }

    /// Returns the platform's list of hosts.
    pub(super) fn list_hosts(&self) -> Vec<ListedHost> {
        let hosts = self.hosts.iter();
        hosts
            .map(|host| ListedHost {
                name: Arc::clone(&host.name),
                pool: Arc::clone(&host.pool),
                up: host.executor.is_some(),
                kind: Some("kind".into()),
                capacity: self.scenario.fleet.host_capacity(),
                executor: host
                    .executor
                    .map(|index| Arc::clone(&self.executors[index].incarnation.id)),
            })
            .collect()
    }

    /// Carries out a request of the leader about a host, and sends the answer.
    pub(super) fn order_host(&mut self, name: Arc<str>, claim: HostClaim, number: u64) {
        let fence = self.epoch * 1_000_000 + number;
        self.check_handover(&name);
        if matches!(claim, HostClaim::Upkeep { .. }) {
            self.crash_before_upkeep(&name);
        }
        let result = self.begin_host_operation(&name, &claim, fence);
        let lost = self.rng.random_bool(self.scenario.faults.lost_answers);
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
        self.schedule(15, ScheduledEvent::DeliverEvent(self.epoch, event));
    }

    /// Crashes the executor of a host whose upkeep is first requested, as often as the faults demand.
    fn crash_before_upkeep(&mut self, name: &Arc<str>) {
        let share = self.scenario.faults.crashes_before_upkeep;
        let index = self.hosts.iter().position(|host| host.name == *name);
        let Some(index) = index.filter(|index| !self.hosts[*index].upkeep_requested) else {
            return;
        };
        self.hosts[index].upkeep_requested = true;
        // Without this fault nothing is drawn, so that the seeds of other cases keep their course.
        if share == 0.0 || !self.rng.random_bool(share) {
            return;
        }
        if let Some(executor) = self.hosts[index].executor {
            self.advance(executor);
            self.end_executor(executor);
            let after = self.rng.random_range(300..900);
            self.schedule(after, ScheduledEvent::HostReturns(index));
        }
    }

    /// Checks that no more hosts of the wave are in upkeep at once than the operator allows.
    fn check_wave_cap(&mut self, name: &Arc<str>) {
        let away = self
            .hosts
            .iter()
            .filter(|host| host.in_upkeep && self.now < host.available_at);
        let away = away.count();
        let cap = self.scenario.upkeep_cap;
        if away >= cap as usize {
            let text = format!(
                "{}: upkeep of {name} begins beside {away} others; the limit is {cap}",
                self.now
            );
            self.checker.violations.push(text);
        }
    }

    /// Checks that no other leader has sent a request about the host within its lease.
    fn check_handover(&mut self, name: &Arc<str>) {
        let host = self.hosts.iter_mut().find(|host| host.name == *name);
        let Some(host) = host else {
            return;
        };
        let last_order = host.last_order.replace((self.epoch, self.now));
        if let Some((epoch, requested_at)) = last_order
            && epoch != self.epoch
            && self.now < requested_at + HANDOVER_MS
        {
            let text = format!(
                "{}: request about {name} within {HANDOVER_MS} ms of another leader's at {requested_at}",
                self.now
            );
            self.checker.violations.push(text);
        }
    }

    /// Begins a move or upkeep of a host, which ends its executor.
    ///
    /// An operation that has begun is not repeated.
    pub(super) fn begin_host_operation(
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
            HostClaim::Upkeep { .. } => host.upkeep_begun,
        };
        if done {
            return Ok(());
        }
        if self.now < host.available_at || host.executor.is_none() {
            return Err(HostError::NotUp);
        }
        if !self.accepts_order() {
            self.report.busy_orders += 1;
            return Err(HostError::Busy);
        }
        let host = &mut self.hosts[index];
        let duration = match claim {
            HostClaim::Move { pool } => {
                host.pool = Arc::clone(pool);
                self.report.moves += 1;
                MOVE_MS
            }
            HostClaim::Upkeep { .. } => {
                host.upkeep_begun = true;
                self.check_wave_cap(name);
                UPKEEP_MS
            }
        };
        let host = &mut self.hosts[index];
        host.available_at = self.now + duration;
        host.in_upkeep = matches!(claim, HostClaim::Upkeep { .. });
        if let Some(executor) = self.hosts[index].executor {
            self.advance(executor);
            let runs: Vec<_> = self.executors[executor].running.keys().copied().collect();
            for run in runs {
                self.check_ordered_end(run);
            }
            self.end_executor(executor);
        }
        self.schedule(duration, ScheduledEvent::HostReturns(index));
        Ok(())
    }

    /// Returns whether the platform accepts one more request now, and counts it.
    fn accepts_order(&mut self) -> bool {
        let limit = self.scenario.orders_per_s as usize;
        if limit == 0 {
            return true;
        }
        while self
            .orders
            .front()
            .is_some_and(|sent| self.now >= sent + 1_000)
        {
            self.orders.pop_front();
        }
        let accepts = self.orders.len() < limit;
        if accepts {
            self.orders.push_back(self.now);
        }
        accepts
    }

    /// Adds the host time until `time` to the report, and records the jobs that have ended.
    pub(super) fn account_host_time(&mut self, time: u64) {
        let serving = self
            .hosts
            .iter()
            .filter(|host| &*host.pool != "standby")
            .count();
        #[expect(clippy::cast_precision_loss, reason = "seconds of a simulation")]
        let seconds = (time - self.accounted_until) as f64 / 1_000.0 * serving as f64;
        if time <= WARMUP_MS + self.scenario.load_ms {
            self.report.host_seconds += seconds;
        }
        self.accounted_until = time;
        self.record_job_ends();
    }
}
