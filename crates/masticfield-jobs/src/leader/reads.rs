//! Reads of jobs and queues, answered from the committed state.

use super::access::{check_access, log_refusal};
use super::{JobRequest, Refusal, Reply};
use crate::job::{JobId, ParseIdError};
use crate::queue::{QueueId, RouteTable};
use crate::state::{JobStatus, State};

/// Answers a read of a job's status, or of the number of pending jobs if the path names none.
pub fn read(state: &State, routes: &RouteTable, request: &JobRequest) -> Reply {
    if state.config().is_none() {
        return Reply::Refused(Refusal::NotReady);
    }
    let Some(route) = routes.find(&request.authority, &request.path) else {
        return Reply::NoQueue;
    };
    let Ok(job) = parse_job(route.rest) else {
        return Reply::NoQueue;
    };
    if let Err(reply) = check_access(state, route.queue, job, request.key.as_ref()) {
        log_refusal(state, request, &reply);
        return reply;
    }
    let Some(job) = job else {
        return Reply::Pending(pending(state, route.queue));
    };
    let record = state.job(job);
    record.map_or(Reply::NoJob, |record| Reply::Status(record.status()))
}

/// Parses the identifier of a job; `None` for an empty text.
fn parse_job(text: &str) -> Result<Option<JobId>, ParseIdError> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some)
}

fn pending(state: &State, queue: QueueId) -> u64 {
    let of_queue = state.jobs().filter(|(_, job)| job.queue == queue);
    let waiting = of_queue.filter(|(_, job)| job.status() == JobStatus::Queued);
    waiting.count() as u64
}
