//! What callers ask for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Effect, Event, Leader, Moment, Refusal, Reply};
use crate::job::{JobId, JobSpec};
use crate::queue::QueueId;
use crate::schedule::{Admission, Backlog, USEFUL_FACTOR, admit, on_time_ms};
use crate::state::{Command, JobPhase};

/// Someone who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AskId(pub u64);

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Intake {
    /// Authority that the request names.
    pub authority: String,
    /// Path of the request.
    pub path: String,
    /// What is asked.
    pub kind: IntakeKind,
}

/// The kinds of what a caller asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum IntakeKind {
    /// To store a job.
    Submit(JobSpec),
    /// To cancel a job.
    Cancel,
    /// Where a job stands, or how many wait.
    Read,
}

/// Longest time to come back that a caller is told, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

impl Leader {
    pub(super) fn on_asked(&mut self, at: Moment, ask: AskId, intake: Intake) {
        let reply = self.take_in(at, intake);
        self.then(Effect::Answer { ask, reply });
    }

    fn take_in(&mut self, at: Moment, intake: Intake) -> Reply {
        if self.state.config().is_none() {
            return Reply::Refused(Refusal::NotReady);
        }
        let Some(route) = self.routes.find(&intake.authority, &intake.path) else {
            return Reply::NoQueue;
        };
        let queue = route.queue;
        let Ok(job) = route.rest.parse::<JobId>() else {
            return Reply::NoQueue;
        };
        match intake.kind {
            IntakeKind::Submit(spec) => self.submit(at, job, queue, spec),
            IntakeKind::Cancel => self.cancel(at, job),
            // Reads are answered from what is committed.
            IntakeKind::Read => Reply::Unknown,
        }
    }

    fn submit(&mut self, at: Moment, job: JobId, queue: QueueId, spec: JobSpec) -> Reply {
        if self.state.job(job).is_some() {
            return Reply::Done;
        }
        if spec.check().is_err() {
            return Reply::Malformed;
        }
        let advised = self
            .state
            .queue(queue)
            .is_some_and(|queue| queue.advice.is_some());
        if advised {
            // Starts on such a queue need tickets, which are not asked for yet.
            return Reply::Refused(Refusal::NotReady);
        }
        self.note_offered(at, queue, &spec);
        let (backlog, slack_ms) = self.prospect(at, queue, &spec);
        let slack = slack_ms.map_or(Duration::MAX, Duration::from_millis);
        if let Admission::Refuse { retry_after } = admit(backlog, slack) {
            let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            let retry_after_ms = retry_after_ms.min(MAX_RETRY_AFTER_MS);
            let Backlog {
                work,
                cores,
                coming,
            } = backlog;
            log::info!(
                job:%, queue = queue.0, work, cores, coming, slack_ms, retry_after_ms;
                "job refused"
            );
            return Reply::Refused(Refusal::Busy { retry_after_ms });
        }
        log::info!(
                        job:%, queue = queue.0, steps = spec.steps.len(), chain_ms = spec.chain_ms(),
            work = backlog.work, cores = backlog.cores, coming = backlog.coming, slack_ms;
            "job accepted"
        );
        self.commit(Command::Submit {
            job,
            queue,
            spec,
            at_ms: at.wall_ms,
        });
        self.refresh(at, job);
        Reply::Done
    }

    /// What a job of a queue has to wait for, and how long it can, in milliseconds; none if it
    /// need not be refused at all.
    fn prospect(&self, at: Moment, queue: QueueId, spec: &JobSpec) -> (Backlog, Option<u64>) {
        let Some(config) = self.state.queue(queue) else {
            return (Backlog::default(), None);
        };
        let backlog = self.backlog(at, &config.pool);
        if spec.lasts() || spec.timetable.is_some() {
            return (backlog, None);
        }
        let useful = on_time_ms(spec, config) * USEFUL_FACTOR;
        (backlog, Some(useful.saturating_sub(spec.chain_ms())))
    }

    fn cancel(&mut self, at: Moment, job: JobId) -> Reply {
        let Some(record) = self.state.job(job) else {
            return Reply::NoJob;
        };
        if record.phase == JobPhase::Open {
            log::info!(job:%, runs = record.active; "job cancelled");
            self.commit(Command::Cancel {
                job,
                at_ms: at.wall_ms,
            });
            self.refresh(at, job);
            self.stop_unwanted(at, job);
        }
        Reply::Done
    }

    pub(super) fn on_wave(&mut self, at: Moment, ask: AskId, order: crate::state::WaveOrder) {
        let at_ms = at.wall_ms;
        self.commit(Command::Wave { order, at_ms });
        self.then(Effect::Answer {
            ask,
            reply: Reply::Done,
        });
    }

    pub(super) fn on_configure(&mut self, at: Moment, event: Event) {
        let Event::Configure {
            ask,
            config,
            content,
        } = event
        else {
            return;
        };
        if self.commit(Command::Configure { config, content }) {
            self.reconfigured(at);
        }
        self.then(Effect::Answer {
            ask,
            reply: Reply::Done,
        });
    }
}
