//! Callers: what they send and what they are told.

use masticfield_jobs::job::JobId;
use masticfield_jobs::leader::{Event, JobRequest, JobRequestKind, Refusal, Reply, ReplyId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Happening, LEAD_MS, Simulation, surge};
use crate::fleet::{QueueLoad, whole};
use crate::ledger::Sent;

impl Simulation {
    /// What decides what callers send.
    const fn caller_rng(&mut self) -> &mut ChaCha8Rng {
        if self.day.fixed_load {
            &mut self.load
        } else {
            &mut self.rng
        }
    }

    pub(super) fn next_ask(&mut self) -> ReplyId {
        self.last_ask += 1;
        ReplyId(self.last_ask)
    }

    pub(super) fn next_submit(&mut self, index: usize, wait: u64) {
        let now = self.now + wait;
        let end = LEAD_MS + self.day.load_ms;
        if now >= end {
            return;
        }
        let queue = &self.day.fleet.queues[index];
        let rate =
            queue.jobs_per_s * surge(self.day.fleet.queues.len(), index, now, self.day.load_ms);
        let gap = -(1.0 - self.caller_rng().random::<f64>()).ln() / rate.max(0.01) * 1_000.0;
        let gap = whole(gap).clamp(1, 500);
        let looks_only =
            gap == 500 && rate < 2.0 && !self.caller_rng().random_bool((rate / 2.0).min(1.0));
        let next = if looks_only {
            Happening::LookAtRate(index)
        } else {
            Happening::Submit(index)
        };
        self.last += 1;
        self.agenda.insert((now + gap, self.last), next);
    }

    pub(super) fn submit(&mut self, index: usize, lasting: bool) {
        if !lasting && self.now >= LEAD_MS + self.day.load_ms {
            return;
        }
        let queue: QueueLoad = self.day.fleet.queues[index].clone();
        let job = JobId::new(self.caller_rng().random());
        let spec = if lasting {
            QueueLoad::lasting_job()
        } else {
            queue.job(self.caller_rng())
        };
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a job")]
        let objective = whole(spec.critical_path_ms() as f64 * 1.6) + 600;
        self.ledger.sent.insert(
            job,
            Sent {
                spec,
                at: self.now,
                objective,
                accepted: false,
                refused: false,
                cancelled: None,
                ended: None,
                completed: false,
            },
        );
        self.ask_of(job, index);
        let cancelled = self.day.faults.cancelled_jobs;
        if !lasting && self.caller_rng().random_bool(cancelled) {
            let after = self.caller_rng().random_range(10..2_000);
            self.later(after, Happening::Cancel(job));
        }
    }

    pub(super) fn ask(&mut self, job: JobId) {
        self.ask_of(job, 0);
    }

    pub(super) fn ask_of(&mut self, job: JobId, index: usize) {
        let Some(sent) = self.ledger.sent.get(&job) else {
            return;
        };
        let queue = &self.day.fleet.queues[index];
        let intake = JobRequest {
            authority: "fleet.example".into(),
            path: format!("/{}/{job}", queue.name),
            kind: JobRequestKind::Submit(sent.spec.clone()),
        };
        let ask = self.next_ask();
        self.asks.insert(ask, (job, false));
        self.tell(
            self.epoch,
            Event::JobRequest {
                reply_to: ask,
                request: intake,
            },
        );
    }

    pub(super) fn cancel(&mut self, job: JobId) {
        let accepted = self.ledger.sent.get(&job).is_some_and(|sent| sent.accepted);
        if !accepted {
            return;
        }
        let queue = &self.day.fleet.queues[0];
        let intake = JobRequest {
            authority: "fleet.example".into(),
            path: format!("/{}/{job}", queue.name),
            kind: JobRequestKind::Cancel,
        };
        let ask = self.next_ask();
        self.asks.insert(ask, (job, true));
        self.tell(
            self.epoch,
            Event::JobRequest {
                reply_to: ask,
                request: intake,
            },
        );
    }

    pub(super) fn answered(&mut self, ask: ReplyId, reply: &Reply) {
        let Some((job, cancels)) = self.asks.remove(&ask) else {
            return;
        };
        let Some(sent) = self.ledger.sent.get_mut(&job) else {
            return;
        };
        match reply {
            Reply::Done if cancels => {
                sent.cancelled.get_or_insert(self.now);
            }
            Reply::Done => sent.accepted = true,
            Reply::Refused(Refusal::Busy { .. }) if !sent.accepted => sent.refused = true,
            Reply::NoJob | Reply::Refused(_) => {}
            other => self
                .ledger
                .broken
                .push(format!("{}: {job} got {other:?}", self.now)),
        }
    }

    /// Notes jobs that are shown as ended.
    pub(super) fn note_ends(&mut self) {
        if !self.now.is_multiple_of(5) {
            return;
        }
        let open = self
            .ledger
            .sent
            .iter_mut()
            .filter(|(_, sent)| sent.accepted && sent.ended.is_none());
        for (job, sent) in open {
            use masticfield_jobs::state::JobStatus;
            match self
                .state
                .job(*job)
                .map(masticfield_jobs::state::JobRecord::status)
            {
                Some(JobStatus::Completed) => {
                    sent.ended = Some(self.now);
                    sent.completed = true;
                    let tasks = sent.spec.steps.iter().zip(0..).flat_map(|(step, number)| {
                        (0..step.count).map(move |index| (number, index))
                    });
                    for (number, index) in tasks {
                        let task = masticfield_jobs::job::TaskId::new(*job, 0, number, index);
                        if !self.ledger.done.contains(&task) {
                            let text = format!("{}: {job} is completed without {task}", self.now);
                            self.ledger.broken.push(text);
                        }
                    }
                }
                Some(JobStatus::Failed | JobStatus::Cancelled) => sent.ended = Some(self.now),
                Some(JobStatus::Queued | JobStatus::Running) => {}
                None => {
                    self.ledger
                        .broken
                        .push(format!("{}: {job} is not known", self.now));
                    sent.ended = Some(self.now);
                }
            }
        }
    }
}
