//! A stand-in for an executor of a service.
//!
//! It runs as many requests at once as it has slots, echoes the request id, and announces
//! itself to entries until it leaves.

mod args;
mod fake_upstream;
mod options;
mod request_stats;

pub use args::{UpstreamArgs, main};
pub use fake_upstream::{FakeUpstream, StartUpstreamError};
pub use options::UpstreamOptions;
pub use request_stats::RequestStats;
