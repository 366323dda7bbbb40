//! Fake upstream: an executor that answers requests and announces itself to entries.
//!
//! Each request that gets a slot is answered after a fixed latency; requests beyond the slots are
//! refused as not run. Every response repeats the request id, as the interface demands.

mod args;
mod fake_upstream;
mod options;
mod request_stats;

pub use args::{UpstreamArgs, main};
pub use fake_upstream::{FakeUpstream, StartUpstreamError};
pub use options::UpstreamOptions;
pub use request_stats::RequestStats;
