//! Jobs: the leading replica's decisions, carried out.
//!
//! [`JobControl`] drives [`masticfield_jobs::leader::Leader`] with a replica: it commits what
//! the leader decides and hands out what is to be done then. How executors are called is up to
//! the receiver of [`ExecutorCall`].

mod asker;
mod entries;
mod handle;
mod job_control;
mod leading;
mod metrics;
mod observer;
mod order;

pub use entries::serve_entries;
pub use handle::{ControlView, JobControlHandle, WaveProgress};
pub use job_control::JobControl;
pub use metrics::JobMetrics;
pub use order::{ExecutorCall, HostOrder, OutboundOrder};
