//! Queues, the pools that work them off, and their configuration.

mod config;
mod key;
mod limits;
mod route;

pub use config::{AdviceConfig, InvalidConfig, PoolConfig, QueueConfig, QueuesConfig};
pub use key::QueueId;
pub use limits::IntakeLimits;
pub use route::{Route, RouteTable};
