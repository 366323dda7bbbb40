//! Configurations as operators send them.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A configuration as the operator sent it, with the keys of workspaces.
///
/// `Debug` shows only its length.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigContent(Arc<[u8]>);

impl Deref for ConfigContent {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ConfigContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConfigContent({} bytes)", self.0.len())
    }
}

impl From<&[u8]> for ConfigContent {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl From<Arc<[u8]>> for ConfigContent {
    fn from(bytes: Arc<[u8]>) -> Self {
        Self(bytes)
    }
}
