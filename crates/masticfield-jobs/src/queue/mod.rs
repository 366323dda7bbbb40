//! Queues of jobs, the pools of executors that serve them, and their configuration.

mod config;
mod id;
mod request_limits;
mod route;

pub use config::{AdviceConfig, InvalidConfig, PoolConfig, QueueConfig, QueuesConfig};
pub use id::QueueId;
pub use request_limits::RequestLimits;
pub use route::{Route, RouteTable};
