//! Reads of jobs and queues, answered from the committed state.

use super::{JobRequest, Refusal, Reply};
use crate::job::JobId;
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
    if route.rest.is_empty() {
        return Reply::Pending(pending(state, route.queue));
    }
    let Ok(job) = route.rest.parse::<JobId>() else {
        return Reply::NoQueue;
    };
    let record = state.job(job);
    record.map_or(Reply::NoJob, |record| Reply::Status(record.status()))
}

fn pending(state: &State, queue: QueueId) -> u64 {
    let of_queue = state.jobs().filter(|(_, job)| job.queue == queue);
    let waiting = of_queue.filter(|(_, job)| job.status() == JobStatus::Queued);
    waiting.count() as u64
}
