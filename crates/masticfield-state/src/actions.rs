//! Application of planned actions, host reports and operator requests to the state.

use std::sync::Arc;

use masticfield_core::fleet::{Action, Generation, Ownership, Planned, Reason};
use masticfield_core::operator::{DrainAccepted, Problem};

use crate::history::describe;
use crate::{
    HostStep, Placement, PlacementState, Refusal, State, Subject, TaskEnd, TaskKey, Verdict,
};

impl State {
    /// Number of hosts owned by configured pools in excess of their need.
    ///
    /// Of a spare pool, too, only the hosts in excess of its configured number count.
    pub fn buffer_hosts(&self) -> u32 {
        let in_service = |pool: &str| {
            let owned = self.hosts.ownership().filter(|(_, ownership)| {
                matches!(ownership, Ownership::Owned { pool: owner, .. } if owner.as_ref() == pool)
            });
            u32::try_from(owned.count()).unwrap_or(u32::MAX)
        };
        let pools = self.config().pools().values();
        pools
            .map(|pool| in_service(&pool.name).saturating_sub(pool.hosts))
            .sum()
    }

    /// Applies a planned action, and records it in the history if it changed the state.
    pub(crate) fn apply_action(&mut self, at_ms: u64, planned: &Planned) -> Verdict {
        let verdict = self.dispatch(at_ms, planned);
        if verdict == Verdict::Done {
            let Planned { action, reason } = planned;
            let subjects = describe::subjects(action, reason);
            let (event, reason) = (describe::action(action), describe::reason(reason));
            self.record(at_ms, event, reason, subjects);
        }
        verdict
    }

    /// Records the report of a host that it has drained.
    pub(crate) fn host_drained(
        &mut self,
        at_ms: u64,
        host: &Arc<str>,
        generation: Generation,
    ) -> Verdict {
        let step = HostStep::HostReport { generation };
        self.record_drained(at_ms, host, &step, "the host said so")
    }

    /// Records the report of the leader of `term` that every lease on a host has expired.
    pub(crate) fn leases_ended(
        &mut self,
        at_ms: u64,
        host: &Arc<str>,
        generation: Generation,
        term: u64,
    ) -> Verdict {
        if let Err(refusal) = self.check_term(term) {
            return Verdict::Refused(refusal);
        }
        let step = HostStep::LeasesEnded { generation };
        self.record_drained(at_ms, host, &step, "every lease on it has run out")
    }

    /// Records ended tasks, and removes ended tasks of withdrawn jobs.
    pub(crate) fn end_tasks(&mut self, at_ms: u64, ends: &[TaskEnd]) {
        for end in ends {
            let Some(placement) = self.tasks.end(end) else {
                continue;
            };
            let host = Arc::clone(&placement.host);
            let (job, index, attempt) = (&end.job, end.index, end.attempt);
            let event = format!("job {job} task {index} attempt {attempt} ended");
            let reason = format!("host {host} reported it {:?}", end.phase).to_lowercase();
            let subjects = vec![(Subject::Job, Arc::clone(job)), (Subject::Host, host)];
            self.record(at_ms, event, reason, subjects);
        }
        let config = self.notes.config();
        self.tasks
            .retain_jobs(|job| config.jobs().contains_key(job));
    }

    /// Drains a host on behalf of an operator, who holds it until it is undrained.
    pub(crate) fn drain_host(
        &mut self,
        at_ms: u64,
        host: &Arc<str>,
    ) -> Result<DrainAccepted, Problem> {
        let exists = self.config().hosts().contains_key(host) || self.hosts.host(host).is_some();
        if !exists {
            let (kind, name) = ("host".into(), Arc::clone(host));
            return Err(Problem::NotFound { kind, name });
        }
        let generation = self
            .hosts
            .host(host)
            .map_or(Generation::new(0), |record| record.ownership().generation());
        let is_held = self
            .hosts
            .host(host)
            .is_some_and(crate::HostRecord::is_held_by_operator);
        self.hosts
            .step(at_ms, host, &HostStep::Drain { generation });
        self.hosts.set_held_by_operator(host, true);
        if !is_held {
            let subjects = vec![(Subject::Host, Arc::clone(host))];
            let event = format!("host {host} drains and is kept");
            self.record(at_ms, event, describe::reason(&Reason::Operator), subjects);
        }
        Ok(DrainAccepted {
            host: Arc::clone(host),
            generation: generation.number(),
        })
    }

    /// Returns a host that an operator holds to the planner.
    pub(crate) fn undrain_host(&mut self, at_ms: u64, host: &Arc<str>) -> Verdict {
        let is_held = self
            .hosts
            .host(host)
            .is_some_and(crate::HostRecord::is_held_by_operator);
        if !is_held {
            return Verdict::Repeated;
        }
        self.hosts.set_held_by_operator(host, false);
        let subjects = vec![(Subject::Host, Arc::clone(host))];
        let event = format!("host {host} given back");
        self.record(at_ms, event, describe::reason(&Reason::Operator), subjects);
        Verdict::Done
    }

    /// Records a proof that a host holds no lease, and ends the tasks that it still held.
    fn record_drained(
        &mut self,
        at_ms: u64,
        host: &Arc<str>,
        step: &HostStep,
        reason: &str,
    ) -> Verdict {
        let verdict = self.hosts.step(at_ms, host, step);
        if verdict == Verdict::Done {
            self.tasks.mark_host_lost(host);
            let subjects = vec![(Subject::Host, Arc::clone(host))];
            let event = format!("host {host} has drained");
            self.record(at_ms, event, reason, subjects);
        }
        verdict
    }

    fn dispatch(&mut self, at_ms: u64, planned: &Planned) -> Verdict {
        let task_key = |job: &Arc<str>, index| TaskKey {
            job: Arc::clone(job),
            index,
        };
        match &planned.action {
            Action::Quarantine { host, period } => self.quarantine(at_ms, host, *period),
            Action::StopJob { job } => self.tasks.stop_job(job),
            Action::StartTask { .. } => self.start_task(at_ms, &planned.action),
            Action::ThrottleTask {
                job,
                index,
                attempt,
            } => {
                let key = task_key(job, *index);
                self.tasks.order(&key, *attempt, PlacementState::Throttled)
            }
            Action::CheckpointTask {
                job,
                index,
                attempt,
            } => {
                let (key, order) = (task_key(job, *index), PlacementState::Checkpointing);
                self.tasks.order(&key, *attempt, order)
            }
            Action::StopTask {
                job,
                index,
                attempt,
            } => {
                let key = task_key(job, *index);
                self.tasks.order(&key, *attempt, PlacementState::Stopping)
            }
            _ => self.step_host(at_ms, planned),
        }
    }

    /// Applies an action that changes the ownership of a host.
    fn step_host(&mut self, at_ms: u64, planned: &Planned) -> Verdict {
        let Some((host, step)) = host_step(planned) else {
            return Verdict::Refused(Refusal::UnknownHost);
        };
        if let Err(refusal) = self.check_host_step(host, &step) {
            return Verdict::Refused(refusal);
        }
        let last = self.last_pool(host);
        let verdict = self.hosts.step(at_ms, host, &step);
        if verdict == Verdict::Done
            && let HostStep::Own { pool, .. } = &step
            && last.is_some_and(|last| last != *pool)
        {
            self.notes.count_host_move();
        }
        verdict
    }

    fn check_host_step(&self, host: &str, step: &HostStep) -> Result<(), Refusal> {
        let is_held = self
            .hosts
            .host(host)
            .is_some_and(crate::HostRecord::is_held_by_operator);
        match step {
            HostStep::Own { .. } | HostStep::Resume { .. } if is_held => {
                Err(Refusal::HeldByOperator)
            }
            HostStep::Own { .. } if !self.config().hosts().contains_key(host) => {
                Err(Refusal::UnknownHost)
            }
            HostStep::Own { pool, .. } if !self.config().pools().contains_key(pool) => {
                Err(Refusal::UnknownPool)
            }
            _ => Ok(()),
        }
    }

    fn quarantine(&mut self, at_ms: u64, host: &Arc<str>, period: std::time::Duration) -> Verdict {
        if !self.config().hosts().contains_key(host) {
            return Verdict::Refused(Refusal::UnknownHost);
        }
        let period_ms = u64::try_from(period.as_millis()).unwrap_or(u64::MAX);
        self.hosts.quarantine(host, at_ms.saturating_add(period_ms));
        Verdict::Done
    }

    fn start_task(&mut self, at_ms: u64, action: &Action) -> Verdict {
        let Action::StartTask {
            job,
            index,
            attempt,
            host,
            generation,
            size,
        } = action
        else {
            return Verdict::Refused(Refusal::NotPlaced);
        };
        if !self.config().jobs().contains_key(job) {
            return Verdict::Refused(Refusal::UnknownJob);
        }
        if let Err(refusal) = self.check_accepts_tasks(at_ms, host, *generation) {
            return Verdict::Refused(refusal);
        }
        let key = TaskKey {
            job: Arc::clone(job),
            index: *index,
        };
        let placement = Placement {
            attempt: *attempt,
            host: Arc::clone(host),
            generation: *generation,
            size: *size,
            state: PlacementState::Running,
            placed_at_ms: at_ms,
        };
        let (verdict, moved) = self.tasks.place(key, placement);
        if moved {
            self.notes.count_job_move();
        }
        verdict
    }

    /// Refuses a task for a host that accepts none at the named generation.
    fn check_accepts_tasks(
        &self,
        at_ms: u64,
        host: &str,
        named: Generation,
    ) -> Result<(), Refusal> {
        let record = self.hosts.host(host).ok_or(Refusal::UnknownHost)?;
        match record.ownership() {
            Ownership::Owned { generation, .. } if *generation != named => Err(Refusal::Stale {
                named,
                current: *generation,
            }),
            Ownership::Owned { .. } if at_ms < record.quarantined_until_ms() => {
                Err(Refusal::Quarantined)
            }
            Ownership::Owned { .. } => Ok(()),
            _ => Err(Refusal::NotOwned),
        }
    }

    /// The pool that owns or last owned a host.
    fn last_pool(&self, host: &str) -> Option<Arc<str>> {
        self.hosts.host(host)?.last_pool().cloned()
    }
}

/// The ownership step of an action; `None` if the action does not concern ownership.
fn host_step(planned: &Planned) -> Option<(&Arc<str>, HostStep)> {
    let step = match &planned.action {
        Action::Own {
            host,
            pool,
            generation,
        } => {
            let (pool, generation) = (Arc::clone(pool), *generation);
            (host, HostStep::Own { pool, generation })
        }
        Action::Drain { host, generation } => {
            let generation = *generation;
            (host, HostStep::Drain { generation })
        }
        Action::Release { host, generation } => {
            let generation = *generation;
            (host, HostStep::Release { generation })
        }
        Action::Resume { host, generation } => {
            let generation = *generation;
            (host, HostStep::Resume { generation })
        }
        Action::Reboot {
            host, generation, ..
        } => {
            let programme = match &planned.reason {
                Reason::MaintenanceDue { programme } => Some(Arc::clone(programme)),
                _ => None,
            };
            let generation = *generation;
            let step = HostStep::Reboot {
                generation,
                programme,
            };
            (host, step)
        }
        _ => return None,
    };
    Some(step)
}
