//! Jobs: an entry's connection to the leading replica.

mod link;
mod link_handle;
mod metrics;
mod pending;

pub use link::{LeaderLink, LeaderLinkOptions};
pub use link_handle::{LeaderLinkHandle, LeaderLinkStatus};
pub use metrics::JobRequestMetrics;
