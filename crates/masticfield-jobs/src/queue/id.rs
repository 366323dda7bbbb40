//! Identity of a queue.

use serde::{Deserialize, Serialize};

/// A queue, for as long as the state exists.
///
/// A queue is told apart by the authority and path prefix that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueId(pub u32);
