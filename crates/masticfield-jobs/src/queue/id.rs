//! Identifiers of queues.

use serde::{Deserialize, Serialize};

/// Identifier of a queue; never reused.
///
/// Queues are distinguished by the authority and path prefix that callers use, so a queue keeps
/// its identifier when it is renamed or removed and configured again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueId(pub u32);
