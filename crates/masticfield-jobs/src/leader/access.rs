//! Keys of requests: which workspace a request comes from, and what it may be about.

use super::{Defect, JobRequest, Leader, Reply};
use crate::job::JobId;
use crate::queue::{KeyDigest, QueueId, WorkspaceId};
use crate::state::State;

/// Returns the workspace that a request comes from, or the reply that refuses it.
///
/// A queue that is not public needs a known key, and so does a job that was submitted to such a
/// queue, whatever the path of the request. A job of a workspace needs a key of that workspace.
pub(super) fn check_access(
    state: &State,
    queue: QueueId,
    job: Option<JobId>,
    key: Option<&KeyDigest>,
) -> Result<Option<WorkspaceId>, Reply> {
    if !state.has_workspaces() {
        return Ok(None);
    }
    let sender = key.and_then(|key| state.workspace_of_key(key));
    check_sender(state, queue, job, sender)
}

fn check_sender(
    state: &State,
    queue: QueueId,
    job: Option<JobId>,
    sender: Option<WorkspaceId>,
) -> Result<Option<WorkspaceId>, Reply> {
    let needs_key = |queue| !state.queue(queue).is_some_and(|queue| queue.public);
    let job = job.and_then(|job| state.job(job));
    let owner = job.and_then(|job| job.workspace);
    let of_job = job.is_some_and(|job| job.workspace.is_some() || needs_key(job.queue));
    if sender.is_none() && (needs_key(queue) || of_job) {
        return Err(Reply::Unauthorized);
    }
    if owner.is_some() && owner != sender {
        return Err(Reply::Forbidden);
    }
    Ok(sender)
}

/// Logs a request that was refused for its key. The digest is no part of the line.
pub(super) fn log_refusal(state: &State, request: &JobRequest, reply: &Reply) {
    let sender = request.key.as_ref();
    let sender = sender.and_then(|key| state.workspace_of_key(key));
    let workspace = sender.and_then(|id| state.workspace(id));
    let workspace = workspace.map(|workspace| workspace.name.as_ref());
    log::info!(
        path = request.path.as_str(), request = request.kind.name(), reason = reply.name(),
        has_key = request.key.is_some(), workspace, version = state.version();
        "request refused for its key"
    );
}

impl Leader {
    /// Returns the workspace that a request comes from, or the reply that refuses it.
    pub(super) fn check_key(
        &self,
        queue: QueueId,
        job: JobId,
        request: &JobRequest,
    ) -> Result<Option<WorkspaceId>, Reply> {
        let key = request.key.as_ref();
        let mut checked = check_access(&self.state, queue, Some(job), key);
        if self.options.defect == Some(Defect::KeyOfOldConfig)
            && let Some(sender) = key.and_then(|key| self.former_keys.get(key))
        {
            checked = check_sender(&self.state, queue, Some(job), Some(*sender));
        }
        if let Err(reply) = &checked {
            log_refusal(&self.state, request, reply);
        }
        checked
    }
}
