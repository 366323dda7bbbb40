//! Attribution of task failures to hosts or jobs.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Reason};

use super::{FailureHistory, Load};
use crate::plan::Draft;

/// Time for which a host that fails many jobs receives no tasks.
const QUARANTINE_PERIOD: Duration = Duration::from_hours(1);

/// Quarantines hosts that fail many jobs and stops jobs that fail on many hosts.
pub fn plan(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    let estimates = draft.index().view().estimates;
    for (host, jobs) in estimates.failures().suspect_hosts() {
        quarantine(draft, load, host, jobs);
    }
    let config = draft.index().view().config;
    for job in config.jobs().keys() {
        let hosts = estimates.failures().count_failing_hosts(job);
        if hosts >= FailureHistory::SUSPECT_THRESHOLD && !load.is_stopped(job) {
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            stop_job(draft, load, job, Reason::FailsEverywhere { hosts });
        }
    }
}

/// Plans to give up on a job.
pub(super) fn stop_job(draft: &mut Draft<'_>, load: &mut Load<'_>, job: &Arc<str>, reason: Reason) {
    let action = Action::StopJob {
        job: Arc::clone(job),
    };
    if draft.add(action, reason) {
        load.mark_stopped(job);
    }
}

fn quarantine(draft: &mut Draft<'_>, load: &mut Load<'_>, host: &Arc<str>, jobs: usize) {
    let record = draft.index().view().hosts.get(host);
    let now = draft.index().now();
    // A quarantine under way is not extended. It may be repeated once it has ended, also by a
    // new leader.
    let is_quarantined =
        record.is_none_or(|record| record.quarantined_until.is_some_and(|until| until > now));
    if is_quarantined {
        return;
    }
    let action = Action::Quarantine {
        host: Arc::clone(host),
        period: QUARANTINE_PERIOD,
    };
    let jobs = u32::try_from(jobs).unwrap_or(u32::MAX);
    if draft.add(action, Reason::FailsEverything { jobs }) {
        load.mark_quarantined(host);
    }
}
