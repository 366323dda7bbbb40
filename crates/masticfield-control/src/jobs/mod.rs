//! Job scheduling: runs the leader's decision logic on top of a replica.
//!
//! [`JobControl`] drives [`masticfield_jobs::leader::Leader`]: it commits the leader's commands
//! through the replica and carries out their effects afterwards. Calls to executors and to the
//! platform are left to the receiver of [`OutboundOrder`].

mod entries;
mod handle;
mod job_control;
mod leadership;
mod metrics;
mod observer;
mod operator_request;
mod order;
mod referral;
mod reply_handle;
mod work_times;

pub use entries::serve_entries;
pub use handle::{ControlView, JobControlHandle, WaveProgress};
pub use job_control::JobControl;
pub use metrics::JobMetrics;
pub use operator_request::{OperatorOutcome, OperatorRequest, OperatorRequestKind};
pub use order::{HostOrder, OutboundOrder};
pub use referral::{Referral, ReferralStep, refer};
