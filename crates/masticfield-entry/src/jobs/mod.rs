//! Requests for jobs: an entry's connection to the leading control replica.
//!
//! [`LeaderLink`] finds the leading replica and keeps a connection to it; requests go through a
//! [`LeaderLinkHandle`], and calls of the leader to executors arrive as [`RelayTask`]s.

mod job_bytes;
mod known_replicas;
mod link;
mod link_handle;
mod metrics;
mod pending_requests;
mod relay;

pub use job_bytes::job_bytes;
pub use known_replicas::KnownReplicas;
pub use link::{LeaderLink, LeaderLinkOptions};
pub use link_handle::{LeaderLinkHandle, LeaderLinkStatus};
pub use metrics::JobRequestMetrics;
pub use relay::RelayTask;
