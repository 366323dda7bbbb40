//! Workspaces in the replicated state: their keys, quotas and what they have running.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{JobRecord, State};
use crate::job::{JobId, Resources, RunId};
use crate::queue::{KeyDigest, QueueId, QueuesConfig, WorkspaceConfig, WorkspaceId};

/// The part of a configuration that concerns workspaces.
///
/// Encoded apart from [`QueuesConfig`], whose encoding is older than workspaces.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigAccess {
    /// All workspaces; `None` if requests need no key.
    pub workspaces: Option<Vec<WorkspaceConfig>>,
    /// Zero-based positions of the public queues.
    pub public: BTreeSet<u32>,
}

/// The workspaces that were ever configured, and what they have running.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Workspaces {
    /// Latest configuration by [`WorkspaceId`], including workspaces that were removed since.
    known: Vec<WorkspaceConfig>,
    /// Whether the configuration in force has workspaces, so that keys are needed and quotas apply.
    in_force: bool,
    /// Workspace of each key of the configuration in force.
    by_key: Arc<HashMap<KeyDigest, WorkspaceId>>,
    /// Resources of the runs that have not ended, by [`WorkspaceId`].
    running: Vec<Resources>,
    /// The part of `running` that long-running tasks have.
    long_running: Vec<Resources>,
}

/// What a snapshot has about workspaces.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct AccessRecord {
    /// Of the configuration in force.
    access: ConfigAccess,
    known: Vec<WorkspaceConfig>,
    /// Queues whose latest configuration is public.
    public: BTreeSet<QueueId>,
    jobs: Vec<(JobId, WorkspaceId)>,
}

impl ConfigAccess {
    /// Moves this part out of a configuration; `None` if it has no workspaces and no public queue.
    pub(super) fn take(config: &mut QueuesConfig) -> Option<Self> {
        let queues = (0..).zip(&mut config.queues);
        let public = queues
            .filter_map(|(position, queue)| std::mem::take(&mut queue.public).then_some(position));
        let access = Self {
            public: public.collect(),
            workspaces: config.workspaces.take(),
        };
        (access != Self::default()).then_some(access)
    }

    /// Adds this part to a configuration, whose own part it replaces.
    pub(super) fn restore(self, config: &mut QueuesConfig) {
        for (position, queue) in (0..).zip(&mut config.queues) {
            queue.public = self.public.contains(&position);
        }
        config.workspaces = self.workspaces;
    }
}

impl Workspaces {
    /// Puts the workspaces of a configuration in force; `None` if it requires no keys.
    pub(super) fn configure(&mut self, workspaces: Option<&[WorkspaceConfig]>) {
        self.in_force = workspaces.is_some();
        let positions = (0..).zip(&self.known);
        let mut ids: HashMap<_, u32> = positions
            .map(|(position, workspace)| (Arc::clone(&workspace.name), position))
            .collect();
        let mut by_key = HashMap::new();
        for workspace in workspaces.unwrap_or_default() {
            let next = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
            let position = *ids.entry(Arc::clone(&workspace.name)).or_insert(next);
            match self.known.get_mut(position as usize) {
                Some(known) => known.clone_from(workspace),
                None => self.known.push(workspace.clone()),
            }
            let keys = workspace.keys.iter();
            by_key.extend(keys.map(|key| (*key, WorkspaceId(position))));
        }
        self.by_key = Arc::new(by_key);
        self.running.resize(self.known.len(), Resources::default());
        let count = self.known.len();
        self.long_running.resize(count, Resources::default());
    }

    /// Counts a run that starts.
    pub(super) fn add_run(&mut self, job: &JobRecord, run: RunId) {
        for sum in self.sums_mut(job, run) {
            *sum = sum.saturating_add(need(job, run));
        }
    }

    /// Stops counting a run that has ended.
    pub(super) fn remove_run(&mut self, job: &JobRecord, run: RunId) {
        for sum in self.sums_mut(job, run) {
            *sum = sum.saturating_sub(need(job, run));
        }
    }

    /// Returns the sums that a run is part of.
    fn sums_mut(&mut self, job: &JobRecord, run: RunId) -> impl Iterator<Item = &mut Resources> {
        let index = job.workspace.map(|workspace| workspace.0 as usize);
        let running = index.and_then(|index| self.running.get_mut(index));
        let index = index.filter(|_| job.is_long_running(run.task));
        let long_running = index.and_then(|index| self.long_running.get_mut(index));
        running.into_iter().chain(long_running)
    }
}

/// The resources that a run counts with.
///
/// All that its task needs, which is never less than what it reserves at its executor.
fn need(job: &JobRecord, run: RunId) -> Resources {
    let spec = job.spec.as_ref();
    let step = spec.and_then(|spec| spec.steps.get(usize::from(run.task.step)));
    step.map_or_else(Resources::default, |step| step.need)
}

impl State {
    /// Returns the latest configuration of every workspace that was ever configured.
    pub fn workspaces(&self) -> impl Iterator<Item = (WorkspaceId, &WorkspaceConfig)> {
        let known = (0..).zip(&self.workspaces.known);
        known.map(|(number, workspace)| (WorkspaceId(number), workspace))
    }

    /// Returns the latest configuration of a workspace, even if it was removed since.
    pub fn workspace(&self, workspace: WorkspaceId) -> Option<&WorkspaceConfig> {
        self.workspaces.known.get(workspace.0 as usize)
    }

    /// Returns the workspace that has a key by the configuration in force.
    pub fn workspace_of_key(&self, key: &KeyDigest) -> Option<WorkspaceId> {
        self.workspaces.by_key.get(key).copied()
    }

    /// Returns whether the configuration in force has workspaces: queues that are not public need a
    /// key, and quotas apply.
    pub const fn has_workspaces(&self) -> bool {
        self.workspaces.in_force
    }

    /// Returns the resources of a workspace's runs that have not ended, in whatever state they are.
    pub fn running_of(&self, workspace: WorkspaceId) -> Resources {
        let running = self.workspaces.running.get(workspace.0 as usize);
        running.copied().unwrap_or_default()
    }

    /// Returns the part of [`Self::running_of`] that long-running tasks have.
    pub fn long_running_of(&self, workspace: WorkspaceId) -> Resources {
        let sum = self.workspaces.long_running.get(workspace.0 as usize);
        sum.copied().unwrap_or_default()
    }

    /// Returns the quota of a workspace, in which 0 sets no limit; `None` if no quotas apply.
    ///
    /// A workspace that was removed keeps its last quota for the work that it still has.
    pub fn quota_of(&self, workspace: WorkspaceId) -> Option<Resources> {
        let known = self.workspace(workspace).filter(|_| self.has_workspaces());
        known.map(|workspace| workspace.quota)
    }

    /// Returns the keys of the configuration in force with their workspaces.
    pub(crate) fn keys(&self) -> impl Iterator<Item = (KeyDigest, WorkspaceId)> {
        let keys = self.workspaces.by_key.iter();
        keys.map(|(key, workspace)| (*key, *workspace))
    }

    /// Returns whether the sums of the workspaces agree with a full count of their runs.
    #[doc(hidden)]
    pub fn counts_are_exact(&self) -> bool {
        let counted = self.count_runs();
        let sums = &self.workspaces;
        (counted.running, counted.long_running) == (sums.running.clone(), sums.long_running.clone())
    }

    /// Counts the runs of all workspaces anew.
    fn count_runs(&self) -> Workspaces {
        let mut counted = self.workspaces.clone();
        counted.running.fill(Resources::default());
        counted.long_running.fill(Resources::default());
        let runs = self.executors.values().flat_map(|executor| &executor.runs);
        for run in runs {
            if let Some(job) = self.jobs.get(&run.task.job) {
                counted.add_run(job, *run);
            }
        }
        counted
    }

    /// Returns what a snapshot has about workspaces.
    pub(super) fn access_record(&self) -> AccessRecord {
        let config = self.config.as_ref();
        let access = config.and_then(|stored| ConfigAccess::take(&mut (*stored.config).clone()));
        let public = self.queues.iter().filter(|(_, queue)| queue.public);
        let jobs = self.jobs.iter();
        AccessRecord {
            access: access.unwrap_or_default(),
            known: self.workspaces.known.clone(),
            public: public.map(|(id, _)| *id).collect(),
            jobs: jobs
                .filter_map(|(id, job)| Some((*id, job.workspace?)))
                .collect(),
        }
    }

    /// Adds what a snapshot has about workspaces.
    pub(super) fn restore_access(&mut self, record: AccessRecord) {
        for (id, workspace) in record.jobs {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.workspace = Some(workspace);
            }
        }
        for id in record.public {
            if let Some(queue) = self.queues.get_mut(&id) {
                queue.public = true;
            }
        }
        self.workspaces.known = record.known;
        if let Some(stored) = &mut self.config {
            let config = Arc::make_mut(&mut stored.config);
            record.access.restore(config);
            self.workspaces.configure(config.workspaces.as_deref());
        }
        self.workspaces = self.count_runs();
    }
}
