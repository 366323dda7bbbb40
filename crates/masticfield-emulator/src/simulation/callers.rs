//! Callers: their requests about jobs, and the replies.

use masticfield_jobs::job::{JobId, JobSpec, TaskId};
use masticfield_jobs::leader::{Event, JobRequest, JobRequestKind, Refusal, Reply, ReplyId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{SURGE_FACTORS, SURGE_SHARE, ScheduledEvent, Simulation, WARMUP_MS};
use crate::checker::SubmittedJob;
use crate::fleet::{QueueLoad, round_to_u64, workspace_key};
use crate::scenario::LoadShape;

impl Simulation {
    /// Returns the source of random choices for the callers' jobs.
    const fn caller_rng(&mut self) -> &mut ChaCha8Rng {
        if self.scenario.fixed_load {
            &mut self.load_rng
        } else {
            &mut self.rng
        }
    }

    pub(super) fn next_reply_id(&mut self) -> ReplyId {
        self.last_reply_id += 1;
        ReplyId(self.last_reply_id)
    }

    /// Schedules the next submission to a queue, counted from `wait` milliseconds from now.
    pub(super) fn schedule_submission(&mut self, index: usize, wait: u64) {
        let now = self.now + wait;
        let end = WARMUP_MS + self.scenario.load_ms;
        if now >= end {
            return;
        }
        let queue = &self.scenario.fleet.queues[index];
        let rate = queue.jobs_per_s * self.load_factor(index, now);
        let rate = rate * self.scenario.greed_factor();
        // Poisson arrivals, with gaps of at most 500 ms so that a change of the rate takes effect
        // soon. At rates below 2 jobs/s, a gap of that length ends in a submission only with the
        // probability rate / 2.
        let gap = -(1.0 - self.caller_rng().random::<f64>()).ln() / rate.max(0.01) * 1_000.0;
        let gap = round_to_u64(gap).clamp(1, 500);
        let recheck_only =
            gap == 500 && rate < 2.0 && !self.caller_rng().random_bool((rate / 2.0).min(1.0));
        let next = if recheck_only {
            ScheduledEvent::RecheckRate(index)
        } else {
            ScheduledEvent::Submit(index)
        };
        self.last_sequence += 1;
        self.pending_events
            .insert((now + gap, self.last_sequence), next);
    }

    /// Returns the factor on the mean rate of a queue.
    ///
    /// Queues surge in turn; if there are fewer than four, all surge throughout.
    fn load_factor(&self, index: usize, now: u64) -> f64 {
        let queues = self.scenario.fleet.queues.len();
        let cycle_ms = match self.scenario.shape {
            LoadShape::Once => self.scenario.load_ms,
            LoadShape::Turns(cycle_ms) => cycle_ms,
            LoadShape::Random => {
                let mut surges = self.surges.get(index).into_iter().flatten();
                let surges = surges.any(|(begin, end)| (*begin..*end).contains(&now));
                return if surges {
                    SURGE_FACTORS.0
                } else {
                    SURGE_FACTORS.1
                };
            }
            LoadShape::Steady => return 1.0,
        };
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a simulation")]
        let elapsed = now.saturating_sub(WARMUP_MS) as f64 / cycle_ms.max(1) as f64;
        let mut turn = round_to_u64((elapsed / SURGE_SHARE).floor());
        if matches!(self.scenario.shape, LoadShape::Turns(_)) {
            turn %= queues.max(1) as u64;
        }
        let surges = turn == index as u64 % queues.max(1) as u64 || queues < 4;
        if surges {
            SURGE_FACTORS.0
        } else {
            SURGE_FACTORS.1
        }
    }

    /// Returns random surges of each queue, if it surges at random times.
    pub(super) fn random_surges(&mut self, queues: usize) -> Vec<Vec<(u64, u64)>> {
        if self.scenario.shape != LoadShape::Random {
            return Vec::new();
        }
        let end = WARMUP_MS + self.scenario.load_ms;
        let rng = &mut self.load_rng;
        let surges = (0..queues).map(|_| {
            let mut surges = Vec::new();
            let mut begin = WARMUP_MS + rng.random_range(0..14_000);
            while begin < end {
                let surge_end = begin + rng.random_range(2_000..6_000);
                surges.push((begin, surge_end));
                begin = surge_end + rng.random_range(4_000..24_000);
            }
            surges
        });
        surges.collect()
    }

    /// Creates a job of a queue and submits it; its caller may cancel it later.
    pub(super) fn submit(&mut self, index: usize, long_running: bool) {
        if !long_running && self.now >= WARMUP_MS + self.scenario.load_ms {
            return;
        }
        let queue: QueueLoad = self.scenario.fleet.queues[index].clone();
        let job = JobId::new(self.caller_rng().random());
        let spec = if long_running {
            queue.long_running_job()
        } else {
            queue.job(self.caller_rng())
        };
        // As in the configuration of the queues: `stretch` and `target_ms`.
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a job")]
        let objective_ms = round_to_u64(spec.critical_path_ms() as f64 * 1.6) + 600;
        let workspace = self.choose_workspace();
        let crashing_task = self.choose_crashing_task(job, index, &spec);
        let key_number = self.choose_key(job);
        let authorized = self.may_be_served(job, key_number);
        self.checker.jobs.insert(
            job,
            SubmittedJob {
                spec,
                queue: index,
                workspace,
                crashing_task,
                key_number,
                authorized,
                submitted_at: self.now,
                objective_ms,
                accepted: false,
                refused: false,
                cancelled_at: None,
                ended_at: None,
                completed: false,
            },
        );
        self.send_submission(job, index);
        let cancel_share = self.scenario.faults.cancelled_jobs;
        if !long_running && self.caller_rng().random_bool(cancel_share) {
            let after = self.caller_rng().random_range(10..2_000);
            self.schedule(after, ScheduledEvent::Cancel(job));
        }
    }

    /// Returns the workspace of a new job, if there are any.
    fn choose_workspace(&mut self) -> Option<u32> {
        let (count, greed) = (self.scenario.sharing_workspaces, self.scenario.greed);
        if count == 0 {
            return None;
        }
        let others = f64::from(count - 1);
        if self.caller_rng().random_bool(greed / (greed + others)) {
            return Some(0);
        }
        Some(self.caller_rng().random_range(1..count.max(2)))
    }

    /// Returns the task of a new job that is to crash executors, if any.
    fn choose_crashing_task(&mut self, job: JobId, queue: usize, spec: &JobSpec) -> Option<TaskId> {
        let faults = self.scenario.faults;
        if faults.crashing_jobs == 0.0 || spec.is_long_running() {
            return None;
        }
        let rng = if let Some(limits) = faults.crashing_limits {
            let (from, until) = limits.submitted_ms;
            let elapsed = self.now.saturating_sub(WARMUP_MS);
            if queue != limits.queue || elapsed < from || elapsed >= until {
                return None;
            }
            // The other choices are those of the same scenario without such jobs.
            &mut self.fault_rng
        } else {
            self.caller_rng()
        };
        if !rng.random_bool(faults.crashing_jobs) {
            return None;
        }
        let step = rng.random_range(0..spec.steps.len());
        let index = rng.random_range(0..spec.steps[step].count);
        let step = u16::try_from(step).ok()?;
        Some(TaskId::new(job, 0, step, index))
    }

    /// Repeats the submission of a job, to the first queue unless callers come back after a refusal.
    pub(super) fn resubmit(&mut self, job: JobId) {
        let submitted = self.checker.jobs.get(&job);
        let queue = submitted.map_or(0, |submitted| submitted.queue);
        self.send_submission(job, if self.scenario.retries { queue } else { 0 });
    }

    pub(super) fn send_submission(&mut self, job: JobId, index: usize) {
        let Some(submitted) = self.checker.jobs.get(&job) else {
            return;
        };
        let (spec, key_number) = (submitted.spec.clone(), submitted.key_number);
        let key = submitted.workspace.and_then(workspace_key);
        let reply_id = self.next_reply_id();
        let queue = &self.scenario.fleet.queues[index];
        let path = format!("/{}/{job}", queue.name);
        let job_request = JobRequest {
            authority: "fleet.example".into(),
            path,
            kind: JobRequestKind::Submit(spec),
            key: key.or_else(|| self.use_key(reply_id, job, Some(key_number))),
        };
        self.pending_requests.insert(reply_id, (job, false));
        self.notify_leader(
            self.epoch,
            Event::JobRequest {
                reply_to: reply_id,
                request: job_request,
            },
        );
    }

    /// Cancels a job if its caller knows that it was accepted.
    ///
    /// The request may use any queue's path, as the leader finds the job by its identifier.
    pub(super) fn cancel(&mut self, job: JobId) {
        let accepted = self
            .checker
            .jobs
            .get(&job)
            .is_some_and(|submitted| submitted.accepted);
        if !accepted {
            return;
        }
        let reply_id = self.next_reply_id();
        let path = format!("/{}/{job}", self.scenario.fleet.queues[0].name);
        let job_request = JobRequest {
            authority: "fleet.example".into(),
            path,
            kind: JobRequestKind::Cancel,
            key: self.use_key(reply_id, job, None),
        };
        self.pending_requests.insert(reply_id, (job, true));
        self.notify_leader(
            self.epoch,
            Event::JobRequest {
                reply_to: reply_id,
                request: job_request,
            },
        );
    }

    /// Records the leader's reply to a request.
    pub(super) fn on_reply(&mut self, reply_id: ReplyId, reply: &Reply) {
        self.check_key_reply(reply_id, reply);
        let Some((job, is_cancel)) = self.pending_requests.remove(&reply_id) else {
            return;
        };
        let Some(submitted) = self.checker.jobs.get_mut(&job) else {
            return;
        };
        match reply {
            Reply::Done if is_cancel => {
                submitted.cancelled_at.get_or_insert(self.now);
            }
            Reply::Done => {
                submitted.accepted = true;
                submitted.refused = false;
            }
            Reply::Refused(Refusal::Busy { retry_after_ms }) if !submitted.accepted => {
                submitted.refused = true;
                let useful_until = submitted.submitted_at + 3 * submitted.objective_ms;
                if self.scenario.retries && self.now + retry_after_ms < useful_until {
                    self.schedule(*retry_after_ms, ScheduledEvent::Resubmit(job));
                }
            }
            Reply::Unauthorized if self.scenario.workspaces > 0 => {
                submitted.refused |= !submitted.accepted;
            }
            Reply::NoJob | Reply::Refused(_) => {}
            other => self.checker.violations.push(format!(
                "{}: unexpected reply about {job}: {other:?}",
                self.now
            )),
        }
    }

    /// Records the jobs that have ended in the committed state, and checks that every task of a
    /// completed job is done.
    ///
    /// Has no effect unless the time is a multiple of 5 ms.
    pub(super) fn record_job_ends(&mut self) {
        if !self.now.is_multiple_of(5) {
            return;
        }
        let mut failed = Vec::new();
        let open = self
            .checker
            .jobs
            .iter_mut()
            .filter(|(_, job)| job.accepted && job.ended_at.is_none());
        for (id, job) in open {
            use masticfield_jobs::state::JobStatus;
            match self
                .state
                .job(*id)
                .map(masticfield_jobs::state::JobRecord::status)
            {
                Some(JobStatus::Completed) => {
                    job.ended_at = Some(self.now);
                    job.completed = true;
                    let tasks = job.spec.steps.iter().zip(0..).flat_map(|(step, number)| {
                        (0..step.count).map(move |index| (number, index))
                    });
                    for (number, index) in tasks {
                        let task = masticfield_jobs::job::TaskId::new(*id, 0, number, index);
                        if !self.checker.done.contains(&task) {
                            let text =
                                format!("{}: {id} is completed, but {task} is not done", self.now);
                            self.checker.violations.push(text);
                        }
                    }
                }
                Some(status @ (JobStatus::Failed | JobStatus::Cancelled)) => {
                    job.ended_at = Some(self.now);
                    if status == JobStatus::Failed {
                        failed.push(*id);
                    }
                }
                Some(JobStatus::Queued | JobStatus::Running) => {}
                None => {
                    self.checker.violations.push(format!(
                        "{}: accepted job {id} is not in the state",
                        self.now
                    ));
                    job.ended_at = Some(self.now);
                }
            }
        }
        for id in failed {
            self.checker.check_failed_job(self.now, id);
        }
    }
}
