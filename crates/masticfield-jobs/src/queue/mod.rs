//! Queues, the pools that work them off, and their configuration.

mod config;
mod id;
mod request_limits;
mod route;

pub use config::{AdviceConfig, InvalidConfig, PoolConfig, QueueConfig, QueuesConfig};
pub use id::QueueId;
pub use request_limits::RequestLimits;
pub use route::{Route, RouteTable};
