//! Requests of callers and operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Defect, Effect, Event, Leader, Moment, Refusal, Reply};
use crate::job::{JobId, JobSpec};
use crate::queue::{KeyDigest, QueueId, WorkspaceId};
use crate::schedule::{Admission, Backlog, JobOrder, USEFUL_FACTOR, admit, on_time_ms};
use crate::state::{Command, JobPhase};

/// Identifier of a pending reply, assigned by the sender of the event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyId(pub u64);

/// A request of a caller about a job or a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Authority of the request; selects the queue together with the path.
    pub authority: String,
    /// Path of the request: the queue's prefix, followed by the identifier of the job.
    pub path: String,
    /// Operation to carry out.
    pub kind: JobRequestKind,
    /// Digest of the key in the request; `None` without a key, or if the text cannot be a key.
    pub key: Option<KeyDigest>,
}

/// Operation of a [`JobRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRequestKind {
    /// Store a job. Repeating it has no further effect.
    Submit(JobSpec),
    /// Cancel a job.
    Cancel,
    /// Return the status of a job, or the number of pending jobs if the path names none.
    Read,
}

impl JobRequestKind {
    /// Returns the name used in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Cancel => "cancel",
            Self::Read => "read",
        }
    }
}

/// Maximum retry time that is returned to callers, in milliseconds.
pub(super) const MAX_RETRY_AFTER_MS: u64 = 10_000;

impl Leader {
    pub(super) fn on_job_request(&mut self, now: Moment, reply_to: ReplyId, request: JobRequest) {
        let reply = self.handle_job_request(now, request);
        self.after_commit(Effect::Reply { reply_to, reply });
    }

    fn handle_job_request(&mut self, now: Moment, request: JobRequest) -> Reply {
        if self.state.config().is_none() {
            return Reply::Refused(Refusal::NotReady);
        }
        let Some(route) = self.routes.find(&request.authority, &request.path) else {
            return Reply::NoQueue;
        };
        let queue = route.queue;
        let Ok(job) = route.rest.parse::<JobId>() else {
            return Reply::NoQueue;
        };
        let workspace = match self.check_key(queue, job, &request) {
            Ok(workspace) => workspace,
            Err(reply) => return reply,
        };
        match request.kind {
            JobRequestKind::Submit(spec) => self.submit(now, job, (queue, workspace), spec),
            JobRequestKind::Cancel => self.cancel(now, job),
            // Reads are answered by `read` from the committed state and do not get here.
            JobRequestKind::Read => Reply::Unknown,
        }
    }

    fn submit(
        &mut self,
        now: Moment,
        job: JobId,
        (queue, workspace): (QueueId, Option<WorkspaceId>),
        spec: JobSpec,
    ) -> Reply {
        if self.state.job(job).is_some() {
            return Reply::Done;
        }
        if spec.check().is_err() {
            return Reply::Malformed;
        }
        let needs_advice = self
            .state
            .queue(queue)
            .is_some_and(|queue| queue.advice.is_some());
        if needs_advice {
            // Starts in such a queue need tickets, which are not implemented yet.
            return Reply::Refused(Refusal::NotReady);
        }
        if let Some(refusal) = self.refuse_for_quota(job, queue, workspace, &spec) {
            return Reply::Refused(refusal);
        }
        if self.adds_load(workspace, &spec) {
            self.record_offered(now, queue, &spec);
        }
        if self.load_shedding.enabled {
            return self.submit_by_value(now, job, queue, workspace, spec);
        }
        if self.options.order == JobOrder::ValueDensity {
            self.record_size(queue, spec.work());
        }
        let (backlog, slack_ms) = self.admission_inputs(now, queue, &spec);
        let slack = slack_ms.map_or(Duration::MAX, Duration::from_millis);
        if let Admission::Refuse { retry_after } = admit(backlog, slack) {
            let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            let retry_after_ms = retry_after_ms.min(MAX_RETRY_AFTER_MS);
            let Backlog {
                work,
                cores,
                incoming,
            } = backlog;
            log::info!(
                job:%, queue = queue.0, work, cores, coming = incoming, slack_ms, retry_after_ms;
                "job refused"
            );
            return Reply::Refused(Refusal::Busy { retry_after_ms });
        }
        log::info!(
            job:%, queue = queue.0, steps = spec.steps.len(), chain_ms = spec.critical_path_ms(),
            work = backlog.work, cores = backlog.cores, coming = backlog.incoming, slack_ms;
            "job accepted"
        );
        self.store_job(now, job, queue, workspace, spec);
        Reply::Done
    }

    /// Stores an accepted job.
    pub(super) fn store_job(
        &mut self,
        now: Moment,
        job: JobId,
        queue: QueueId,
        workspace: Option<WorkspaceId>,
        spec: JobSpec,
    ) {
        let at_ms = now.wall_ms;
        self.propose(Command::submit(workspace, job, queue, spec, at_ms));
        self.update_pending(now, job);
    }

    /// Returns the backlog ahead of a new job, and how long the job can wait and still be useful,
    /// in milliseconds; `None` if the job is never refused.
    fn admission_inputs(
        &self,
        now: Moment,
        queue: QueueId,
        spec: &JobSpec,
    ) -> (Backlog, Option<u64>) {
        let Some(config) = self.state.queue(queue) else {
            return (Backlog::default(), None);
        };
        let useful_ms = self.useful_ms(queue, spec);
        let slack_ms = useful_ms.map(|useful| useful.saturating_sub(spec.critical_path_ms()));
        let slack = slack_ms.map_or(Duration::MAX, Duration::from_millis);
        (self.backlog(now, &config.pool, slack), slack_ms)
    }

    /// Returns the time within which a new job must end to be of use, in milliseconds; `None` for a
    /// job that is always of use.
    fn useful_ms(&self, queue: QueueId, spec: &JobSpec) -> Option<u64> {
        let config = self.state.queue(queue)?;
        let always = spec.is_long_running() || spec.timetable.is_some();
        (!always).then(|| on_time_ms(spec, config).saturating_mul(USEFUL_FACTOR))
    }

    fn refuse_for_quota(
        &mut self,
        job: JobId,
        queue: QueueId,
        workspace: Option<WorkspaceId>,
        spec: &JobSpec,
    ) -> Option<Refusal> {
        let workspace = workspace?;
        let refusal = self.quota_refusal(workspace, spec, self.useful_ms(queue, spec))?;
        *self.quota_refusals.entry(workspace).or_default() += 1;
        let retry_after = refusal.retry_after.unwrap_or(Duration::MAX);
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        let retry_after_ms = retry_after_ms.min(MAX_RETRY_AFTER_MS);
        let name = self.state.workspace(workspace);
        let name = name.map(|workspace| workspace.name.as_ref());
        log::info!(
            job:%, queue = queue.0, workspace = name, reason = refusal.reason, retry_after_ms;
            "job refused for its quota"
        );
        Some(Refusal::Busy { retry_after_ms })
    }

    fn cancel(&mut self, now: Moment, job: JobId) -> Reply {
        let Some(record) = self.state.job(job) else {
            return Reply::NoJob;
        };
        if record.phase == JobPhase::Open {
            log::info!(job:%, runs = record.active_runs; "job cancelled");
            self.propose(Command::Cancel {
                job,
                at_ms: now.wall_ms,
            });
            self.update_pending(now, job);
            self.stop_unneeded_runs(now, job);
        }
        Reply::Done
    }

    pub(super) fn on_wave(
        &mut self,
        now: Moment,
        reply_to: ReplyId,
        order: crate::state::WaveOrder,
    ) {
        let at_ms = now.wall_ms;
        self.propose(Command::Wave { order, at_ms });
        self.after_commit(Effect::Reply {
            reply_to,
            reply: Reply::Done,
        });
    }

    pub(super) fn on_configure(&mut self, now: Moment, event: Event) {
        let Event::Configure {
            reply_to,
            config,
            content,
        } = event
        else {
            return;
        };
        if self.options.defect == Some(Defect::KeyOfOldConfig) {
            self.former_keys = self.state.keys().collect();
        }
        if self.propose(Command::configure(config, content)) {
            self.on_config_change(now);
        }
        self.after_commit(Effect::Reply {
            reply_to,
            reply: Reply::Done,
        });
    }
}
