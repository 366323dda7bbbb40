//! Workspaces, which share the queues and pools.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::ensure;

use super::KeyDigest;
use super::config::{
    DuplicateKeySnafu, DuplicateWorkspaceSnafu, EmptyWorkspaceNameSnafu, InvalidConfig,
    InvalidWeightSnafu,
};
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

/// Checks the rules that span several workspaces.
pub(super) fn check_workspaces(workspaces: &[WorkspaceConfig]) -> Result<(), InvalidConfig> {
    let mut names = BTreeSet::new();
    let mut keys = BTreeMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let name = &workspace.name;
        ensure!(!name.is_empty(), EmptyWorkspaceNameSnafu { index });
        let new = names.insert(name);
        ensure!(new, DuplicateWorkspaceSnafu { name: &**name });
        let valid = workspace.weight.is_finite() && workspace.weight >= 0.0;
        ensure!(valid, InvalidWeightSnafu { workspace: &**name });
        for key in &workspace.keys {
            if let Some(other) = keys.insert(key, name) {
                return DuplicateKeySnafu {
                    workspace: &**name,
                    other: &**other,
                }
                .fail();
            }
        }
    }
    Ok(())
}
