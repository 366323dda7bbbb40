//! Queues of jobs, the pools of executors that serve them, and their configuration.

mod config;
mod content;
mod id;
mod key_digest;
mod request_limits;
mod route;
mod warning;
mod workspace;

pub use config::{AdviceConfig, InvalidConfig, PoolConfig, QueueConfig, QueuesConfig};
pub use content::ConfigContent;
pub use id::QueueId;
pub use key_digest::{InvalidKey, KeyDigest};
pub use request_limits::RequestLimits;
pub use route::{Route, RouteTable};
pub use warning::ConfigWarning;
pub use workspace::{WorkspaceConfig, WorkspaceId};
