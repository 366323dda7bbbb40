//! Workspaces, which share the queues and pools.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{InvalidConfig, KeyDigest};
use crate::job::Resources;

/// Identifier of a workspace; never reused.
///
/// Workspaces are distinguished by their names, so a workspace keeps its identifier when it is
/// removed and configured again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkspaceId(pub u32);

/// Configuration of a workspace: who may submit jobs, and how much may run for them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceConfig {
    /// Name, unique among the workspaces.
    pub name: Arc<str>,
    /// Digests of the keys that callers of the workspace present; any of them is sufficient.
    pub keys: Vec<KeyDigest>,
    /// Jobs per second that the workspace is entitled to; also its share of scarce capacity.
    pub weight: f64,
    /// Maximum resources of the workspace's runs together; 0 sets no limit.
    pub quota: Resources,
}

/// Adds every violation of the rules that span several workspaces to `problems`.
pub(super) fn find_workspace_problems(
    workspaces: &[WorkspaceConfig],
    problems: &mut Vec<InvalidConfig>,
) {
    let mut names = BTreeSet::new();
    let mut keys = BTreeMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let name = || Arc::clone(&workspace.name);
        if workspace.name.is_empty() {
            problems.push(InvalidConfig::EmptyWorkspaceName { index });
        } else if !names.insert(&workspace.name) {
            problems.push(InvalidConfig::DuplicateWorkspace { name: name() });
        }
        if !workspace.weight.is_finite() || workspace.weight < 0.0 {
            let workspace = name();
            problems.push(InvalidConfig::InvalidWeight { workspace });
        }
        for key in &workspace.keys {
            if let Some(other) = keys.insert(key, &workspace.name) {
                let (workspace, other) = (name(), Arc::clone(other));
                problems.push(InvalidConfig::DuplicateKey { workspace, other });
            }
        }
    }
}
